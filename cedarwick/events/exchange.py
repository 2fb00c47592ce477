"""A member's part in what subscribers are told: the registry among the members, `FOLLOW`, and the events here.

Made with the fleet, and costs next to nothing until somebody follows: then `subscription_server.py` is loaded, and
with it lark.
The registry is told as in `anti_entropy.py` and kept as in `subscription_store.py`; what its entries mean is settled
in `registry.py`.
"""

import importlib
import time
from collections.abc import Callable, Iterable
from functools import partial
from typing import TYPE_CHECKING, cast

import gevent
import gevent.socket
from loguru import logger

from cedarwick.errors import CedarwickError
from cedarwick.events.anti_entropy import Spread
from cedarwick.events.event_source import Witness
from cedarwick.events.kinds import InvalidEventError, Value
from cedarwick.events.registry import FORGET, SECOND, NotFollowedError, Registry, Verdict
from cedarwick.events.sources import Sources
from cedarwick.events.subscription_store import Keeper
from cedarwick.fleet.membership import MemberChange, MemberStatus
from cedarwick.fleet.messages import Acknowledged, Body, Cursors, Matches, Subscribe
from cedarwick.fleet.peer_verifier import PeerVerifier
from cedarwick.net.attempts import AttemptCall, AttemptResult
from cedarwick.net.counters import Counters
from cedarwick.net.dispatcher import Dispatcher
from cedarwick.net.endpoint_list import EndpointList
from cedarwick.ops import commands
from cedarwick.ops.management import ManagementCommands, StreamingAnswer
from cedarwick.store.records import StoredMessage

if TYPE_CHECKING:
    from cedarwick.events.subscription_server import Serving

TURN = 250_000  # microseconds between two looks at registry and receivers
AGAIN = 5_000_000  # between two comparisons with a member with which nothing is new
RETRY = 1_000_000  # until one that failed, or left something over, is made again
TICK = 1_000_000
JUMP = 10_000_000  # by which the wall clock goes astray of the one that counts on, until that counts as a jump
AT_START = 20  # portions of the filters that are kept that are read before a start goes on: 200 filters, 0.1 s
EXPIRY = 30_000_000  # between two looks for subscriptions that nobody follows any more
ANSWER_IN = 0.4  # seconds
MOST_READERS = 128  # subscribers that are connected here


class InvalidFollowError(CedarwickError):
    """A call of `FOLLOW` or `UNFOLLOW` that cannot be read."""

    code = "CW831"
    remedy = "write FOLLOW NAME WHERE FILTER, FOLLOW NAME SOURCE:NUMBER ... WHERE FILTER, or UNFOLLOW NAME"


class SubscriptionMovedError(CedarwickError):
    """The subscriber has followed at another member since."""

    code = "CW833"
    remedy = "read there; two subscribers need two names"


class UnfollowedError(CedarwickError):
    """The subscription has ended: somebody has said so, or nobody has followed it for long."""

    code = "CW834"
    remedy = "follow with the filter to begin a new one"


class SubscriptionExpiredError(CedarwickError):
    """This member was cut off for so long that it could not know what had ended meanwhile, and begins anew."""

    code = "CW835"
    remedy = "follow again with cursors and filter, here or at any other member"


class TooManyReadersError(CedarwickError):
    """As many subscribers are connected to this member as may be."""

    code = "CW830"
    remedy = "follow at another member, or end connections that nobody needs"


class NotJoinedError(CedarwickError):
    """The registry of another member is not taken over."""

    code = "CW838"
    remedy = "compare the clocks of the two machines; one that was cut off for long begins anew by itself"


def wall() -> int:
    """Danger: the sender's own clock stands while the machine sleeps, and what is said after that would be older."""
    return time.time_ns() // 1000


class Exchange:
    """Nothing is told or taken before `attach`."""

    def __init__(
        self,
        name: str,
        gate: PeerVerifier,
        counters: Counters,
        call: Callable[[str, Body, float], Body | None],
        state: str = "",
        lasts: int = FORGET,
    ) -> None:
        """`state`: the folder, nothing is kept without one; `lasts`: microseconds, of what is followed here."""
        self.name = name
        self.gate = gate
        self.counters = counters
        self.call = call
        self.sources = Sources(gate)
        self.spread = Spread(Registry(name, wall(), lasts))
        self.keeper = Keeper(state, self.registry, counters) if state else None
        self.serving: Serving | None = None
        self.loading = False
        self.first = 1  # the number of the next event, while nothing is served
        self.alive: list[str] = [name]
        self.dirty = False  # subscriptions have changed, or some are not evaluated yet
        self.began = gate.incarnation  # of the newest connection here
        self.turn_at = self.tick_at = self.expiry_at = 0
        self.lacks: dict[str, set[str]] = {}  # by member: subscriptions that it is to be told
        self.agreed: dict[str, int] = {}  # by member: the digest at the last peer message
        self.next_at: dict[str, int] = {}  # by member: when the two compare, where nothing is new
        self.failed_until: dict[str, int] = {}  # by member that has not answered
        self.talking: set[str] = set()
        self.witness: Witness | None = None
        self.offset: int | None = None  # of the wall clock to the one that counts on
        if self.keeper is not None:
            self.keeper.load(wall())

    @property
    def registry(self) -> Registry:
        """All subscriptions, as this member knows them."""
        return self.spread.registry

    def replace(self, lasts: int) -> None:
        """Another word of how long what is followed here lasts without a follower: for all who are connected, too."""
        self.registry.lasts = lasts

    def attach(self, staff: ManagementCommands, endpoint_list: EndpointList, dispatcher: Dispatcher, hall: str) -> None:
        """Once the attempts are made, after everybody else who listens to them."""
        self.witness = Witness(self.name, hall, dispatcher, endpoint_list)
        staff.follows = self.answer
        dispatcher.attempts.clear = partial(self._cleared, dispatcher.attempts.clear)
        dispatcher.attempts.tell = partial(self._told, dispatcher.attempts.tell)
        self.begin()

    def begin(self) -> None:
        """Before anything happens here: evaluate what the folder has kept, as far as that takes a moment only."""
        # Danger: the part that evaluates takes time to load; what happened till then would be told to nobody.
        living = self.registry.living(wall())
        if living:
            serving = self._load()
            self.dirty = not any(serving.evaluate(living) for _ in range(AT_START))

    # ---- events here ----

    @property
    def watching(self) -> bool:
        """Whether anybody follows: else events are numbered, and not made."""
        return self.serving is not None and bool(self.serving.source.outboxes)

    def seen(self, kind: str, stored: StoredMessage, figure: int) -> None:
        """As `Shared.seen`: something has happened to a message."""
        witness = self.witness
        if witness is None or not self.watching:
            self._unseen()
            return
        try:
            self._happened(kind, witness.message(kind, stored, figure))
        except Exception:  # Danger: a delivery must not fail because somebody watches it
            self.counters.failed("an event was not told")

    def adopted(self, stored: Iterable[StoredMessage], member: str) -> None:
        """Messages of another member are this one's from now on."""
        for each in stored:
            if self.watching and self.witness is not None:
                self._happened("adopted", self.witness.message("adopted", each, 0) | self.witness.member(member))
            else:
                self._unseen()

    def moved(self, key: str, tenant: str, member: str, age: int) -> None:
        """A session has moved to a member; `age` microseconds after the move began."""
        self._of_member("moved", member, {"id": key, "age": age, **({"tenant": tenant} if tenant else {})})

    def member(self, change: MemberChange, silent: int) -> None:
        """A member stands otherwise; it was silent for so many microseconds."""
        if change.now is MemberStatus.ALIVE:
            self._of_member("member-came", change.name, {})
        elif change.now in (MemberStatus.DEAD, MemberStatus.LEFT):
            self._of_member("member-went", change.name, {"age": silent})

    def _of_member(self, kind: str, member: str, more: dict[str, Value]) -> None:
        if self.watching and self.witness is not None:
            self._happened(kind, self.witness.member(member) | more)
        else:
            self._unseen()

    def _unseen(self) -> None:
        if self.serving is not None:
            self.serving.source.next += 1
        else:
            self.first += 1

    def _happened(self, kind: str, fields: dict[str, Value]) -> None:
        assert self.serving is not None
        try:
            self.serving.happened(wall(), kind, fields)
        except InvalidEventError as error:
            self.counters.trouble("an event that cannot be told", error)

    def _cleared(self, clear: Callable[[AttemptCall], bool], call: AttemptCall) -> bool:
        if self.watching and self.witness is not None:
            self.witness.cleared(call)
        return clear(call)

    def _told(
        self, tell: Callable[[AttemptCall, AttemptResult], None], call: AttemptCall, ending: AttemptResult
    ) -> None:
        if self.watching and self.witness is not None:
            self.witness.told(call, ending)
        tell(call, ending)

    # ---- called by the node ----

    def look(self, now: int, alive: Iterable[str], majority: int) -> None:
        """`now` counts on while the machine sleeps; `majority` is of all members."""
        self.alive = list(alive)
        if now >= self.tick_at:
            self.tick_at = now + TICK
            self._tick(now, len(self.alive) >= majority)
        if self.dirty:
            self._evaluate()
        if self.serving is not None:
            self.serving.look(now, self.alive)
        if now < self.turn_at:
            return
        self.turn_at = now + TURN
        if self.watching and self.witness is not None:
            for kind, fields in self.witness.looked():
                self._happened(kind, fields)
        elif self.witness is not None and self.witness.begun:
            self.witness.blind()
        digest = self.spread.digest()
        for name in self.alive:
            new = bool(self.lacks.get(name)) or self.agreed.get(name) != digest
            due = new and now >= self.failed_until.get(name, 0) or now >= self.next_at.get(name, 0)
            if name != self.name and due and name not in self.talking:
                self.talking.add(name)
                gevent.spawn(self._talk, now, name)

    def heard(self, sender: str, now: int, body: Subscribe | Matches | Cursors) -> Body:
        """The answer to another member's peer message."""
        if isinstance(body, Subscribe):
            self._take(sender, body)
            return self.spread.answer(body)
        if self.serving is None:
            return Cursors(body.source, ()) if isinstance(body, Matches) else Acknowledged()
        if isinstance(body, Matches):
            return self.serving.matched(sender, body)
        self.serving.places(now, sender, body)
        return Acknowledged()

    def stop(self) -> None:
        """The sender ends; what is kept in the folder is another process's from now on."""
        if self.keeper is not None:
            self.keeper.close(wall())
        if self.serving is not None:
            self.serving.summary()

    def _tick(self, now: int, with_majority: bool) -> None:
        count, at = len(self.registry.entries), wall()
        offset = self.offset = at - now if self.offset is None else self.offset
        if abs(at - now - offset) > JUMP:
            logger.warning("the wall clock has jumped by {} s", (at - now - offset) / SECOND)
            self.registry.stepped(at - now - offset)
            self.offset = at - now
        lost = self.registry.tick(at, with_majority)
        for name in lost:
            self._end(name, SubscriptionExpiredError(f"{name}: this member was cut off for too long"))
        if count != len(self.registry.entries):
            self._changed()
        if self.serving is not None:
            for name in list(self.serving.connections):
                if self.registry.lives(at, name) and self.registry.due(at, name):
                    self.registry.followed(at, name)
                    self._changed(name)
        if now >= self.expiry_at:
            self.expiry_at = now + EXPIRY
            self.dirty = bool(self.registry.entries) or self.dirty
        if self.keeper is not None:
            self.keeper.look(at, now)

    def _evaluate(self) -> None:
        living = self.registry.living(wall())
        if self.serving is None and not living:
            self.dirty = False
        elif self.serving is not None:
            self.dirty = not self.serving.evaluate(living)
        elif not self.loading:
            self.loading = True
            gevent.spawn(self._load)

    def _load(self) -> "Serving":
        """The part that evaluates; reading its grammar takes too long for the loop."""
        try:
            module = gevent.get_hub().threadpool.apply(
                importlib.import_module, ("cedarwick.events.subscription_server",)
            )
        finally:
            self.loading = False
        if self.serving is None:
            self.serving = module.Serving(
                self.name,
                self.sources,
                self.first,
                lambda name: self.registry.entries.get(name),
                self.call,
                self.counters,
            )
        return cast("Serving", self.serving)

    # ---- the registry ----

    def _changed(self, *names: str, but: str = "") -> None:
        """Entries have changed: kept before anybody is told, told to the others at the next look, acted on here."""
        at = wall()
        if self.keeper is not None:
            # Danger: who answers that it knows of an end, and forgets it in a restart, would bring back what was ended.
            self.keeper.changed(at, names)
        self.spread.changed()
        self.dirty = True
        self.turn_at = 0
        for member in (self.gate.others - {but}) if names else ():
            self.lacks.setdefault(member, set()).update(names)
        if self.serving is None:
            return
        for name in list(self.serving.connections):
            entry = self.registry.entries.get(name)
            if entry is None or not self.registry.lives(at, name):
                self._end(name, UnfollowedError(f"{name} has ended"))
            elif entry.member != self.name:
                self._end(name, SubscriptionMovedError(f"{name} is followed at {entry.member}"))

    def _end(self, name: str, why: CedarwickError) -> None:
        if self.serving is not None and name in self.serving.connections:
            self.serving.connections[name].end(why)

    def _take(self, sender: str, told: Subscribe) -> None:
        """Join another member's entries, and act on what is new."""
        before = dict(self.registry.entries) if told.entries else {}
        verdict = self.spread.join(wall(), told)
        if verdict is not Verdict.JOINED:
            self.counters.trouble("subscriptions of another member", NotJoinedError(f"{sender}: {verdict.value}"))
            return
        entries = self.registry.entries
        changed = [name for name in told.entries if name in entries and before.get(name) is not entries[name]]
        if changed:
            self._changed(*changed, but=sender)

    def _talk(self, now: int, name: str) -> None:
        try:
            self.next_at[name] = now + (AGAIN if self._say(now, name) else RETRY)
        finally:
            self.talking.discard(name)

    def _say(self, now: int, name: str) -> bool:
        """Tell another member what it lacks, and compare; whether the two are at one."""
        names = self.lacks.pop(name, set())
        answer = self._ask(name, self.spread.peer_message(names))
        if answer is None:
            self.lacks.setdefault(name, set()).update(names)
            self.failed_until[name] = now + RETRY
            return False
        if answer.buckets and (wish := self.spread.differing(answer)) is not None:
            answer = self._ask(name, wish) or answer
        self.agreed[name] = self.spread.digest()
        return answer.digest == self.agreed[name]

    def _ask(self, name: str, peer_message: Subscribe) -> Subscribe | None:
        answer = self.call(name, peer_message, ANSWER_IN)
        if not isinstance(answer, Subscribe):
            return None
        self._take(name, answer)
        return answer

    # ---- staff and subscribers ----

    def answer(self, call: commands.Call) -> str | StreamingAnswer:
        """`FOLLOW` and `UNFOLLOW`; a `CedarwickError` says why not."""
        if call.name == "UNFOLLOW":
            return self._unfollow(call.argument)
        if self.serving is None:
            # Danger: on a busy machine the first load takes longer than a caller is given for its line.
            return partial(self._load_and_follow, call.argument)
        return self._follow(self.serving, call.argument)

    def _load_and_follow(self, told: str, sock: gevent.socket.socket) -> None:
        try:
            talk = self._follow(self._load(), told)
        except CedarwickError as error:
            self.counters.add(f"management calls refused: {error.code}")
            sock.sendall(f"NO {error.line}\n".encode("ascii", "replace"))
        else:
            talk(sock)

    def _follow(self, serving: "Serving", told: str) -> StreamingAnswer:
        from cedarwick.events.language import check_levels, read
        from cedarwick.events.streams import decoded
        from cedarwick.events.subscriber_reader import Reader

        # A cursor has a colon: the first word without one, after the name, begins the filter.
        words = told.split(" ")
        place = next((at for at, word in enumerate(words[1:], 1) if word.upper() == "WHERE"), len(words))
        name, cursors = decoded(" ".join(word for word in words[:place] if word))
        text = " ".join(words[place + 1 :])
        if place < len(words) and not text.strip():
            raise InvalidFollowError("no filter after WHERE")
        if len(serving.connections) >= MOST_READERS and name not in serving.connections:
            raise TooManyReadersError(f"{MOST_READERS} subscribers are connected here")
        at = wall()
        if place < len(words):
            found = read(text)
            check_levels(
                found,
                {
                    member: self.gate.levels[member]
                    for member in (self.name, *self.gate.others)
                    if member in self.gate.levels
                },
            )
            text = found.text
        else:
            if not self.registry.lives(at, name):
                raise NotFollowedError(f"no subscription is called '{name}' here")
            text = self.registry.entries[name].filter
        self.registry.follow(at, name, text)
        self.began = max(self.began + 1, at)
        connection = serving.connect(Reader(name, self.began, cursors), self.alive)
        self._changed(name)
        return partial(serving.talk, connection, alive=lambda: self.alive)

    def _unfollow(self, told: str) -> str:
        name = told.strip()
        if not name or " " in name:
            raise InvalidFollowError("UNFOLLOW takes one name")
        self.registry.end(wall(), name)
        self._changed(name)
        peer_message = self.spread.peer_message([name])
        # Danger: who is alive may change while the answers are awaited.
        calls = {
            member: gevent.spawn(self._ask, member, peer_message)
            for member in sorted(self.gate.others)
            if member in self.alive
        }
        gevent.joinall(list(calls.values()), timeout=ANSWER_IN)
        untold = [member for member in sorted(self.gate.others) if member not in calls or calls[member].value is None]
        logger.info("{} ended; not yet told: {}", name, ", ".join(untold) or "nobody")
        return f"YES {name} ended" + (f", not yet told: {', '.join(untold)}" if untold else "") + "\n"


__all__ = ["Exchange"]
