"""Simulated subscribers of a virtual day: each follows events at one member after another and records what it receives.

`reference_matcher.py` determines here which filters an event matches, at the source and before the source's exchange
evaluates it, so the audit does not depend on the filter index under test.
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
MEAN_STAY_S = 3.0  # mean time that a subscriber follows at one member
END_PROBABILITY = 0.25  # probability that a subscriber ends its subscription on leaving a member
RECONNECT_DELAY_S = 0.1  # delay between two connections of a subscriber
EVENT_DRAIN_US = 8_000_000  # time to send all subscribers their positions, queued events and retries
PROBE_S = 1.0  # time in which a subscription that was wrongly revived would receive an event
MAX_EVENT_NUMBER = (1 << 62) - 1  # upper bound of all event numbers


class FakeConnection:
    """A fake of a subscriber's socket: data arrives after a short delay, unless the subscriber has closed it."""

    def __init__(self, subscriber: "SimulatedSubscriber") -> None:
        self.subscriber = subscriber
        self.kernel = subscriber.day.kernel
        self.latency_s = subscriber.day.rng.uniform(0.0002, 0.005)
        self.closed_by_subscriber = False
        self.closed_by_member = False

    def settimeout(self, seconds: float) -> None:
        """Do nothing; part of the socket interface."""

    def setsockopt(self, *options: int) -> None:
        """Do nothing; part of the socket interface."""

    def sendall(self, data: bytes) -> None:
        """Send data to the subscriber; raises `ConnectionResetError` if it has closed the connection."""
        if self.closed_by_subscriber:
            raise ConnectionResetError("the subscriber closed the connection")
        self.kernel.spawn_in(None, self._deliver, data)

    def _deliver(self, data: bytes) -> None:
        self.kernel.sleep(self.latency_s)
        for line in data.decode().splitlines():
            if not self.closed_by_subscriber and line:
                self.subscriber.receive_line(self, line)


class SimulatedSubscriber:
    """One subscriber, with one subscription at a time; each of its subscriptions has a name of its own."""

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
        """Whether the subscriber's filter matches an event, by the reference matcher."""
        return reference_matcher.matches(self.expression, event)

    def run(self) -> None:
        """Follow events at random members until the day ends."""
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
        """End the subscription at a member; returns whether the member confirmed it."""
        answer = unfollow(sender, self.name)
        if not answer:
            return False
        self.subscribers.ended[self.name] = self
        if "not yet told" not in answer:
            self.records.ended.append(Ended(self.name, self.day.now()))
        for source, at in self.cursors.items():  # nothing more has to be delivered to it
            self.records.gaps.append(Gap(self.name, source, at + 1, MAX_EVENT_NUMBER, self.day.now()))
        return True

    def receive_line(self, connection: FakeConnection, line: str) -> None:
        """Process one line of the event stream."""
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
            if source in self.cursors:  # events between the cursor and `number` are no longer stored
                records.gaps.append(Gap(self.name, source, self.cursors[source] + 1, number - 1, at))
            records.evaluates.append(Evaluates(self.name, source, number, at))
            self.cursors[source] = number - 1
        else:  # the source has ended, and events that it had not sent are lost
            records.gaps.append(Gap(self.name, record["source"], record["after"] + 1, MAX_EVENT_NUMBER, at))
            self.cursors.pop(record["source"], None)


def follow(sender: Sender, connection: FakeConnection, arguments: str) -> None:
    """Handle a `FOLLOW` command in the member's process, as the management listener does."""
    try:
        answer = sender.management.subscription_handler(Call("FOLLOW", arguments))
        if not isinstance(answer, str):
            answer(connection)
    except CedarwickError as error:
        connection.sendall(f"NO {error.line}\n".encode("ascii", "replace"))
    finally:
        connection.closed_by_member = True


def unfollow(sender: Sender, name: str) -> str:
    """Return a member's answer to `UNFOLLOW`; empty if it refuses or does not answer."""
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
    """All subscribers of a day, and the subscriptions that they have ended."""

    def __init__(self, day: DayState, senders: Sequence[Sender], count: int) -> None:
        self.day = day
        self.senders = senders
        self.ended: dict[str, SimulatedSubscriber] = {}  # subscriptions that were ended, by subscription name
        self.active = [SimulatedSubscriber(self, number) for number in range(count)]

    def probe_ended_subscriptions(self) -> None:
        """At the end of a day, try to follow each ended subscription by its name alone; nothing may be delivered."""
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
        """Create a subclass of `RecordingExchange` that is bound to these subscribers."""
        return type("Seen", (RecordingExchange,), {"subscribers": self})


class RecordingExchange(Exchange):
    """An exchange that records each event and the subscriptions that it matches."""

    subscribers: SimulatedSubscribers

    def _publish(self, kind: str, fields: dict[str, Value]) -> None:
        assert self.server is not None
        source, number = self.server.source.name, self.server.source.next_number
        event = Event(source, number, 0, kind, fields)
        matching = tuple(
            each.name
            for each in (*self.subscribers.active, *self.subscribers.ended.values())
            if each.matches_event(event)
        )
        day = self.subscribers.day
        day.subscriber_records.occurred.append(Occurred(source, number, day.now(), matching))
        super()._publish(kind, fields)
