"""The subscriptions at work in one member: evaluated here, sent on to where subscribers are, written to those here.

Loaded with the first subscription, and with it the grammar. What a delivery owes and what a reader has is decided in
`match_delivery.py` and `subscriber_reader.py`; this calls other members and writes to sockets. Deliveries never wait
for any of it: events go into bounded buffers, and everything else happens in greenlets of its own.
"""

import zlib
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

import gevent
import gevent.event
import gevent.socket
import msgspec
from loguru import logger

from cedarwick.errors import CedarwickError
from cedarwick.events.kinds import Value
from cedarwick.events.match_delivery import NOWHERE, MatchDelivery, Reached
from cedarwick.events.registry import Entry
from cedarwick.events.sources import Sources
from cedarwick.events.streams import Item, Source
from cedarwick.events.subscriber_reader import Reader
from cedarwick.fleet.messages import Body, Cursor, Cursors, Matches, Stream
from cedarwick.net.counters import Counters

IDLE_LINE_S = 2.0  # without a line until a reader is sent an empty one
WRITE_TIMEOUT_S = 10.0  # in which what is written must be taken
SEND_BUFFER_BYTES = 1 << 16  # that the system holds for a reader
PLACES_INTERVAL = 2_000_000  # microseconds between two peer messages with the places of all readers
ENDINGS_INTERVAL = 250_000  # microseconds between two looks for sources that have ended
ANSWER_TIMEOUT_S = 1.0  # for another member's answer
MATCHES_BYTES = 1 << 18  # of matches in one peer message, about
MAX_STREAMS = 500  # subscriptions in one peer message
MAX_PLACES = 2000  # places in one peer message
FILTERS_PER_LOOK = 10  # that are compiled in one look: each takes up to a millisecond
_encode = msgspec.msgpack.Encoder().encode
_items: msgspec.msgpack.Decoder[list[Item]] = msgspec.msgpack.Decoder(list[Item])


class SupersededError(CedarwickError):
    """Another connection follows under the same name at this member."""

    code = "CW832"
    remedy = "let one subscriber follow under a name; give the other one a name of its own"


class CannotEvaluateError(CedarwickError):
    """A subscription has a filter that this sender cannot read."""

    code = "CW837"
    remedy = "bring all members to one version of the program; until then its subscribers get nothing of this sender"


class SlowReaderError(CedarwickError):
    """A subscriber has not taken what was written to it, and its connection is closed."""

    code = "CW839"
    remedy = "follow again with the cursors; read faster, or write a filter that matches less"


class UnreadableMatchesError(CedarwickError):
    """Matches of another member cannot be read."""

    code = "CW836"
    remedy = "bring all members to one version of the program"


@dataclass(slots=True, eq=False)
class Connection:
    """A reader that is connected here, and an event set when something has arrived for it."""

    reader: Reader
    arrived: gevent.event.Event = field(default_factory=gevent.event.Event)

    def end(self, why: CedarwickError) -> None:
        """Let the subscriber go; the first reason given is the one it is sent."""
        self.reader.over = self.reader.over or why
        self.arrived.set()


class SubscriptionServer:
    """`call` asks another member; the numbers of the events begin with `first`."""

    def __init__(
        self,
        me: str,
        sources: Sources,
        first: int,
        entries: Callable[[str], Entry | None],
        call: Callable[[str, Body, float], Body | None],
        counters: Counters,
    ) -> None:
        self.me = me
        self.sources = sources
        self.entry = entries
        self.call = call
        self.counters = counters
        self.source = Source(sources.of(me))
        self.source.next = first
        self.deliveries: dict[str, MatchDelivery] = {}
        self.active: dict[str, None] = {}  # deliveries that may have something to send, in their turn
        self.unlocated: dict[
            str, None
        ] = {}  # new deliveries: how far their subscribers are with this source is not known
        self.asked: dict[str, str] = {}  # by subscription: the member that was asked last, and may have known nothing
        self.pushing: set[str] = set()  # members with a peer message of matches on its way
        self.telling: set[str] = set()  # members with a peer message of places on its way
        self.owed: dict[str, dict[str, None]] = {}  # by member: readers whose places it is to be sent
        self.connections: dict[str, Connection] = {}
        self.places_at = self.endings_at = 0
        self.bytes: dict[str, int] = {}  # of matches, by the member that they went to

    # ---- what happens here ----

    def evaluate(self, living: Mapping[str, Entry]) -> bool:
        """From now on these are the subscriptions; False where some are left for the next look."""
        texts, unread = self.source.index.texts, self.source.unread
        fresh = [
            name for name, entry in living.items() if entry.filter not in (texts.get(name), unread.get(name, ("",))[0])
        ]
        # Danger: thousands of filters that come at once would hold up deliveries for seconds.
        left = set(fresh[FILTERS_PER_LOOK:])
        found = self.source.evaluate({name: entry for name, entry in living.items() if name not in left})
        for name in fresh[:FILTERS_PER_LOOK]:
            if name in found:
                self.counters.warning(
                    "a filter that cannot be evaluated", CannotEvaluateError(f"{name}: {found[name]}")
                )
        self._follow_outboxes()
        for name, entry in living.items():  # a subscriber that has moved is asked at once how far it is
            delivery = self.deliveries.get(name)
            if delivery is not None:
                known = delivery.reader.member if delivery.reader is not None else self.asked.get(name, entry.member)
                if known != entry.member:
                    self.unlocated[name] = None
        return not left

    def _follow_outboxes(self) -> None:
        """Have one delivery for each outbox of the source; a new one must learn how far its subscriber is."""
        outboxes = self.source.outboxes
        self.deliveries = {
            name: delivery for name, delivery in self.deliveries.items() if outboxes.get(name) is delivery.outbox
        }
        self.asked = {name: member for name, member in self.asked.items() if name in self.deliveries}
        for name, outbox in outboxes.items():
            if name not in self.deliveries:
                self.deliveries[name] = MatchDelivery(outbox, zlib.crc32(f"{self.source.name} {name}".encode()))
                self.unlocated[name] = None

    def happened(self, at: int, kind: str, fields: dict[str, Value]) -> None:
        """Number an event and queue it for the subscriptions it matches. Raises `InvalidEventError`."""
        for name in self.source.happened(at, kind, fields):
            self.active[name] = None

    # ---- again and again ----

    def look(self, now: int, alive: Iterable[str]) -> None:
        """`now` counts on while the machine sleeps."""
        alive = list(alive)
        if now >= self.endings_at:
            self.endings_at = now + ENDINGS_INTERVAL
            for connection in self.connections.values():
                for source in [each for each in connection.reader.inbox.cursors if self.sources.over(each)]:
                    connection.reader.end(source)
                    connection.arrived.set()
        if now >= self.places_at:
            self.places_at = now + PLACES_INTERVAL
            for name in self.connections:
                self._owe(name, alive)
        for member in alive:
            self._tell(now, member)
        self._push(now, set(alive))

    def _owe(self, name: str, members: Iterable[str]) -> None:
        for member in members:
            self.owed.setdefault(member, {})[name] = None

    def _tell(self, now: int, member: str) -> None:
        """Tell one member how far the readers here are with its source."""
        source = self.sources.of(member)
        if not self.owed.get(member) or not source or member in self.telling:
            return
        names = list(self.owed[member])[:MAX_PLACES]
        for name in names:
            del self.owed[member][name]
        places = Cursors(source, tuple(self._place(name, source) for name in names))
        if member == self.me:
            self.places(now, member, places)
            return
        self.telling.add(member)

        def tell() -> None:
            try:
                self.call(member, places, ANSWER_TIMEOUT_S)
            finally:
                self.telling.discard(member)

        gevent.spawn(tell)

    def _place(self, name: str, source: str) -> Cursor:
        connection = self.connections.get(name)
        if connection is None:
            return Cursor(name, 0, NOWHERE, NOWHERE)
        reached = connection.reader.reached(self.me, source)
        return Cursor(name, reached.began, reached.held, reached.written, reached.room)

    def _push(self, now: int, alive: set[str]) -> None:
        """Send what is owed: one peer message at a time to each member."""
        peer_messages: dict[str, list[Stream]] = {}
        sizes: dict[str, int] = {}
        for name in [*self.unlocated, *self.active]:
            delivery, entry = self.deliveries.get(name), self.entry(name)
            if delivery is None or entry is None:
                self.active.pop(name, None)
                self.unlocated.pop(name, None)
                continue
            member = entry.member
            streams = peer_messages.setdefault(member, [])
            if member in self.pushing or sizes.get(member, 0) >= MATCHES_BYTES or len(streams) >= MAX_STREAMS:
                continue
            if name in self.unlocated:
                if member in alive:
                    del self.unlocated[name]
                    self.asked[name] = member
                    streams.append(Stream(name, NOWHERE, b""))
                continue
            reader = delivery.reader
            if delivery.done or not delivery.present(now) or reader is None or reader.member != member:
                del self.active[name]  # until something happens, or its place is reported
                continue
            items = delivery.send(now)
            if items:
                data = _encode(items)
                sizes[member] = sizes.get(member, 0) + len(data)
                streams.append(Stream(name, reader.held, data))
                del self.active[name]
                self.active[name] = None  # the others come first the next time
        for member, streams in peer_messages.items():
            if streams:
                self.bytes[member] = self.bytes.get(member, 0) + sizes.get(member, 0)
                self._send(now, member, Matches(self.source.name, tuple(streams)))

    def _send(self, now: int, member: str, matches: Matches) -> None:
        if member == self.me:
            self.places(now, member, self.matched(member, matches))
            return
        self.pushing.add(member)

        def send() -> None:
            try:
                answer = self.call(member, matches, ANSWER_TIMEOUT_S)
                if isinstance(answer, Cursors):
                    self.places(now, member, answer)
            finally:
                self.pushing.discard(member)

        gevent.spawn(send)

    # ---- peer messages of others ----

    def places(self, now: int, sender: str, body: Cursors) -> None:
        """Where the readers at a member are with the source here."""
        if body.source != self.source.name:
            return
        for row in body.cursors:
            delivery, entry = self.deliveries.get(row.name), self.entry(row.name)
            # Danger: a member where the subscriber was before would speak of what another connection has read.
            if delivery is None or entry is None or entry.member != sender:
                continue
            if row.began:
                delivery.reader_reached(now, Reached(sender, row.began, row.held, row.written, row.room))
                self.active[row.name] = None
            else:
                delivery.disconnected(sender)

    def matched(self, sender: str, body: Matches) -> Cursors:
        """What another member's source owes readers here; the answer is how far they are with it."""
        # Danger: what a member says of a source that is not its own would move a cursor for good.
        if body.source != self.sources.of(sender):
            return Cursors(body.source, ())
        for stream in body.streams:
            connection = self.connections.get(stream.name)
            if connection is None or not stream.items or not connection.reader.room:
                continue
            try:
                items = _items.decode(stream.items)
            except msgspec.DecodeError as error:
                self.counters.warning("matches that cannot be read", UnreadableMatchesError(f"{sender}: {error}"))
                continue
            if connection.reader.take(body.source, stream.after, items):
                connection.arrived.set()
        return Cursors(body.source, tuple(self._place(stream.name, body.source) for stream in body.streams))

    # ---- subscribers that are here ----

    def connect(self, reader: Reader, alive: Iterable[str]) -> Connection:
        """A subscriber is here; one that was connected under its name is let go."""
        before = self.connections.get(reader.name)
        if before is not None:
            before.end(SupersededError(f"a newer connection follows {reader.name}"))
        self.connections[reader.name] = made = Connection(reader)
        self._owe(reader.name, alive)
        return made

    def talk(self, connection: Connection, sock: gevent.socket.socket, alive: Callable[[], Iterable[str]]) -> None:
        """Write to a subscriber until it goes, or its following ends here."""
        reader = connection.reader
        try:
            sock.settimeout(WRITE_TIMEOUT_S)
            sock.setsockopt(gevent.socket.SOL_SOCKET, gevent.socket.SO_SNDBUF, SEND_BUFFER_BYTES)
            sock.sendall(f"YES following {reader.name}\n".encode())
            while reader.over is None:
                full = not reader.room
                data, reached = reader.lines()
                if not data:
                    connection.arrived.clear()
                    if connection.arrived.wait(IDLE_LINE_S):
                        continue
                    data = b"\n"
                sock.sendall(data)
                reader.wrote(reached)
                members = [each for each in alive() if full or self.sources.of(each) in reached]
                self._owe(reader.name, members)
            sock.sendall(f"NO {reader.over.line}\n".encode("ascii", "replace"))
        except TimeoutError:
            self.counters.warning(
                "a subscriber reads too slowly", SlowReaderError(f"{reader.name}: {WRITE_TIMEOUT_S:g} s")
            )
        except OSError as error:
            self.counters.add(f"subscribers lost: {type(error).__name__}")
        finally:
            if self.connections.get(reader.name) is connection:
                del self.connections[reader.name]
                self._owe(reader.name, alive())

    def summary(self) -> None:
        """Say in the log what went where."""
        sent = ", ".join(f"{member} {count}" for member, count in sorted(self.bytes.items()))
        logger.info("events: {} numbered; bytes of matches: {}", self.source.next - 1, sent or "none")
