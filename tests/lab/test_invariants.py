"""The audit of a fleet on hand-written histories: for each rule, violations and histories that just keep it."""

import unittest
from typing import Any

from cedarwick.lab.audit_subscribers import Ended, Evaluates, Gap, Matched, Occurred, Watched
from cedarwick.lab.history import Gone, History, Life, Noticed
from cedarwick.lab.invariants import FaultSpan, Terms, find_majority_outages, judge
from tests.lab.test_audit import MS, SCENARIO, SECOND, called, handed, killed

OWN, COPY = Terms(senders=3), Terms(senders=3, ack="copy")


def lost_for_good(at: int, sender: int = 0) -> list[Any]:
    """A sender that is killed and whose folder is lost."""
    return [
        Life(sender, "killed", at),
        Life(sender, "ended", at + 1),
        Gone(0, "folder-lost", at, at, [f"n{sender}"], 0),
    ]


def link_fault(begin: int, end: int, *on: str, kind: str = "split") -> Gone:
    return Gone(0, kind, begin, end, list(on), 0.0)


def notice(at: int, sender: int = 1, state: str = "returned") -> Noticed:
    return Noticed("a", state, 0, at, sender)


def keyed_message(id: str, sent: int, sender: int = 0) -> Any:
    return handed(id, "line", sent=sent, turn="7", sender=sender)


OPEN_CALL = called(took=9 * SECOND)  # a call that its partner does not answer for 9 s
LATER_CALL = called(at=4 * SECOND, sender=1)
FIRST_MESSAGE, SECOND_MESSAGE = keyed_message("a", 0), keyed_message("b", 20 * MS, 1)

# name, expected rule violations, terms, history records
HISTORY_CASES: list[tuple[str, list[int], Terms, list[Any]]] = [
    ("holder lost for good, no final answer", [11], COPY, [handed(), *lost_for_good(3 * SECOND)]),
    ("the replica's holder delivers", [], COPY, [handed(), *lost_for_good(3 * SECOND), LATER_CALL]),
    (
        "the replica's holder gives the final answer too late",
        [11],
        COPY,
        [handed(), *lost_for_good(SECOND), notice(7 * SECOND)],
    ),
    (
        "sender lost just before the deadline, final answer within the adoption limit",
        [],
        COPY,
        [handed(), *lost_for_good(6 * SECOND), notice(8 * SECOND)],
    ),
    (
        "own: lost with its folder before a copy existed",
        [],
        OWN,
        [handed(), *killed(500 * MS, 2 * SECOND), *lost_for_good(500 * MS)[2:]],
    ),
    (
        "own: killed before a copy existed, restarted with its folder",
        [11],
        OWN,
        [handed(), *killed(500 * MS, 2 * SECOND)],
    ),
    (
        "own: forwarded to a session's holder that is lost with its folder",
        [],
        OWN,
        [handed(taker=1), *killed(500 * MS, 2 * SECOND, 1), *lost_for_good(500 * MS, 1)[2:]],
    ),
    (
        "own: forwarded, then the forwarding sender is lost",
        [11],
        OWN,
        [handed(taker=1), *killed(500 * MS, 2 * SECOND), *lost_for_good(500 * MS)[2:]],
    ),
    ("own: accepted after the folder was lost", [11], OWN, [handed(sent=3 * SECOND), *lost_for_good(2500 * MS)[2:]]),
    ("own: lost with its folder when a copy must exist", [11], OWN, [handed(), *lost_for_good(3 * SECOND)]),
    (
        "a majority outage extends the deadline",
        [],
        COPY,
        [handed(), link_fault(2 * SECOND, 9 * SECOND, "n0", "n1"), notice(11 * SECOND)],
    ),
    ("two different final answers", [11], COPY, [handed(), notice(6 * SECOND), notice(6 * SECOND, 0, "failed")]),
    (
        "isolated holder reports 'failed' at the deadline, the successor 'returned'",
        [],
        COPY,
        [handed(), link_fault(SECOND, 9 * SECOND, "n0"), notice(5800 * MS, 0, "failed"), notice(6 * SECOND)],
    ),
    (
        "isolated holder reports 'failed' long before the deadline",
        [11],
        COPY,
        [handed(), link_fault(SECOND, 9 * SECOND, "n0"), notice(4 * SECOND, 0, "failed"), notice(6 * SECOND)],
    ),
    (
        "isolated holder reports 'returned'",
        [11],
        COPY,
        [handed(), link_fault(SECOND, 9 * SECOND, "n0"), notice(5800 * MS, 0), notice(6 * SECOND, 1, "failed")],
    ),
    ("the same final answer twice", [], COPY, [handed(), notice(6 * SECOND), notice(6 * SECOND, 0)]),
    ("delivered and reported as failed", [11], COPY, [handed(), called(), notice(2 * SECOND, 1, "failed")]),
    (
        "delivered to a caller that had left, reported as failed",
        [],
        COPY,
        [handed(), called(left=True), notice(2 * SECOND, 1, "failed")],
    ),
    (
        "delivered to a caller that had left and to one that had not, reported as failed",
        [11],
        COPY,
        [handed(), called(left=True), called(at=SECOND), notice(2 * SECOND, 1, "failed")],
    ),
    (
        "delivered by a sender that is then lost, reported as failed",
        [],
        COPY,
        [handed(), called(), *lost_for_good(30 * MS), notice(4 * SECOND, 1, "failed")],
    ),
    (
        "delivered long after a fault, reported as failed",
        [11],
        COPY,
        [handed(sent=5 * SECOND), link_fault(0, SECOND, "n0"), called(at=5 * SECOND), notice(7 * SECOND, 1, "failed")],
    ),
    (
        "a stopped sender continues and calls after the successor's notice",
        [11],
        COPY,
        [
            handed(),
            Life(0, "stopped", MS),
            notice(4 * SECOND),
            Life(0, "continued", 5 * SECOND),
            called(at=5 * SECOND, status=503),
        ],
    ),
    (
        "at-most-once message delivered by its sender and again by the successor",
        [2, 11],
        COPY,
        [handed(priority_class="once"), called(), *lost_for_good(SECOND), LATER_CALL],
    ),
    (
        "repeatable message delivered again after its sender's loss",
        [],
        COPY,
        [handed(), called(), *lost_for_good(SECOND), LATER_CALL],
    ),
    ("repeated delivery without any fault", [11], COPY, [handed(), called(), LATER_CALL]),
    (
        "two successors at once",
        [12],
        COPY,
        [handed(), *lost_for_good(SECOND), called(at=4 * SECOND, sender=1), called(at=4 * SECOND + 25 * MS, sender=2)],
    ),
    (
        "two successors, one after the other",
        [],
        COPY,
        [
            handed(),
            *lost_for_good(SECOND),
            called(at=4 * SECOND, sender=1, status=503),
            called(at=5 * SECOND, sender=2),
        ],
    ),
    (
        "taken over while the stopped holder's lease is valid",
        [12],
        COPY,
        [handed(), OPEN_CALL, Life(0, "stopped", 3500 * MS), LATER_CALL],
    ),
    (
        "taken over after the stopped holder's lease has expired",
        [],
        COPY,
        [handed(), OPEN_CALL, Life(0, "stopped", SECOND), LATER_CALL],
    ),
    (
        "a stopped sender continues and calls beside its own attempt",
        [12],
        COPY,
        [handed(), OPEN_CALL, Life(0, "stopped", SECOND), Life(0, "continued", 3 * SECOND), called(at=4 * SECOND)],
    ),
    (
        "at-most-once message called beside an attempt that may have run, after the lease has expired",
        [2, 12],
        COPY,
        [handed(priority_class="once"), called(took=9 * SECOND, status=500), Life(0, "stopped", SECOND), LATER_CALL],
    ),
    (
        "returned although an attempt may have run",
        [13],
        COPY,
        [handed(), called(status=0), *lost_for_good(SECOND), notice(4 * SECOND)],
    ),
    ("returned after attempts that never ran", [], COPY, [handed(), called(status=503), notice(4 * SECOND)]),
    (
        "the new holder of a moved key overtakes the old one",
        [14],
        COPY,
        [
            FIRST_MESSAGE,
            SECOND_MESSAGE,
            called("a", took=SECOND, mark="m"),
            called("b", at=100 * MS, mark="m", sender=1),
        ],
    ),
    (
        "the new holder of a moved key keeps the order",
        [],
        COPY,
        [FIRST_MESSAGE, SECOND_MESSAGE, called("a", mark="m"), called("b", at=100 * MS, mark="m", sender=1)],
    ),
    (
        "order between senders is not audited without `across`",
        [],
        Terms(senders=3, across=False),
        [
            FIRST_MESSAGE,
            SECOND_MESSAGE,
            called("a", took=SECOND, mark="m"),
            called("b", at=100 * MS, mark="m", sender=1),
        ],
    ),
    ("a process that crashed", [0], COPY, [Life(1, "crashed", SECOND, 1), *killed(SECOND, 2 * SECOND)]),
]

EVENTS = [Occurred("n0/1", number, number * MS, ("till",) if number % 2 else ()) for number in range(1, 8)]
EVALUATES_FROM_START = [Evaluates("till", "n0/1", 1, 0)]


def received(*numbers: int, at: int = 10 * MS) -> list[Matched]:
    return [Matched("till", "n0/1", number, at + index) for index, number in enumerate(numbers)]


SUBSCRIBER_CASES: list[tuple[str, list[int], Watched]] = [
    ("all matches", [], Watched(EVENTS, received(1, 3, 5, 7), [], EVALUATES_FROM_START)),
    ("a missing match", [15], Watched(EVENTS, received(1, 3, 7), [], EVALUATES_FROM_START)),
    (
        "a missing match within a reported gap",
        [],
        Watched(EVENTS, received(1, 3, 7), [Gap("till", "n0/1", 4, 6, 0)], EVALUATES_FROM_START),
    ),
    (
        "a missing match and a gap of another source",
        [15],
        Watched(EVENTS, received(1, 3, 7), [Gap("till", "n1/1", 4, 6, 0)], EVALUATES_FROM_START),
    ),
    (
        "matches before the source evaluates the filter",
        [],
        Watched(EVENTS, received(5, 7), [], [Evaluates("till", "n0/1", 4, 0)]),
    ),
    ("a match twice", [15], Watched(EVENTS, received(1, 3, 3, 5, 7), [], EVALUATES_FROM_START)),
    ("matches out of order", [15], Watched(EVENTS, received(1, 5, 3, 7), [], EVALUATES_FROM_START)),
    (
        "an event that the filter does not match",
        [15],
        Watched(EVENTS, received(1, 2, 3, 5, 7), [], EVALUATES_FROM_START),
    ),
    (
        "an event after the end of the subscription",
        [16],
        Watched(EVENTS, received(1, 3, 5, 7, at=SECOND), [], EVALUATES_FROM_START, [Ended("till", 9)]),
    ),
    (
        "missing matches after the end of the subscription",
        [],
        Watched(EVENTS, received(1, 3), [], EVALUATES_FROM_START, [Ended("till", 4 * MS)]),
    ),
    (
        "missing matches after the audited period",
        [],
        Watched(EVENTS, received(1, 3, 5), [], EVALUATES_FROM_START, settled=6 * MS),
    ),
]


class FleetAuditTest(unittest.TestCase):
    def test_histories_violate_exactly_the_expected_rules(self) -> None:
        for name, violated, terms, records in HISTORY_CASES:
            with self.subTest(name):
                history = History()
                for record in records:
                    history.add(record)
                verdict = judge(SCENARIO, history, 30 * SECOND, terms)
                self.assertEqual(sorted(verdict.counts_by_rule()), violated, verdict.findings)

    def test_subscriber_records_violate_exactly_the_expected_rules(self) -> None:
        for name, violated, watched in SUBSCRIBER_CASES:
            with self.subTest(name):
                verdict = judge(SCENARIO, History(), 30 * SECOND, COPY, watched)
                self.assertEqual(sorted(verdict.counts_by_rule()), violated, verdict.findings)

    def test_majority_outage_counts_each_unavailable_sender_once(self) -> None:
        spans = [
            FaultSpan(1, 9, frozenset([0]), "down"),
            FaultSpan(2, 4, frozenset([0]), "kill"),
            FaultSpan(3, 6, frozenset([1]), "split"),
            FaultSpan(2, 8, frozenset([2]), "delay"),
        ]
        self.assertEqual([(each.begin, each.end) for each in find_majority_outages(spans, 3)], [(3, 4), (4, 6)])
        self.assertEqual([(each.begin, each.end) for each in find_majority_outages(spans, 4)], [(3, 4), (4, 6)])
        self.assertEqual(find_majority_outages(spans, 5), [])


if __name__ == "__main__":
    unittest.main()
