"""The subscriptions of one fleet member: the registry replica, the `FOLLOW` and `UNFOLLOW` calls, and local events.

The fleet node creates an `Exchange` and calls its `look` regularly. `subscription_server.py`, and lark with it, is
loaded only for the first subscription, so that a member without subscriptions spends almost nothing on them.
`registry_exchange.py` exchanges the registry with other members, `subscription_store.py` saves it, and `registry.py`
defines its entries. Times are microseconds unless a name ends in `_S` (seconds).
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
from cedarwick.events.anti_entropy import RegistrySync
from cedarwick.events.event_source import EventObserver
from cedarwick.events.kinds import InvalidEventError, Value
from cedarwick.events.registry import DEFAULT_LIFETIME, SECOND, NotFollowedError, Registry
from cedarwick.events.registry_exchange import ANSWER_TIMEOUT_S, RegistryExchange
from cedarwick.events.sources import Sources
from cedarwick.events.subscription_store import SubscriptionStore
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
    from cedarwick.events.subscription_server import SubscriptionServer

CHECK_INTERVAL = 250_000  # microseconds between two checks of the registry and the receivers
TICK_INTERVAL = 1_000_000  # microseconds between two ticks of the registry
MIN_CLOCK_JUMP = 10_000_000  # microseconds of drift from the monotonic clock that count as a jump of the wall clock
MAX_STARTUP_BATCHES = 20  # batches of stored filters compiled during start-up: 200 filters, 0.1 s
EXPIRY_INTERVAL = 30_000_000  # microseconds between two searches for expired subscriptions
MAX_READERS = 128  # subscribers connected to this member


class InvalidFollowError(CedarwickError):
    """A `FOLLOW` or `UNFOLLOW` call cannot be parsed."""

    code = "CW831"
    remedy = "write FOLLOW NAME WHERE FILTER, FOLLOW NAME SOURCE:NUMBER ... WHERE FILTER, or UNFOLLOW NAME"


class SubscriptionMovedError(CedarwickError):
    """The subscriber has connected to another member in the meantime."""

    code = "CW833"
    remedy = "read there; two subscribers need two names"


class UnfollowedError(CedarwickError):
    """The subscription has ended, either by `UNFOLLOW` or because it had no follower for its whole lifetime."""

    code = "CW834"
    remedy = "follow with the filter to begin a new one"


class SubscriptionExpiredError(CedarwickError):
    """This member was cut off for so long that it may have missed ends, and discarded its live subscriptions."""

    code = "CW835"
    remedy = "follow again with cursors and filter, here or at any other member"


class TooManyReadersError(CedarwickError):
    """The limit of subscribers connected to this member is reached."""

    code = "CW830"
    remedy = "follow at another member, or end connections that nobody needs"


def wall_time() -> int:
    """The wall clock in microseconds."""
    # The sender's own clock stops while the machine sleeps; by it, later entries would seem older than they are.
    return time.time_ns() // 1000


def split_follow_argument(argument: str) -> tuple[str, str | None]:
    """Split the argument of FOLLOW into the name with its cursors and the text of the filter (None without WHERE)."""
    # Cursors contain a colon, so the first word WHERE after the name begins the filter.
    words = argument.split(" ")
    filter_start = next((at for at, word in enumerate(words[1:], 1) if word.upper() == "WHERE"), len(words))
    target = " ".join(word for word in words[:filter_start] if word)
    return target, " ".join(words[filter_start + 1 :]) if filter_start < len(words) else None


class Exchange:
    """The subscriptions of one fleet member; it receives no events before `attach`."""

    def __init__(
        self,
        name: str,
        verifier: PeerVerifier,
        counters: Counters,
        call: Callable[[str, Body, float], Body | None],
        state_folder: str = "",
        lifetime: int = DEFAULT_LIFETIME,
    ) -> None:
        """`state_folder`: empty if nothing is saved; `lifetime`: microseconds that a subscription lasts without a
        follower; `call`: sends a message to a member and waits up to the given seconds for its answer.
        """
        self.name = name
        self.verifier = verifier
        self.counters = counters
        self.call = call
        self.sources = Sources(verifier)
        self.registry_sync = RegistrySync(Registry(name, wall_time(), lifetime))
        self.registry_exchange = RegistryExchange(
            name, self.registry_sync, counters, call, wall_time, self._entries_merged
        )
        self.store = SubscriptionStore(state_folder, self.registry, counters) if state_folder else None
        self.server: SubscriptionServer | None = None
        self.loading = False
        self.first_number = 1  # number of the next event while the server is not loaded
        self.alive: list[str] = [name]
        self.compilation_due = False  # subscriptions have changed, or some filters are not compiled yet
        self.last_connected_at = verifier.incarnation  # start time of the newest connection of a subscriber
        self.next_check_at = self.next_tick_at = self.next_expiry_check_at = 0
        self.observer: EventObserver | None = None
        self.clock_offset: int | None = None  # wall clock minus monotonic clock
        if self.store is not None:
            self.store.load(wall_time())

    @property
    def registry(self) -> Registry:
        """All subscriptions known to this member."""
        return self.registry_sync.registry

    def set_lifetime(self, lifetime: int) -> None:
        """Set how many microseconds subscriptions followed here last without a follower, existing ones included."""
        self.registry.lifetime = lifetime

    def attach(
        self, management: ManagementCommands, endpoint_list: EndpointList, dispatcher: Dispatcher, site: str
    ) -> None:
        """Attach to the parts of the sender; called after all other parts have wrapped the attempt callbacks."""
        self.observer = EventObserver(self.name, site, dispatcher, endpoint_list)
        management.subscription_handler = self.handle_call
        dispatcher.attempts.request_clearance = partial(self._request_clearance, dispatcher.attempts.request_clearance)
        dispatcher.attempts.report_result = partial(self._report_result, dispatcher.attempts.report_result)
        self.compile_stored()

    def compile_stored(self) -> None:
        """Compile the filters of saved subscriptions before the first event, at most MAX_STARTUP_BATCHES batches."""
        # The server takes time to load; events before that would not be matched.
        live_entries = self.registry.live_entries(wall_time())
        if live_entries:
            server = self._load_server()
            self.compilation_due = not any(server.set_subscriptions(live_entries) for _ in range(MAX_STARTUP_BATCHES))

    # ---- local events ----

    @property
    def has_subscriptions(self) -> bool:
        """Whether any subscription is evaluated here; if not, events are only numbered."""
        return self.server is not None and bool(self.server.source.outboxes)

    def on_message_event(self, kind: str, stored: StoredMessage, figure: int) -> None:
        """Publish an event of a message; the arguments are those of `ReplicatedStore.on_event`."""
        observer = self.observer
        if observer is None or not self.has_subscriptions:
            self._skip_event_number()
            return
        try:
            self._publish(kind, observer.message_fields(kind, stored, figure))
        except Exception:  # a failure to publish must not fail the delivery
            self.counters.log_exception("an event was not published")

    def on_messages_adopted(self, stored: Iterable[StoredMessage], member: str) -> None:
        """Publish an event for each message taken over from another member."""
        for each in stored:
            if self.has_subscriptions and self.observer is not None:
                self._publish(
                    "adopted", self.observer.message_fields("adopted", each, 0) | self.observer.member_fields(member)
                )
            else:
                self._skip_event_number()

    def on_session_moved(self, key: str, tenant: str, member: str, age: int) -> None:
        """Publish the event of a session that moved to a member, `age` microseconds after its migration began."""
        self._publish_member_event("moved", member, {"id": key, "age": age, **({"tenant": tenant} if tenant else {})})

    def on_member_changed(self, change: MemberChange, silent_for: int) -> None:
        """Publish the event of a member's changed status; `silent_for`: microseconds since its last heartbeat."""
        if change.current is MemberStatus.ALIVE:
            self._publish_member_event("member-came", change.name, {})
        elif change.current in (MemberStatus.DEAD, MemberStatus.LEFT):
            self._publish_member_event("member-went", change.name, {"age": silent_for})

    def _publish_member_event(self, kind: str, member: str, extra_fields: dict[str, Value]) -> None:
        if self.has_subscriptions and self.observer is not None:
            self._publish(kind, self.observer.member_fields(member) | extra_fields)
        else:
            self._skip_event_number()

    def _skip_event_number(self) -> None:
        if self.server is not None:
            self.server.source.next_number += 1
        else:
            self.first_number += 1

    def _publish(self, kind: str, fields: dict[str, Value]) -> None:
        assert self.server is not None
        try:
            self.server.publish(wall_time(), kind, fields)
        except InvalidEventError as error:
            self.counters.warning("an event that cannot be published", error)

    def _request_clearance(self, request_clearance: Callable[[AttemptCall], bool], call: AttemptCall) -> bool:
        if self.has_subscriptions and self.observer is not None:
            self.observer.attempt_started(call)
        return request_clearance(call)

    def _report_result(
        self, report_result: Callable[[AttemptCall, AttemptResult], None], call: AttemptCall, result: AttemptResult
    ) -> None:
        if self.has_subscriptions and self.observer is not None:
            self.observer.attempt_ended(call, result)
        report_result(call, result)

    # ---- called by the node ----

    def look(self, now: int, alive: Iterable[str], majority: int) -> None:
        """Run all tasks that are due; called regularly by the node.

        `now`: microseconds of a clock that also runs while the machine sleeps; `majority`: members needed for one.
        """
        # The name `look` is part of the key of a counter of failed calls.
        self.alive = list(alive)
        if now >= self.next_tick_at:
            self.next_tick_at = now + TICK_INTERVAL
            self._tick(now, len(self.alive) >= majority)
        if self.compilation_due:
            self._compile_filters()
        if self.server is not None:
            self.server.run_due_tasks(now, self.alive)
        if now < self.next_check_at:
            return
        self.next_check_at = now + CHECK_INTERVAL
        if self.has_subscriptions and self.observer is not None:
            for kind, fields in self.observer.receiver_changes():
                self._publish(kind, fields)
        elif self.observer is not None and self.observer.observing:
            self.observer.pause()
        self.registry_exchange.start_due_exchanges(now, self.alive)

    def answer_peer_message(self, sender: str, now: int, body: Subscribe | Matches | Cursors) -> Body:
        """Handle another member's message and return the answer."""
        if isinstance(body, Subscribe):
            self.registry_exchange.merge(sender, body)
            return self.registry_sync.answer(body)
        if self.server is None:
            return Cursors(body.source, ()) if isinstance(body, Matches) else Acknowledged()
        if isinstance(body, Matches):
            return self.server.handle_matches(sender, body)
        self.server.handle_positions(now, sender, body)
        return Acknowledged()

    def stop(self) -> None:
        """Save the subscriptions and stop; afterwards another process may use the folder."""
        if self.store is not None:
            self.store.close(wall_time())
        if self.server is not None:
            self.server.log_summary()

    def _tick(self, now: int, with_majority: bool) -> None:
        entry_count, at = len(self.registry.entries), wall_time()
        offset = self.clock_offset = at - now if self.clock_offset is None else self.clock_offset
        if abs(at - now - offset) > MIN_CLOCK_JUMP:
            logger.warning("the wall clock has jumped by {} s", (at - now - offset) / SECOND)
            self.registry.correct_clock_jump(at - now - offset)
            self.clock_offset = at - now
        lost = self.registry.tick(at, with_majority)
        for name in lost:
            self._end_connection(name, SubscriptionExpiredError(f"{name}: this member was cut off for too long"))
        if entry_count != len(self.registry.entries):
            self._entries_changed()
        if self.server is not None:
            for name in list(self.server.connections):
                if self.registry.is_live(at, name) and self.registry.renewal_due(at, name):
                    self.registry.renew(at, name)
                    self._entries_changed(name)
        if now >= self.next_expiry_check_at:
            self.next_expiry_check_at = now + EXPIRY_INTERVAL
            self.compilation_due = bool(self.registry.entries) or self.compilation_due
        if self.store is not None:
            self.store.write_due_changes(at, now)

    def _compile_filters(self) -> None:
        live_entries = self.registry.live_entries(wall_time())
        if self.server is None and not live_entries:
            self.compilation_due = False
        elif self.server is not None:
            self.compilation_due = not self.server.set_subscriptions(live_entries)
        elif not self.loading:
            self.loading = True
            gevent.spawn(self._load_server)

    def _load_server(self) -> "SubscriptionServer":
        """Load the subscription server in a thread, because parsing its grammar would block the event loop."""
        try:
            module = gevent.get_hub().threadpool.apply(
                importlib.import_module, ("cedarwick.events.subscription_server",)
            )
        finally:
            self.loading = False
        if self.server is None:
            self.server = module.SubscriptionServer(
                self.name,
                self.sources,
                self.first_number,
                lambda name: self.registry.entries.get(name),
                self.call,
                self.counters,
            )
        return cast("SubscriptionServer", self.server)

    # ---- the registry ----

    def _entries_changed(self, *names: str, origin: str = "") -> None:
        """Save and apply changed entries, and mark them unsent for all members but `origin`, which sent them."""
        at = wall_time()
        if self.store is not None:
            # Save first: a member that acknowledged an end and lost it in a restart would revive the subscription.
            self.store.write_changes(at, names)
        self.registry_sync.mark_changed()
        self.compilation_due = True
        self.next_check_at = 0
        self.registry_exchange.mark_unsent(names, (self.verifier.others - {origin}) if names else ())
        if self.server is None:
            return
        for name in list(self.server.connections):
            entry = self.registry.entries.get(name)
            if entry is None or not self.registry.is_live(at, name):
                self._end_connection(name, UnfollowedError(f"{name} has ended"))
            elif entry.member != self.name:
                self._end_connection(name, SubscriptionMovedError(f"{name} is followed at {entry.member}"))

    def _end_connection(self, name: str, reason: CedarwickError) -> None:
        if self.server is not None and name in self.server.connections:
            self.server.connections[name].end(reason)

    def _entries_merged(self, names: list[str], sender: str) -> None:
        """Apply entries that another member has changed."""
        self._entries_changed(*names, origin=sender)

    # ---- management calls ----

    def handle_call(self, call: commands.Call) -> str | StreamingAnswer:
        """Answer `FOLLOW` or `UNFOLLOW`. Raises a `CedarwickError` if the call is refused."""
        if call.name == "UNFOLLOW":
            return self._unfollow(call.argument)
        if self.server is None:
            # Load within a streaming answer: on a busy machine the first load may exceed the deadline of a call.
            return partial(self._load_and_follow, call.argument)
        return self._follow(self.server, call.argument)

    def _load_and_follow(self, argument: str, sock: gevent.socket.socket) -> None:
        try:
            serve = self._follow(self._load_server(), argument)
        except CedarwickError as error:
            self.counters.add(f"management calls refused: {error.code}")
            sock.sendall(f"NO {error.line}\n".encode("ascii", "replace"))
        else:
            serve(sock)

    def _follow(self, server: "SubscriptionServer", argument: str) -> StreamingAnswer:
        from cedarwick.events.streams import decode_cursors
        from cedarwick.events.subscriber_reader import Reader

        target, filter_text = split_follow_argument(argument)
        name, cursors = decode_cursors(target)
        if filter_text is not None and not filter_text.strip():
            raise InvalidFollowError("no filter after WHERE")
        if len(server.connections) >= MAX_READERS and name not in server.connections:
            raise TooManyReadersError(f"{MAX_READERS} subscribers are connected here")
        at = wall_time()
        if filter_text is not None:
            text = self._checked_filter(filter_text)
        else:
            if not self.registry.is_live(at, name):
                raise NotFollowedError(f"no subscription is called '{name}' here")
            text = self.registry.entries[name].filter
        self.registry.follow(at, name, text)
        self.last_connected_at = max(self.last_connected_at + 1, at)
        connection = server.connect(Reader(name, self.last_connected_at, cursors), self.alive)
        self._entries_changed(name)
        return partial(server.serve, connection, alive=lambda: self.alive)

    def _checked_filter(self, text: str) -> str:
        """Return the canonical text of a filter that every member can evaluate. Raises `FilterError`."""
        from cedarwick.events.language import check_levels, parse_filter

        parsed = parse_filter(text)
        levels = self.verifier.levels
        check_levels(
            parsed, {member: levels[member] for member in (self.name, *self.verifier.others) if member in levels}
        )
        return parsed.canonical_text

    def _unfollow(self, argument: str) -> str:
        name = argument.strip()
        if not name or " " in name:
            raise InvalidFollowError("UNFOLLOW takes one name")
        self.registry.end(wall_time(), name)
        self._entries_changed(name)
        peer_message = self.registry_sync.peer_message([name])
        # `self.alive` may change while the answers are awaited, so the members to call are chosen once.
        calls = {
            member: gevent.spawn(self.registry_exchange.send, member, peer_message)
            for member in sorted(self.verifier.others)
            if member in self.alive
        }
        gevent.joinall(list(calls.values()), timeout=ANSWER_TIMEOUT_S)
        uninformed = [
            member for member in sorted(self.verifier.others) if member not in calls or calls[member].value is None
        ]
        logger.info("{} ended; members not informed yet: {}", name, ", ".join(uninformed) or "nobody")
        return f"YES {name} ended" + (f", not yet told: {', '.join(uninformed)}" if uninformed else "") + "\n"


__all__ = ["Exchange"]
