"""Senders of a virtual day: the real parts of a fleet's member over drawn partners, process by process."""

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
from cedarwick.lab.virtual import WALL, AsyncResult, Kernel, Owner
from cedarwick.lab.virtual_partners import DrawnAttempts, DrawnNotices, DrawnPartners
from cedarwick.lab.virtual_state import LOOK, RECEIVERS, SCENARIO, DayState, usual_disk
from cedarwick.net.assignment import Assignment, flatten_settings
from cedarwick.net.client_listener import ClientListener
from cedarwick.net.client_listener import SubmitResult as Answer
from cedarwick.net.clock import Clock
from cedarwick.net.counters import Counters
from cedarwick.net.dispatcher import Dispatcher
from cedarwick.net.endpoint_list import EndpointList
from cedarwick.net.sockets import PollClock
from cedarwick.net.submission import AdmissionResult, Submission
from cedarwick.ops import commands
from cedarwick.ops.management import ManagementCommands, refuse_move, refuse_subscription
from cedarwick.store.records import StoredMessage

STAY = 1.2  # seconds for which a sender that got SIGTERM goes on to take what was routed to it
DRAIN = 2 * SECOND  # in which it ends what is out


class VirtualClock(Clock):
    """The kernel's wall time; the loop looks at its sockets all the time."""

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel

    def now(self) -> int:
        return WALL + self.kernel.now

    @property
    def last_poll_at(self) -> int:
        """As of `PollClock`."""
        return self.now()


class StrictCounters(Counters):
    """Counters for which an error that the program would only log ends the day as a finding."""

    def __init__(self, kernel: Kernel) -> None:
        super().__init__()
        self.kernel = kernel
        self.log_interval_s = 0.0

    def log_exception(self, kind: str) -> None:
        self.kernel.errors.append(f"{kind}: {traceback.format_exc()}")


class FakeClientListener:
    """A fake for the client listener, as far as sessions and drains concern it."""

    def __init__(self, dispatcher: Dispatcher) -> None:
        self.dispatcher = dispatcher
        self.paused = False
        self.submit_message: Callable[[StoredMessage], Answer] = self.submit_to_dispatcher

    def submit_to_dispatcher(self, stored: StoredMessage) -> Answer:
        submission = Submission(stored, AsyncResult())
        self.dispatcher.submit(submission)
        answered, wait_ms = submission.answer.get()
        taken = answered is AdmissionResult.ACCEPTED and stored.number
        return answered, wait_ms, (lambda: self.dispatcher.withdraw(submission)) if taken else None


class Sender:
    """One sender over all its processes: its folder stays, the rest is made anew by each `start`."""

    def __init__(self, day: DayState, partners: DrawnPartners, number: int) -> None:
        self.day = day
        self.partners = partners
        self.number = number
        self.name = f"n{number}"
        self.folder = os.path.join(day.scratch, self.name)
        os.makedirs(self.folder)
        self.owner: Owner = Owner(self.name)
        self.running = self.leaving = False
        self.node: FleetNode | None = None  # None until it is ready
        self.disk = usual_disk()
        self.ended_at = 0
        self.store: ReplicatedStore
        self.dispatcher: Dispatcher
        self.client_listener: FakeClientListener
        self.management: SimpleNamespace  # what the management address calls

    def start(self) -> None:
        self.owner, self.running, self.leaving = Owner(self.name), True, False
        self._life("started")
        self.day.kernel.spawn_as(self.owner, self._start)

    def _start(self) -> None:
        day, clock, counters = self.day, VirtualClock(self.day.kernel), StrictCounters(self.day.kernel)
        day.kernel.sleep(day.chance.uniform(0.3, 0.9))
        assignment = Assignment(
            self.name,
            ("", 0),
            ("", 0),
            self.folder,
            day.seed * 16 + self.number,
            2000,
            self.disk,
            {},
            flatten_settings(sender_settings(SCENARIO, day.fleet_size)),
        )
        self.store = ReplicatedStore(
            self.folder,
            self.disk,
            now=clock.now,
            ack_after_replication=day.table.ack == "copy",
            ack_timeout_us=round(day.table.ack_within_ms * 1000),
        )
        self.dispatcher = dispatcher = Dispatcher(assignment, clock, counters, self.store, cast(PollClock, clock))
        self.store.load()
        receivers = range(SCENARIO.destinations() * RECEIVERS)
        dispatcher.apply_endpoint_update(
            EndpointUpdate.CACHED,
            [ListedEndpoint(1 + each, 0, 0, each // RECEIVERS, EndpointState.READY, 100.0) for each in receivers],
        )
        dispatcher.notices = DrawnNotices(day, self.number, counters, dispatcher.acknowledged)
        dispatcher.attempts = DrawnAttempts(day, self.partners, dispatcher, self.number, self.owner)
        dispatcher.release_connections = lambda _: None
        dispatcher.reopen_list_watch = lambda: None
        dispatcher.restore()
        node = FleetNode(self.name, day.table, self.folder, self.store, clock, counters)
        self.client_listener = FakeClientListener(dispatcher)
        self.management = SimpleNamespace(subscription_handler=refuse_subscription, move_handler=refuse_move)
        management = cast(ManagementCommands, self.management)
        listed = SimpleNamespace(receiver_numbers={f"s-{1 + each}": 1 + each for each in receivers}, suspended=set())
        node.exchange.attach(management, cast(EndpointList, listed), dispatcher, node.halls[self.name])
        if node.session_router is not None:
            node.session_router.attach(management, cast(ClientListener, self.client_listener), dispatcher)
        day.kernel.spawn(dispatcher.run)
        day.kernel.spawn(dispatcher.notices.run)
        node.start(dispatcher)
        self.node = node
        self._life("ready")

    def kill(self) -> None:
        if self.running:
            self._life("killed")
            self.gone()

    def term(self) -> None:
        if self.running:
            self._life("termed")
            self.leaving = True
            self.day.kernel.spawn_as(self.owner, self._leave)

    def _leave(self) -> None:
        kernel = self.day.kernel
        if self.node is not None:
            session_router = self.node.session_router
            if session_router is not None:
                session_router.leave()
            kernel.sleep(STAY)
            self.dispatcher.stop_attempts(abandon_near_deadline=True)
            end = kernel.now + DRAIN
            while kernel.now < end and not (
                self.dispatcher.is_idle()
                and not self.dispatcher.notices.pending
                and (session_router is None or session_router.is_drained())
            ):
                kernel.sleep(LOOK)
            self.node.leave()
        self.gone()

    def stop(self) -> None:
        self._life("stopped")
        self.owner.stopped = True

    def go_on(self) -> None:
        self.day.kernel.go_on(self.owner)
        self._life("continued")

    def gone(self) -> None:
        """The process has ended."""
        self.close()
        self.ended_at = self.day.now()
        self._life("ended")

    def close(self) -> None:
        """Kill the process: none of its tasks goes on, and its files stay as they are."""
        self.running, self.owner.dead = False, True
        if self.node is not None:
            self.node.replicas.close()
            self.store.close()
        self.node = None

    def submit(self, stored: StoredMessage, box: AsyncResult, gone: Callable[[], bool]) -> None:
        """What a client is answered, into the box; `gone`: whether it has given up."""
        if self.node is None or self.leaving or not self.store.accepts_messages():
            box.set("busy")
            return
        what, _, withdraw = self.client_listener.submit_message(stored)
        if withdraw is not None and gone():
            withdraw()
        elif what is not AdmissionResult.UNSURE:
            box.set("ok" if what is AdmissionResult.ACCEPTED else "busy")

    def said(self, name: str, argument: str) -> None:
        """A management call in a task of its own; its answer is ignored."""

        def call() -> None:
            with suppress(CedarwickError):
                self.management.move_handler(commands.Call(name, argument))

        self.day.kernel.spawn_as(self.owner, call)

    def answer(self, peer_message: bytes, box: AsyncResult) -> None:
        """The answer to a peer message, as the link's server gives it; None where nobody listens."""
        if self.node is None:
            box.set(None)
            return
        verifier, read = self.node.verifier, decode(peer_message)
        try:
            verifier.check(read)
            answered = self.node.handle_peer_message(read)
        except CedarwickError as error:
            answered = verifier.peer_message(read.sender, RequestRefused(error.code, str(error)[:512]))
        box.set(encode(answered))

    def set_disk(self, size: int) -> None:
        self.disk = size
        if self.node is not None:
            self.store.set_limit(size)

    def _life(self, event: str) -> None:
        self.day.history.add(Life(self.number, event, self.day.now()))
