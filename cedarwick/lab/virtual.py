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
from cedarwick.fleet.peer_client import MAX_CALLS, MAX_CALLS_IN_FLIGHT, check_answer
from cedarwick.fleet.peer_verifier import PeerVerifier
from cedarwick.fleet.transport import PeerUnreachableError
from cedarwick.lab.units import SECOND
from cedarwick.net import dispatch_state, dispatcher, notifications, submission

WALL_CLOCK_AT_START = 1_790_000_000 * SECOND  # wall time at the kernel's begin
BOOT_CLOCK_AT_START = 1000 * SECOND  # the boot clock then
THREAD_CALL_S = 0.001  # seconds that a call in a thread takes
IN_FLIGHT_POLL_S = 0.003  # seconds between two looks whether a peer message may go
NO_TIMEOUT_S = 1e9  # seconds

DeliverPeerMessage = Callable[
    [str, str, bytes, "AsyncResult"], None
]  # from, to, peer message; set to the answer, or None: reset


class VirtualProcess:
    """One process of a sender (one of its lives), which owns tasks."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.dead = False
        self.stopped = False
        self.deferred_wakeups: list[tuple[Task, int]] = []  # what was due while it was stopped


class Kernel:
    """Resumes tasks in the order of virtual time, and within one moment in the order in which they became due."""

    running: ClassVar["Kernel"]  # the one within `standing_in`: what is made there is its own

    def __init__(self) -> None:
        self.now = 0
        self.current: Task | None = None
        self.errors: list[str] = []  # traces of tasks that ended by an error
        self.closed = False
        self.hub = greenlet.getcurrent()
        self._wakeups: list[tuple[int, int, Task, int]] = []
        self._sequence = 0
        self._tasks: list[Task] = []  # Danger: a dead process's task must not be collected, that would run its code

    def schedule(self, wake_at: int, task: "Task", generation: int | None = None) -> None:
        """Resume a task then, unless something else has resumed it since."""
        self._sequence += 1
        heapq.heappush(
            self._wakeups,
            (max(wake_at, self.now), self._sequence, task, task.generation if generation is None else generation),
        )

    def run(self, until: int) -> None:
        """All that is due up to a time."""
        while self._wakeups and self._wakeups[0][0] <= until:
            wake_at, _, task, generation = heapq.heappop(self._wakeups)
            self.now = wake_at
            self._resume(task, generation)
        self.now = max(self.now, until)

    def _resume(self, task: "Task", generation: int) -> None:
        process = task.process
        if task.flag or task.generation != generation or process is not None and process.dead:
            return
        if process is not None and process.stopped:
            process.deferred_wakeups.append((task, generation))
            return
        task.generation += 1
        self.current = task
        task.greenlet.switch()
        self.current = None

    def block(self) -> None:
        """Switch away until somebody resumes this task."""
        if self.closed:
            raise greenlet.GreenletExit
        self.hub.switch()

    def current_task(self) -> "Task":
        """The running task."""
        assert self.current is not None
        return self.current

    def spawn(self, function: Callable[..., Any], *arguments: Any) -> "Task":
        """Start a task of the same owner."""
        return self.spawn_in(self.current.process if self.current else None, function, *arguments)

    def spawn_in(self, process: VirtualProcess | None, function: Callable[..., Any], *arguments: Any) -> "Task":
        task = Task(process, function, arguments)
        self._tasks.append(task)
        self.schedule(self.now, task)
        return task

    def sleep(self, seconds: float = 0) -> None:
        self.schedule(self.now + (max(1, int(seconds * SECOND)) if seconds > 0 else 0), self.current_task())
        self.block()

    def resume_process(self, process: VirtualProcess) -> None:
        """Continue a stopped process: the tasks that it has missed are due now."""
        process.stopped = False
        for task, generation in process.deferred_wakeups:
            self.schedule(self.now, task, generation)
        process.deferred_wakeups = []

    def close(self) -> None:
        """End every task that is left."""
        self.closed = True
        for task in self._tasks:
            if task.greenlet:
                task.greenlet.throw(greenlet.GreenletExit)
        self._tasks, self._wakeups = [], []

    def joinall(self, tasks: Iterable["Task"], timeout: float = NO_TIMEOUT_S) -> None:
        end = self.now + int(timeout * SECOND)
        for task in tasks:
            task.wait(max(0, end - self.now) / SECOND)

    def run_in_thread(self, function: Callable[..., Any], arguments: tuple[Any, ...]) -> Any:
        self.sleep(THREAD_CALL_S)
        return function(*arguments)

    def gevent(self) -> SimpleNamespace:
        """What the fleet's modules use of gevent."""
        hub = SimpleNamespace(threadpool=SimpleNamespace(apply=self.run_in_thread))
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
            monotonic=lambda: (BOOT_CLOCK_AT_START + self.now) / SECOND,
            time_ns=lambda: (WALL_CLOCK_AT_START + self.now) * 1000,
            clock_gettime_ns=lambda _: (BOOT_CLOCK_AT_START + self.now) * 1000,
            CLOCK_BOOTTIME=0,
        )


class Event:
    """A fake for gevent's Event."""

    def __init__(self) -> None:
        self.kernel = Kernel.running
        self.flag = False
        self.waiters: list[tuple[Task, int]] = []

    def set(self) -> None:
        self.flag = True
        waiters, self.waiters = self.waiters, []
        for task, generation in waiters:
            self.kernel.schedule(self.kernel.now, task, generation)

    def clear(self) -> None:
        self.flag = False

    def wait(self, timeout: float | None = None) -> bool:
        if not self.flag:
            task = self.kernel.current_task()
            self.waiters = [each for each in self.waiters if each[0].generation == each[1]]
            self.waiters.append((task, task.generation))
            if timeout is not None:
                self.kernel.schedule(self.kernel.now + max(0, int(timeout * SECOND) + 1), task)
            self.kernel.block()
        return self.flag


class AsyncResult(Event):
    """A fake for gevent's AsyncResult."""

    value: Any = None

    def set(self, value: Any = None) -> None:
        self.value = value
        super().set()

    def ready(self) -> bool:
        return self.flag

    def wait_until_set(self, timeout: float) -> bool:
        """Whether it is set within so many seconds."""
        return super().wait(timeout)

    def wait(self, timeout: float | None = None) -> Any:
        """The value; None where none comes within so many seconds."""
        super().wait(timeout)
        return self.value

    def get(self, timeout: float | None = None) -> Any:
        """The value; TimeoutError where none comes within so many seconds."""
        self.wait(timeout)
        if not self.flag:
            raise TimeoutError
        return self.value


class Task(AsyncResult):
    """A fake for a gevent greenlet."""

    def __init__(
        self, process: VirtualProcess | None, function: Callable[..., Any], arguments: tuple[Any, ...]
    ) -> None:
        super().__init__()
        self.process = process
        self.function = function
        self.arguments = arguments
        self.generation = 0  # how often it was resumed: a wake-up for an earlier wait is void
        self.links: list[Callable[[Task], object]] = []
        self.greenlet = greenlet.greenlet(self._run, parent=self.kernel.hub)

    def _run(self) -> None:
        value = None
        try:
            value = self.function(*self.arguments)
        except greenlet.GreenletExit:
            return
        except Exception:
            name = self.process.name if self.process is not None else "the day"
            self.kernel.errors.append(f"{self.kernel.now / SECOND:.3f} s, {name}: {traceback.format_exc()}")
        self.set(value)
        for link in self.links:
            link(self)

    def rawlink(self, link: Callable[["Task"], object]) -> None:
        self.links.append(link)

    def kill(self) -> None:
        """Never resume the task; unlike by gevent's `kill`, nothing is raised in it."""
        self.generation += 1
        for link in self.links:
            link(self)


class QueueEmptyError(Exception):
    """Nothing came into the queue in time."""


class Queue:
    """A fake for a gevent queue with one reader."""

    def __init__(self) -> None:
        self.items: deque[Any] = deque()
        self.not_empty = Event()

    def put(self, item: Any) -> None:
        self.items.append(item)
        self.not_empty.set()

    def get(self) -> Any:
        return self.items.popleft()

    def empty(self) -> bool:
        return not self.items

    def peek(self, timeout: float | None = None) -> Any:
        if not self.items:
            self.not_empty.clear()
            if not self.not_empty.wait(timeout):
                raise QueueEmptyError
        return self.items[0]


# ---- the link ----


class VirtualPeers:
    """A fake for the calls to other members, with the link's bounds.

    `carry` takes a peer message and brings an answer.
    """

    def __init__(
        self,
        kernel: Kernel,
        deliver: DeliverPeerMessage,
        verifier: PeerVerifier,
        members: Mapping[str, tuple[str, int]],
        in_flight: int = MAX_CALLS_IN_FLIGHT,
    ) -> None:
        self.kernel = kernel
        self.deliver = deliver
        self.verifier = verifier
        self.in_flight = in_flight
        self.open_calls: Counter[str] = Counter()
        self.queues: defaultdict[tuple[str, bool], list[object]] = defaultdict(list)  # by member, and whether urgent
        self.replace(members)

    def replace(self, members: Mapping[str, tuple[str, int]]) -> None:
        self.members = [name for name in members if name != self.verifier.me]
        self.verifier.replace_members(members)

    def names(self) -> Iterable[str]:
        return self.members

    def call(self, member: str, body: Body, within_s: float) -> Body:
        return self.peer_message(member, body, within_s).body

    def peer_message(self, member: str, body: Body, within_s: float) -> PeerMessage:
        """As the link's:

        `PeerUnreachableError` without an answer in time, `PeerRefusedError` where the member says why not.
        """
        if member not in self.members or self.open_calls[member] >= MAX_CALLS:
            raise PeerUnreachableError(member)
        peer_message, end = encode(self.verifier.peer_message(member, body)), self.kernel.now + int(within_s * SECOND)
        queue, ticket = self.queues[member, isinstance(body, LeaseRequest | Heartbeat)], object()
        self.open_calls[member] += 1
        queue.append(ticket)
        try:
            while queue.index(ticket) >= self.in_flight:
                if self.kernel.now >= end:
                    raise PeerUnreachableError(member)
                self.kernel.sleep(IN_FLIGHT_POLL_S)
            result = AsyncResult()
            self.deliver(self.verifier.me, member, peer_message, result)
            encoded = result.get(max(0, end - self.kernel.now) / SECOND)
        except TimeoutError:
            raise PeerUnreachableError(member) from None
        finally:
            self.open_calls[member] -= 1
            queue.remove(ticket)
        if encoded is None:
            raise PeerUnreachableError(member)
        answer = decode(encoded)
        check_answer(self.verifier, member, answer)
        return answer


class NoOpPart:
    """A fake for a part of the fleet that the day does not run: every call of it does nothing."""

    def __init__(self, *arguments: Any) -> None:
        """As any part's."""

    def __getattr__(self, name: str) -> Callable[..., None]:
        return lambda *arguments: None


@contextmanager
def patched_runtime(
    kernel: Kernel, deliver: DeliverPeerMessage, exchange_class: Callable[..., exchange.Exchange]
) -> Iterator[None]:
    """Within it the fleet's modules have the kernel's time and greenlets, the given network, and what is `watching`
    in the place of `Exchange`."""
    fake_gevent, fake_time = kernel.gevent(), kernel.time()

    def peers(
        verifier: PeerVerifier, members: Mapping[str, tuple[str, int]], in_flight: int = MAX_CALLS_IN_FLIGHT
    ) -> VirtualPeers:
        return VirtualPeers(kernel, deliver, verifier, members, in_flight)

    # Their classes have the real events for a default.
    factories: list[tuple[object, str, Any]] = [
        (session_submissions, "Submission", lambda stored: submission.Submission(stored, AsyncResult())),
        (dispatcher, "FrozenSession", lambda frozen=dispatch_state.FrozenSession: frozen(AsyncResult())),
        (
            subscription_server,
            "Connection",
            lambda reader, connection=subscription_server.Connection: connection(reader, Event()),
        ),
    ]
    patches: list[tuple[object, str, Any]] = [
        (Kernel, "running", kernel),
        *factories,
        *(
            (module, "gevent", fake_gevent)
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
        *((module, "time", fake_time) for module in (member_state, node, replicated_store, session_routing, exchange)),
        (node, "PeerServer", NoOpPart),
        (member_state, "Peers", peers),
        (session_state, "Peers", peers),
        (member_state, "Exchange", exchange_class),
        (member_state, "Gossip", NoOpPart),
    ]
    originals = [getattr(target, name, None) for target, name, _ in patches]
    for target, name, replacement in patches:
        setattr(target, name, replacement)
    try:
        yield
    finally:
        for (target, name, _), original in zip(patches, originals, strict=True):
            setattr(target, name, original)
