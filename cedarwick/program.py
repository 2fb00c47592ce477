"""One real sender, from its start until SIGTERM."""

import os
import signal
import sys
from typing import TYPE_CHECKING

import gevent
import gevent.event
from loguru import logger

from cedarwick.decisions.interface import EndpointState, duration_setting
from cedarwick.decisions.sender_state import LIST_WAIT
from cedarwick.errors import CedarwickError
from cedarwick.net.assignment import Assignment, AssignmentError, read
from cedarwick.net.attempts import AttemptRunner
from cedarwick.net.client_listener import ClientListener
from cedarwick.net.clock import Clock
from cedarwick.net.connections import ConnectionPool, DescriptorBudget
from cedarwick.net.counters import Counters
from cedarwick.net.dispatcher import Dispatcher
from cedarwick.net.endpoint_list import EndpointList
from cedarwick.net.notifications import Notifier
from cedarwick.net.sockets import PollClock
from cedarwick.ops import saved_state
from cedarwick.ops.handover import inherited_listener
from cedarwick.ops.management import Staff
from cedarwick.ops.management_server import Management
from cedarwick.store.files import DiskError, FolderInUseError
from cedarwick.store.journal import BODIES, Store

if TYPE_CHECKING:
    from cedarwick.config.operator import Operator
    from cedarwick.fleet.node import FleetNode

OPERATOR = "CEDARWICK_OPERATOR"  # names the operator file; without it nothing of that is loaded
STAY = 2.2  # seconds from SIGTERM in which the decisions go on with what is kept; a second is left to what is out
DRAIN = 3.2  # seconds from SIGTERM to the end; SIGKILL may come half a second later
LAST = 0.15  # seconds after that for the answers to requests that were read
# At a replacement: seconds for requests that were read to be answered, then for attempts that are out to end,
# then for clients that were let go to close, before the folder is the next process's.
HANDOVER, ANSWERING, LINGERING = 0.2, 0.05, 1.1
FIRST_NEWS = 0.2  # seconds that the decisions wait for it; a client that has its PONG waits 0.4 for an answer
FIRST_ATTEMPT = (
    0.8  # and seconds more for which messages are kept and answered, but not attempt; silence is told by then
)
LOOK = 0.01  # seconds between two looks at a folder that another process still holds


class StartupError(CedarwickError):
    """The system or the folder does not let the program start."""

    code = "CW103"
    remedy = "see that the addresses are free and the folder may be written, then start again"


def main() -> int:
    """Run a sender with what the environment tells; the exit status: 0, or 2 where it cannot start."""
    log_to_stderr("INFO", as_json=False)
    replaced = gevent.event.Event()
    gevent.signal_handler(signal.SIGHUP, replaced.set)  # first of all: it must not end a starting process
    try:
        assignment, operator = read(os.environ), read_operator()
        return serve(assignment, operator, replaced)
    except CedarwickError as error:
        print(f"cedarwick: {error.line}", file=sys.stderr)
        return 2


def log_to_stderr(level: str, as_json: bool) -> None:
    """From now on the log has this level, and is text or one JSON object a line."""
    logger.remove()
    logger.add(sys.stderr, format="{level} {message}", level=level, serialize=as_json, backtrace=False, diagnose=False)


def read_operator() -> "Operator | None":
    """What the operator file says; None where none is named, `BadFile` where it cannot be used."""
    path = os.environ.get(OPERATOR, "")
    if not path:
        return None
    from cedarwick.config.operator import load

    return load(path)


def obey(operator: "Operator | None", counters: Counters) -> None:
    """Take over what the operator file may change in service."""
    if operator is not None:
        log_to_stderr(operator.log.level, operator.log.format == "json")
        counters.quiet, counters.every = operator.log.quiet_s, operator.counters.every_s


def serve(assignment: Assignment, operator: "Operator | None", replaced: gevent.event.Event) -> int:
    """Start the parts, wait for SIGTERM, end them; `replaced` tells of a new configuration."""
    clock, counters = Clock(), Counters()
    obey(operator, counters)
    inherited = inherited_listener(os.environ)
    descriptors = DescriptorBudget(assignment.descriptors)
    store = folder_of(assignment, operator, clock)
    try:
        polled = PollClock(clock)
        dispatcher = Dispatcher(assignment, clock, counters, store, polled)
        # On sockets news counts as told by one clock, whatever the settings allow after a call that failed.
        dispatcher.sender.max_poll_backoff = min(dispatcher.sender.max_poll_backoff, LIST_WAIT)
        endpoint_list = EndpointList(assignment, counters, dispatcher.listed, dispatcher.list_poll_failed)
        client_listener = ClientListener(
            assignment.listen,
            clock,
            counters,
            descriptors,
            dispatcher,
            lambda: endpoint_list.known and store.taking(),
            listener=inherited,
        )
        staff = Staff(
            lambda: endpoint_list.known and store.taking(),
            client_listener,
            endpoint_list,
            assignment.folder,
            lambda: counters.figures.text(*gauges(dispatcher, endpoint_list)),
        )
        staff.taking = True
        management = Management(assignment.management, counters, staff.answer) if assignment.management else None
        held = hold(store, replacing=inherited is not None)
    except CedarwickError as error:
        raise error.within("cannot start") from None
    except (OSError, ValueError, KeyError) as error:
        raise StartupError(f"cannot start: {type(error).__name__}: {error}") from None
    if assignment.known:
        # Danger: the saved list replaces the whole list; told after the watch's news it would undo them.
        try:
            endpoint_list.learn(assignment.known, saved=True)
        except ValueError as error:
            raise AssignmentError(f"the known list cannot be read: {error}") from None
    staff.take_over()
    early = []
    if management is not None:
        early.append(gevent.spawn(management.serve))
    if not held:
        # Danger: the process that is replaced ends only once this one says yes, and holds the folder until then.
        logger.info("{} waits for the folder of the process it replaces", assignment.name)
        early.append(gevent.spawn(endpoint_list.watch))
        try:
            while not hold(store, replacing=True):
                gevent.sleep(LOOK)
        except CedarwickError as error:
            raise error.within("cannot start") from None
        except (OSError, ValueError, KeyError) as error:
            raise StartupError(f"cannot start: {type(error).__name__}: {error}") from None
        logger.info("{} holds the folder", assignment.name)
        staff.take_over()
        # Danger: no round has run yet that could have wanted a call which failed in the meantime made anew.
        endpoint_list.ask()
    links = ConnectionPool(
        clock,
        counters,
        descriptors,
        endpoint_list.address_of,
        dispatcher.sender.connection_lifetime,
        duration_setting(assignment.settings, "policy-limits.connect-timeout-ms", 1000.0),
    )
    notices = dispatcher.notices = Notifier(assignment.platform, counters, dispatcher.acknowledged)
    dispatcher.attempts = AttemptRunner(
        clock,
        counters,
        links,
        dispatcher.sender.columns,
        polled,
        dispatcher.clear,
        dispatcher.attempt_ended,
        dispatcher.heed,
        dispatcher.may_fire,
    )
    dispatcher.free_links, dispatcher.ask_for_list = links.free, endpoint_list.ask
    dispatcher.resume()
    take_waits(assignment.folder, endpoint_list, dispatcher)
    node = join_fleet(assignment, operator, store, clock, counters)
    if not clock.in_step():
        logger.error("the clock does not move on while the process waits")

    def follow_configuration() -> None:
        """Never returns: takes over what a new configuration changes in service."""
        now_held = assignment
        while True:
            replaced.wait()
            replaced.clear()
            try:
                told, operated = read(os.environ), read_operator()
            except CedarwickError as error:
                logger.error("the configuration stays as it was: {}", error.line)
                continue
            if told.platform != now_held.platform:
                endpoint_list.move(told.platform)
                notices.move(told.platform)
            obey(operated, counters)
            if node is not None and operated is not None and operated.fleet is not None:
                node.replace(operated.fleet)
            elif node is not None or operated is not None and operated.fleet is not None:
                logger.error("whether this sender is a member of a fleet is taken over at a start only")
            descriptors.set_limit(told.descriptors)
            store.set_limit(told.disk_bytes)
            counters.add("configurations taken over")
            logger.info(
                "configuration read again: platform {}:{}; for the next start: {}",
                *told.platform,
                ", ".join(now_held.fixed_and_other(told)) or "nothing",
            )
            now_held = told

    def decide() -> None:
        """Never returns: the dispatcher, once the agent has said what it has.

        That counts as told from the first moment.
        """
        # Danger: an attempt of a kept message would go to a receiver that the saved list does not know to be draining.
        if not endpoint_list.first_news.wait(FIRST_NEWS):
            dispatcher.holding_fire = dispatcher.keeping = True
            gevent.spawn(fire)
        dispatcher.run()

    def fire() -> None:
        endpoint_list.first_news.wait(FIRST_ATTEMPT)
        dispatcher.queue.put((begin, ()))

    def begin() -> None:
        # Danger: at the end of the process the dispatcher holds fire for good.
        if not stopping.is_set():
            dispatcher.holding_fire = dispatcher.keeping = False

    stopping = gevent.event.Event()
    gevent.signal_handler(signal.SIGTERM, stopping.set)
    gevent.signal_handler(signal.SIGINT, stopping.set)
    gevent.signal_handler(signal.SIGUSR1, counters.print)
    later = (
        decide,
        client_listener.accept,
        links.sweep,
        notices.run,
        counters.watch_lag,
        counters.report,
        follow_configuration,
    )
    parts = early + [gevent.spawn(part) for part in (*later, *((endpoint_list.watch,) if held else ()))]
    if node is not None:
        node.sharing.attach(staff, endpoint_list, dispatcher)
        node.exchange.attach(staff, endpoint_list, dispatcher, node.halls[assignment.name])
        if node.traffic is not None:
            node.traffic.attach(staff, client_listener, dispatcher)
        parts += node.start(dispatcher)
    for part in parts:
        part.link_exception(broken)
    logger.info("{} listens on {}:{}", assignment.name, *assignment.listen)
    stopping.wait()

    staff.taking = False
    logger.info("ending: {} messages kept", len(store.messages))
    if inherited is not None:
        hand_over(parts[len(early) + later.index(client_listener.accept)], client_listener, dispatcher, store)
        gevent.killall(parts)
        if node is not None:
            node.hand_over()
            node.stop()
        leave_waits(assignment.folder, endpoint_list, dispatcher)
        store.close()  # the next process takes the folder from here on
        with gevent.Timeout(LINGERING, False):
            while client_listener.clients:
                gevent.sleep(LOOK)
        client_listener.end(LAST)
        counters.print()
        return 0
    if node is not None and node.traffic is not None:
        node.traffic.leave()
    client_listener.stop()
    gevent.sleep(STAY)
    dispatcher.hold_fire(ending=node is not None)
    with gevent.Timeout(DRAIN - STAY, False):
        while not (
            dispatcher.idle()
            and not notices.owed
            and not client_listener.clients
            and (node is None or node.traffic is None or node.traffic.left())
        ):
            gevent.sleep(0.02)
    parts[len(early) + later.index(client_listener.accept)].kill()
    client_listener.end(LAST)
    if node is not None:
        node.leave()
    gevent.killall(parts)
    if node is not None:
        node.stop()
    store.close()
    counters.print()
    return 0


def folder_of(assignment: Assignment, operator: "Operator | None", clock: Clock) -> Store:
    """The folder that lasts; one that tells the copies where the operator file has a fleet."""
    told = operator.store if operator is not None else None
    durable = told is not None and told.durability == "group"
    bodies = round(told.bodies_mb * (1 << 20)) if told is not None else BODIES
    segment = round(told.segment_kb * 1024) if told is not None else 0
    fleet = operator.fleet if operator is not None else None
    if fleet is None:
        return Store(
            assignment.folder, assignment.disk_bytes, now=clock.now, durable=durable, bodies=bodies, segment=segment
        )
    from cedarwick.fleet.replicated_store import ReplicatedStore

    return ReplicatedStore(
        assignment.folder,
        assignment.disk_bytes,
        now=clock.now,
        durable=durable,
        bodies=bodies,
        segment=segment,
        by_copy=fleet.ack == "copy",
        within_us=round(fleet.ack_within_ms * 1000),
    )


def join_fleet(
    assignment: Assignment, operator: "Operator | None", store: Store, clock: Clock, counters: Counters
) -> "FleetNode | None":
    """This sender as a member of its fleet; None where the operator file has none."""
    if operator is None or operator.fleet is None:
        return None
    from cedarwick.fleet.node import FleetNode
    from cedarwick.fleet.replicated_store import ReplicatedStore

    assert isinstance(store, ReplicatedStore)
    try:
        return FleetNode(assignment.name, operator.fleet, assignment.folder, store, clock, counters)
    except OSError as error:
        raise StartupError(f"cannot start: the fleet's address or folder: {error}") from None


def gauges(dispatcher: Dispatcher, endpoint_list: EndpointList) -> tuple[int, int, int]:
    """Messages taken and not ended, receivers listed, and those of them avoided by hand or by choice."""
    listed = {
        endpoint_list.numbers[uid]
        for uid, listing in endpoint_list.last.items()
        if listing.phase is not EndpointState.REMOVED
    }
    avoided = {endpoint_list.numbers[uid] for uid in endpoint_list.held_out if uid in endpoint_list.numbers}
    avoided |= {receiver.id for receiver in dispatcher.sender.receivers.values() if receiver.out_since}
    return len(dispatcher.handles), len(listed), len(avoided & listed)


def leave_waits(folder: str, endpoint_list: EndpointList, dispatcher: Dispatcher) -> None:
    """The waits that receivers told this process, for the one that replaces it; written before the folder goes."""
    uids = {number: uid for uid, number in endpoint_list.numbers.items()}
    heeded = dispatcher.sender.retry_after_waits(dispatcher.clock.now())
    waits = {uids[receiver]: until for receiver, until in heeded if receiver in uids}
    try:
        saved_state.write_waits(folder, waits)
    except OSError as error:
        logger.error(DiskError(f"the Retry-After waits cannot be handed over: {error}").line)


def take_waits(folder: str, endpoint_list: EndpointList, dispatcher: Dispatcher) -> None:
    """The waits that the replaced process heeded, told to the decisions after the saved list."""
    try:
        waits = saved_state.take_waits(folder)
    except saved_state.UnreadableFileError as error:
        logger.error("the Retry-After waits of the replaced process cannot be read: {}", error.line)
        return
    dispatcher.heed(
        [(endpoint_list.numbers[uid], until) for uid, until in waits.items() if uid in endpoint_list.numbers]
    )


def hold(store: Store, replacing: bool) -> bool:
    """Whether the folder is held and read; False where the process that is replaced holds it still."""
    try:
        store.load()
    except FolderInUseError:
        if not replacing:
            raise
        return False
    return True


def hand_over(
    accepting: gevent.Greenlet, client_listener: ClientListener, dispatcher: Dispatcher, store: Store
) -> None:
    """At SIGTERM with the platform's socket: new clients go to the next process, this one lets the folder go."""
    accepting.kill()
    client_listener.listener.close()  # only this process's descriptor: the platform's socket stays open
    # Danger: the next process accepts nobody while this one holds the folder; clients wait 400 ms at most.
    # Kept connections are served meanwhile, each let go after its answer; messages are kept, not attempt.
    client_listener.still_taking = client_listener.closing = True
    dispatcher.hold_fire(keeping=True)
    with gevent.Timeout(HANDOVER, False):
        while not dispatcher.idle():
            gevent.sleep(LOOK)
    client_listener.stop()
    with gevent.Timeout(ANSWERING, False):
        while client_listener.mid_request():
            gevent.sleep(LOOK)
    client_listener.still_taking = False
    logger.info(
        "handing over: {} messages kept, {} attempts without an outcome",
        len(store.messages),
        len(dispatcher.attempts.out),
    )
    # Danger: a call still out on an open link, sent again by the next process, would be a second copy.
    gevent.killall(list(dispatcher.attempts.out))


def broken(part: gevent.Greenlet) -> None:
    """A part that should never return has failed: without it the sender only seems to live."""
    logger.error("a part of the sender ended: {!r}", part.exception)
    os._exit(1)
