"""Senders of a virtual day: real fleet members with simulated partners, and the life cycle of their processes."""

import os
import traceback
from collections.abc import Callable
from contextlib import suppress
from types import SimpleNamespace
from typing import cast

from cedarwick.decisions.interface import EndpointState, EndpointUpdate, ListedEndpoint
from cedarwick.errors import CedarwickError
from cedarwick.fleet.messages import RequestRefused, decode, encode
from cedarwick.fleet.node import FleetNode
from cedarwick.fleet.replicated_store import ReplicatedStore
from cedarwick.lab.history import Life
from cedarwick.lab.scenario import sender_settings
from cedarwick.lab.units import SECOND
from cedarwick.lab.virtual import WALL_CLOCK_AT_START, AsyncResult, Kernel, VirtualProcess
from cedarwick.lab.virtual_partners import SimulatedAttemptRunner, SimulatedNotifier, SimulatedPartners
from cedarwick.lab.virtual_state import RECEIVERS_PER_DESTINATION, SCENARIO, STATE_POLL_S, DayState, default_disk_bytes
from cedarwick.net.assignment import Assignment, flatten_settings
from cedarwick.net.client_listener import ClientListener, SubmitResult
from cedarwick.net.clock import Clock
from cedarwick.net.counters import Counters
from cedarwick.net.dispatcher import Dispatcher
from cedarwick.net.endpoint_list import EndpointList
from cedarwick.net.sockets import PollClock
from cedarwick.net.submission import AdmissionResult, Submission
from cedarwick.ops import commands
from cedarwick.ops.management import ManagementCommands, refuse_move, refuse_subscription
from cedarwick.store.records import StoredMessage

LEAVE_DELAY_S = 1.2  # after SIGTERM a sender still accepts messages that were routed to it
DRAIN_LIMIT_US = 2 * SECOND  # time limit for its attempts in flight and pending notices


class VirtualClock(Clock):
    """The wall clock in the kernel's time. It also serves as a `PollClock` that has always just polled."""

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel

    def now(self) -> int:
        return WALL_CLOCK_AT_START + self.kernel.now

    @property
    def last_poll_at(self) -> int:
        """The time of the last poll, as in `PollClock`: always now."""
        return self.now()


class StrictCounters(Counters):
    """Counters that end the day with a finding on an exception that the program would only log."""

    def __init__(self, kernel: Kernel) -> None:
        super().__init__()
        self.kernel = kernel
        self.log_interval_s = 0.0

    def log_exception(self, kind: str) -> None:
        self.kernel.errors.append(f"{kind}: {traceback.format_exc()}")


class FakeClientListener:
    """A fake client listener with the parts that sessions and drains use."""

    def __init__(self, dispatcher: Dispatcher) -> None:
        self.dispatcher = dispatcher
        self.paused = False
        self.submit_message: Callable[[StoredMessage], SubmitResult] = self.submit_to_dispatcher

    def submit_to_dispatcher(self, stored: StoredMessage) -> SubmitResult:
        """Submit a message and wait for the result; the last item withdraws the message if it was accepted."""
        submission = Submission(stored, AsyncResult())
        self.dispatcher.submit(submission)
        response, wait_ms = submission.answer.get()
        accepted = response is AdmissionResult.ACCEPTED and stored.number
        return response, wait_ms, (lambda: self.dispatcher.withdraw(submission)) if accepted else None


class Sender:
    """One sender across restarts: its folder persists, and each `start` creates everything else anew."""

    def __init__(self, day: DayState, partners: SimulatedPartners, number: int) -> None:
        self.day = day
        self.partners = partners
        self.number = number
        self.name = f"n{number}"
        self.folder = os.path.join(day.scratch_dir, self.name)
        os.makedirs(self.folder)
        self.process: VirtualProcess = VirtualProcess(self.name)
        self.running = self.terminating = False
        self.node: FleetNode | None = None  # set while a process is ready
        self.disk_bytes = default_disk_bytes()
        self.ended_at = 0
        self.store: ReplicatedStore
        self.dispatcher: Dispatcher
        self.client_listener: FakeClientListener
        self.management: SimpleNamespace  # handlers of the management commands

    def start(self) -> None:
        """Start a new process on the sender's folder."""
        self.process, self.running, self.terminating = VirtualProcess(self.name), True, False
        self._record_life("started")
        self.day.kernel.spawn_in(self.process, self._start)

    def _start(self) -> None:
        day, clock, counters = self.day, VirtualClock(self.day.kernel), StrictCounters(self.day.kernel)
        day.kernel.sleep(day.rng.uniform(0.3, 0.9))
        assignment = Assignment(
            self.name,
            ("", 0),
            ("", 0),
            self.folder,
            day.seed * 16 + self.number,
            2000,
            self.disk_bytes,
            {},
            flatten_settings(sender_settings(SCENARIO, day.fleet_size)),
        )
        self.store = ReplicatedStore(
            self.folder,
            self.disk_bytes,
            now=clock.now,
            ack_after_replication=day.fleet_config.ack == "copy",
            ack_timeout_us=round(day.fleet_config.ack_within_ms * 1000),
        )
        self.dispatcher = dispatcher = Dispatcher(assignment, clock, counters, self.store, cast(PollClock, clock))
        self.store.load()
        receivers = range(SCENARIO.destinations() * RECEIVERS_PER_DESTINATION)
        dispatcher.apply_endpoint_update(
            EndpointUpdate.CACHED,
            [
                ListedEndpoint(1 + each, 0, 0, each // RECEIVERS_PER_DESTINATION, EndpointState.READY, 100.0)
                for each in receivers
            ],
        )
        dispatcher.notices = SimulatedNotifier(day, self.number, counters, dispatcher.acknowledged)
        dispatcher.attempts = SimulatedAttemptRunner(day, self.partners, dispatcher, self.number, self.process)
        dispatcher.release_connections = lambda _: None
        dispatcher.reopen_list_watch = lambda: None
        dispatcher.restore()
        node = FleetNode(self.name, day.fleet_config, self.folder, self.store, clock, counters)
        self.client_listener = FakeClientListener(dispatcher)
        self.management = SimpleNamespace(subscription_handler=refuse_subscription, move_handler=refuse_move)
        management = cast(ManagementCommands, self.management)
        endpoint_list = SimpleNamespace(
            receiver_numbers={f"s-{1 + each}": 1 + each for each in receivers}, suspended=set()
        )
        node.exchange.attach(management, cast(EndpointList, endpoint_list), dispatcher, node.halls[self.name])
        if node.session_router is not None:
            node.session_router.attach(management, cast(ClientListener, self.client_listener), dispatcher)
        day.kernel.spawn(dispatcher.run)
        day.kernel.spawn(dispatcher.notices.run)
        node.start(dispatcher)
        self.node = node
        self._record_life("ready")

    def kill(self) -> None:
        """End the process as SIGKILL does."""
        if self.running:
            self._record_life("killed")
            self.process_ended()

    def term(self) -> None:
        """Shut the process down as on SIGTERM: it hands over its sessions, drains and exits."""
        if self.running:
            self._record_life("termed")
            self.terminating = True
            self.day.kernel.spawn_in(self.process, self._leave)

    def _leave(self) -> None:
        kernel = self.day.kernel
        if self.node is not None:
            session_router = self.node.session_router
            if session_router is not None:
                session_router.leave()
            kernel.sleep(LEAVE_DELAY_S)
            self.dispatcher.stop_attempts(abandon_near_deadline=True)
            drain_until = kernel.now + DRAIN_LIMIT_US
            while kernel.now < drain_until and not (
                self.dispatcher.is_idle()
                and not self.dispatcher.notices.pending
                and (session_router is None or session_router.is_drained())
            ):
                kernel.sleep(STATE_POLL_S)
            self.node.leave()
        self.process_ended()

    def stop(self) -> None:
        """Suspend the process as SIGSTOP does."""
        self._record_life("stopped")
        self.process.stopped = True

    def resume(self) -> None:
        """Continue the process as SIGCONT does."""
        self.day.kernel.resume_process(self.process)
        self._record_life("continued")

    def process_ended(self) -> None:
        """Close the process and record its end."""
        self.close()
        self.ended_at = self.day.now()
        self._record_life("ended")

    def close(self) -> None:
        """Make the process dead: its tasks are never resumed, and its files stay as they are."""
        self.running, self.process.dead = False, True
        if self.node is not None:
            self.node.replicas.close()
            self.store.close()
        self.node = None

    def submit(self, stored: StoredMessage, result: AsyncResult, client_gone: Callable[[], bool]) -> None:
        """Submit a client's message and set `result` to the answer; `client_gone`: whether the client has timed out."""
        if self.node is None or self.terminating or not self.store.accepts_messages():
            result.set("busy")
            return
        admission, _, withdraw = self.client_listener.submit_message(stored)
        if withdraw is not None and client_gone():
            withdraw()
        elif admission is not AdmissionResult.UNSURE:
            result.set("ok" if admission is AdmissionResult.ACCEPTED else "busy")

    def call_management(self, name: str, argument: str) -> None:
        """Run a management command in a new task of the process, ignoring its answer."""

        def call() -> None:
            with suppress(CedarwickError):
                self.management.move_handler(commands.Call(name, argument))

        self.day.kernel.spawn_in(self.process, call)

    def answer_peer_message(self, peer_message: bytes, result: AsyncResult) -> None:
        """Answer a peer message as the real peer server does; the result is None if the node is not ready."""
        if self.node is None:
            result.set(None)
            return
        verifier, request = self.node.verifier, decode(peer_message)
        try:
            verifier.check(request)
            response = self.node.handle_peer_message(request)
        except CedarwickError as error:
            response = verifier.peer_message(request.sender, RequestRefused(error.code, str(error)[:512]))
        result.set(encode(response))

    def set_disk_limit(self, size_bytes: int) -> None:
        """Set the size limit of the state folder, also for later processes."""
        self.disk_bytes = size_bytes
        if self.node is not None:
            self.store.set_limit(size_bytes)

    def _record_life(self, event: str) -> None:
        self.day.history.add(Life(self.number, event, self.day.now()))
