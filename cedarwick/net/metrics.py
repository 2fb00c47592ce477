"""Prometheus metrics: counters that start at 0 with the process and are incremented where the events happen."""

from collections import Counter


class Metrics:
    """Counters by name of the priority class; the gauges are passed to `text`."""

    __slots__ = ("priority_classes", "passed", "dropped", "bad_gateway", "attempts_sent", "unexpected_answers")

    def __init__(self, priority_classes: list[str] | None = None) -> None:
        self.priority_classes = list(priority_classes or [])
        self.passed: Counter[str] = Counter()  # messages delivered
        self.dropped: Counter[str] = Counter()  # messages rejected, at admission or later
        self.bad_gateway: Counter[str] = Counter()  # messages abandoned
        self.attempts_sent = 0  # requests written completely to receivers
        self.unexpected_answers = 0  # answers of receivers that no call asked for

    def text(self, in_progress: int, known: int, skipped: int) -> str:
        """All metrics in Prometheus's text format.

        prometheus_client is imported only when this is called.
        """
        from prometheus_client.core import CollectorRegistry, CounterMetricFamily, GaugeMetricFamily, Metric
        from prometheus_client.exposition import generate_latest

        metrics = self

        class MetricsCollector:
            def collect(self) -> list[Metric]:
                families: list[Metric] = []
                for name, counted, meaning in (
                    ("sender_passed", metrics.passed, "messages completed"),
                    ("sender_dropped", metrics.dropped, "messages rejected at admission or later"),
                    ("sender_bad_gateway", metrics.bad_gateway, "messages abandoned"),
                ):
                    family = CounterMetricFamily(name, meaning, labels=["category"])
                    for priority_class in sorted(set(metrics.priority_classes) | set(counted)):
                        family.add_metric([priority_class], counted[priority_class])
                    families.append(family)
                for name, count, meaning in (
                    ("sender_upstream_tries", metrics.attempts_sent, "requests written whole to receivers"),
                    ("sender_unexpected_answers", metrics.unexpected_answers, "answers that no call asked for"),
                ):
                    families.append(CounterMetricFamily(name, meaning, value=count))
                for name, value, meaning in (
                    ("sender_in_progress", in_progress, "messages taken and not ended"),
                    ("sender_known_receivers", known, "receivers in the list"),
                    ("sender_skipped_receivers", skipped, "listed receivers avoided, by hand or by choice"),
                ):
                    families.append(GaugeMetricFamily(name, meaning, value=value))
                return families

        registry = CollectorRegistry(auto_describe=False)
        registry.register(MetricsCollector())
        return generate_latest(registry).decode("utf-8")
