"""Subscribers of a virtual day: each follows at one member after another, and what it received is stored for the audit.

Whether an event meets a filter is settled here by `reference_matcher.py`, at the source, before the source's own part
looks at it.
"""

import json
from collections.abc import Sequence

from cedarwick.errors import CedarwickError
from cedarwick.events import reference_matcher
from cedarwick.events.exchange import Exchange
from cedarwick.events.kinds import Event, Value
from cedarwick.events.language import parse_filter
from cedarwick.lab.audit_subscribers import Ended, Evaluates, Gap, Matched, Occurred
from cedarwick.lab.virtual_senders import Sender
from cedarwick.lab.virtual_state import STATE_POLL_S, DayState
from cedarwick.ops.commands import Call

FILTERS = (
    'kind = "completed" and destination = 1',
    "has sender",
    'kind in ("nacked", "written-off")',
    'kind = "shot" and shots > 1',
    'kind = "taken" and not band = "free"',
    'kind = "moved" or kind = "adopted"',
    "has member",
    'kind = "outcome" and wait > 0s',
    'sender = "n1" and age > 50ms',
    "sample(1/3)",
)
MEAN_STAY_S = 3.0  # seconds that a subscriber stays at one member, on the average
END_PROBABILITY = 0.25  # how many of its leavings end the subscription
RECONNECT_DELAY_S = 0.1  # seconds until a connection that ended is followed by another
EVENT_DRAIN_US = 8_000_000  # microseconds in which everybody is sent all: places, then what waited, then tries again
PROBE_S = 1.0  # seconds in which what rises again would have an event
MAX_EVENT_NUMBER = (1 << 62) - 1  # an event number after all others


class FakeConnection:
    """A fake for a subscriber's connection: what is written arrives a moment later, unless the subscriber has gone."""

    def __init__(self, subscriber: "SimulatedSubscriber") -> None:
        self.subscriber = subscriber
        self.kernel = subscriber.day.kernel
        self.latency_s = subscriber.day.rng.uniform(0.0002, 0.005)
        self.closed_by_subscriber = False  # the subscriber has closed it
        self.closed_by_member = False  # the member has

    def settimeout(self, seconds: float) -> None:
        """As a socket's."""

    def setsockopt(self, *options: int) -> None:
        """As a socket's."""

    def sendall(self, data: bytes) -> None:
        if self.closed_by_subscriber:
            raise ConnectionResetError("the subscriber has gone")
        self.kernel.spawn_in(None, self._deliver, data)

    def _deliver(self, data: bytes) -> None:
        self.kernel.sleep(self.latency_s)
        for line in data.decode().splitlines():
            if not self.closed_by_subscriber and line:
                self.subscriber.receive_line(self, line)


class SimulatedSubscriber:
    """One subscriber. It begins subscriptions one after another, each under a name of its own."""

    def __init__(self, group: "SimulatedSubscribers", number: int, generation: int = 1) -> None:
        self.subscribers = group
        self.day: DayState = group.day
        self.number = number
        self.records = self.day.subscriber_records
        self.generation = generation
        self.name = f"s{number}-{generation}"
        self.cursors: dict[str, int] = {}
        self.filter = self.day.rng.choice(FILTERS)
        self.expression = parse_filter(self.filter).term

    def matches_event(self, event: Event) -> bool:
        return reference_matcher.matches(self.expression, event)

    def run(self) -> None:
        """Follow here and there, for as long as the day lasts."""
        day = self.day
        while True:
            usable = [each for each in self.subscribers.senders if each.node is not None]
            if not usable:
                day.kernel.sleep(RECONNECT_DELAY_S)
                continue
            sender = day.rng.choice(usable)
            process, connection = sender.process, FakeConnection(self)
            arguments = [self.name, *(f"{source}:{at}" for source, at in self.cursors.items()), "WHERE", self.filter]
            day.kernel.spawn_in(process, follow, sender, connection, " ".join(arguments))
            leaves_at = day.now() + round(day.rng.expovariate(1 / MEAN_STAY_S) * 1_000_000)
            while not process.dead and not connection.closed_by_member and (day.now() < leaves_at or day.quiescent):
                day.kernel.sleep(STATE_POLL_S)
            connection.closed_by_subscriber = True
            if not day.quiescent and not connection.closed_by_member and day.rng.random() < END_PROBABILITY:
                if self._end_subscription(day.rng.choice(usable)):
                    successor = SimulatedSubscriber(self.subscribers, self.number, self.generation + 1)
                    self.subscribers.active[self.number] = successor
                    return successor.run()
            day.kernel.sleep(RECONNECT_DELAY_S)

    def _end_subscription(self, sender: Sender) -> bool:
        """Whether the subscription could be ended at a member."""
        answer = unfollow(sender, self.name)
        if not answer:
            return False
        self.subscribers.ended[self.name] = self
        if "not yet told" not in answer:
            self.records.ended.append(Ended(self.name, self.day.now()))
        for source, at in self.cursors.items():  # it has gone, and is owed nothing more
            self.records.gaps.append(Gap(self.name, source, at + 1, MAX_EVENT_NUMBER, self.day.now()))
        return True

    def receive_line(self, connection: FakeConnection, line: str) -> None:
        """Take one line of the stream."""
        if not line.startswith("{"):
            connection.closed_by_member = connection.closed_by_member or line.startswith("NO")
            return
        record, at, records = json.loads(line), self.day.now(), self.records
        if record["type"] == "match":
            event = record["event"]
            records.matched.append(Matched(self.name, event["source"], event["number"], at))
            self.cursors[event["source"]] = event["number"]
        elif record["type"] == "gap":
            records.gaps.append(Gap(self.name, record["source"], record["first"], record["last"], at))
            self.cursors[record["source"]] = record["last"]
        elif record["type"] == "from":
            source, number = record["source"], record["number"]
            if source in self.cursors:  # what lies between is kept no more
                records.gaps.append(Gap(self.name, source, self.cursors[source] + 1, number - 1, at))
            records.evaluates.append(Evaluates(self.name, source, number, at))
            self.cursors[source] = number - 1
        else:  # the source has ended, and what it had not handed over is lost
            records.gaps.append(Gap(self.name, record["source"], record["after"] + 1, MAX_EVENT_NUMBER, at))
            self.cursors.pop(record["source"], None)


def follow(sender: Sender, connection: FakeConnection, arguments: str) -> None:
    """In the member's process: a call of `FOLLOW`, as the management address answers it."""
    try:
        answer = sender.management.subscription_handler(Call("FOLLOW", arguments))
        if not isinstance(answer, str):
            answer(connection)
    except CedarwickError as error:
        connection.sendall(f"NO {error.line}\n".encode("ascii", "replace"))
    finally:
        connection.closed_by_member = True


def unfollow(sender: Sender, name: str) -> str:
    """What a member answers to `UNFOLLOW`; empty where it refuses, or does not answer."""
    answers: list[str] = []

    def ask() -> None:
        try:
            answers.append(str(sender.management.subscription_handler(Call("UNFOLLOW", name))))
        except CedarwickError:
            answers.append("")

    kernel, process = sender.day.kernel, sender.process
    kernel.spawn_in(process, ask)
    while not answers and not process.dead:
        kernel.sleep(STATE_POLL_S)
    return answers[0] if answers else ""


class SimulatedSubscribers:
    """All subscribers of a day, those whose subscriptions were ended among them."""

    def __init__(self, day: DayState, senders: Sequence[Sender], count: int) -> None:
        self.day = day
        self.senders = senders
        self.ended: dict[str, SimulatedSubscriber] = {}  # subscriptions that were ended, by name
        self.active = [SimulatedSubscriber(self, number) for number in range(count)]

    def probe_ended_subscriptions(self) -> None:
        """At the end: an ended subscription can't be followed by its name alone, and gets nothing."""
        day, records = self.day, self.day.subscriber_records
        recorded = {each.subscription for each in records.ended}
        for name, subscriber in self.ended.items():
            if name not in recorded:
                records.ended.append(Ended(name, day.now()))
            for sender in self.senders:
                if sender.node is not None:
                    connection = FakeConnection(subscriber)
                    subscriber.cursors = {}
                    day.kernel.spawn_in(sender.process, follow, sender, connection, name)
                    day.kernel.sleep(PROBE_S / len(self.senders))
                    connection.closed_by_subscriber = True

    def exchange_class(self) -> type[Exchange]:
        """The class whose events the day's history has."""
        return type("Seen", (RecordingExchange,), {"subscribers": self})


class RecordingExchange(Exchange):
    """An exchange whose events are known to the day."""

    subscribers: SimulatedSubscribers

    def _happened(self, kind: str, fields: dict[str, Value]) -> None:
        assert self.serving is not None
        source, number = self.serving.source.name, self.serving.source.next
        event = Event(source, number, 0, kind, fields)
        matching = tuple(
            each.name
            for each in (*self.subscribers.active, *self.subscribers.ended.values())
            if each.matches_event(event)
        )
        day = self.subscribers.day
        day.subscriber_records.occurred.append(Occurred(source, number, day.now(), matching))
        super()._happened(kind, fields)
