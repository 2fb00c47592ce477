"""The audit judges histories written by hand: for each rule one that breaks it, and a near miss that does not."""

import unittest
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from cedarwick.lab.audit import judge
from cedarwick.lab.audit_account import earned_share
from cedarwick.lab.audit_cases import Verdict
from cedarwick.lab.history import Away, Called, Handed, Heard, History, Life, Noticed, Rude
from cedarwick.lab.scenario import Partner, PriorityClass, Scenario, Service, WarmUp

MS, SECOND = 1000, 1_000_000
SCENARIO = Scenario(
    name="hand",
    priority_classes=[
        PriorityClass(name="free", outer_ms=6000),
        PriorityClass(name="marked", repeat="numbered", outer_ms=6000, window_ms=2000),
        PriorityClass(name="once", repeat="at-most-once", outer_ms=6000),
        PriorityClass(name="line", repeat="numbered", in_turn=True, keys=4, outer_ms=6000),
    ],
    partner=[
        Partner(name="p", destinations=2, workers=1, service=Service(mean_ms=100), warm_up=WarmUp(share=0.5, warm_s=4))
    ],
)


def handed(id: str = "a", priority_class: str = "free", sent: int = 0, answer: str = "ok", **more: Any) -> Handed:
    """A request that was answered 2 ms after it was sent, with a deadline of 6 s."""
    fields: dict[str, Any] = {
        "first": id,
        "destination": 0,
        "mark": "m" if priority_class in ("marked", "line") else "",
        "turn": "0",
        "due": sent,
        "outer": sent + 6 * SECOND,
        "sender": 0,
        "answered": sent + 2 * MS,
        **more,
    }
    return Handed(id=id, priority_class=priority_class, sent=sent, answer=answer, **fields)


def called(id: str = "a", at: int = 10 * MS, took: int = 50 * MS, status: int = 200, **more: Any) -> Called:
    """A call that was answered after `took`."""
    fields: dict[str, Any] = {
        "mark": "",
        "endpoint": "e",
        "destination": 0,
        "sender": 0,
        "ran": status in (0, 200, 500),
        **more,
    }
    return Called(id=id, first=at, whole=at, ended=at + took, status=status, **fields)


def audit_records(*records: Any, until: int = 20 * SECOND) -> Verdict:
    """The verdict on some records, with the observation stopped at `until`."""
    history = History()
    for record in records:
        history.add(record)
    return judge(SCENARIO, history, until)


def killed(at: int, ready: int, sender: int = 0) -> list[Life]:
    """A SIGKILL of a sender at a time, and a new process that is ready at another."""
    return [
        Life(sender, "killed", at),
        Life(sender, "ended", at + 1),
        Life(sender, "started", ready - 1),
        Life(sender, "ready", ready),
    ]


class JudgingTestCase(unittest.TestCase):
    def assert_breaks(self, rule: int, *records: Any) -> None:
        self.assertEqual(sorted(audit_records(*records).counts_by_rule()), [rule])

    def assert_no_finding(self, *records: Any) -> None:
        self.assertEqual(audit_records(*records).findings, [])


class ProtocolTest(JudgingTestCase):
    def test_a_call_for_an_id_that_nobody_submitted(self) -> None:
        self.assert_breaks(0, handed(), called(), called("stranger"))
        self.assert_no_finding(handed(), called(), handed("stranger", answer="none"), called("stranger"))

    def test_a_call_to_another_destination_or_with_another_mark_or_body(self) -> None:
        self.assert_breaks(0, handed(), called(destination=1))
        self.assert_breaks(0, handed(priority_class="marked"), called(mark="other"))
        self.assert_breaks(0, handed(), called(body_ok=False))
        self.assert_no_finding(handed(priority_class="marked"), called(mark="m"))

    def test_a_process_that_ends_unexpectedly(self) -> None:
        self.assert_breaks(0, Life(0, "crashed", SECOND, 1))
        self.assert_no_finding(*killed(SECOND, 2 * SECOND))

    def test_a_bad_client_must_get_an_error_or_a_close_in_three_seconds(self) -> None:
        self.assert_breaks(0, Rude(0, SECOND, "noise", -1, ""))
        self.assert_breaks(0, Rude(0, SECOND, "noise", 5 * SECOND, "-ERR"))
        self.assert_breaks(0, Rude(0, SECOND, "no id", 2 * SECOND, "+OK"))
        self.assert_no_finding(Rude(0, SECOND, "noise", 4 * SECOND, "-ERR"))
        self.assert_no_finding(
            Rude(0, SECOND, "noise", 5 * SECOND, "-ERR"), Life(0, "stopped", SECOND), Life(0, "continued", 4 * SECOND)
        )


class NoMessageLostTest(JudgingTestCase):
    def test_an_accepted_message_without_a_final_answer(self) -> None:
        self.assert_breaks(1, handed(), called(status=503))
        self.assert_no_finding(handed(), called(status=503), Noticed("a", "failed", 0, 6 * SECOND + 349 * MS, 0))

    def test_a_final_answer_that_comes_too_late(self) -> None:
        self.assert_breaks(1, handed(), Noticed("a", "returned", 0, 6 * SECOND + 351 * MS, 0))

    def test_a_message_that_is_not_due_when_the_observation_stops_is_not_lost(self) -> None:
        history = History()
        history.add(handed())
        self.assertEqual(judge(SCENARIO, history, 6 * SECOND).findings, [])

    def test_a_restart_extends_the_time_for_the_final_answer(self) -> None:
        late = Noticed("a", "failed", 0, 9 * SECOND, 0)
        self.assert_no_finding(handed(), late, *killed(5 * SECOND, 8 * SECOND))
        self.assert_breaks(1, handed(), Noticed("a", "failed", 0, 10 * SECOND, 0), *killed(5 * SECOND, 8 * SECOND))
        self.assert_breaks(1, handed(), late, *killed(5 * SECOND, 8 * SECOND, sender=1))

    def test_a_second_restart_extends_that_time_further(self) -> None:
        self.assert_no_finding(
            handed(),
            Noticed("a", "failed", 0, 11 * SECOND, 0),
            *killed(5 * SECOND, 8 * SECOND),
            *killed(9 * SECOND, 10 * SECOND),
        )

    def test_a_request_without_an_answer_needs_no_final_answer(self) -> None:
        self.assert_no_finding(handed(answer="none"))
        self.assert_no_finding(
            handed(answer="none"), called(at=450 * MS)
        )  # the sender had stored it just when the client closed its connection

    def test_a_call_after_the_notice(self) -> None:
        self.assert_breaks(1, handed(), Noticed("a", "failed", 0, SECOND, 0), called(at=2 * SECOND))
        self.assert_no_finding(handed(), called(at=SECOND - MS, status=500), Noticed("a", "failed", 0, SECOND, 0))

    def test_a_call_after_the_delivery(self) -> None:
        self.assert_breaks(1, handed(), called(), called(at=SECOND))
        self.assert_no_finding(handed(), called(), called(at=3 * SECOND), *killed(30 * MS, 2 * SECOND))

    def test_an_at_most_once_message_is_never_called_after_its_delivery(self) -> None:
        verdict = audit_records(
            handed(priority_class="once"), called(), called(at=3 * SECOND), *killed(30 * MS, 2 * SECOND)
        )
        self.assertEqual(sorted(verdict.counts_by_rule()), [1, 2])

    def test_a_connection_that_ends_without_an_answer(self) -> None:
        self.assert_breaks(1, handed(answer="cut", fresh=False))
        self.assert_breaks(1, handed(answer="cut"), called())
        self.assert_no_finding(handed(answer="cut"))  # the first request of its connection, and no call was made for it
        self.assert_no_finding(handed(answer="cut", fresh=False, sent=SECOND), *killed(SECOND, 2 * SECOND))


class NoRepeatedEffectTest(JudgingTestCase):
    def test_an_at_most_once_message_is_retried_only_after_a_call_that_never_ran(self) -> None:
        for status in (0, 500):
            self.assert_breaks(2, handed(priority_class="once"), called(status=status), called(at=SECOND))
        for status in (429, 503):
            self.assert_no_finding(handed(priority_class="once"), called(status=status), called(at=SECOND))

    def test_a_malformed_refusal_does_not_prove_that_the_call_never_ran(self) -> None:
        self.assert_breaks(2, handed(priority_class="once"), called(status=503, spoilt="short"), called(at=SECOND))

    def test_a_numbered_message_is_retried_only_in_its_window(self) -> None:
        first = called(mark="m", status=0, at=10 * MS)
        self.assert_no_finding(handed(priority_class="marked"), first, called(mark="m", at=2 * SECOND + 59 * MS))
        self.assert_breaks(2, handed(priority_class="marked"), first, called(mark="m", at=2 * SECOND + 61 * MS))

    def test_the_window_starts_with_the_first_call_that_may_have_run(self) -> None:
        self.assert_no_finding(
            handed(priority_class="marked"),
            called(mark="m", status=503),
            called(mark="m", at=SECOND, status=0),
            called(mark="m", at=2900 * MS),
        )

    def test_two_attempts_at_once(self) -> None:
        self.assert_breaks(2, handed(), called(status=500, took=500 * MS), called(at=400 * MS))
        self.assert_no_finding(handed(), called(status=500, took=500 * MS), called(at=511 * MS))

    def test_a_call_ends_with_its_sender(self) -> None:
        open_call = called(status=0, took=9 * SECOND)
        self.assert_no_finding(handed(), open_call, called(at=3 * SECOND), *killed(SECOND, 2 * SECOND))
        self.assert_breaks(2, handed(), open_call, called(at=3 * SECOND), *killed(SECOND, 2 * SECOND, sender=1))


class DrainingTest(JudgingTestCase):
    def test_a_call_to_a_draining_endpoint_after_the_grace(self) -> None:
        listed = Heard("e", 0, "draining", SECOND, 0)
        call = handed(sent=2 * SECOND), called(at=2 * SECOND + 60 * MS)
        self.assert_breaks(3, listed, *call)
        self.assert_no_finding(Heard("e", 0, "draining", SECOND + 20 * MS, 0), *call)
        self.assert_no_finding(Heard("e", 0, "draining", SECOND, 1), *call)  # another sender received the entry

    def test_the_grace_starts_with_the_first_entry_and_state_up_ends_it(self) -> None:
        call = handed(sent=3 * SECOND), called(at=3 * SECOND)
        self.assert_breaks(3, Heard("e", 0, "draining", SECOND, 0), Heard("e", 0, "removed", 2500 * MS, 0), *call)
        self.assert_no_finding(Heard("e", 0, "draining", SECOND, 0), Heard("e", 0, "up", 2500 * MS, 0), *call)

    def test_a_restart_resets_the_known_states(self) -> None:
        call = handed(sent=4 * SECOND), called(at=4 * SECOND)
        begun = Life(0, "started", 0)
        self.assert_no_finding(begun, Heard("e", 0, "removed", SECOND, 0), *killed(2 * SECOND, 3 * SECOND), *call)
        self.assert_breaks(3, begun, Heard("e", 0, "removed", SECOND, 0), *call)


class RecoveryTest(JudgingTestCase):
    def calls(self, count: int, sender: int = 0) -> list[Any]:
        records: list[Any] = [Away("e", 0, SECOND, 3 * SECOND, True, False)]
        for number in range(count):
            id, at = f"c{number}", 3 * SECOND + number * 20 * MS
            records += [handed(id, sent=at, sender=sender), called(id, at=at, took=5 * MS, sender=sender)]
        return records

    def failed_call(self, sender: int) -> list[Any]:
        return [
            handed("seen", sent=2 * SECOND),
            called("seen", at=2 * SECOND, status=0, sender=sender),
            Noticed("seen", "failed", 0, 3 * SECOND, 0),
        ]

    def test_senders_that_saw_the_outage_do_not_overload_an_endpoint_that_is_warming_up(self) -> None:
        self.assert_breaks(4, *self.calls(60), *self.failed_call(0))
        self.assert_no_finding(*self.calls(20), *self.failed_call(0))

    def test_a_call_in_progress_at_the_start_of_the_outage_shows_it_to_the_sender(self) -> None:
        self.assert_breaks(
            4,
            *self.calls(60),
            handed("out", sent=0),
            called("out", at=900 * MS, took=200 * MS, status=0),
            Noticed("out", "failed", 0, 2 * SECOND, 0),
        )

    def test_a_sender_with_a_message_must_have_tried_to_connect_unless_another_endpoint_answered(self) -> None:
        held = handed("held", sent=1500 * MS, sender=0), Noticed("held", "returned", 0, 2900 * MS, 0)
        self.assert_breaks(4, *self.calls(60), *held)
        self.assert_no_finding(
            *self.calls(60), *held, handed("other", sent=2 * SECOND), called("other", at=2 * SECOND, endpoint="f")
        )

    def test_a_sender_that_saw_nothing_of_the_outage_is_not_blamed(self) -> None:
        self.assert_no_finding(*self.calls(60, sender=1), *self.failed_call(0))


class OrderTest(JudgingTestCase):
    def request(self, id: str, sent: int, **more: Any) -> Handed:
        return handed(id, priority_class="line", sent=sent, turn="7", **more)

    def test_a_later_message_is_called_first(self) -> None:
        later = self.request("b", 20 * MS), called("b", mark="m", at=30 * MS)
        self.assert_breaks(5, self.request("a", 0), called(mark="m", at=100 * MS), *later)
        self.assert_breaks(5, self.request("a", 0), called(mark="m", at=5 * MS, took=80 * MS), *later)
        self.assert_no_finding(self.request("a", 0), called(mark="m", at=5 * MS, took=30 * MS), *later)

    def test_uncertain_order_other_keys_and_other_senders_are_not_judged(self) -> None:
        first = called(mark="m", at=100 * MS)
        self.assert_no_finding(
            self.request("a", 0, answered=25 * MS), first, self.request("b", 20 * MS), called("b", mark="m", at=30 * MS)
        )
        self.assert_no_finding(
            self.request("a", 0),
            first,
            handed("b", priority_class="line", sent=20 * MS, turn="8"),
            called("b", mark="m", at=30 * MS),
        )
        self.assert_no_finding(
            self.request("a", 0),
            first,
            self.request("b", 20 * MS, sender=1),
            called("b", mark="m", at=30 * MS, sender=1),
        )


class RetryAfterTest(JudgingTestCase):
    def test_a_retry_after_wait_binds_the_sender_for_the_whole_destination(self) -> None:
        refused = handed(), called(status=429, wait=800 * MS, took=0), called(at=2 * SECOND)
        self.assert_breaks(6, *refused, handed("b", sent=300 * MS), called("b", at=310 * MS, endpoint="f"))
        self.assert_no_finding(*refused, handed("b", sent=100 * MS), called("b", at=159 * MS))  # it crossed the refusal
        self.assert_no_finding(*refused, handed("b", sent=300 * MS), called("b", at=765 * MS))  # the wait was over
        self.assert_no_finding(*refused, handed("b", sent=300 * MS, sender=1), called("b", at=310 * MS, sender=1))
        self.assert_no_finding(
            *refused, handed("b", sent=300 * MS, destination=1), called("b", at=310 * MS, destination=1)
        )

    def test_a_restart_ends_a_wait_and_a_malformed_refusal_starts_none(self) -> None:
        after = handed("b", sent=300 * MS), called("b", at=310 * MS), called(at=2 * SECOND)
        self.assert_no_finding(handed(), called(status=429, wait=800 * MS, took=0), *after, *killed(100 * MS, 200 * MS))
        self.assert_no_finding(handed(), called(status=429, wait=800 * MS, took=0, spoilt="short"), *after)

    def test_a_refusal_in_pieces_or_cut_after_its_head_starts_a_wait(self) -> None:
        after = called(at=2 * SECOND), handed("b", sent=200 * MS), called("b", at=210 * MS)
        for form in ("pieces", "stops", "last"):
            self.assert_breaks(6, handed(), called(status=429, wait=800 * MS, took=0, spoilt=form), *after)

    def test_a_call_with_a_refusal_cut_after_its_head_may_have_run(self) -> None:
        for form, check in (
            ("stops", self.assert_breaks),
            ("pieces", lambda rule, *records: self.assert_no_finding(*records)),
        ):
            check(2, handed(priority_class="once"), called(status=429, took=0, spoilt=form), called(at=2 * SECOND))


class AccountingTest(unittest.TestCase):
    def test_every_request_is_counted_by_its_outcome(self) -> None:
        found = audit_records(
            handed("a"),
            called("a"),
            handed("b", answer="busy"),
            handed("c", answer="error"),
            handed("d", answer="none"),
            handed("e", answer="cut"),
            handed("f", answer="down"),
            handed("g"),
            Noticed("g", "returned", 0, SECOND, 0),
            handed("h"),
            Noticed("h", "failed", 0, SECOND, 0),
            handed("i"),
            handed("j"),
            called("j", at=6500 * MS),
        ).account
        self.assertEqual(
            (found.taken, found.refused, found.failed, found.unanswered, found.cut, found.down), (5, 1, 1, 1, 1, 1)
        )
        self.assertEqual((found.delivered, found.late, found.returned, found.written_off, found.lost), (2, 1, 1, 1, 1))

    def test_retries_of_a_message_count_as_one_message(self) -> None:
        found = audit_records(
            handed("a", answer="busy"), handed("b", sent=SECOND, first="a", due=SECOND), called("b", at=SECOND + MS)
        ).account
        self.assertEqual((found.things, found.things_delivered, found.in_time), (1, 1, 1))

    def test_a_delivery_after_the_clients_timeout_earns_nothing(self) -> None:
        self.assertEqual(audit_records(handed(answer="none"), called()).account.things_delivered, 0)

    def test_worth_falls_linearly_after_the_expected_time(self) -> None:
        self.assertEqual([earned_share(1000, 3000, 0.5, at * MS) for at in (1000, 2000, 3000, 3001)], [1, 0.75, 0.5, 0])

    def test_a_finding_contains_all_records_of_its_messages(self) -> None:
        found = audit_records(handed(priority_class="once"), called(status=0), called(at=SECOND)).findings[0]
        self.assertEqual((found.ids, [each["what"] for each in found.seen]), (("a",), ["handed", "called", "called"]))


calls = st.builds(
    called,
    st.sampled_from("abc"),
    st.integers(0, 9 * SECOND),
    st.integers(0, SECOND),
    st.sampled_from([0, 200, 429, 500, 503]),
    sender=st.integers(0, 1),
    wait=st.sampled_from([0, 500 * MS]),
)


class AnyHistoryTest(unittest.TestCase):
    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(st.lists(calls, max_size=12), st.sampled_from(["free", "marked", "once", "line"]))
    def test_the_account_adds_up_for_any_history(self, drawn: list[Called], priority_class: str) -> None:
        accepted = [handed(id, priority_class=priority_class, turn="7") for id in "abc"]
        counts = audit_records(*accepted, *drawn, *killed(4 * SECOND, 5 * SECOND)).account
        self.assertEqual(counts.taken, counts.delivered + counts.returned + counts.written_off + counts.lost)
        self.assertEqual(counts.taken, 3)


if __name__ == "__main__":
    unittest.main()
