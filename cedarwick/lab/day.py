"""The clock and history of a day, and the checks that the laboratory's own event loop kept up."""

import time

import gevent

from cedarwick.lab.history import History, Late

LAG_SAMPLE_S = 0.02  # seconds between two samples of the event loop's lag
RECORDED_LAG_US = 30_000  # lag above this many microseconds is recorded in the history
MAX_LAG_US = 200_000  # a larger lag makes the day void: the findings would blame senders for it
LATE_REQUEST_US = 50_000  # a request is late if it was sent more than this after it was due
PROCESSOR_WINDOW_US = 400_000  # the time within which a sender has to answer another sender
# A sender that waits longer than this for a processor, within one window or at once, is not to blame.
MAX_PROCESSOR_WAIT_US = 200_000
MAX_LATE_SHARE = 0.01  # a larger share of late requests makes the day void


class Day:
    """The time in whole microseconds since the start of the day, and the history."""

    def __init__(self) -> None:
        self.start_ns = time.monotonic_ns()
        self.history = History()
        self.body_sizes: dict[str, int] = {}  # submitted body size by message id
        self.worst_lag_us = 0
        self.processor_waits_us: dict[str, int] = {}  # by sender: its longest wait for a processor
        self.failure = ""  # an operation that failed in the laboratory itself

    def begin(self) -> None:
        """Start the day now; records made before have negative times."""
        self.start_ns = time.monotonic_ns()

    def now(self) -> int:
        """Return the time of the day in microseconds."""
        return (time.monotonic_ns() - self.start_ns) // 1000

    def sleep_until(self, at: int) -> None:
        """Sleep until a time of the day; return at once if that time has passed."""
        while (remaining := at - self.now()) > 0:
            gevent.sleep(remaining / 1_000_000)

    def watch_lag(self) -> None:
        """Record each time at which the laboratory's event loop is late; never returns."""
        while True:
            before = self.now()
            gevent.sleep(LAG_SAMPLE_S)
            lag = self.now() - before - round(LAG_SAMPLE_S * 1_000_000)
            self.worst_lag_us = max(self.worst_lag_us, lag)
            if lag > RECORDED_LAG_US:
                self.history.add(Late(before, lag))

    def void_reason(self) -> str:
        """Return why this day proves nothing about the senders; an empty string if it is valid."""
        if self.failure:
            return self.failure
        if self.worst_lag_us > MAX_LAG_US:
            return f"the emulator's loop was {self.worst_lag_us / 1000:.0f} ms late"
        for name, waited in self.processor_waits_us.items():
            if waited > MAX_PROCESSOR_WAIT_US:
                return f"{name} waited {waited / 1000:.0f} ms for a processor"
        requests = self.history.handed
        late = sum(each.sent - each.due > LATE_REQUEST_US for each in requests if each.answer not in ("down", "cut"))
        if requests and late > MAX_LATE_SHARE * len(requests):
            return f"{late} of {len(requests)} requests were sent over {LATE_REQUEST_US // 1000} ms late"
        return ""


def message_body(id: str, size: int) -> bytes:
    """Return the body that belongs to an id, so that a receiver of both can check the body."""
    return (id.encode() * (size // len(id) + 1))[:size]
