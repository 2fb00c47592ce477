"""Simulated partners and platform of a virtual day, and fakes of a sender's attempt runner and notifier."""

import json
from bisect import bisect_right
from collections.abc import Callable, Collection, Sequence

from cedarwick.decisions.interface import Outcome
from cedarwick.lab.history import NEVER, Called, Noticed
from cedarwick.lab.units import SECOND
from cedarwick.lab.virtual import WALL_CLOCK_AT_START, VirtualProcess
from cedarwick.lab.virtual_state import DAY_LIMIT_US, RECEIVERS_PER_DESTINATION, SCENARIO, DayState
from cedarwick.net.attempts import AttemptCall, AttemptResult, AttemptRunner
from cedarwick.net.counters import Counters
from cedarwick.net.dispatcher import Dispatcher
from cedarwick.net.notifications import Notifier

ANSWERS = ("ok", "full", "error", "hang", "reset")
# Relative frequency of each answer: for a healthy receiver, for a failing one, and for all receivers on "worst" days.
HEALTHY_WEIGHTS, FAILING_WEIGHTS, WORST_WEIGHTS = (970, 20, 4, 3, 3), (10, 25, 20, 25, 20), (30, 15, 10, 25, 20)
# Mean duration in seconds of a receiver's healthy and failing phases. Failures have to come in phases: with independent
# failures at any call, which real partners don't have, the decisions take each for an outage and hardly anything is
# delivered.
MEAN_PHASE_S = {"calm": (4.0, 1.5), "usual": (8.0, 0.8), "hard": (4.0, 1.5)}
STATUS_BY_ANSWER = {"ok": 200, "full": 503, "error": 500}
OUTCOME_BY_ANSWER = {"ok": Outcome.COMPLETED, "full": Outcome.FULL, "error": Outcome.ERROR, "reset": Outcome.RESET}
MAX_CLEARANCE_AGE_US = 50_000  # a clearance based on an older poll of the sockets is requested again


class SimulatedPartners:
    """The receivers of all destinations: draws their answers and records the calls that they see."""

    def __init__(self, day: DayState) -> None:
        self.day = day
        self.phase_changes = [
            self._draw_phase_changes() for _ in range(SCENARIO.destinations() * RECEIVERS_PER_DESTINATION)
        ]

    def _draw_phase_changes(self) -> list[int]:
        """Draw the times at which a receiver starts to fail and recovers, alternately."""
        if self.day.level == "worst":
            return []
        changes, change_at = [], 0.0
        while change_at < DAY_LIMIT_US:
            for mean_s in MEAN_PHASE_S[self.day.level]:
                change_at += self.day.rng.expovariate(1 / mean_s) * SECOND
                changes.append(round(change_at))
        return changes

    def answer_weights(self, receiver: int) -> Sequence[int]:
        """Return the relative frequency of each answer of a receiver at this time."""
        if self.day.level == "worst":
            return WORST_WEIGHTS
        return (
            FAILING_WEIGHTS if bisect_right(self.phase_changes[receiver - 1], self.day.now()) % 2 else HEALTHY_WEIGHTS
        )

    def serve(self, record: Called, process: VirtualProcess, answer: str, answers_at: int) -> None:
        """Record how a call ends at its partner: it answers at `answers_at`, unless the caller leaves before."""
        while self.day.now() < answers_at and not process.dead and record.ended == NEVER:
            self.day.kernel.sleep(min(0.01, (answers_at - self.day.now()) / SECOND))
        record.ran = answer in ("ok", "reset") or answer in ("error", "hang") and self.day.rng.random() < 0.5
        if record.ended == NEVER:
            record.ended = self.day.now()
            record.status = STATUS_BY_ANSWER.get(answer, 0) if self.day.now() >= answers_at else 0


class SimulatedNotifier(Notifier):
    """A notifier whose platform answers after a short delay, and in 3 % of the posts loses its answer."""

    def __init__(
        self, day: DayState, sender: int, counters: Counters, acknowledged: Callable[[list[int]], None]
    ) -> None:
        super().__init__(("", 0), counters, acknowledged)
        self.day = day
        self.sender = sender

    def _post(self, body: bytes) -> int:
        day = self.day
        day.kernel.sleep(day.rng.uniform(0.0005, 0.01))
        for line in body.splitlines():
            notice = json.loads(line)
            after = round(notice.get("after_ms", 0) * 1000)
            day.history.add(Noticed(notice["id"], notice["state"], after, day.now(), self.sender))
        if day.rng.random() < 0.03:
            return 0
        day.kernel.sleep(day.rng.uniform(0.0005, 0.01))
        return 204


class SimulatedAttemptRunner(AttemptRunner):
    """An attempt runner with simulated partners; it makes the same checks before sending as the real one."""

    def __init__(
        self, day: DayState, partners: SimulatedPartners, dispatcher: Dispatcher, sender: int, process: VirtualProcess
    ) -> None:
        """`process`: the sender's process that makes the attempts."""
        self.day = day
        self.partners = partners
        self.dispatcher = dispatcher
        self.sender = sender
        self.process = process
        self.request_clearance = dispatcher.request_clearance
        self.report_result = dispatcher.attempt_ended
        self.in_flight = {}
        self.records_by_number: dict[int, Called] = {}  # calls in flight, by message number

    def start(self, call: AttemptCall) -> None:
        task = self.day.kernel.spawn(self._run, call)
        self.in_flight[task] = call
        task.rawlink(lambda ended: self.in_flight.pop(ended, None))

    def abort(self, numbers: Collection[int]) -> None:
        for task, call in list(self.in_flight.items()):
            if call.message.number in numbers and not call.reported:
                task.kill()
                if (
                    record := self.records_by_number.pop(call.message.number, None)
                ) is not None and record.ended == NEVER:
                    record.ended = self.day.now()
                self._report_outcome(call, Outcome.RESET if call.recorded else Outcome.MOOT)

    def _run(self, call: AttemptCall) -> None:
        day = self.day
        day.kernel.sleep(day.rng.uniform(0.0002, 0.002))
        for _ in range(3):
            if not self.request_clearance(call):
                call.reported = True
                return
            if WALL_CLOCK_AT_START + day.kernel.now - call.polled_at <= MAX_CLEARANCE_AGE_US:
                break
            day.kernel.sleep()
        else:
            return self._report_outcome(call, Outcome.MOOT)
        if not self.dispatcher.may_send(call.message.number):
            return self._report_outcome(call, Outcome.MOOT)
        self._report_outcome(call, self._attempt(call))

    def _attempt(self, call: AttemptCall) -> Outcome:
        day, stored = self.day, call.message
        answer = day.rng.choices(ANSWERS, self.partners.answer_weights(call.receiver))[0]
        duration = round(day.rng.uniform(0.004, 0.08) * SECOND) if answer != "hang" else DAY_LIMIT_US
        record = Called(
            stored.id, stored.key, f"s-{call.receiver}", stored.destination, self.sender, day.now(), day.now()
        )
        day.history.add(record)
        self.records_by_number[stored.number] = record
        time_left = max(0, call.until - WALL_CLOCK_AT_START - day.kernel.now)
        day.kernel.spawn_in(None, self.partners.serve, record, self.process, answer, day.kernel.now + duration)
        day.kernel.sleep(min(duration, time_left) / SECOND)
        if duration <= time_left:
            return OUTCOME_BY_ANSWER[answer]
        if record.ended == NEVER:
            record.ended = day.now()
        return Outcome.TIME_OUT

    def _report_outcome(self, call: AttemptCall, outcome: Outcome) -> None:
        call.reported = True
        self.records_by_number.pop(call.message.number, None)
        self.report_result(call, AttemptResult(outcome, took=1000, last=outcome is Outcome.COMPLETED))
