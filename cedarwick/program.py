"""One sender process: creates and starts its parts, reloads on SIGHUP, and drains or hands over on SIGTERM.

`python -m cedarwick` and the command line call `main`. Constants that end in `_S` are in seconds.
"""

import os
import signal
import sys
import time
from typing import TYPE_CHECKING

import gevent
import gevent.event
from loguru import logger

from cedarwick.decisions.connection_reuse import ConnectionReuse
from cedarwick.decisions.interface import EndpointState, EndpointUpdate, ListedEndpoint, duration_setting
from cedarwick.decisions.sender_state import MAX_LIST_POLL_DELAY
from cedarwick.errors import CedarwickError
from cedarwick.net.assignment import Assignment, AssignmentError, read_assignment
from cedarwick.net.attempts import AttemptRunner
from cedarwick.net.client_listener import ClientListener
from cedarwick.net.clock import Clock
from cedarwick.net.connections import ConnectionPool
from cedarwick.net.counters import Counters
from cedarwick.net.descriptors import DescriptorBudget
from cedarwick.net.dispatcher import Dispatcher
from cedarwick.net.endpoint_list import EndpointList
from cedarwick.net.notifications import Notifier
from cedarwick.net.request_memory import RequestMemory, request_memory_limit
from cedarwick.net.sockets import PollClock
from cedarwick.ops import saved_state
from cedarwick.ops.handover import inherited_listener
from cedarwick.ops.management import ManagementCommands
from cedarwick.ops.management_server import ManagementServer
from cedarwick.ops.process_handover import (
    HANDOVER_CLIENT_CLOSE_S,
    HANDOVER_POLL_INTERVAL_S,
    end_decisions,
    hand_over,
    restore_waits,
    save_waits,
    try_load_store,
)
from cedarwick.startup import create_fleet_node, create_store, startup_errors
from cedarwick.store.health_file import HealthFile

if TYPE_CHECKING:
    from cedarwick.config.operator import Operator
    from cedarwick.fleet.node import FleetNode

OPERATOR_FILE_VARIABLE = "CEDARWICK_OPERATOR"  # path of the operator file; if unset, `cedarwick.config` is not imported

# Times after SIGTERM, if no replacement process shares the clients' socket:
DECIDING_AFTER_SIGTERM_S = 2.2  # no new attempts from then on; the remaining second is for attempts in flight
DRAIN_DEADLINE_S = 3.2  # the process exits; SIGKILL may follow half a second later
DRAIN_POLL_INTERVAL_S = 0.02  # between two checks whether anything is still in flight
LAST_ANSWERS_S = 0.15  # after the drain, to write the answers to requests already read

# Longest wait of the decisions for the first list update; after its PONG a client waits 0.4 s for an answer.
FIRST_LIST_UPDATE_S = 0.2
# Longest further wait, in which messages are stored and answered but not attempted; then they are attempted without
# the update.
FIRST_ATTEMPT_S = 0.8


def main() -> int:
    """Run a sender as the environment configures it.

    Returns the exit status: 0, or 2 if it cannot start; the reason is then written to standard error.
    """
    log_to_stderr("INFO", as_json=False)
    reload_requested = gevent.event.Event()
    # Before anything else: the default action of SIGHUP would end a starting process.
    gevent.signal_handler(signal.SIGHUP, reload_requested.set)
    try:
        assignment, operator = read_assignment(os.environ), load_operator_file()
        return serve(assignment, operator, reload_requested)
    except CedarwickError as error:
        print(f"cedarwick: {error.line}", file=sys.stderr)
        return 2


def log_to_stderr(level: str, as_json: bool) -> None:
    """Write log lines of this level and above to standard error, as text or as one JSON object a line."""
    logger.remove()
    logger.add(sys.stderr, format="{level} {message}", level=level, serialize=as_json, backtrace=False, diagnose=False)


def load_operator_file() -> "Operator | None":
    """Load the operator file that the environment names; None if it names none.

    Raises a `CedarwickError` if the file cannot be used.
    """
    path = os.environ.get(OPERATOR_FILE_VARIABLE, "")
    if not path:
        return None
    from cedarwick.config.operator import load

    return load(path)


def apply_operator_settings(operator: "Operator | None", counters: Counters) -> None:
    """Apply the log and counter settings of the operator file, which may change at run time."""
    if operator is not None:
        log_to_stderr(operator.log.level, operator.log.format == "json")
        counters.log_interval_s, counters.report_interval_s = operator.log.quiet_s, operator.counters.every_s
        counters.trace.enabled = operator.log.messages


def serve(assignment: Assignment, operator: "Operator | None", reload_requested: gevent.event.Event) -> int:
    """Run one sender until SIGTERM or SIGINT and return its exit status.

    SIGHUP sets `reload_requested`: the configuration is then read again. Raises a `CedarwickError` if the sender
    cannot start.
    """
    process = SenderProcess(assignment, operator, reload_requested)
    process.start()
    process.stop_requested.wait()
    process.shut_down()
    return 0


class SenderProcess:
    """Creates and connects the parts of one sender, and controls their start-up, reload, and drain or hand-over.

    The constructor creates the store object and the listening sockets, but starts nothing.
    """

    connections: ConnectionPool  # this and the next three are set by `start`, once it holds the folder
    notifier: Notifier
    health_file: HealthFile
    node: "FleetNode | None"
    management_greenlet: gevent.Greenlet
    stopping_since: float  # monotonic time of SIGTERM

    def __init__(
        self, assignment: Assignment, operator: "Operator | None", reload_requested: gevent.event.Event
    ) -> None:
        self.assignment = assignment
        self.operator = operator
        self.reload_requested = reload_requested
        self.stop_requested = gevent.event.Event()
        self.greenlets: list[gevent.Greenlet] = []  # run until the process ends
        self.clock, self.counters = Clock(), Counters()
        apply_operator_settings(operator, self.counters)
        self.inherited_socket = inherited_listener(os.environ)
        self.descriptors = DescriptorBudget(assignment.descriptors)
        self.store = create_store(assignment, operator, self.clock)
        with startup_errors():
            self.poll_clock = PollClock(self.clock)
            self.dispatcher = self._new_dispatcher()
            self.endpoint_list = EndpointList(
                assignment, self.counters, self._apply_endpoint_update, self.dispatcher.list_poll_failed
            )
            self.client_listener = ClientListener(
                assignment.listen,
                self.clock,
                self.counters,
                self.descriptors,
                self.dispatcher,
                self._ready,
                listener=self.inherited_socket,
                request_memory=RequestMemory(request_memory_limit(assignment.memory_bytes, assignment.descriptors)),
            )
            self.management_commands = ManagementCommands(
                self._ready, self.client_listener, self.endpoint_list, assignment.folder, self._metrics_text
            )
            self.management_commands.accepts_clients = True
            self.management_commands.report_unreadable = self._report_unreadable_state
            self.management = (
                ManagementServer(assignment.management, self.counters, self.management_commands.answer)
                if assignment.management
                else None
            )

    def start(self) -> None:
        """Lock the folder, resume its messages and start every part; raises a `CedarwickError` if that fails."""
        with startup_errors():
            holds_folder = try_load_store(self.store, replacing=self.inherited_socket is not None)
        self._learn_known_list()
        self._apply_operator_state(holds_folder)
        if self.management is not None:
            self.management_greenlet = gevent.spawn(self.management.serve)
            self.management_greenlet.link_exception(exit_on_failure)
        if not holds_folder:
            self._wait_for_folder()
        self._connect_dispatcher()
        self.health_file = HealthFile(
            self.store.folder, self.counters.warning, self.store.durable, space=self.store.space
        )
        self.dispatcher.restore_health(self.health_file)
        self.dispatcher.restore()
        restore_waits(self.assignment.folder, self.endpoint_list, self.dispatcher)
        self.node = create_fleet_node(self.assignment, self.operator, self.store, self.clock, self.counters)
        if not self.clock.wait_until_advancing():
            logger.error("the clock does not move on while the process waits")
        gevent.signal_handler(signal.SIGTERM, self.stop_requested.set)
        gevent.signal_handler(signal.SIGINT, self.stop_requested.set)
        gevent.signal_handler(signal.SIGUSR1, self.counters.log_counts)
        self._spawn_parts(watch_list=holds_folder)  # after a wait for the folder the watch is already running
        self._start_node()
        for greenlet in self.greenlets:
            greenlet.link_exception(exit_on_failure)
        logger.info("{} listens on {}:{}", self.assignment.name, *self.assignment.listen)

    def shut_down(self) -> None:
        """End every part within the time that SIGTERM allows; hand over if a replacement shares the clients' socket."""
        self.stopping_since = time.monotonic()
        self.management_commands.accepts_clients = False
        logger.info("ending: {} messages stored", len(self.store.messages))
        if self.inherited_socket is not None:
            self._hand_over()
        else:
            self._drain()
        self.counters.log_counts()

    def _new_dispatcher(self) -> Dispatcher:
        dispatcher = Dispatcher(self.assignment, self.clock, self.counters, self.store, self.poll_clock)
        # Caps the backoff after a failed list call at MAX_LIST_POLL_DELAY, whatever the settings allow.
        dispatcher.sender.max_poll_backoff = min(dispatcher.sender.max_poll_backoff, MAX_LIST_POLL_DELAY)
        return dispatcher

    def _ready(self) -> bool:
        return self.endpoint_list.has_receivers and self.store.accepts_messages()

    def _metrics_text(self) -> str:
        return self.counters.metrics.text(*gauge_values(self.dispatcher, self.endpoint_list))

    def _apply_endpoint_update(self, update: EndpointUpdate, listings: list[ListedEndpoint]) -> None:
        saved_state.reserve_space(self.store.space, len(self.endpoint_list.receiver_numbers))
        self.dispatcher.apply_endpoint_update(update, listings)

    def _learn_known_list(self) -> None:
        """Start from the list of receivers saved in the assignment; raises `AssignmentError` if it is invalid."""
        if not self.assignment.known:
            return
        # Before the watch starts: the saved list replaces the full list and would undo a newer update.
        try:
            self.endpoint_list.apply_update(self.assignment.known, saved=True)
        except ValueError as error:
            raise AssignmentError(f"invalid known list: {error}") from None

    def _apply_operator_state(self, holds_folder: bool) -> None:
        """Apply what operators have set, and follow the changes that another process on the folder makes."""
        commands = self.management_commands
        commands.holds_folder = False
        if holds_folder:
            commands.take_folder(self.store.space)
        commands.apply_saved_state()
        if holds_folder:
            commands.forget_pause()
        self.greenlets.append(gevent.spawn(commands.follow_changes, shared=self.inherited_socket is not None))

    def _report_unreadable_state(self, error: CedarwickError) -> None:
        self.counters.warning("the receivers taken out by hand cannot be read", error)

    def _close_management(self) -> None:
        """Answer the callers of the management address that are still connected, as far as SIGTERM leaves time."""
        if self.management is not None:
            self.management_greenlet.kill()
            self.management.close(max(0.0, self.stopping_since + DRAIN_DEADLINE_S - time.monotonic()))

    def _wait_for_folder(self) -> None:
        """Wait until the replaced process has released the folder; the list is watched meanwhile."""
        # The management address already answers: only once this process reports that it is ready is the replaced one
        # stopped and its folder released.
        logger.info("{} waits for the folder of the process it replaces", self.assignment.name)
        self.greenlets.append(gevent.spawn(self.endpoint_list.watch))
        with startup_errors():
            while not try_load_store(self.store, replacing=True):
                gevent.sleep(HANDOVER_POLL_INTERVAL_S)
        logger.info("{} holds the folder", self.assignment.name)
        self.management_commands.take_folder(self.store.space)
        self.management_commands.apply_saved_state()
        # A list call may have failed during the wait, and no decision round has run yet that would repeat it.
        self.endpoint_list.reopen_watch()

    def _connect_dispatcher(self) -> None:
        """Create the connection pool, the notifier and the attempt runner, and connect the dispatcher to them."""
        dispatcher = self.dispatcher
        self.connections = ConnectionPool(
            self.clock,
            self.counters,
            self.descriptors,
            self.endpoint_list.address_of,
            dispatcher.sender.connection_lifetime,
            duration_setting(self.assignment.settings, "policy-limits.connect-timeout-ms", 1000.0),
            ConnectionReuse(),
        )
        self.notifier = dispatcher.notices = Notifier(self.assignment.platform, self.counters, dispatcher.acknowledged)
        dispatcher.attempts = AttemptRunner(
            self.clock,
            self.counters,
            self.connections,
            dispatcher.sender.report_columns,
            self.poll_clock,
            dispatcher.request_clearance,
            dispatcher.attempt_ended,
            dispatcher.apply_retry_after,
            dispatcher.may_send,
            dispatcher.completed_late,
        )
        dispatcher.release_connections, dispatcher.reopen_list_watch = (
            self.connections.close_idle,
            self.endpoint_list.reopen_watch,
        )
        dispatcher.uid_of = self.endpoint_list.uid_of

    def _spawn_parts(self, watch_list: bool) -> None:
        """Start the parts that run until the process ends; their order must not change."""
        self.decision_greenlet = gevent.spawn(self._decide)
        self.accept_greenlet = gevent.spawn(self.client_listener.accept)
        self.greenlets += [self.decision_greenlet, self.accept_greenlet]
        loops = [
            self.connections.sweep,
            self.notifier.run,
            self.counters.watch_lag,
            self.counters.report,
            self._follow_configuration,
        ]
        if watch_list:
            loops.append(self.endpoint_list.watch)
        self.greenlets += [gevent.spawn(loop) for loop in loops]

    def _start_node(self) -> None:
        """Connect the fleet node, if there is one, to the parts that it uses, and start it."""
        node = self.node
        if node is None:
            return
        node.gossip.attach(self.management_commands, self.endpoint_list, self.dispatcher)
        node.exchange.attach(
            self.management_commands, self.endpoint_list, self.dispatcher, node.halls[self.assignment.name]
        )
        if node.session_router is not None:
            node.session_router.attach(self.management_commands, self.client_listener, self.dispatcher)
        self.greenlets += node.start(self.dispatcher)

    def _decide(self) -> None:
        """Run the dispatcher once the agent has answered, or after FIRST_LIST_UPDATE_S; never returns."""
        # The saved list may be out of date: without this wait a stored message could be attempted at a receiver that is
        # draining by now.
        if not self.endpoint_list.first_update.wait(FIRST_LIST_UPDATE_S):
            self.dispatcher.attempts_stopped = self.dispatcher.storing_new = True
            gevent.spawn(self._attempt_after_silence)
        self.dispatcher.run()

    def _attempt_after_silence(self) -> None:
        self.endpoint_list.first_update.wait(FIRST_ATTEMPT_S)
        self.dispatcher.queue.put((self._allow_attempts, ()))

    def _allow_attempts(self) -> None:
        # While the process is stopping, attempts must stay off.
        if not self.stop_requested.is_set():
            self.dispatcher.attempts_stopped = self.dispatcher.storing_new = False

    def _follow_configuration(self) -> None:
        """Read the configuration again after each SIGHUP and apply what may change at run time; never returns."""
        current = self.assignment
        while True:
            self.reload_requested.wait()
            self.reload_requested.clear()
            try:
                assignment, operator = read_assignment(os.environ), load_operator_file()
            except CedarwickError as error:
                logger.error("the configuration stays as it was: {}", error.line)
                continue
            self._reload(current, assignment, operator)
            current = assignment

    def _reload(self, current: Assignment, assignment: Assignment, operator: "Operator | None") -> None:
        """Apply the settings that may change at run time; the others are logged and take effect at the next start."""
        if assignment.platform != current.platform:
            self.endpoint_list.change_address(assignment.platform)
            self.notifier.change_address(assignment.platform)
        apply_operator_settings(operator, self.counters)
        if self.node is not None and operator is not None and operator.fleet is not None:
            self.node.reload_settings(operator.fleet)
        elif self.node is not None or operator is not None and operator.fleet is not None:
            logger.error("a change of fleet membership takes effect only after a restart of this sender")
        self.descriptors.set_limit(assignment.descriptors)
        self.store.set_limit(assignment.disk_bytes)
        self.counters.add("configurations taken over")
        logger.info(
            "configuration read again: platform {}:{}; for the next start: {}",
            *assignment.platform,
            ", ".join(current.fields_needing_restart(assignment)) or "nothing",
        )

    def _hand_over(self) -> None:
        """Stop at SIGTERM with a replacement process, which takes over the clients' socket and the folder."""
        hand_over(self.accept_greenlet, self.client_listener, self.dispatcher, self.store)
        end_decisions(self.dispatcher, self.decision_greenlet)
        gevent.killall(self.greenlets)
        if self.node is not None:
            self.node.hand_over()
            self.node.stop()
        self.management_commands.stop_serving()
        save_waits(self.assignment.folder, self.endpoint_list, self.dispatcher)
        self.management_commands.release_folder()
        self.health_file.close()
        self.store.close()  # from here on the replacement may lock the folder
        with gevent.Timeout(HANDOVER_CLIENT_CLOSE_S, False):
            while self.client_listener.clients:
                gevent.sleep(HANDOVER_POLL_INTERVAL_S)
        self.client_listener.drain_and_close(LAST_ANSWERS_S)
        self._close_management()

    def _drain(self) -> None:
        """Stop at SIGTERM without a replacement: attempt messages for a while, then wait for attempts in flight."""
        node = self.node
        if node is not None and node.session_router is not None:
            node.session_router.leave()
        self.client_listener.stop()
        gevent.sleep(DECIDING_AFTER_SIGTERM_S)
        self.dispatcher.stop_attempts(abandon_near_deadline=node is not None)
        with gevent.Timeout(DRAIN_DEADLINE_S - DECIDING_AFTER_SIGTERM_S, False):
            while not self._drained():
                gevent.sleep(DRAIN_POLL_INTERVAL_S)
        self.accept_greenlet.kill()
        self.client_listener.drain_and_close(LAST_ANSWERS_S)
        if node is not None:
            node.leave()
        end_decisions(self.dispatcher, self.decision_greenlet)
        gevent.killall(self.greenlets)
        if node is not None:
            node.stop()
        self.management_commands.stop_serving()
        self._close_management()
        self.health_file.close()
        self.store.close()

    def _drained(self) -> bool:
        """Whether no attempt, notice, client connection or session migration is left."""
        return (
            self.dispatcher.is_idle()
            and not self.notifier.pending
            and not self.client_listener.clients
            and (self.node is None or self.node.session_router is None or self.node.session_router.is_drained())
        )


def gauge_values(dispatcher: Dispatcher, endpoint_list: EndpointList) -> tuple[int, int, int]:
    """Return the numbers of unfinished messages, of listed receivers, and of listed ones that get no attempts."""
    listed = {
        endpoint_list.receiver_numbers[uid]
        for uid, listing in endpoint_list.latest_listings.items()
        if listing.endpoint_state is not EndpointState.REMOVED
    }
    skipped = {
        endpoint_list.receiver_numbers[uid] for uid in endpoint_list.suspended if uid in endpoint_list.receiver_numbers
    }
    skipped |= {receiver.id for receiver in dispatcher.sender.receivers.values() if receiver.ejected_since}
    return len(dispatcher.handles), len(listed), len(skipped & listed)


def exit_on_failure(greenlet: gevent.Greenlet) -> None:
    """Exit at once: a part that must run forever has failed, and the sender would seem alive without working."""
    logger.error("a part of the sender ended: {!r}", greenlet.exception)
    os._exit(1)
