"""`python -m tests.lab.broken FAULT`: a sender with a deliberate fault, for tests that the audit detects it."""

import sys
from collections.abc import Callable, Sequence
from typing import Any

import gevent

from cedarwick import program
from cedarwick.decisions import policy, state
from cedarwick.decisions.interface import EndpointState, EndpointUpdate, ListedEndpoint
from cedarwick.net import attempts, dispatch_admission, dispatcher, notifications
from cedarwick.net.sockets import open_connection
from cedarwick.net.submission import AdmissionResult, Submission


def repeats_at_most_once() -> None:
    """Every priority class is treated as idempotent."""
    original = policy.priority_class_of

    def priority_class_of(settings: Any, index: int) -> state.PriorityClass:
        priority_class = original(settings, index)
        priority_class.idempotent, priority_class.at_most_once = True, False
        return priority_class

    policy.priority_class_of = priority_class_of


def ignores_waits() -> None:
    """Retry-After waits are ignored."""
    attempts.parse_retry_after = lambda text: 0


def ignores_drains() -> None:
    """Draining and removed endpoints are treated as ready."""
    original = policy.Sender.apply_endpoint_list

    def apply_endpoint_list(
        self: policy.Sender, now: int, change: EndpointUpdate, listings: Sequence[ListedEndpoint]
    ) -> None:
        original(
            self, now, EndpointUpdate.DELTA, [each._replace(endpoint_state=EndpointState.READY) for each in listings]
        )

    policy.Sender.apply_endpoint_list = apply_endpoint_list  # type: ignore[assignment, method-assign]


def loses_messages() -> None:
    """Every tenth message is answered +OK and dropped."""
    original, count = dispatcher.Dispatcher._admit, [0]

    def admit(self: dispatch_admission.Admission, submission: Submission) -> None:
        count[0] += 1
        if count[0] % 10 == 0:
            submission.set_answer(AdmissionResult.ACCEPTED)
        else:
            original(self, submission)

    dispatcher.Dispatcher._admit = admit  # type: ignore[method-assign]


def posts_no_notices() -> None:
    """No notice is ever posted."""
    notifications.Notifier.enqueue = lambda *_: None  # type: ignore[method-assign]


def ignores_order_keys() -> None:
    """Messages with an order key do not wait for their predecessors."""
    state.OrderKeyQueues.ready_at = lambda self, key, message: 0  # type: ignore[method-assign]


def floods_a_returning_destination() -> None:
    """Outages are not detected, so a destination that returns gets its whole backlog at once."""
    policy.Sender._eject = lambda *_, **__: None  # type: ignore[method-assign]
    policy.Sender._is_silent = lambda self, now, receiver: False  # type: ignore[method-assign]


def runs_concurrent_attempts() -> None:
    """Every attempt is made a second time on a separate connection, while the first one is in progress."""
    original = attempts.AttemptRunner._exchange

    def exchange_twice(self: attempts.AttemptRunner, call: attempts.AttemptCall, connection: Any) -> bool:
        gevent.spawn(send_copy, self, call)
        return original(self, call, connection)

    def send_copy(self: attempts.AttemptRunner, call: attempts.AttemptCall) -> None:
        with open_connection(self.connections.address_of(call.receiver), 1.0) as sock:
            sock.sendall(attempts.encode_request(call, self.clock.now()))
            sock.recv(100)

    attempts.AttemptRunner._exchange = exchange_twice  # type: ignore[method-assign]


FAULTS: dict[str, Callable[[], None]] = {
    each.__name__: each
    for each in (
        repeats_at_most_once,
        ignores_waits,
        ignores_drains,
        loses_messages,
        posts_no_notices,
        ignores_order_keys,
        floods_a_returning_destination,
        runs_concurrent_attempts,
    )
}

if __name__ == "__main__":
    if sys.argv[1] != "nothing":
        FAULTS[sys.argv[1]]()
    sys.exit(program.main())
