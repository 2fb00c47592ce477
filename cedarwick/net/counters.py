"""Event counters and rate-limited warnings, used by all modules of the sender."""

import json
import time
import traceback
from collections import Counter

import gevent
from loguru import logger

from cedarwick.errors import describe
from cedarwick.net.message_trace import MessageTrace
from cedarwick.net.metrics import Metrics

DEFAULT_LOG_INTERVAL_S = 10.0  # between two log lines of the same kind of warning, unless the operator file sets one
LAG_INTERVAL_S = 0.1  # between two measurements of the event loop's lag


class Counters:
    """Event counts by name, the largest lag of the event loop, and rate-limited warnings.

    Each kind of warning is logged at most once every `log_interval_s` seconds.
    """

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.lag_ms = 0.0
        self.last_logged: dict[str, float] = {}
        self.log_interval_s = DEFAULT_LOG_INTERVAL_S
        self.report_interval_s = 0.0  # between two log lines with all counters; 0: only on request
        self.metrics = Metrics()  # the Prometheus metrics, by priority class
        self.trace = MessageTrace()

    def add(self, name: str) -> None:
        """Count one event."""
        self.counts[name] += 1

    def warning(self, kind: str, detail: object) -> None:
        """Count a warning, and log it unless one of its kind was logged within `log_interval_s`."""
        self.add(f"warning: {kind}")
        now = time.monotonic()
        if now - self.last_logged.get(kind, -self.log_interval_s) >= self.log_interval_s:
            self.last_logged[kind] = now
            logger.warning("{} (seen {} times): {}", kind, self.counts[f"warning: {kind}"], describe(detail))

    def log_exception(self, kind: str) -> None:
        """Log the current exception with its traceback, as a warning; call it from an `except` block."""
        self.warning(kind, traceback.format_exc())

    def watch_lag(self) -> None:
        """Measure how late the event loop runs its timers; never returns."""
        while True:
            before = time.monotonic()
            gevent.sleep(LAG_INTERVAL_S)
            self.lag_ms = max(self.lag_ms, (time.monotonic() - before - LAG_INTERVAL_S) * 1000)

    def report(self) -> None:
        """Log all counters every `report_interval_s` seconds; never returns."""
        reported_at = time.monotonic()
        while True:
            gevent.sleep(1.0)
            if self.report_interval_s and time.monotonic() - reported_at >= self.report_interval_s:
                reported_at = time.monotonic()
                self.log_counts()

    def log_counts(self) -> None:
        """Log all counters as one line of JSON."""
        counts = dict(sorted(self.counts.items()))
        logger.info("counters {}", json.dumps({**counts, "largest lag of the loop, ms": round(self.lag_ms, 1)}))
