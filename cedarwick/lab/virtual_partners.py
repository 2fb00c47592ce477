"""Drawn partners and platform of a virtual day, and fakes for a sender's attempts and notices."""

import json
from bisect import bisect_right
from collections.abc import Callable, Collection, Sequence

from cedarwick.decisions.interface import Outcome
from cedarwick.lab.history import NEVER, Called, Noticed
from cedarwick.lab.units import SECOND
from cedarwick.lab.virtual import WALL, Owner
from cedarwick.lab.virtual_state import LONGEST, RECEIVERS, SCENARIO, DayState
from cedarwick.net.attempts import AttemptCall, AttemptResult, AttemptRunner
from cedarwick.net.counters import Counters
from cedarwick.net.dispatcher import Dispatcher
from cedarwick.net.notifications import Notifier

ANSWERS = ("ok", "full", "error", "hang", "reset")
# How often partners answer so: a receiver that is well, one in a bad spell, and all of the worst days.
WELL, BAD, WORST = (970, 20, 4, 3, 3), (10, 25, 20, 25, 20), (30, 15, 10, 25, 20)
# Seconds that a receiver is well and bad, on the average. Danger: failures that come one by one, at any call, are no
# fault that a partner has; the decisions take each for an outage, and hardly anything is delivered.
SPELLS = {"calm": (4.0, 1.5), "usual": (8.0, 0.8), "hard": (4.0, 1.5)}
STATUS = {"ok": 200, "full": 503, "error": 500}
OUTCOMES = {"ok": Outcome.COMPLETED, "full": Outcome.FULL, "error": Outcome.ERROR, "reset": Outcome.RESET}
TOO_OLD = 50_000  # a clearance that rests on an older look at the sockets is asked for anew


class DrawnPartners:
    """The receivers of all destinations: what each answers, and what it sees of a call."""

    def __init__(self, day: DayState) -> None:
        self.day = day
        self.moods = [self._moods() for _ in range(SCENARIO.destinations() * RECEIVERS)]

    def _moods(self) -> list[int]:
        """When a receiver turns bad, and well again, in turn."""
        if self.day.level == "worst":
            return []
        turns, at = [], 0.0
        while at < LONGEST:
            for span in SPELLS[self.day.level]:
                at += self.day.chance.expovariate(1 / span) * SECOND
                turns.append(round(at))
        return turns

    def mood(self, receiver: int) -> Sequence[int]:
        """How often a receiver gives each answer now."""
        if self.day.level == "worst":
            return WORST
        return BAD if bisect_right(self.moods[receiver - 1], self.day.now()) % 2 else WELL

    def serve(self, seen: Called, owner: Owner, answer: str, end: int) -> None:
        """What a partner sees of a call, until it has answered or the caller has gone."""
        while self.day.now() < end and not owner.dead and seen.ended == NEVER:
            self.day.kernel.sleep(min(0.01, (end - self.day.now()) / SECOND))
        seen.ran = answer in ("ok", "reset") or answer in ("error", "hang") and self.day.chance.random() < 0.5
        if seen.ended == NEVER:
            seen.ended = self.day.now()
            seen.status = STATUS.get(answer, 0) if self.day.now() >= end else 0


class DrawnNotices(Notifier):
    """Posts to a platform that takes a moment, and sometimes loses an answer."""

    def __init__(
        self, day: DayState, sender: int, counters: Counters, acknowledged: Callable[[list[int]], None]
    ) -> None:
        super().__init__(("", 0), counters, acknowledged)
        self.day = day
        self.sender = sender

    def _post(self, body: bytes) -> int:
        day = self.day
        day.kernel.sleep(day.chance.uniform(0.0005, 0.01))
        for line in body.splitlines():
            notice = json.loads(line)
            after = round(notice.get("after_ms", 0) * 1000)
            day.history.add(Noticed(notice["id"], notice["state"], after, day.now(), self.sender))
        if day.chance.random() < 0.03:
            return 0
        day.kernel.sleep(day.chance.uniform(0.0005, 0.01))
        return 204


class DrawnAttempts(AttemptRunner):
    """Attempts at partners whose answers are drawn, with the looks before the first byte that the real ones make."""

    def __init__(
        self, day: DayState, partners: DrawnPartners, dispatcher: Dispatcher, sender: int, owner: Owner
    ) -> None:
        """For one process of a sender, `owner`."""
        self.day = day
        self.partners = partners
        self.dispatcher = dispatcher
        self.sender = sender
        self.owner = owner
        self.request_clearance = dispatcher.request_clearance
        self.report_result = dispatcher.attempt_ended
        self.in_flight = {}
        self.seen: dict[int, Called] = {}  # by message: the call that its partner has

    def start(self, call: AttemptCall) -> None:
        task = self.day.kernel.spawn(self._run, call)
        self.in_flight[task] = call
        task.rawlink(lambda ended: self.in_flight.pop(ended, None))

    def abort(self, numbers: Collection[int]) -> None:
        for task, call in list(self.in_flight.items()):
            if call.message.number in numbers and not call.reported:
                task.kill()
                if (seen := self.seen.pop(call.message.number, None)) is not None and seen.ended == NEVER:
                    seen.ended = self.day.now()
                self._ended(call, Outcome.RESET if call.recorded else Outcome.MOOT)

    def _run(self, call: AttemptCall) -> None:
        day = self.day
        day.kernel.sleep(day.chance.uniform(0.0002, 0.002))
        for _ in range(3):
            if not self.request_clearance(call):
                call.reported = True
                return
            if WALL + day.kernel.now - call.polled_at <= TOO_OLD:
                break
            day.kernel.sleep()
        else:
            return self._ended(call, Outcome.MOOT)
        if not self.dispatcher.may_send(call.message.number):
            return self._ended(call, Outcome.MOOT)
        self._ended(call, self._attempt(call))

    def _attempt(self, call: AttemptCall) -> Outcome:
        day, stored = self.day, call.message
        answer = day.chance.choices(ANSWERS, self.partners.mood(call.receiver))[0]
        took = round(day.chance.uniform(0.004, 0.08) * SECOND) if answer != "hang" else LONGEST
        seen = Called(
            stored.id, stored.key, f"s-{call.receiver}", stored.destination, self.sender, day.now(), day.now()
        )
        day.history.add(seen)
        self.seen[stored.number] = seen
        left = max(0, call.until - WALL - day.kernel.now)
        day.kernel.spawn_as(None, self.partners.serve, seen, self.owner, answer, day.kernel.now + took)
        day.kernel.sleep(min(took, left) / SECOND)
        if took <= left:
            return OUTCOMES[answer]
        if seen.ended == NEVER:
            seen.ended = day.now()
        return Outcome.TIME_OUT

    def _ended(self, call: AttemptCall, outcome: Outcome) -> None:
        call.reported = True
        self.seen.pop(call.message.number, None)
        self.report_result(call, AttemptResult(outcome, took=1000, last=outcome is Outcome.COMPLETED))
