"""Replacing a process in service: what the old process leaves in the folder, and what the next one takes over.

Called by `program.py` at start-up and at SIGTERM. Constants that end in `_S` are in seconds.
"""

import gevent
from loguru import logger

from cedarwick.net.client_listener import ClientListener
from cedarwick.net.dispatcher import Dispatcher
from cedarwick.net.endpoint_list import EndpointList
from cedarwick.ops import saved_state
from cedarwick.store.files import DiskError, FolderInUseError
from cedarwick.store.journal import Store

# Longest duration of each step, one after the other, from SIGTERM on if the next process has the clients' socket:
HANDOVER_IDLE_S = 0.2  # for requests already read to be answered and attempts in flight to end
HANDOVER_ANSWERS_S = 0.05  # for answers being written; then the next process may take the folder
HANDOVER_CLIENT_CLOSE_S = 1.1  # for clients with their last answer to close
HANDOVER_POLL_INTERVAL_S = 0.01  # between two checks of the folder, or of what is still in flight or connected


def save_waits(folder: str, endpoint_list: EndpointList, dispatcher: Dispatcher) -> None:
    """Save the Retry-After waits of receivers for the next process; called before the folder is released.

    A failed write is logged only.
    """
    uids = endpoint_list.uids_by_number
    running = dispatcher.sender.retry_after_waits(dispatcher.clock.now())
    waits = {uids[receiver]: until for receiver, until in running if receiver in uids}
    try:
        saved_state.write_waits(folder, waits)
    except OSError as error:
        logger.error(DiskError(f"the Retry-After waits cannot be handed over: {error}").line)


def restore_waits(folder: str, endpoint_list: EndpointList, dispatcher: Dispatcher) -> None:
    """Apply the Retry-After waits that the replaced process saved; the saved list must have been learned before."""
    try:
        waits = saved_state.take_waits(folder)
    except saved_state.UnreadableFileError as error:
        logger.error("the Retry-After waits of the replaced process cannot be read: {}", error.line)
        return
    dispatcher.apply_retry_after(
        [
            (endpoint_list.receiver_numbers[uid], until)
            for uid, until in waits.items()
            if uid in endpoint_list.receiver_numbers
        ]
    )


def try_load_store(store: Store, replacing: bool) -> bool:
    """Lock and read the folder; returns False if the replaced process still has it.

    Raises what `Store.load` raises; `FolderInUseError` only if no process is being replaced.
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
    """Stop accepting clients and finish or cancel what is in flight, so that the next process may take the folder."""
    accepting.kill()
    client_listener.listener.close()  # only this process's descriptor: the platform's socket stays open
    # The next process accepts no client while this one has the folder, and clients wait 400 ms at most. Until then
    # open connections are served, each closed after its answer; messages are stored, not attempted.
    client_listener.accept_while_closing = client_listener.closing = True
    dispatcher.hold_fire(keeping=True)
    with gevent.Timeout(HANDOVER_IDLE_S, False):
        while not dispatcher.idle():
            gevent.sleep(HANDOVER_POLL_INTERVAL_S)
    client_listener.stop()
    with gevent.Timeout(HANDOVER_ANSWERS_S, False):
        while client_listener.has_request_in_progress():
            gevent.sleep(HANDOVER_POLL_INTERVAL_S)
    client_listener.accept_while_closing = False
    logger.info(
        "handing over: {} messages stored, {} attempts without an outcome",
        len(store.messages),
        len(dispatcher.attempts.in_flight),
    )
    # The next process may attempt these messages again: a call that still completed here would be a second copy.
    gevent.killall(list(dispatcher.attempts.in_flight))
