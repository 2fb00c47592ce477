"""Discrete-event simulation of a fleet in one process: a scheduler, and fakes for gevent, `time` and peer calls.

    kernel = Kernel()
    with patched_runtime(kernel, deliver, exchange_class):   the fleet's modules use the kernel; restored on exit
        kernel.spawn_in(process, function)
        kernel.run(until)
    kernel.close()

Virtual time stands still while code runs and then jumps to the next wake-up, so a simulated day takes only as long as
its code runs, and a seed always gives the same order of events. Times are whole microseconds since the start of the
kernel. A `VirtualProcess` owns the tasks of one simulated process: tasks of a dead process are never resumed, tasks of
a stopped one are resumed when it continues.
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

WALL_CLOCK_AT_START = 1_790_000_000 * SECOND  # microseconds since the epoch, at kernel time 0
BOOT_CLOCK_AT_START = 1000 * SECOND  # microseconds since boot, at kernel time 0
THREAD_CALL_S = 0.001  # duration of a call in the thread pool
IN_FLIGHT_POLL_S = 0.003  # poll interval while the limit of calls in flight holds a peer message back
NO_TIMEOUT_S = 1e9

# Arguments: caller, callee, encoded peer message, and the result, which is set to the answer, or to None on a reset.
DeliverPeerMessage = Callable[[str, str, bytes, "AsyncResult"], None]


class VirtualProcess:
    """One operating-system process of a sender, from start to exit; it owns tasks."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.dead = False
        self.stopped = False
        self.deferred_wakeups: list[
            tuple[Task, int]
        ] = []  # tasks, with their generations, that became due while it was stopped


class Kernel:
    """Resumes tasks in the order of virtual time; wake-ups at the same time run in the order they were scheduled."""

    running: ClassVar["Kernel"]  # set by `patched_runtime`; events created inside it belong to this kernel

    def __init__(self) -> None:
        self.now = 0
        self.current: Task | None = None
        self.errors: list[str] = []  # tracebacks of tasks that raised an exception
        self.closed = False
        self.hub = greenlet.getcurrent()
        self._wakeups: list[tuple[int, int, Task, int]] = []
        self._sequence = 0
        # Keeps all tasks alive: collecting a dead process's greenlet would raise `GreenletExit` in it and run its code.
        self._tasks: list[Task] = []

    def schedule(self, wake_at: int, task: "Task", generation: int | None = None) -> None:
        """Resume a task at `wake_at`, unless another wake-up resumes it first."""
        self._sequence += 1
        heapq.heappush(
            self._wakeups,
            (max(wake_at, self.now), self._sequence, task, task.generation if generation is None else generation),
        )

    def run(self, until: int) -> None:
        """Process every wake-up that is due up to and including `until`."""
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
        """Suspend the running task until a wake-up resumes it."""
        if self.closed:
            raise greenlet.GreenletExit
        self.hub.switch()

    def current_task(self) -> "Task":
        """Return the running task."""
        assert self.current is not None
        return self.current

    def spawn(self, function: Callable[..., Any], *arguments: Any) -> "Task":
        """Start a task in the process of the running task."""
        return self.spawn_in(self.current.process if self.current else None, function, *arguments)

    def spawn_in(self, process: VirtualProcess | None, function: Callable[..., Any], *arguments: Any) -> "Task":
        """Start a task in a process; with None it belongs to the simulation itself."""
        task = Task(process, function, arguments)
        self._tasks.append(task)
        self.schedule(self.now, task)
        return task

    def sleep(self, seconds: float = 0) -> None:
        """Suspend the running task; a positive duration lasts at least one microsecond."""
        self.schedule(self.now + (max(1, int(seconds * SECOND)) if seconds > 0 else 0), self.current_task())
        self.block()

    def resume_process(self, process: VirtualProcess) -> None:
        """Continue a stopped process: wake-ups that it missed are due now."""
        process.stopped = False
        for task, generation in process.deferred_wakeups:
            self.schedule(self.now, task, generation)
        process.deferred_wakeups = []

    def close(self) -> None:
        """Terminate all remaining tasks."""
        self.closed = True
        for task in self._tasks:
            if task.greenlet:
                task.greenlet.throw(greenlet.GreenletExit)
        self._tasks, self._wakeups = [], []

    def joinall(self, tasks: Iterable["Task"], timeout: float = NO_TIMEOUT_S) -> None:
        """Wait for tasks to finish, at most `timeout` seconds in all."""
        end = self.now + int(timeout * SECOND)
        for task in tasks:
            task.wait(max(0, end - self.now) / SECOND)

    def run_in_thread(self, function: Callable[..., Any], arguments: tuple[Any, ...]) -> Any:
        """Call a function as if in the thread pool; it runs in the task itself, after a fixed delay."""
        self.sleep(THREAD_CALL_S)
        return function(*arguments)

    def gevent(self) -> SimpleNamespace:
        """Return a fake `gevent` module with the attributes that the fleet's modules use."""
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
        """Return a fake `time` module with the attributes that the fleet's modules use."""
        return SimpleNamespace(
            monotonic=lambda: (BOOT_CLOCK_AT_START + self.now) / SECOND,
            time_ns=lambda: (WALL_CLOCK_AT_START + self.now) * 1000,
            clock_gettime_ns=lambda _: (BOOT_CLOCK_AT_START + self.now) * 1000,
            CLOCK_BOOTTIME=0,
        )


class Event:
    """A fake of `gevent.event.Event` in virtual time."""

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
    """A fake of `gevent.event.AsyncResult` in virtual time."""

    value: Any = None

    def set(self, value: Any = None) -> None:
        self.value = value
        super().set()

    def ready(self) -> bool:
        """Whether the value is set."""
        return self.flag

    def wait_until_set(self, timeout: float) -> bool:
        """Wait for the value, at most `timeout` seconds, and return whether it is set."""
        return super().wait(timeout)

    def wait(self, timeout: float | None = None) -> Any:
        """Wait for the value and return it; None on a time-out."""
        super().wait(timeout)
        return self.value

    def get(self, timeout: float | None = None) -> Any:
        """Wait for the value and return it; raises `TimeoutError` on a time-out."""
        self.wait(timeout)
        if not self.flag:
            raise TimeoutError
        return self.value


class Task(AsyncResult):
    """A fake of `gevent.Greenlet` in virtual time."""

    def __init__(
        self, process: VirtualProcess | None, function: Callable[..., Any], arguments: tuple[Any, ...]
    ) -> None:
        super().__init__()
        self.process = process
        self.function = function
        self.arguments = arguments
        self.generation = 0  # incremented on each resume, which cancels wake-ups of earlier waits
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
        """Call `link` with this task when it ends."""
        self.links.append(link)

    def kill(self) -> None:
        """Cancel all wake-ups of the task. Unlike with gevent's `kill`, no exception is raised in it."""
        self.generation += 1
        for link in self.links:
            link(self)


class QueueEmptyError(Exception):
    """No item arrived in the queue before the time-out."""


class Queue:
    """A fake of `gevent.queue.Queue` with a single reader."""

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


# ---- calls to peers ----


class VirtualPeers:
    """A fake of `fleet.peer_client.Peers` with the same limits on calls.

    Each encoded peer message goes to `deliver`, which sets the result to the encoded answer.
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
        self.queues: defaultdict[tuple[str, bool], list[object]] = defaultdict(list)  # by member and urgency
        self.replace(members)

    def replace(self, members: Mapping[str, tuple[str, int]]) -> None:
        self.members = [name for name in members if name != self.verifier.me]
        self.verifier.replace_members(members)

    def names(self) -> Iterable[str]:
        return self.members

    def call(self, member: str, body: Body, within_s: float) -> Body:
        return self.call_for_peer_message(member, body, within_s).body

    def call_for_peer_message(self, member: str, body: Body, within_s: float) -> PeerMessage:
        """Send a request and return the answer, as the real class does.

        Raises `PeerUnreachableError` if no answer arrives in time, and `PeerRefusedError` if the member refuses.
        """
        if member not in self.members or self.open_calls[member] >= MAX_PENDING_CALLS:
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
    """A fake of a component that the simulation leaves out: each of its methods does nothing."""

    def __init__(self, *arguments: Any) -> None:
        """Accept the arguments of any component."""

    def __getattr__(self, name: str) -> Callable[..., None]:
        return lambda *arguments: None


@contextmanager
def patched_runtime(
    kernel: Kernel, deliver: DeliverPeerMessage, exchange_class: Callable[..., exchange.Exchange]
) -> Iterator[None]:
    """Patch the fleet's modules to use the kernel's time and greenlets, the network `deliver` and `exchange_class`.

    The original attributes are restored on exit.
    """
    fake_gevent, fake_time = kernel.gevent(), kernel.time()

    def make_peers(
        verifier: PeerVerifier, members: Mapping[str, tuple[str, int]], in_flight: int = MAX_CALLS_IN_FLIGHT
    ) -> VirtualPeers:
        return VirtualPeers(kernel, deliver, verifier, members, in_flight)

    # The constructors of these classes create real gevent events by default.
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
        (member_state, "Peers", make_peers),
        (session_state, "Peers", make_peers),
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
