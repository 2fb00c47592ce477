"""Prometheus metrics: counters that start at 0 with the process, updated where the events happen."""

from collections import Counter


class Metrics:
    """Counters by priority class name; the gauges are passed in when the text is made."""

    __slots__ = ("priority_classes", "passed", "dropped", "bad_gateway", "attempts_sent")

    def __init__(self, priority_classes: list[str] | None = None) -> None:
        self.priority_classes = list(priority_classes or [])
        self.passed: Counter[str] = Counter()  # messages completed
        self.dropped: Counter[str] = Counter()  # rejected at admission, or rejected later
        self.bad_gateway: Counter[str] = Counter()  # written off
        self.attempts_sent = 0  # requests written whole to receivers

    def text(self, in_progress: int, known: int, skipped: int) -> str:
        """All metrics in Prometheus's text format; imports prometheus_client only when it is called."""
        from prometheus_client.core import CollectorRegistry, CounterMetricFamily, GaugeMetricFamily, Metric
        from prometheus_client.exposition import generate_latest

        figures = self

        class Now:
            def collect(self) -> list[Metric]:
                made: list[Metric] = []
                for name, counted, meaning in (
                    ("sender_passed", figures.passed, "messages completed"),
                    ("sender_dropped", figures.dropped, "messages rejected at admission or later"),
                    ("sender_bad_gateway", figures.bad_gateway, "messages abandoned"),
                ):
                    family = CounterMetricFamily(name, meaning, labels=["category"])
                    for priority_class in sorted(set(figures.priority_classes) | set(counted)):
                        family.add_metric([priority_class], counted[priority_class])
                    made.append(family)
                made.append(
                    CounterMetricFamily(
                        "sender_upstream_tries", "requests written whole to receivers", value=figures.attempts_sent
                    )
                )
                for name, value, meaning in (
                    ("sender_in_progress", in_progress, "messages taken and not ended"),
                    ("sender_known_receivers", known, "receivers in the list"),
                    ("sender_skipped_receivers", skipped, "listed receivers avoided, by hand or by choice"),
                ):
                    made.append(GaugeMetricFamily(name, meaning, value=value))
                return made

        registry = CollectorRegistry(auto_describe=False)
        registry.register(Now())
        return generate_latest(registry).decode("utf-8")
