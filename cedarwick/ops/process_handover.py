"""Replacing a process in service: what the old one leaves, and what the next one takes over from it."""

import gevent
from loguru import logger

from cedarwick.net.client_listener import ClientListener
from cedarwick.net.dispatcher import Dispatcher
from cedarwick.net.endpoint_list import EndpointList
from cedarwick.ops import saved_state
from cedarwick.store.files import DiskError, FolderInUseError
from cedarwick.store.journal import Store

# At most, from SIGTERM on where the next process has the clients' socket, one after the other:
HANDOVER_IDLE_S = 0.2  # for requests that were read to be answered and attempts that are out to end
HANDOVER_ANSWERS_S = 0.05  # for answers that are being written; then the folder is the next process's
HANDOVER_CLIENT_CLOSE_S = 1.1  # for clients that were let go to close
HANDOVER_POLL_INTERVAL_S = 0.01  # between two looks whether something is still out


def leave_waits(folder: str, endpoint_list: EndpointList, dispatcher: Dispatcher) -> None:
    """Write the Retry-After waits of receivers for the process that replaces this one, before the folder is let go."""
    uids = {number: uid for uid, number in endpoint_list.numbers.items()}
    heeded = dispatcher.sender.retry_after_waits(dispatcher.clock.now())
    waits = {uids[receiver]: until for receiver, until in heeded if receiver in uids}
    try:
        saved_state.write_waits(folder, waits)
    except OSError as error:
        logger.error(DiskError(f"the Retry-After waits cannot be handed over: {error}").line)


def take_waits(folder: str, endpoint_list: EndpointList, dispatcher: Dispatcher) -> None:
    """Heed the Retry-After waits that the replaced process left; the saved list must be known by then."""
    try:
        waits = saved_state.take_waits(folder)
    except saved_state.UnreadableFileError as error:
        logger.error("the Retry-After waits of the replaced process cannot be read: {}", error.line)
        return
    dispatcher.heed(
        [(endpoint_list.numbers[uid], until) for uid, until in waits.items() if uid in endpoint_list.numbers]
    )


def hold(store: Store, replacing: bool) -> bool:
    """Whether the folder is held and read; False where the process that is replaced holds it still.

    Raises what `Store.load` raises; `FolderInUseError` only where no process is being replaced.
    """
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
    """Stop taking clients and end what is out, so that the next process may take the folder."""
    accepting.kill()
    client_listener.listener.close()  # only this process's descriptor: the platform's socket stays open
    # Danger: the next process accepts nobody while this one holds the folder; clients wait 400 ms at most.
    # Open connections are served meanwhile, each let go after its answer; messages are stored, not attempted.
    client_listener.still_taking = client_listener.closing = True
    dispatcher.hold_fire(keeping=True)
    with gevent.Timeout(HANDOVER_IDLE_S, False):
        while not dispatcher.idle():
            gevent.sleep(HANDOVER_POLL_INTERVAL_S)
    client_listener.stop()
    with gevent.Timeout(HANDOVER_ANSWERS_S, False):
        while client_listener.mid_request():
            gevent.sleep(HANDOVER_POLL_INTERVAL_S)
    client_listener.still_taking = False
    logger.info(
        "handing over: {} messages kept, {} attempts without an outcome",
        len(store.messages),
        len(dispatcher.attempts.out),
    )
    # Danger: a call still out on an open link, sent again by the next process, would be a second copy.
    gevent.killall(list(dispatcher.attempts.out))
