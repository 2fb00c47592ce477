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
from cedarwick.lab.virtual_state import LOOK, DayState
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
STAYS = 3.0  # seconds that a subscriber stays at one member, on the average
ENDS = 0.25  # how many of its leavings end the subscription
AGAIN = 0.1  # seconds until a connection that ended is followed by another
SETTLED = 8_000_000  # microseconds in which everybody is sent all: places, then what waited, then tries again
PROBED = 1.0  # seconds in which what rises again would have an event
LAST_NUMBER = (1 << 62) - 1  # an event number after all others


class FakeConnection:
    """A fake for a subscriber's connection: what is written arrives a moment later, unless the subscriber has gone."""

    def __init__(self, follower: "Follower") -> None:
        self.follower = follower
        self.kernel = follower.day.kernel
        self.late = follower.day.chance.uniform(0.0002, 0.005)
        self.left = False  # the subscriber has closed it
        self.over = False  # the member has

    def settimeout(self, seconds: float) -> None:
        """As a socket's."""

    def setsockopt(self, *options: int) -> None:
        """As a socket's."""

    def sendall(self, data: bytes) -> None:
        if self.left:
            raise ConnectionResetError("the subscriber has gone")
        self.kernel.spawn_as(None, self._arrive, data)

    def _arrive(self, data: bytes) -> None:
        self.kernel.sleep(self.late)
        for line in data.decode().splitlines():
            if not self.left and line:
                self.follower.received(self, line)


class Follower:
    """One subscriber. It begins subscriptions one after another, each under a name of its own."""

    def __init__(self, all_of_them: "Subscribers", number: int, begun: int = 1) -> None:
        self.subscribers = all_of_them
        self.day: DayState = all_of_them.day
        self.number = number
        self.watched = self.day.watched
        self.begun = begun
        self.name = f"s{number}-{begun}"
        self.cursors: dict[str, int] = {}
        self.filter = self.day.chance.choice(FILTERS)
        self.term = parse_filter(self.filter).term

    def meets(self, event: Event) -> bool:
        return reference_matcher.matches(self.term, event)

    def run(self) -> None:
        """Follow here and there, for as long as the day lasts."""
        day = self.day
        while True:
            usable = [each for each in self.subscribers.senders if each.node is not None]
            if not usable:
                day.kernel.sleep(AGAIN)
                continue
            sender = day.chance.choice(usable)
            owner, connection = sender.owner, FakeConnection(self)
            words = [self.name, *(f"{source}:{at}" for source, at in self.cursors.items()), "WHERE", self.filter]
            day.kernel.spawn_as(owner, follow, sender, connection, " ".join(words))
            leaves = day.now() + round(day.chance.expovariate(1 / STAYS) * 1_000_000)
            while not owner.dead and not connection.over and (day.now() < leaves or day.resting):
                day.kernel.sleep(LOOK)
            connection.left = True
            if not day.resting and not connection.over and day.chance.random() < ENDS:
                if self._ended(day.chance.choice(usable)):
                    after = Follower(self.subscribers, self.number, self.begun + 1)
                    self.subscribers.followers[self.number] = after
                    return after.run()
            day.kernel.sleep(AGAIN)

    def _ended(self, sender: Sender) -> bool:
        """Whether the subscription could be ended at a member."""
        answer = unfollowed(sender, self.name)
        if not answer:
            return False
        self.subscribers.ended[self.name] = self
        if "not yet told" not in answer:
            self.watched.ended.append(Ended(self.name, self.day.now()))
        for source, at in self.cursors.items():  # it has gone, and is owed nothing more
            self.watched.gaps.append(Gap(self.name, source, at + 1, LAST_NUMBER, self.day.now()))
        return True

    def received(self, connection: FakeConnection, line: str) -> None:
        """Take one line of the stream."""
        if not line.startswith("{"):
            connection.over = connection.over or line.startswith("NO")
            return
        record, at, watched = json.loads(line), self.day.now(), self.watched
        if record["type"] == "match":
            event = record["event"]
            watched.matched.append(Matched(self.name, event["source"], event["number"], at))
            self.cursors[event["source"]] = event["number"]
        elif record["type"] == "gap":
            watched.gaps.append(Gap(self.name, record["source"], record["first"], record["last"], at))
            self.cursors[record["source"]] = record["last"]
        elif record["type"] == "from":
            source, number = record["source"], record["number"]
            if source in self.cursors:  # what lies between is kept no more
                watched.gaps.append(Gap(self.name, source, self.cursors[source] + 1, number - 1, at))
            watched.evaluates.append(Evaluates(self.name, source, number, at))
            self.cursors[source] = number - 1
        else:  # the source has ended, and what it had not handed over is lost
            watched.gaps.append(Gap(self.name, record["source"], record["after"] + 1, LAST_NUMBER, at))
            self.cursors.pop(record["source"], None)


def follow(sender: Sender, connection: FakeConnection, words: str) -> None:
    """In the member's process: a call of `FOLLOW`, as the management address answers it."""
    try:
        answer = sender.management.subscription_handler(Call("FOLLOW", words))
        if not isinstance(answer, str):
            answer(connection)
    except CedarwickError as error:
        connection.sendall(f"NO {error.line}\n".encode("ascii", "replace"))
    finally:
        connection.over = True


def unfollowed(sender: Sender, name: str) -> str:
    """What a member answers to `UNFOLLOW`; empty where it refuses, or does not answer."""
    answers: list[str] = []

    def ask() -> None:
        try:
            answers.append(str(sender.management.subscription_handler(Call("UNFOLLOW", name))))
        except CedarwickError:
            answers.append("")

    kernel, owner = sender.day.kernel, sender.owner
    kernel.spawn_as(owner, ask)
    while not answers and not owner.dead:
        kernel.sleep(LOOK)
    return answers[0] if answers else ""


class Subscribers:
    """All subscribers of a day, those whose subscriptions were ended among them."""

    def __init__(self, day: DayState, senders: Sequence[Sender], count: int) -> None:
        self.day = day
        self.senders = senders
        self.ended: dict[str, Follower] = {}  # subscriptions that were ended, by name
        self.followers = [Follower(self, number) for number in range(count)]

    def probe(self) -> None:
        """At the end: an ended subscription can't be followed by its name alone, and gets nothing."""
        day, watched = self.day, self.day.watched
        known = {each.subscription for each in watched.ended}
        for name, follower in self.ended.items():
            if name not in known:
                watched.ended.append(Ended(name, day.now()))
            for sender in self.senders:
                if sender.node is not None:
                    connection = FakeConnection(follower)
                    follower.cursors = {}
                    day.kernel.spawn_as(sender.owner, follow, sender, connection, name)
                    day.kernel.sleep(PROBED / len(self.senders))
                    connection.left = True

    def exchange_class(self) -> type[Exchange]:
        """The class whose events the day's history has."""
        return type("Seen", (Seen,), {"subscribers": self})


class Seen(Exchange):
    """An exchange whose events are known to the day."""

    subscribers: Subscribers

    def _publish(self, kind: str, fields: dict[str, Value]) -> None:
        assert self.server is not None
        source, number = self.server.source.name, self.server.source.next_number
        event = Event(source, number, 0, kind, fields)
        meets = tuple(
            each.name for each in (*self.subscribers.followers, *self.subscribers.ended.values()) if each.meets(event)
        )
        day = self.subscribers.day
        day.watched.occurred.append(Occurred(source, number, day.now(), meets))
        super()._publish(kind, fields)
