"""Virtual time for a fleet in one process: a kernel on greenlets, and fakes for gevent, `time` and the link.

    kernel = Kernel()
    with standing_in(kernel, carry):   the fleet's modules use the kernel; restored at the end
        kernel.spawn_as(owner, call)
        kernel.run(until)
    kernel.close()

Time does not pass while code runs, and jumps to the next task that is due, so a day takes as long as its code, and
one seed gives one order of events. Times are whole microseconds from the kernel's begin. A process of the day is an
`Owner`: a dead one's tasks are never resumed, a stopped one's wait until it goes on.
"""

import heapq
import traceback
from collections import Counter, defaultdict, deque
from collections.abc import Callable, Iterable, Iterator, Mapping
from contextlib import contextmanager
from types import SimpleNamespace
from typing import Any, ClassVar

import greenlet  # type: ignore[import-untyped]

from cedarwick.events import exchange, registry_exchange, subscription_server
from cedarwick.fleet import (
    heartbeats,
    lease_exchange,
    member_state,
    membership_reload,
    migration_source,
    migration_state,
    migration_target,
    migration_votes,
    node,
    partition_takeover,
    pending_order_keys,
    replicated_store,
    replication_pumps,
    request_handling,
    session_migration,
    session_routing,
    session_state,
    session_submissions,
    takeover_offers,
)
from cedarwick.fleet.messages import Body, Heartbeat, LeaseRequest, PeerMessage, decode, encode
from cedarwick.fleet.peer_client import MAX_CALLS_IN_FLIGHT, MAX_PENDING_CALLS, check_answer
from cedarwick.fleet.peer_verifier import PeerVerifier
from cedarwick.fleet.transport import PeerUnreachableError
from cedarwick.lab.units import SECOND
from cedarwick.net import dispatch_state, dispatcher, notifications, submission

WALL = 1_790_000_000 * SECOND  # wall time at the kernel's begin
BOOTED = 1000 * SECOND  # the boot clock then
IN_THREAD = 0.001  # seconds that a call in a thread takes
LOOK = 0.003  # seconds between two looks whether a peer message may go
FOREVER = 1e9  # seconds

Carry = Callable[[str, str, bytes, "AsyncResult"], None]  # from, to, peer message; set to the answer, or None: reset


class Owner:
    """One process of a sender (one of its lives), which owns tasks."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.dead = False
        self.stopped = False
        self.deferred: list[tuple[Task, int]] = []  # what was due while it was stopped


class Kernel:
    """Resumes tasks in the order of virtual time, and within one moment in the order in which they became due."""

    running: ClassVar["Kernel"]  # the one within `standing_in`: what is made there is its own

    def __init__(self) -> None:
        self.now = 0
        self.current: Task | None = None
        self.errors: list[str] = []  # traces of tasks that ended by an error
        self.closed = False
        self.hub = greenlet.getcurrent()
        self._due: list[tuple[int, int, Task, int]] = []
        self._count = 0
        self._tasks: list[Task] = []  # Danger: a dead process's task must not be collected, that would run its code

    def at(self, when: int, task: "Task", turn: int | None = None) -> None:
        """Resume a task then, unless something else has resumed it since."""
        self._count += 1
        heapq.heappush(self._due, (max(when, self.now), self._count, task, task.turn if turn is None else turn))

    def run(self, until: int) -> None:
        """All that is due up to a time."""
        while self._due and self._due[0][0] <= until:
            when, _, task, turn = heapq.heappop(self._due)
            self.now = when
            self._resume(task, turn)
        self.now = max(self.now, until)

    def _resume(self, task: "Task", turn: int) -> None:
        owner = task.owner
        if task.on or task.turn != turn or owner is not None and owner.dead:
            return
        if owner is not None and owner.stopped:
            owner.deferred.append((task, turn))
            return
        task.turn += 1
        self.current = task
        task.greenlet.switch()
        self.current = None

    def block(self) -> None:
        """Switch away until somebody resumes this task."""
        if self.closed:
            raise greenlet.GreenletExit
        self.hub.switch()

    def me(self) -> "Task":
        """The running task."""
        assert self.current is not None
        return self.current

    def spawn(self, call: Callable[..., Any], *arguments: Any) -> "Task":
        """Start a task of the same owner."""
        return self.spawn_as(self.current.owner if self.current else None, call, *arguments)

    def spawn_as(self, owner: Owner | None, call: Callable[..., Any], *arguments: Any) -> "Task":
        task = Task(owner, call, arguments)
        self._tasks.append(task)
        self.at(self.now, task)
        return task

    def sleep(self, seconds: float = 0) -> None:
        self.at(self.now + (max(1, int(seconds * SECOND)) if seconds > 0 else 0), self.me())
        self.block()

    def go_on(self, owner: Owner) -> None:
        """Continue a stopped process: the tasks that it has missed are due now."""
        owner.stopped = False
        for task, turn in owner.deferred:
            self.at(self.now, task, turn)
        owner.deferred = []

    def close(self) -> None:
        """End every task that is left."""
        self.closed = True
        for task in self._tasks:
            if task.greenlet:
                task.greenlet.throw(greenlet.GreenletExit)
        self._tasks, self._due = [], []

    def joinall(self, tasks: Iterable["Task"], timeout: float = FOREVER) -> None:
        end = self.now + int(timeout * SECOND)
        for task in tasks:
            task.wait(max(0, end - self.now) / SECOND)

    def in_thread(self, call: Callable[..., Any], arguments: tuple[Any, ...]) -> Any:
        self.sleep(IN_THREAD)
        return call(*arguments)

    def gevent(self) -> SimpleNamespace:
        """What the fleet's modules use of gevent."""
        hub = SimpleNamespace(threadpool=SimpleNamespace(apply=self.in_thread))
        return SimpleNamespace(
            spawn=self.spawn,
            sleep=self.sleep,
            joinall=self.joinall,
            get_hub=lambda: hub,
            GreenletExit=greenlet.GreenletExit,
            event=SimpleNamespace(Event=Event, AsyncResult=AsyncResult),
            queue=SimpleNamespace(Queue=Queue, Empty=QueueEmptyError),
            socket=SimpleNamespace(SOL_SOCKET=0, SO_SNDBUF=0),
        )

    def time(self) -> SimpleNamespace:
        """What the fleet's modules use of `time`."""
        return SimpleNamespace(
            monotonic=lambda: (BOOTED + self.now) / SECOND,
            time_ns=lambda: (WALL + self.now) * 1000,
            clock_gettime_ns=lambda _: (BOOTED + self.now) * 1000,
            CLOCK_BOOTTIME=0,
        )


class Event:
    """A fake for gevent's Event."""

    def __init__(self) -> None:
        self.kernel = Kernel.running
        self.on = False
        self.waiting: list[tuple[Task, int]] = []

    def set(self) -> None:
        self.on = True
        waiting, self.waiting = self.waiting, []
        for task, turn in waiting:
            self.kernel.at(self.kernel.now, task, turn)

    def clear(self) -> None:
        self.on = False

    def wait(self, timeout: float | None = None) -> bool:
        if not self.on:
            me = self.kernel.me()
            self.waiting = [each for each in self.waiting if each[0].turn == each[1]]
            self.waiting.append((me, me.turn))
            if timeout is not None:
                self.kernel.at(self.kernel.now + max(0, int(timeout * SECOND) + 1), me)
            self.kernel.block()
        return self.on


class AsyncResult(Event):
    """A fake for gevent's AsyncResult."""

    value: Any = None

    def set(self, value: Any = None) -> None:
        self.value = value
        super().set()

    def ready(self) -> bool:
        return self.on

    def came(self, timeout: float) -> bool:
        """Whether it is set within so many seconds."""
        return super().wait(timeout)

    def wait(self, timeout: float | None = None) -> Any:
        """The value; None where none comes within so many seconds."""
        super().wait(timeout)
        return self.value

    def get(self, timeout: float | None = None) -> Any:
        """The value; TimeoutError where none comes within so many seconds."""
        self.wait(timeout)
        if not self.on:
            raise TimeoutError
        return self.value


class Task(AsyncResult):
    """A fake for a gevent greenlet."""

    def __init__(self, owner: Owner | None, call: Callable[..., Any], arguments: tuple[Any, ...]) -> None:
        super().__init__()
        self.owner = owner
        self.call = call
        self.arguments = arguments
        self.turn = 0  # how often it was resumed: a wake-up for an earlier wait is void
        self.links: list[Callable[[Task], object]] = []
        self.greenlet = greenlet.greenlet(self._run, parent=self.kernel.hub)

    def _run(self) -> None:
        value = None
        try:
            value = self.call(*self.arguments)
        except greenlet.GreenletExit:
            return
        except Exception:
            name = self.owner.name if self.owner is not None else "the day"
            self.kernel.errors.append(f"{self.kernel.now / SECOND:.3f} s, {name}: {traceback.format_exc()}")
        self.set(value)
        for link in self.links:
            link(self)

    def rawlink(self, link: Callable[["Task"], object]) -> None:
        self.links.append(link)

    def kill(self) -> None:
        """Never resume the task; unlike by gevent's `kill`, nothing is raised in it."""
        self.turn += 1
        for link in self.links:
            link(self)


class QueueEmptyError(Exception):
    """Nothing came into the queue in time."""


class Queue:
    """A fake for a gevent queue with one reader."""

    def __init__(self) -> None:
        self.held: deque[Any] = deque()
        self.filled = Event()

    def put(self, item: Any) -> None:
        self.held.append(item)
        self.filled.set()

    def get(self) -> Any:
        return self.held.popleft()

    def empty(self) -> bool:
        return not self.held

    def peek(self, timeout: float | None = None) -> Any:
        if not self.held:
            self.filled.clear()
            if not self.filled.wait(timeout):
                raise QueueEmptyError
        return self.held[0]


# ---- the link ----


class Peers:
    """A fake for the calls to other members, with the link's bounds.

    `carry` takes a peer message and brings an answer.
    """

    def __init__(
        self,
        kernel: Kernel,
        carry: Carry,
        verifier: PeerVerifier,
        members: Mapping[str, tuple[str, int]],
        in_flight: int = MAX_CALLS_IN_FLIGHT,
    ) -> None:
        self.kernel = kernel
        self.carry = carry
        self.verifier = verifier
        self.in_flight = in_flight
        self.calls: Counter[str] = Counter()
        self.rooms: defaultdict[tuple[str, bool], list[object]] = defaultdict(list)  # by member, and whether urgent
        self.replace(members)

    def replace(self, members: Mapping[str, tuple[str, int]]) -> None:
        self.members = [name for name in members if name != self.verifier.me]
        self.verifier.replace_members(members)

    def names(self) -> Iterable[str]:
        return self.members

    def call(self, member: str, body: Body, within_s: float) -> Body:
        return self.call_for_peer_message(member, body, within_s).body

    def call_for_peer_message(self, member: str, body: Body, within_s: float) -> PeerMessage:
        """As the link's:

        `PeerUnreachableError` without an answer in time, `PeerRefusedError` where the member says why not.
        """
        if member not in self.members or self.calls[member] >= MAX_PENDING_CALLS:
            raise PeerUnreachableError(member)
        peer_message, end = encode(self.verifier.peer_message(member, body)), self.kernel.now + int(within_s * SECOND)
        room, place = self.rooms[member, isinstance(body, LeaseRequest | Heartbeat)], object()
        self.calls[member] += 1
        room.append(place)
        try:
            while room.index(place) >= self.in_flight:
                if self.kernel.now >= end:
                    raise PeerUnreachableError(member)
                self.kernel.sleep(LOOK)
            box = AsyncResult()
            self.carry(self.verifier.me, member, peer_message, box)
            encoded = box.get(max(0, end - self.kernel.now) / SECOND)
        except TimeoutError:
            raise PeerUnreachableError(member) from None
        finally:
            self.calls[member] -= 1
            room.remove(place)
        if encoded is None:
            raise PeerUnreachableError(member)
        answer = decode(encoded)
        check_answer(self.verifier, member, answer)
        return answer


class Unused:
    """A fake for a part of the fleet that the day does not run: every call of it does nothing."""

    def __init__(self, *arguments: Any) -> None:
        """As any part's."""

    def __getattr__(self, name: str) -> Callable[..., None]:
        return lambda *arguments: None


@contextmanager
def standing_in(kernel: Kernel, carry: Carry, watching: Callable[..., exchange.Exchange]) -> Iterator[None]:
    """Within it the fleet's modules have the kernel's time and greenlets, the given network, and what is `watching`
    in the place of `Exchange`."""
    greenlets, clocks = kernel.gevent(), kernel.time()

    def peers(
        verifier: PeerVerifier, members: Mapping[str, tuple[str, int]], in_flight: int = MAX_CALLS_IN_FLIGHT
    ) -> Peers:
        return Peers(kernel, carry, verifier, members, in_flight)

    # Their classes have the real events for a default.
    made: list[tuple[object, str, Any]] = [
        (session_submissions, "Submission", lambda stored: submission.Submission(stored, AsyncResult())),
        (dispatcher, "FrozenSession", lambda frozen=dispatch_state.FrozenSession: frozen(AsyncResult())),
        (
            subscription_server,
            "Connection",
            lambda reader, connection=subscription_server.Connection: connection(reader, Event()),
        ),
    ]
    changes: list[tuple[object, str, Any]] = [
        (Kernel, "running", kernel),
        *made,
        *(
            (module, "gevent", greenlets)
            for module in (
                member_state,
                heartbeats,
                membership_reload,
                lease_exchange,
                replication_pumps,
                pending_order_keys,
                partition_takeover,
                takeover_offers,
                request_handling,
                node,
                replicated_store,
                dispatch_state,
                dispatcher,
                notifications,
                session_state,
                session_submissions,
                session_routing,
                migration_state,
                migration_votes,
                migration_source,
                migration_target,
                session_migration,
                exchange,
                registry_exchange,
                subscription_server,
            )
        ),
        *((module, "time", clocks) for module in (member_state, node, replicated_store, session_routing, exchange)),
        (node, "PeerServer", Unused),
        (member_state, "Peers", peers),
        (session_state, "Peers", peers),
        (member_state, "Exchange", watching),
        (member_state, "Gossip", Unused),
    ]
    before = [getattr(place, name, None) for place, name, _ in changes]
    for place, name, new in changes:
        setattr(place, name, new)
    try:
        yield
    finally:
        for (place, name, _), old in zip(changes, before, strict=True):
            setattr(place, name, old)
