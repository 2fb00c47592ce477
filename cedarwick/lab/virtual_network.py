"""The drawn network of a virtual day: carries peer messages between senders, as its faults have it."""

from collections.abc import Iterator, Sequence

from cedarwick.lab.relay import Direction, Fault
from cedarwick.lab.virtual import AsyncResult
from cedarwick.lab.virtual_senders import Sender
from cedarwick.lab.virtual_state import LOOK, DayState, Pair


class Network:
    """Carries peer messages between senders, as the faults that are on have it."""

    def __init__(self, day: DayState, senders: Sequence[Sender]) -> None:
        self.day = day
        self.senders = senders
        self.faults: list[tuple[Pair, Fault]] = []

    def carry(self, asks: str, answers: str, peer_message: bytes, box: AsyncResult) -> None:
        """As `virtual.Carry`."""
        self.day.kernel.spawn_as(None, self._carry, (int(asks[1:]), int(answers[1:])), peer_message, box)

    def _carry(self, pair: Pair, peer_message: bytes, box: AsyncResult) -> None:
        kernel, sender = self.day.kernel, self.senders[pair[1]]
        if not self._through(pair, "asks", "ask-lost", len(peer_message), box):
            return
        if not sender.running:
            return box.set(None)
        if (twice := self._hit(pair, "twice", "asks")) is not None:
            kernel.spawn_as(None, self._again, sender, peer_message, self._wait(twice))
        owner, answered = sender.owner, AsyncResult()
        kernel.spawn_as(owner, sender.answer, peer_message, answered)
        while not answered.came(0.05):
            if owner.dead:
                return box.set(None)
        if answered.value is None or self._through(pair, "answers", "answer-lost", len(answered.value), box):
            box.set(answered.value)

    def _again(self, sender: Sender, peer_message: bytes, after: float) -> None:
        self.day.kernel.sleep(after)
        if sender.running:
            self.day.kernel.spawn_as(sender.owner, sender.answer, peer_message, AsyncResult())

    def _through(self, pair: Pair, way: Direction, loss: str, size: int, box: AsyncResult) -> bool:
        """Whether a message gets through, after its time on the way; the box is set where its connection is reset."""
        lost = self._hit(pair, loss, way)
        if lost is not None and lost.then == "silent":
            return False
        if lost is not None or self._hit(pair, "reset", way) is not None:
            box.set(None)
            return False
        for late in (0.0, self._late(pair, way, size)):
            self.day.kernel.sleep(late)
            while any(fault.kind == "silent" and fault.held for fault in self._on(pair, way)):
                self.day.kernel.sleep(LOOK)
            if any(fault.kind == "cut" and fault.way == "both" for fault in self._on(pair, way)):
                box.set(None)
                return False
            if any(fault.kind in ("cut", "silent") for fault in self._on(pair, way)):
                return False
        return True

    def _on(self, pair: Pair, way: Direction) -> Iterator[Fault]:
        return (fault for met, fault in self.faults if met == pair and fault.applies_to(way))

    def _hit(self, pair: Pair, kind: str, way: Direction) -> Fault | None:
        """The first fault of a kind that meets this message, by its share."""
        chance = self.day.chance
        return next((each for each in self._on(pair, way) if each.kind == kind and chance.random() < each.share), None)

    def _wait(self, fault: Fault) -> float:
        return (fault.ms + self.day.chance.uniform(0, fault.jitter_ms)) / 1000

    def _late(self, pair: Pair, way: Direction, size: int) -> float:
        """Seconds that a message is on its way."""
        took = self.day.chance.uniform(0.0001, 0.0008)
        for fault in self._on(pair, way):
            if fault.kind == "delay":
                took += self._wait(fault)
            elif fault.kind == "trickle":
                took += size / fault.size * fault.ms / 1000
        return took
