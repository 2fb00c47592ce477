"""The simulated network of a virtual day: delivers peer messages between senders, subject to network faults."""

from collections.abc import Iterator, Sequence

from cedarwick.lab.relay import Direction, Fault
from cedarwick.lab.virtual import AsyncResult
from cedarwick.lab.virtual_senders import Sender
from cedarwick.lab.virtual_state import STATE_POLL_S, DayState, Link


class SimulatedNetwork:
    """Delivers peer messages between senders, subject to the faults that are active."""

    def __init__(self, day: DayState, senders: Sequence[Sender]) -> None:
        self.day = day
        self.senders = senders
        self.faults: list[tuple[Link, Fault]] = []

    def deliver(self, caller: str, callee: str, peer_message: bytes, result: AsyncResult) -> None:
        """Deliver a request and set `result` to its answer, as `virtual.DeliverPeerMessage` describes."""
        self.day.kernel.spawn_in(None, self._deliver, (int(caller[1:]), int(callee[1:])), peer_message, result)

    def _deliver(self, link: Link, peer_message: bytes, result: AsyncResult) -> None:
        kernel, sender = self.day.kernel, self.senders[link[1]]
        if not self._passes(link, "asks", "ask-lost", len(peer_message), result):
            return
        if not sender.running:
            return result.set(None)
        if (duplicate := self._draw_fault(link, "twice", "asks")) is not None:
            kernel.spawn_in(None, self._deliver_again, sender, peer_message, self._delay_s(duplicate))
        process, answer = sender.process, AsyncResult()
        kernel.spawn_in(process, sender.answer_peer_message, peer_message, answer)
        while not answer.wait_until_set(0.05):
            if process.dead:
                return result.set(None)
        if answer.value is None or self._passes(link, "answers", "answer-lost", len(answer.value), result):
            result.set(answer.value)

    def _deliver_again(self, sender: Sender, peer_message: bytes, delay_s: float) -> None:
        self.day.kernel.sleep(delay_s)
        if sender.running:
            self.day.kernel.spawn_in(sender.process, sender.answer_peer_message, peer_message, AsyncResult())

    def _passes(self, link: Link, way: Direction, loss_kind: str, size: int, result: AsyncResult) -> bool:
        """Wait for the transit time and return whether the message arrives; sets `result` to None on a reset."""
        loss = self._draw_fault(link, loss_kind, way)
        if loss is not None and loss.then == "silent":
            return False
        if loss is not None or self._draw_fault(link, "reset", way) is not None:
            result.set(None)
            return False
        for transit_s in (0.0, self._transit_s(link, way, size)):
            self.day.kernel.sleep(transit_s)
            while any(fault.kind == "silent" and fault.held for fault in self._active_faults(link, way)):
                self.day.kernel.sleep(STATE_POLL_S)
            if any(fault.kind == "cut" and fault.way == "both" for fault in self._active_faults(link, way)):
                result.set(None)
                return False
            if any(fault.kind in ("cut", "silent") for fault in self._active_faults(link, way)):
                return False
        return True

    def _active_faults(self, link: Link, way: Direction) -> Iterator[Fault]:
        return (fault for faulty_link, fault in self.faults if faulty_link == link and fault.applies_to(way))

    def _draw_fault(self, link: Link, kind: str, way: Direction) -> Fault | None:
        """Return the first active fault of a kind that affects this message; each does with probability `share`."""
        rng = self.day.rng
        return next(
            (each for each in self._active_faults(link, way) if each.kind == kind and rng.random() < each.share), None
        )

    def _delay_s(self, fault: Fault) -> float:
        return (fault.ms + self.day.rng.uniform(0, fault.jitter_ms)) / 1000

    def _transit_s(self, link: Link, way: Direction, size: int) -> float:
        """Return the transit time of a message."""
        duration_s = self.day.rng.uniform(0.0001, 0.0008)
        for fault in self._active_faults(link, way):
            if fault.kind == "delay":
                duration_s += self._delay_s(fault)
            elif fault.kind == "trickle":
                duration_s += size / fault.size * fault.ms / 1000
        return duration_s
