"""Hand-over from a running process to its replacement through the state folder.

Called by `program.py` at start-up and at SIGTERM. Constants that end in `_S` are in seconds.
"""

import gevent
from loguru import logger

from cedarwick.net.client_listener import ClientListener
from cedarwick.net.dispatcher import Dispatcher
from cedarwick.net.endpoint_list import EndpointList
from cedarwick.ops import saved_state
from cedarwick.store.files import DiskError, FolderInUseError, NoSpaceError
from cedarwick.store.journal import Store

# Maximum duration of the consecutive steps after SIGTERM, if a replacement process shares the clients' socket:
HANDOVER_IDLE_S = 0.2  # for requests already read to be answered and attempts in flight to end
LAST_ROUND_S = 0.1  # for the last decision round
HANDOVER_ANSWERS_S = 0.05  # for pending answers; then the replacement may lock the folder
HANDOVER_CLIENT_CLOSE_S = 1.1  # for clients to close after their last answer
HANDOVER_POLL_INTERVAL_S = 0.01  # between two checks of the folder, of attempts in flight or of connections


def save_waits(folder: str, endpoint_list: EndpointList, dispatcher: Dispatcher) -> None:
    """Save the Retry-After waits of receivers for the replacement process; called before the folder is released.

    A failed write is only logged.
    """
    uids = endpoint_list.uids_by_number
    current_waits = dispatcher.sender.retry_after_waits(dispatcher.clock.now())
    numbers = endpoint_list.receiver_numbers
    waits = {
        uids[receiver]: until
        for receiver, until in current_waits
        if receiver in uids and numbers.get(uids[receiver]) == receiver
    }
    try:
        saved_state.write_waits(folder, waits, dispatcher.store.space)
    except (OSError, NoSpaceError) as error:
        logger.error(DiskError(f"the Retry-After waits cannot be handed over: {error}").line)


def restore_waits(folder: str, endpoint_list: EndpointList, dispatcher: Dispatcher) -> None:
    """Apply the Retry-After waits that the replaced process saved; the saved endpoint list must be applied before."""
    try:
        waits = saved_state.take_waits(folder)
    except saved_state.UnreadableFileError as error:
        logger.error("the Retry-After waits of the replaced process cannot be read: {}", error.line)
        return
    finally:
        saved_state.measure(dispatcher.store.space)
    dispatcher.apply_retry_after(
        [
            (endpoint_list.receiver_numbers[uid], until)
            for uid, until in waits.items()
            if uid in endpoint_list.receiver_numbers
        ]
    )


def try_load_store(store: Store, replacing: bool) -> bool:
    """Lock and load the folder; returns False if the replaced process still holds it.

    Raises what `Store.load` raises, but `FolderInUseError` only if no process is being replaced.
    """
    try:
        store.load()
    except FolderInUseError:
        if not replacing:
            raise
        return False
    return True


def hand_over(
    accept_greenlet: gevent.Greenlet, client_listener: ClientListener, dispatcher: Dispatcher, store: Store
) -> None:
    """Stop accepting clients and finish or cancel attempts, so that the replacement may lock the folder."""
    accept_greenlet.kill()
    client_listener.listener.close()  # only the descriptor of this process; the platform keeps the socket open
    # The replacement accepts no clients while this process holds the folder, and clients wait 400 ms at most. Until
    # then open connections are served and closed after their answer; messages are stored but not attempted.
    client_listener.accept_while_closing = client_listener.closing = True
    dispatcher.stop_attempts(store_new=True)
    with gevent.Timeout(HANDOVER_IDLE_S, False):
        while not dispatcher.is_idle():
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
    # The replacement may repeat these attempts: a call that completed here later would deliver a second copy.
    gevent.killall(list(dispatcher.attempts.in_flight))


def end_decisions(dispatcher: Dispatcher, decision_greenlet: gevent.Greenlet) -> None:
    """Let the dispatcher carry out what is queued: results of attempts, and withdrawals of clients that have left.

    The next process would otherwise send messages that have been delivered, or whose clients were refused.
    """
    dispatcher.end()
    decision_greenlet.join(timeout=LAST_ROUND_S)
    gevent.sleep(0)  # lets clients read the answers of the last round, upon which they may withdraw a message
