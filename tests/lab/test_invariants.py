"""The fleet's claims on histories written by hand: each is broken on purpose, beside a near miss that keeps it."""

import unittest
from typing import Any

from cedarwick.lab.audit_subscribers import Ended, Evaluates, Gap, Matched, Occurred, Watched
from cedarwick.lab.history import Gone, History, Life, Noticed
from cedarwick.lab.invariants import Span as Out
from cedarwick.lab.invariants import Terms, judge, majority_gone
from tests.lab.test_audit import MS, SCENARIO, SECOND, called, handed, killed

OWN, COPY = Terms(senders=3), Terms(senders=3, ack="copy")


def lost(at: int, sender: int = 0) -> list[Any]:
    """Killed for good, folder and all."""
    return [
        Life(sender, "killed", at),
        Life(sender, "ended", at + 1),
        Gone(0, "folder-lost", at, at, [f"n{sender}"], 0),
    ]


def parted(begin: int, end: int, *on: str, kind: str = "split") -> Gone:
    return Gone(0, kind, begin, end, list(on), 0.0)


def returned(at: int, sender: int = 1, state: str = "returned") -> Noticed:
    return Noticed("a", state, 0, at, sender)


def line(id: str, sent: int, sender: int = 0) -> Any:
    return handed(id, "line", sent=sent, turn="7", sender=sender)


ON = called(took=9 * SECOND)  # a call that stays open at its partner
LATER = called(at=4 * SECOND, sender=1)
FIRST, SECOND_ONE = line("a", 0), line("b", 20 * MS, 1)

# name, rules broken (none: kept), terms, records
TABLE: list[tuple[str, list[int], Terms, list[Any]]] = [
    ("its holder is gone for good and nobody ends it", [11], COPY, [handed(), *lost(3 * SECOND)]),
    ("the copy's holder delivers", [], COPY, [handed(), *lost(3 * SECOND), LATER]),
    ("the copy's holder ends it too late", [11], COPY, [handed(), *lost(SECOND), returned(7 * SECOND)]),
    (
        "lost just before its limit, ended by the time of an adoption",
        [],
        COPY,
        [handed(), *lost(6 * SECOND), returned(8 * SECOND)],
    ),
    (
        "own: lost with its folder before anyone knew",
        [],
        OWN,
        [handed(), *killed(500 * MS, 2 * SECOND), *lost(500 * MS)[2:]],
    ),
    ("own: killed before anyone knew, and back with its folder", [11], OWN, [handed(), *killed(500 * MS, 2 * SECOND)]),
    (
        "own: passed on to a session's holder that is lost with its folder",
        [],
        OWN,
        [handed(taker=1), *killed(500 * MS, 2 * SECOND, 1), *lost(500 * MS, 1)[2:]],
    ),
    (
        "own: passed on, and who was asked is lost",
        [11],
        OWN,
        [handed(taker=1), *killed(500 * MS, 2 * SECOND), *lost(500 * MS)[2:]],
    ),
    ("own: taken after the folder was lost", [11], OWN, [handed(sent=3 * SECOND), *lost(2500 * MS)[2:]]),
    ("own: lost with its folder when a copy must be there", [11], OWN, [handed(), *lost(3 * SECOND)]),
    (
        "a majority gone puts the end off",
        [],
        COPY,
        [handed(), parted(2 * SECOND, 9 * SECOND, "n0", "n1"), returned(11 * SECOND)],
    ),
    ("two different ends", [11], COPY, [handed(), returned(6 * SECOND), returned(6 * SECOND, 0, "failed")]),
    (
        "cut off, it said 'failed' when the limit came; others had adopted and given it back",
        [],
        COPY,
        [handed(), parted(SECOND, 9 * SECOND, "n0"), returned(5800 * MS, 0, "failed"), returned(6 * SECOND)],
    ),
    (
        "cut off, it said so long before the limit",
        [11],
        COPY,
        [handed(), parted(SECOND, 9 * SECOND, "n0"), returned(4 * SECOND, 0, "failed"), returned(6 * SECOND)],
    ),
    (
        "cut off, it said 'returned' itself",
        [11],
        COPY,
        [handed(), parted(SECOND, 9 * SECOND, "n0"), returned(5800 * MS, 0), returned(6 * SECOND, 1, "failed")],
    ),
    ("the same end twice", [], COPY, [handed(), returned(6 * SECOND), returned(6 * SECOND, 0)]),
    ("delivered and said to have failed", [11], COPY, [handed(), called(), returned(2 * SECOND, 1, "failed")]),
    (
        "delivered to a caller that had left, said to have failed",
        [],
        COPY,
        [handed(), called(left=True), returned(2 * SECOND, 1, "failed")],
    ),
    (
        "delivered to a caller that had left, and to one that had not, said to have failed",
        [11],
        COPY,
        [handed(), called(left=True), called(at=SECOND), returned(2 * SECOND, 1, "failed")],
    ),
    (
        "delivered by one that died of it, said to have failed",
        [],
        COPY,
        [handed(), called(), *lost(30 * MS), returned(4 * SECOND, 1, "failed")],
    ),
    (
        "delivered long after a trouble, said to have failed",
        [11],
        COPY,
        [handed(sent=5 * SECOND), parted(0, SECOND, "n0"), called(at=5 * SECOND), returned(7 * SECOND, 1, "failed")],
    ),
    (
        "woken, it fires after the adopter's notice",
        [11],
        COPY,
        [
            handed(),
            Life(0, "stopped", MS),
            returned(4 * SECOND),
            Life(0, "continued", 5 * SECOND),
            called(at=5 * SECOND, status=503),
        ],
    ),
    (
        "at-most-once delivered by one and again by the adopter",
        [2, 11],
        COPY,
        [handed(priority_class="once"), called(), *lost(SECOND), LATER],
    ),
    ("a repeatable one delivered again after its sender's death", [], COPY, [handed(), called(), *lost(SECOND), LATER]),
    ("a merge that forgets a delivery, nobody having failed", [11], COPY, [handed(), called(), LATER]),
    (
        "two adopters at once",
        [12],
        COPY,
        [handed(), *lost(SECOND), called(at=4 * SECOND, sender=1), called(at=4 * SECOND + 25 * MS, sender=2)],
    ),
    (
        "one adopter after another",
        [],
        COPY,
        [handed(), *lost(SECOND), called(at=4 * SECOND, sender=1, status=503), called(at=5 * SECOND, sender=2)],
    ),
    (
        "adopted while its stopped holder's lease still ran",
        [12],
        COPY,
        [handed(), ON, Life(0, "stopped", 3500 * MS), LATER],
    ),
    ("adopted when its stopped holder's lease was over", [], COPY, [handed(), ON, Life(0, "stopped", SECOND), LATER]),
    (
        "woken, it fires beside its own attempt",
        [12],
        COPY,
        [handed(), ON, Life(0, "stopped", SECOND), Life(0, "continued", 3 * SECOND), called(at=4 * SECOND)],
    ),
    (
        "at-most-once fired beside a doubtful attempt, whatever the lease",
        [2, 12],
        COPY,
        [handed(priority_class="once"), called(took=9 * SECOND, status=500), Life(0, "stopped", SECOND), LATER],
    ),
    (
        "a merge that forgets an attempt: returned though it may have run",
        [13],
        COPY,
        [handed(), called(status=0), *lost(SECOND), returned(4 * SECOND)],
    ),
    ("returned after attempts that never ran", [], COPY, [handed(), called(status=503), returned(4 * SECOND)]),
    (
        "a mover that closes too early: the new holder overtakes",
        [14],
        COPY,
        [FIRST, SECOND_ONE, called("a", took=SECOND, mark="m"), called("b", at=100 * MS, mark="m", sender=1)],
    ),
    (
        "a moved key in order",
        [],
        COPY,
        [FIRST, SECOND_ONE, called("a", mark="m"), called("b", at=100 * MS, mark="m", sender=1)],
    ),
    (
        "order between senders is not judged where it is not promised",
        [],
        Terms(senders=3, across=False),
        [FIRST, SECOND_ONE, called("a", took=SECOND, mark="m"), called("b", at=100 * MS, mark="m", sender=1)],
    ),
    ("a process that ended by itself", [0], COPY, [Life(1, "crashed", SECOND, 1), *killed(SECOND, 2 * SECOND)]),
]

EVENTS = [Occurred("n0/1", number, number * MS, ("till",) if number % 2 else ()) for number in range(1, 8)]
SAYS = [Evaluates("till", "n0/1", 1, 0)]


def got(*numbers: int, at: int = 10 * MS) -> list[Matched]:
    return [Matched("till", "n0/1", number, at + place) for place, number in enumerate(numbers)]


WATCHING: list[tuple[str, list[int], Watched]] = [
    ("all of them", [], Watched(EVENTS, got(1, 3, 5, 7), [], SAYS)),
    ("a filter that drops a match", [15], Watched(EVENTS, got(1, 3, 7), [], SAYS)),
    ("a gap tells of it", [], Watched(EVENTS, got(1, 3, 7), [Gap("till", "n0/1", 4, 6, 0)], SAYS)),
    ("a gap of another source", [15], Watched(EVENTS, got(1, 3, 7), [Gap("till", "n1/1", 4, 6, 0)], SAYS)),
    ("before the source evaluates", [], Watched(EVENTS, got(5, 7), [], [Evaluates("till", "n0/1", 4, 0)])),
    ("twice", [15], Watched(EVENTS, got(1, 3, 3, 5, 7), [], SAYS)),
    ("out of order", [15], Watched(EVENTS, got(1, 5, 3, 7), [], SAYS)),
    ("what its filter does not meet", [15], Watched(EVENTS, got(1, 2, 3, 5, 7), [], SAYS)),
    (
        "a subscription that rises again",
        [16],
        Watched(EVENTS, got(1, 3, 5, 7, at=SECOND), [], SAYS, [Ended("till", 9)]),
    ),
    ("ended, nothing is owed afterwards", [], Watched(EVENTS, got(1, 3), [], SAYS, [Ended("till", 4 * MS)])),
    ("too late to be owed", [], Watched(EVENTS, got(1, 3, 5), [], SAYS, settled=6 * MS)),
]


class ClaimsTest(unittest.TestCase):
    def test_each_claim_is_broken_by_its_history_and_kept_by_the_near_miss(self) -> None:
        for name, broken, terms, records in TABLE:
            with self.subTest(name):
                history = History()
                for record in records:
                    history.add(record)
                verdict = judge(SCENARIO, history, 30 * SECOND, terms)
                self.assertEqual(sorted(verdict.counts_by_rule()), broken, verdict.findings)

    def test_what_subscribers_are_owed(self) -> None:
        for name, broken, watched in WATCHING:
            with self.subTest(name):
                verdict = judge(SCENARIO, History(), 30 * SECOND, COPY, watched)
                self.assertEqual(sorted(verdict.counts_by_rule()), broken, verdict.findings)

    def test_a_majority_is_gone_while_half_or_more_are_out_each_counted_once(self) -> None:
        spans = [
            Out(1, 9, frozenset([0]), "down"),
            Out(2, 4, frozenset([0]), "kill"),
            Out(3, 6, frozenset([1]), "split"),
            Out(2, 8, frozenset([2]), "delay"),
        ]
        self.assertEqual([(each.begin, each.end) for each in majority_gone(spans, 3)], [(3, 4), (4, 6)])
        self.assertEqual([(each.begin, each.end) for each in majority_gone(spans, 4)], [(3, 4), (4, 6)])
        self.assertEqual(majority_gone(spans, 5), [])


if __name__ == "__main__":
    unittest.main()
