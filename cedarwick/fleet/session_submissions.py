"""Clients' submissions: taken here, or passed on to the member that holds the session.

A part of `SessionRouter`. Times are microseconds unless stated otherwise.
"""

from collections.abc import Callable
from dataclasses import dataclass

import gevent

from cedarwick.errors import CedarwickError
from cedarwick.fleet.limits import US_PER_S
from cedarwick.fleet.messages import (
    Acknowledged,
    ForwardedSubmit,
    ForwardReply,
    RecallForward,
)
from cedarwick.fleet.migration_planner import MigrationReason, MigrationRequest
from cedarwick.fleet.migration_state import VOTE_TIMEOUT_S
from cedarwick.fleet.migration_table import FROZEN_WAIT_US
from cedarwick.fleet.recent_ids import UNKNOWN_HASH
from cedarwick.fleet.replicated_store import monotonic_time
from cedarwick.fleet.session_inheritance import SessionInheritances
from cedarwick.fleet.session_wire import entry_of, hash_of, location_of
from cedarwick.fleet.sessions import (
    ClaimAnswer,
    Entry,
    SubmissionRuling,
)
from cedarwick.fleet.transport import PeerUnreachableError
from cedarwick.net.client_listener import SubmitResult
from cedarwick.net.submission import AdmissionResult, Submission
from cedarwick.store.records import StoredMessage

MAX_FORWARDS = 2  # of one submission: to the presumed holder, and to the one that it names
MAX_CLAIMS = 2  # for one submission: a claim that fails was refused, or met members that are slow
CLIENT_TIMEOUT_US = 330_000  # microseconds in which a client's request is answered, of the 400 ms that it waits
FORWARD_TIMEOUT_S = 0.15  # seconds until a submission that was passed on without an answer is passed on again
RETRY_PAUSE_S = 0.005  # before a submission without an answer is forwarded again
MIN_TIME_LEFT_US = 15_000  # microseconds without which nothing more is tried for a client
LONGEST_TRANSIT_US = 1_200_000  # that a forwarded submission may be on its way: after a lease its sender gives it up
CLIENT_REQUEST_TTL_US = 1_000_000  # microseconds for which a client that came to another sender counts as being there
UNSURE: SubmitResult = (AdmissionResult.UNSURE, 0, None)
BUSY: SubmitResult = (AdmissionResult.BUSY, 0, None)
BUSY_REPLY = ForwardReply(AdmissionResult.BUSY.value)


@dataclass(slots=True)
class RoutedSubmission:
    """A submission of a session, and what was done for it so far."""

    stored: StoredMessage
    hashed: int  # of its contents
    wait_until: int  # boot clock: how long a change of the session, such as the end of its move, is waited for
    claims: int = 0
    forwards: int = 0


class SessionSubmissions(SessionInheritances):
    """Takes or forwards submissions, and answers those that other members forward."""

    # ---- from clients ----

    def hand_in(self, stored: StoredMessage) -> SubmitResult:
        """Take or forward a client's submission; runs in its connection's greenlet.

        It begins no step after `CLIENT_TIMEOUT_US`.
        """
        if not stored.order_key:
            return self.client_listener.submit_to_dispatcher(stored)
        began = monotonic_time()
        submission = RoutedSubmission(stored, hash_of(stored), began + FROZEN_WAIT_US)
        give_up_at = began + CLIENT_TIMEOUT_US
        while (now := monotonic_time()) < give_up_at:
            result = self._route(submission, give_up_at, now)
            if result is not None:
                return result
        return BUSY

    def _route(self, submission: RoutedSubmission, give_up_at: int, now: int) -> SubmitResult | None:
        """Take one step for a client's submission; None if the next step is to be chosen anew."""
        self._mark_unsure_after_takeover()
        stored, hashed, key = submission.stored, submission.hashed, submission.stored.order_key
        there, holder = self._routing_state(key)
        ruling = self.directory.rule(key, stored.id, hashed, False, now) if there == "here" else None
        if there == "wait" or ruling is SubmissionRuling.BUSY:
            return None if self._wait_for_change(submission.wait_until) else BUSY
        if ruling in (SubmissionRuling.ACCEPT, SubmissionRuling.DUPLICATE, SubmissionRuling.CONFLICT):
            return self._accept(stored, hashed, ruling, now)
        if ruling is SubmissionRuling.CLAIM or ruling is None and not holder:
            return None if self._claim_for(submission) else BUSY
        recipient = self._recipient(submission, holder, now)
        if recipient is None:
            return None
        to, dead_holder = recipient
        if submission.forwards == MAX_FORWARDS or not self._is_alive(to):
            return BUSY
        submission.forwards += 1
        answer = self._forward_submission(stored, to, give_up_at, there == "pass", dead_holder)
        if isinstance(answer, tuple):
            return answer
        if not answer.answer:
            return None if self._go_on_after_not_held(key, to, answer) else BUSY
        accepted = answer.answer == AdmissionResult.ACCEPTED.value
        recall = self._recall_on_disconnect(stored, to) if accepted else None
        return AdmissionResult(answer.answer), answer.wait_ms, recall

    def _claim_for(self, submission: RoutedSubmission) -> bool:
        """Claim the session of a submission; False if no claim was made, or too many were."""
        submission.claims += 1
        return submission.claims <= MAX_CLAIMS and self._claim(submission.stored.order_key)

    def _recipient(self, submission: RoutedSubmission, holder: str, now: int) -> tuple[str, Entry | None] | None:
        """The member to forward to, and the entry of a dead holder whose partition it has, if so.

        None if this member has claimed the session of a dead holder as its successor. `holder`: the target of the
        session's last move from here, or empty.
        """
        key = submission.stored.order_key
        known = self.directory.holder_of(key)
        to = holder if known in (None, self.name) else known or ""  # it may have moved on since
        entry = self.directory.entry(key, now)
        if self._is_alive(to):
            return to, None
        successor = self._successor(to) if entry is not None and entry.holder == to else ""
        if successor == self.name and submission.claims < MAX_CLAIMS:
            submission.claims += 1
            if self._inherit(key):
                return None
        submission.claims = MAX_CLAIMS
        return successor, entry

    def _go_on_after_not_held(self, key: int, by: str, answer: ForwardReply) -> bool:
        """Whether to choose the next step anew after `by` answered that it does not hold the session."""
        claim = ClaimAnswer(answer.disowned, entry_of(answer.entry))
        ruling = self.directory.forward_refused(key, by, claim, monotonic_time())
        if ruling is SubmissionRuling.CLAIM:
            self.migrations.carry_out(self.moves.stop_forwarding(key, monotonic_time()))
            if self._claim(key):
                return True
        # It may have come here meanwhile.
        return (
            ruling is SubmissionRuling.FORWARD
            or key in self.directory.sessions
            or self._routing_state(key)[0] == "wait"
        )

    def _accept(self, stored: StoredMessage, hashed: int, ruling: SubmissionRuling, now: int) -> SubmitResult | None:
        """Take a submission of a session that is held here; None if the session was frozen meanwhile."""
        pending = self.pending.get(stored.id)
        if ruling is SubmissionRuling.CONFLICT:
            return AdmissionResult.REPEATED, 0, None
        if ruling is SubmissionRuling.DUPLICATE:
            # A submission that was passed on twice gets the answer of the first, not a refusal.
            answered, wait_ms = pending.answer.get() if pending is not None else (AdmissionResult.ACCEPTED, 0)
            return None if answered is AdmissionResult.FROZEN else (answered, wait_ms, None)
        if not self.store.accepts_messages():
            return BUSY  # cut off, it may not know that the session has another holder
        self.directory.record_accepted(stored.order_key, stored.id, hashed, now)
        submission = self.pending[stored.id] = Submission(stored)
        try:
            self.dispatcher.submit(submission)
            answered, wait_ms = submission.answer.get()
        finally:
            del self.pending[stored.id]
        if (
            answered is not AdmissionResult.ACCEPTED
            and (session := self.directory.sessions.get(stored.order_key)) is not None
        ):
            session.ids.pop(stored.id, None)
        if answered is AdmissionResult.FROZEN:
            return None
        taken = answered is AdmissionResult.ACCEPTED and stored.number
        return answered, wait_ms, (lambda: self._withdraw(submission)) if taken else None

    def _withdraw(self, submission: Submission) -> None:
        # Otherwise the same id, submitted again, would get +OK for a message that is no more.
        session = self.directory.sessions.get(submission.message.order_key)
        if session is not None and submission.message.id in session.ids:
            session.ids[submission.message.id] = session.ids[submission.message.id][0], UNKNOWN_HASH
        self.dispatcher.withdraw(submission)

    def _forward_submission(
        self, stored: StoredMessage, to: str, give_up_at: int, moved: bool, dead_holder: Entry | None
    ) -> ForwardReply | SubmitResult:
        """Forward a submission and return the answer; `BUSY` if surely nothing was taken, `UNSURE` if it may have been.

        `moved`: the session has moved away from here. `dead_holder`: the entry of one whose partition `to` has.
        """
        surely_not_taken = True
        while (left := give_up_at - monotonic_time()) > MIN_TIME_LEFT_US:
            body = self._forwarded_submit(stored, left, moved, dead_holder)
            try:
                answer = self.peers.call(to, body, min(left / US_PER_S, FORWARD_TIMEOUT_S))
            except PeerUnreachableError:
                surely_not_taken = False
                self.counters.add(f"submissions passed on without an answer: {to}")
                gevent.sleep(RETRY_PAUSE_S)
                continue
            except CedarwickError as error:
                self.counters.warning(f"{to} refused a submission that was passed on", error)
                break
            if isinstance(answer, ForwardReply):
                self.counters.add("submissions passed on")
                return answer
            break
        return BUSY if surely_not_taken else UNSURE

    def _forwarded_submit(
        self, stored: StoredMessage, left: int, moved: bool, dead_holder: Entry | None
    ) -> ForwardedSubmit:
        return ForwardedSubmit(
            stored.order_key,
            stored.id,
            stored.key,
            stored.priority_class,
            stored.tenant,
            stored.destination,
            stored.deadline - self.clock.now(),
            left - MIN_TIME_LEFT_US,
            stored.body or b"",
            moved,
            location_of(dead_holder),
            max(0, stored.deadline),
        )

    def _recall_on_disconnect(self, stored: StoredMessage, to: str) -> Callable[[], None]:
        def recall() -> None:
            gevent.spawn(self._call, to, RecallForward(stored.order_key, stored.id), VOTE_TIMEOUT_S)

        return recall

    # ---- from other members ----

    def _answer_forwarded(self, sender: str, body: ForwardedSubmit) -> ForwardReply:
        """Answer a submission that another member forwards."""
        wait_until = monotonic_time() + min(body.answer_within_us, FROZEN_WAIT_US)
        stored = self._forwarded_message(body)
        submission = RoutedSubmission(stored, hash_of(stored), wait_until)
        if (dead_holder := entry_of(body.entry)) is not None:
            self.directory.merge_entries([dead_holder], monotonic_time())
        while body.key:
            reply = self._handle_forwarded(sender, body, submission)
            if reply is not None:
                return reply
        return BUSY_REPLY

    def _forwarded_message(self, body: ForwardedSubmit) -> StoredMessage:
        deadline = self.clock.now() + body.remaining_us
        if body.deadline:
            # `remaining_us` counts from the sending: what the message spends on the way, or in the socket of a stopped
            # process, would lengthen its deadline. The two clocks may differ; so much can't come of the way alone.
            deadline = max(min(deadline, body.deadline), deadline - LONGEST_TRANSIT_US)
        return StoredMessage(
            0,
            body.id,
            body.idempotency_key,
            body.key,
            body.priority_class,
            body.tenant,
            body.destination,
            max(0, deadline),
            body.body,
        )

    def _handle_forwarded(
        self, sender: str, body: ForwardedSubmit, submission: RoutedSubmission
    ) -> ForwardReply | None:
        """Take one step for a forwarded submission; None if the next step is to be chosen anew."""
        now = monotonic_time()
        self._mark_unsure_after_takeover()
        there, _ = self._routing_state(body.key)
        if there == "wait":
            return None if self._wait_for_change(submission.wait_until) else BUSY_REPLY
        ruling = SubmissionRuling.NOT_HELD
        if there == "here":
            ruling = self.directory.rule(body.key, body.id, submission.hashed, True, now)
        if ruling is SubmissionRuling.BUSY:
            return BUSY_REPLY
        if ruling is SubmissionRuling.CLAIM:
            return None if self._claim_for(submission) else BUSY_REPLY
        if ruling is SubmissionRuling.NOT_HELD:
            return self._handle_not_held(submission, now)
        if not body.moved and self.node.halls.get(sender) != self.node.halls[self.name]:
            request = MigrationRequest(body.key, MigrationReason.CLIENT, sender)
            self.requested_migrations[body.key] = request, now + CLIENT_REQUEST_TTL_US
        result = self._accept(submission.stored, submission.hashed, ruling, now)
        return ForwardReply(result[0].value, result[1]) if result is not None else None

    def _handle_not_held(self, submission: RoutedSubmission, now: int) -> ForwardReply | None:
        """Inherit the session of a forwarded submission, or answer that it is not held here."""
        key = submission.stored.order_key
        holder = self.directory.holder_of(key) or ""
        may_claim = submission.claims < MAX_CLAIMS and holder
        if may_claim and not self._is_alive(holder) and self._successor(holder) == self.name:
            if self.directory.is_claiming(key, now):
                return None if self._wait_for_change(submission.wait_until) else BUSY_REPLY
            submission.claims += 1
            if self._inherit(key):
                return None
        claim = self.directory.answer_not_held(key, now)
        return ForwardReply("", 0, claim.granted, location_of(claim.entry))

    def _answer_recall(self, body: RecallForward) -> Acknowledged:
        stored = self.store.messages.get(self.dispatcher.numbers_by_id.get(body.id, 0))
        if stored is not None and stored.order_key == body.key and stored.number not in self.store.migrating:
            self.counters.add("clients gone before their answer")
            self._withdraw(Submission(stored))
        return Acknowledged()
