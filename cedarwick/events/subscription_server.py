"""The subscription server of one member: matches events, sends matches to other members and writes to subscribers.

`exchange.py` loads this module, and the grammar with it, for the first subscription. `match_delivery.py` and
`subscriber_reader.py` decide what is sent and written; this module calls other members and writes to sockets. The
delivery of messages never waits for it: events go into bounded buffers, and all else runs in separate greenlets. Times
are microseconds unless a name ends in `_S` (seconds).
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
from cedarwick.events.match_delivery import NO_POSITION, MatchDelivery, ReaderPosition
from cedarwick.events.registry import Entry
from cedarwick.events.sources import Sources
from cedarwick.events.streams import Item, Source
from cedarwick.events.subscriber_reader import Reader
from cedarwick.fleet.messages import Body, Cursor, Cursors, Matches, Stream
from cedarwick.net.counters import Counters

IDLE_LINE_S = 2.0  # idle time after which a reader is sent an empty line
WRITE_TIMEOUT_S = 10.0  # timeout of writing to a reader
SEND_BUFFER_BYTES = 1 << 16  # send buffer of a reader's socket
POSITIONS_INTERVAL = 2_000_000  # microseconds between two reports of the positions of all readers
ENDINGS_INTERVAL = 250_000  # microseconds between two searches for ended sources
ANSWER_TIMEOUT_S = 1.0  # timeout of a call to another member
MATCHES_BYTES = 1 << 18  # approximate bytes of matches in one peer message
MAX_STREAMS = 500  # subscriptions in one peer message
MAX_POSITIONS = 2000  # positions in one peer message
FILTERS_PER_CALL = 10  # filters compiled in one call of `set_subscriptions`: each takes up to a millisecond
_encode = msgspec.msgpack.Encoder().encode
_items: msgspec.msgpack.Decoder[list[Item]] = msgspec.msgpack.Decoder(list[Item])


class SupersededError(CedarwickError):
    """A newer connection to this member follows under the same name."""

    code = "CW832"
    remedy = "let one subscriber follow under a name; give the other one a name of its own"


class CannotEvaluateError(CedarwickError):
    """A subscription has a filter that this sender cannot evaluate."""

    code = "CW837"
    remedy = "bring all members to one version of the program; until then its subscribers get nothing of this sender"


class SlowReaderError(CedarwickError):
    """A subscriber did not read in time, and its connection was closed."""

    code = "CW839"
    remedy = "follow again with the cursors; read faster, or write a filter that matches less"


class UnreadableMatchesError(CedarwickError):
    """Matches sent by another member cannot be decoded."""

    code = "CW836"
    remedy = "bring all members to one version of the program"


@dataclass(slots=True, eq=False)
class Connection:
    """A connected reader, and a gevent event that is set when items have arrived for it or it is to end."""

    reader: Reader
    arrived: gevent.event.Event = field(default_factory=gevent.event.Event)

    def end(self, reason: CedarwickError) -> None:
        """End the connection; the subscriber is sent the first reason given."""
        self.reader.end_reason = self.reader.end_reason or reason
        self.arrived.set()


@dataclass(slots=True)
class MatchesDraft:
    """A peer message of matches under construction; `size` is the bytes of its matches."""

    streams: list[Stream] = field(default_factory=list)
    size: int = 0

    @property
    def full(self) -> bool:
        """Whether the message has reached a limit."""
        return self.size >= MATCHES_BYTES or len(self.streams) >= MAX_STREAMS


class SubscriptionServer:
    """The subscriptions evaluated at this member, and the readers connected to it.

    `call` sends a message to a member and waits up to the given seconds for its answer; events are numbered from
    `first_number` on; `entry_lookup` returns the registry's entry of a name.
    """

    def __init__(
        self,
        member_name: str,
        sources: Sources,
        first_number: int,
        entry_lookup: Callable[[str], Entry | None],
        call: Callable[[str, Body, float], Body | None],
        counters: Counters,
    ) -> None:
        self.member_name = member_name
        self.sources = sources
        self.find_entry = entry_lookup
        self.call = call
        self.counters = counters
        self.source = Source(sources.current(member_name))
        self.source.next_number = first_number
        self.deliveries: dict[str, MatchDelivery] = {}
        self.active: dict[str, None] = {}  # deliveries that may have items to send, in the order of their turns
        self.position_unknown: dict[str, None] = {}  # deliveries whose subscribers' positions must be requested
        self.position_requests: dict[str, str] = {}  # by subscription: the member last asked for the position
        self.awaiting_matches_answer: set[str] = set()  # members with an unanswered message of matches
        self.awaiting_report_answer: set[str] = set()  # members with an unanswered message of positions
        self.due_reports: dict[str, dict[str, None]] = {}  # by member: readers whose positions must be reported to it
        self.connections: dict[str, Connection] = {}
        self.next_reports_at = self.next_endings_check_at = 0
        self.match_bytes: dict[str, int] = {}  # by member: bytes of matches sent

    # ---- local events ----

    def set_subscriptions(self, live_entries: Mapping[str, Entry]) -> bool:
        """Replace the live subscriptions; returns False if some filters are left for the next call."""
        texts, failed_filters = self.source.index.texts_by_name, self.source.failed_filters
        new_names = [
            name
            for name, entry in live_entries.items()
            if entry.filter not in (texts.get(name), failed_filters.get(name, ("",))[0])
        ]
        # Compiling thousands of new filters at once would delay message deliveries for seconds.
        postponed = set(new_names[FILTERS_PER_CALL:])
        filter_errors = self.source.set_subscriptions(
            {name: entry for name, entry in live_entries.items() if name not in postponed}
        )
        for name in new_names[:FILTERS_PER_CALL]:
            if name in filter_errors:
                self.counters.warning(
                    "a filter that cannot be evaluated", CannotEvaluateError(f"{name}: {filter_errors[name]}")
                )
        self._update_deliveries()
        # Request the position of a subscriber that has moved at once, without waiting for a match.
        for name, entry in live_entries.items():
            delivery = self.deliveries.get(name)
            if delivery is not None:
                known = (
                    delivery.reported.member
                    if delivery.reported is not None
                    else self.position_requests.get(name, entry.member)
                )
                if known != entry.member:
                    self.position_unknown[name] = None
        return not postponed

    def _update_deliveries(self) -> None:
        """Create one delivery for each outbox; a new delivery must first request its subscriber's position."""
        outboxes = self.source.outboxes
        self.deliveries = {
            name: delivery for name, delivery in self.deliveries.items() if outboxes.get(name) is delivery.outbox
        }
        self.position_requests = {
            name: member for name, member in self.position_requests.items() if name in self.deliveries
        }
        for name, outbox in outboxes.items():
            if name not in self.deliveries:
                self.deliveries[name] = MatchDelivery(outbox, zlib.crc32(f"{self.source.name} {name}".encode()))
                self.position_unknown[name] = None

    def publish(self, at: int, kind: str, fields: dict[str, Value]) -> None:
        """Number an event and queue it for the subscriptions whose filters match it. Raises `InvalidEventError`."""
        for name in self.source.publish(at, kind, fields):
            self.active[name] = None

    # ---- periodic tasks ----

    def run_due_tasks(self, now: int, alive: Iterable[str]) -> None:
        """Report ended sources and positions, and send matches; called regularly by `Exchange.look`.

        `now`: microseconds of a clock that also runs while the machine sleeps.
        """
        alive = list(alive)
        if now >= self.next_endings_check_at:
            self.next_endings_check_at = now + ENDINGS_INTERVAL
            for connection in self.connections.values():
                for source in [each for each in connection.reader.inbox.cursors if self.sources.has_ended(each)]:
                    connection.reader.end_source(source)
                    connection.arrived.set()
        if now >= self.next_reports_at:
            self.next_reports_at = now + POSITIONS_INTERVAL
            for name in self.connections:
                self._schedule_report(name, alive)
        for member in alive:
            self._report_positions(now, member)
        self._send_due(now, set(alive))

    def _schedule_report(self, name: str, members: Iterable[str]) -> None:
        for member in members:
            self.due_reports.setdefault(member, {})[name] = None

    def _report_positions(self, now: int, member: str) -> None:
        """Report to a member the positions of the readers connected here in that member's source."""
        source = self.sources.current(member)
        if not self.due_reports.get(member) or not source or member in self.awaiting_report_answer:
            return
        names = list(self.due_reports[member])[:MAX_POSITIONS]
        for name in names:
            del self.due_reports[member][name]
        positions = Cursors(source, tuple(self._position(name, source) for name in names))
        if member == self.member_name:
            self.handle_positions(now, member, positions)
            return
        self.awaiting_report_answer.add(member)

        def report() -> None:
            try:
                self.call(member, positions, ANSWER_TIMEOUT_S)
            finally:
                self.awaiting_report_answer.discard(member)

        gevent.spawn(report)

    def _position(self, name: str, source: str) -> Cursor:
        connection = self.connections.get(name)
        if connection is None:
            return Cursor(name, 0, NO_POSITION, NO_POSITION)
        position = connection.reader.position_in(self.member_name, source)
        return Cursor(name, position.connected_at, position.received, position.written, position.has_room)

    def _send_due(self, now: int, alive: set[str]) -> None:
        """Send matches and requests for positions, with at most one unanswered message to each member."""
        drafts: dict[str, MatchesDraft] = {}
        for name in [*self.position_unknown, *self.active]:
            delivery, entry = self.deliveries.get(name), self.find_entry(name)
            if delivery is None or entry is None:
                self.active.pop(name, None)
                self.position_unknown.pop(name, None)
                continue
            member = entry.member
            draft = drafts.setdefault(member, MatchesDraft())
            if member in self.awaiting_matches_answer or draft.full:
                continue
            if name not in self.position_unknown:
                self._add_matches(now, member, name, delivery, draft)
            elif member in alive:
                self._add_position_request(member, name, draft)
        for member, draft in drafts.items():
            if draft.streams:
                self.match_bytes[member] = self.match_bytes.get(member, 0) + draft.size
                self._send(now, member, Matches(self.source.name, tuple(draft.streams)))

    def _add_position_request(self, member: str, name: str, draft: MatchesDraft) -> None:
        """Add a request for the position of a subscriber: a stream without items."""
        del self.position_unknown[name]
        self.position_requests[name] = member
        draft.streams.append(Stream(name, NO_POSITION, b""))

    def _add_matches(self, now: int, member: str, name: str, delivery: MatchDelivery, draft: MatchesDraft) -> None:
        """Add the matches that are due for a subscription, if its subscriber is connected to `member`."""
        reported = delivery.reported
        if delivery.all_written or not delivery.is_connected(now) or reported is None or reported.member != member:
            del self.active[name]  # until another event matches or the position is reported again
            return
        items = delivery.due_items(now)
        if items:
            data = _encode(items)
            draft.size += len(data)
            draft.streams.append(Stream(name, reported.received, data))
            del self.active[name]
            self.active[name] = None  # move to the end of the queue

    def _send(self, now: int, member: str, matches: Matches) -> None:
        if member == self.member_name:
            self.handle_positions(now, member, self.handle_matches(member, matches))
            return
        self.awaiting_matches_answer.add(member)

        def send() -> None:
            try:
                answer = self.call(member, matches, ANSWER_TIMEOUT_S)
                if isinstance(answer, Cursors):
                    self.handle_positions(now, member, answer)
            finally:
                self.awaiting_matches_answer.discard(member)

        gevent.spawn(send)

    # ---- messages of other members ----

    def handle_positions(self, now: int, sender: str, body: Cursors) -> None:
        """Apply a member's report of its readers' positions in this member's source."""
        if body.source != self.source.name:
            return
        for cursor in body.cursors:
            delivery, entry = self.deliveries.get(cursor.name), self.find_entry(cursor.name)
            # Ignore reports of members that the subscriber has left: they are positions of old connections.
            if delivery is None or entry is None or entry.member != sender:
                continue
            if cursor.connected_at:
                delivery.handle_report(
                    now, ReaderPosition(sender, cursor.connected_at, cursor.received, cursor.written, cursor.has_room)
                )
                self.active[cursor.name] = None
            else:
                delivery.disconnected(sender)

    def handle_matches(self, sender: str, body: Matches) -> Cursors:
        """Accept matches of another member's source; returns the positions of the readers connected here."""
        # Matches that a member sends for another member's source could advance its cursors irrevocably.
        if body.source != self.sources.current(sender):
            return Cursors(body.source, ())
        for stream in body.streams:
            connection = self.connections.get(stream.name)
            if connection is None or not stream.items or not connection.reader.has_room:
                continue
            try:
                items = _items.decode(stream.items)
            except msgspec.DecodeError as error:
                self.counters.warning("matches that cannot be read", UnreadableMatchesError(f"{sender}: {error}"))
                continue
            if connection.reader.accept(body.source, stream.after, items):
                connection.arrived.set()
        return Cursors(body.source, tuple(self._position(stream.name, body.source) for stream in body.streams))

    # ---- connected subscribers ----

    def connect(self, reader: Reader, alive: Iterable[str]) -> Connection:
        """Register a connected reader and end an earlier connection of the same name."""
        earlier = self.connections.get(reader.name)
        if earlier is not None:
            earlier.end(SupersededError(f"a newer connection follows {reader.name}"))
        self.connections[reader.name] = connection = Connection(reader)
        self._schedule_report(reader.name, alive)
        return connection

    def serve(self, connection: Connection, sock: gevent.socket.socket, alive: Callable[[], Iterable[str]]) -> None:
        """Write to a subscriber until it disconnects or its connection is ended by this member."""
        reader = connection.reader
        try:
            sock.settimeout(WRITE_TIMEOUT_S)
            sock.setsockopt(gevent.socket.SOL_SOCKET, gevent.socket.SO_SNDBUF, SEND_BUFFER_BYTES)
            sock.sendall(f"YES following {reader.name}\n".encode())
            while reader.end_reason is None:
                full = not reader.has_room
                data, cursors = reader.take_lines()
                if not data:
                    connection.arrived.clear()
                    if connection.arrived.wait(IDLE_LINE_S):
                        continue
                    data = b"\n"
                sock.sendall(data)
                reader.mark_written(cursors)
                members = [each for each in alive() if full or self.sources.current(each) in cursors]
                self._schedule_report(reader.name, members)
            sock.sendall(f"NO {reader.end_reason.line}\n".encode("ascii", "replace"))
        except TimeoutError:
            self.counters.warning(
                "a subscriber reads too slowly", SlowReaderError(f"{reader.name}: {WRITE_TIMEOUT_S:g} s")
            )
        except OSError as error:
            self.counters.add(f"subscribers lost: {type(error).__name__}")
        finally:
            if self.connections.get(reader.name) is connection:
                del self.connections[reader.name]
                self._schedule_report(reader.name, alive())

    def log_summary(self) -> None:
        """Log the number of events and the bytes of matches sent to each member."""
        sent = ", ".join(f"{member} {count}" for member, count in sorted(self.match_bytes.items()))
        logger.info("events: {} numbered; bytes of matches: {}", self.source.next_number - 1, sent or "none")
