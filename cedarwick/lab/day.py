"""The clock of a day, its history, and a check that the laboratory's own event loop is not too late."""

import time

import gevent

from cedarwick.lab.history import History, Late

LOOK = 0.02  # seconds between two looks at the lag of the loop
NOTED = 30_000  # microseconds of lag that are written down
VOID = 200_000  # a lag beyond this makes the day void: senders would be blamed for it
SLOW_ARRIVAL = 50_000  # a request sent so much later than it was due was late
PROCESSOR_WINDOW_US = 400_000  # in which a sender's answer to another must come
STARVED = 200_000  # a sender that waits longer than this for a processor, of a window or at once, is not to blame
MOST_SLOW = 0.01  # a larger part of late requests makes the day void


class Day:
    """Time in whole microseconds from the begin of the day, and the history."""

    def __init__(self) -> None:
        self.start_ns = time.monotonic_ns()
        self.history = History()
        self.body_sizes: dict[str, int] = {}  # the bodies' sizes by id, as submitted
        self.worst_lag_us = 0
        self.processor_waits_us: dict[str, int] = {}  # by sender: how long it waited for a processor, at most
        self.failure = ""  # what the emulator itself could not do

    def begin(self) -> None:
        """Set the begin of the day to now; records made before it get negative times."""
        self.start_ns = time.monotonic_ns()

    def now(self) -> int:
        return (time.monotonic_ns() - self.start_ns) // 1000

    def sleep_until(self, at: int) -> None:
        """Sleep until a time of the day; return at once if it has passed."""
        while (left := at - self.now()) > 0:
            gevent.sleep(left / 1_000_000)

    def watch_lag(self) -> None:
        """Record each time the laboratory's own loop is late; never returns."""
        while True:
            before = self.now()
            gevent.sleep(LOOK)
            by = self.now() - before - round(LOOK * 1_000_000)
            self.worst_lag_us = max(self.worst_lag_us, by)
            if by > NOTED:
                self.history.add(Late(before, by))

    def void_reason(self) -> str:
        """Why this day says nothing about the senders; empty where it does."""
        if self.failure:
            return self.failure
        if self.worst_lag_us > VOID:
            return f"the emulator's loop was {self.worst_lag_us / 1000:.0f} ms late"
        for name, waited in self.processor_waits_us.items():
            if waited > STARVED:
                return f"{name} waited {waited / 1000:.0f} ms for a processor"
        handed = self.history.handed
        slow = sum(each.sent - each.due > SLOW_ARRIVAL for each in handed if each.answer not in ("down", "cut"))
        if handed and slow > MOST_SLOW * len(handed):
            return f"{slow} of {len(handed)} requests were sent over {SLOW_ARRIVAL // 1000} ms late"
        return ""


def message_body(id: str, size: int) -> bytes:
    """The body that goes with an id: whoever sees both can check it."""
    return (id.encode() * (size // len(id) + 1))[:size]
