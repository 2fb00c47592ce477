"""Clients' submissions: accepted here, or forwarded to the member that holds the session.

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
from cedarwick.fleet.session_wire import entry_from_location, location_from_entry, message_hash
from cedarwick.fleet.sessions import (
    ClaimAnswer,
    SessionEntry,
    SubmissionRuling,
)
from cedarwick.fleet.transport import PeerUnreachableError
from cedarwick.net.client_listener import SubmitResult
from cedarwick.net.submission import AdmissionResult, Submission
from cedarwick.store.records import StoredMessage

MAX_FORWARDS = 2  # per submission: to the presumed holder, and to the one that it names
MAX_CLAIMS = 2  # per submission; a claim fails if it is refused, or if members answer too slowly
CLIENT_TIMEOUT_US = 330_000  # microseconds within which a client is answered; it waits for 400 ms
FORWARD_TIMEOUT_S = 0.15  # seconds after which a forwarded submission without an answer is forwarded again
RETRY_PAUSE_S = 0.005  # seconds before a submission without an answer is forwarded again
MIN_TIME_LEFT_US = 15_000  # microseconds until the answer is due; with less, a submission is not forwarded
# A forwarded submission may be in transit for so many microseconds: the forwarding member gives up after a lease term.
LONGEST_TRANSIT_US = 1_200_000
# A client counts as connected to the sender that forwarded its submission for so many microseconds.
CLIENT_REQUEST_TTL_US = 1_000_000
UNSURE: SubmitResult = (AdmissionResult.UNSURE, 0, None)
BUSY: SubmitResult = (AdmissionResult.BUSY, 0, None)
BUSY_REPLY = ForwardReply(AdmissionResult.BUSY.value)


@dataclass(slots=True)
class RoutedSubmission:
    """A submission of a session, with its claims and forwards so far."""

    stored: StoredMessage
    contents_hash: int
    wait_until: int  # boot clock: deadline for a change of the session, such as the end of its move
    claims: int = 0
    forwards: int = 0


class SessionSubmissions(SessionInheritances):
    """Accepts or forwards submissions, and answers those that other members forward."""

    # ---- from clients ----

    def route_submission(self, stored: StoredMessage) -> SubmitResult:
        """Accept or forward a client's submission; runs in the greenlet of its connection.

        It begins no step after `CLIENT_TIMEOUT_US`.
        """
        if not stored.order_key:
            return self.client_listener.submit_to_dispatcher(stored)
        started_at = monotonic_time()
        submission = RoutedSubmission(stored, message_hash(stored), started_at + FROZEN_WAIT_US)
        give_up_at = started_at + CLIENT_TIMEOUT_US
        while (now := monotonic_time()) < give_up_at:
            result = self._route(submission, give_up_at, now)
            if result is not None:
                return result
        return BUSY

    def _route(self, submission: RoutedSubmission, give_up_at: int, now: int) -> SubmitResult | None:
        """Execute one step of a client's submission; None if another step is needed."""
        self._mark_uncertain_after_takeover()
        stored, contents_hash, key = submission.stored, submission.contents_hash, submission.stored.order_key
        route, holder = self._routing_state(key)
        ruling = (
            self.directory.rule_on_submission(key, stored.id, contents_hash, False, now) if route == "here" else None
        )
        if route == "wait" or ruling is SubmissionRuling.BUSY:
            return None if self._wait_for_change(submission.wait_until) else BUSY
        if ruling in (SubmissionRuling.ACCEPT, SubmissionRuling.DUPLICATE, SubmissionRuling.CONFLICT):
            return self._accept(stored, contents_hash, ruling, now)
        if ruling is SubmissionRuling.CLAIM or ruling is None and not holder:
            return None if self._claim_for(submission) else BUSY
        recipient = self._recipient(submission, holder, now)
        if recipient is None:
            return None
        to, dead_holder = recipient
        if submission.forwards == MAX_FORWARDS or not self._is_alive(to):
            return BUSY
        submission.forwards += 1
        answer = self._forward_submission(stored, to, give_up_at, route == "pass", dead_holder)
        if isinstance(answer, tuple):
            return answer
        if not answer.answer:
            return None if self._may_retry_after_not_held(key, to, answer) else BUSY
        accepted = answer.answer == AdmissionResult.ACCEPTED.value
        recall = self._recall_on_disconnect(stored, to) if accepted else None
        return AdmissionResult(answer.answer), answer.wait_ms, recall

    def _claim_for(self, submission: RoutedSubmission) -> bool:
        """Claim the session of a submission; False if no claim was made, or the limit of claims is reached."""
        submission.claims += 1
        return submission.claims <= MAX_CLAIMS and self._claim(submission.stored.order_key)

    def _recipient(self, submission: RoutedSubmission, holder: str, now: int) -> tuple[str, SessionEntry | None] | None:
        """Return the member to forward to, and the entry of the dead holder whose partition it holds, if any.

        None if this member has claimed the session of a dead holder as its successor. `holder`: the target of the
        session's last move from here, or empty.
        """
        key = submission.stored.order_key
        known = self.directory.holder_of(key)
        to = holder if known in (None, self.name) else known or ""  # the session may have moved on
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

    def _may_retry_after_not_held(self, key: int, responder: str, answer: ForwardReply) -> bool:
        """Whether another step may succeed after `responder` answered that it does not hold the session."""
        claim = ClaimAnswer(answer.disowned, entry_from_location(answer.entry))
        ruling = self.directory.forward_refused(key, responder, claim, monotonic_time())
        if ruling is SubmissionRuling.CLAIM:
            self.migrations.carry_out(self.local_migrations.stop_forwarding(key, monotonic_time()))
            if self._claim(key):
                return True
        # The session may have moved here meanwhile.
        return (
            ruling is SubmissionRuling.FORWARD
            or key in self.directory.sessions
            or self._routing_state(key)[0] == "wait"
        )

    def _accept(
        self, stored: StoredMessage, contents_hash: int, ruling: SubmissionRuling, now: int
    ) -> SubmitResult | None:
        """Accept a submission of a session that is held here; None if the session was frozen meanwhile."""
        pending = self.pending_submissions.get(stored.id)
        if ruling is SubmissionRuling.CONFLICT:
            return AdmissionResult.REPEATED, 0, None
        if ruling is SubmissionRuling.DUPLICATE:
            # A submission that was forwarded twice gets the answer of the first one, not a refusal.
            admission, wait_ms = pending.answer.get() if pending is not None else (AdmissionResult.ACCEPTED, 0)
            return None if admission is AdmissionResult.FROZEN else (admission, wait_ms, None)
        if not self.store.accepts_messages():
            return BUSY  # a member that is cut off may not know that the session has another holder
        self.directory.record_accepted(stored.order_key, stored.id, contents_hash, now)
        submission = self.pending_submissions[stored.id] = Submission(stored)
        try:
            self.dispatcher.submit(submission)
            admission, wait_ms = submission.answer.get()
        finally:
            del self.pending_submissions[stored.id]
        if (
            admission is not AdmissionResult.ACCEPTED
            and (session := self.directory.sessions.get(stored.order_key)) is not None
        ):
            session.ids.pop(stored.id, None)
        if admission is AdmissionResult.FROZEN:
            return None
        may_withdraw = admission is AdmissionResult.ACCEPTED and stored.number
        return admission, wait_ms, (lambda: self._withdraw(submission)) if may_withdraw else None

    def _withdraw(self, submission: Submission) -> None:
        # Otherwise the same id, submitted again, would get +OK for a message that has been removed.
        session = self.directory.sessions.get(submission.message.order_key)
        if session is not None and submission.message.id in session.ids:
            session.ids[submission.message.id] = session.ids[submission.message.id][0], UNKNOWN_HASH
        self.dispatcher.withdraw(submission)

    def _forward_submission(
        self, stored: StoredMessage, to: str, give_up_at: int, moved: bool, dead_holder: SessionEntry | None
    ) -> ForwardReply | SubmitResult:
        """Forward a submission and return the answer.

        Without one: `BUSY` if it cannot have been accepted, `UNSURE` if it may have been. `moved`: the session has
        moved away from here. `dead_holder`: the entry of the holder whose partition `to` holds.
        """
        surely_not_accepted = True
        while (left_us := give_up_at - monotonic_time()) > MIN_TIME_LEFT_US:
            body = self._forwarded_submit(stored, left_us, moved, dead_holder)
            try:
                answer = self.peers.call(to, body, min(left_us / US_PER_S, FORWARD_TIMEOUT_S))
            except PeerUnreachableError:
                surely_not_accepted = False
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
        return BUSY if surely_not_accepted else UNSURE

    def _forwarded_submit(
        self, stored: StoredMessage, left_us: int, moved: bool, dead_holder: SessionEntry | None
    ) -> ForwardedSubmit:
        return ForwardedSubmit(
            stored.order_key,
            stored.id,
            stored.key,
            stored.priority_class,
            stored.tenant,
            stored.destination,
            stored.deadline - self.clock.now(),
            left_us - MIN_TIME_LEFT_US,
            stored.body or b"",
            moved,
            location_from_entry(dead_holder),
            max(0, stored.deadline),
        )

    def _recall_on_disconnect(self, stored: StoredMessage, to: str) -> Callable[[], None]:
        def recall() -> None:
            gevent.spawn(self._call, to, RecallForward(stored.order_key, stored.id), VOTE_TIMEOUT_S)

        return recall

    # ---- from other members ----

    def _answer_forwarded(self, sender: str, body: ForwardedSubmit) -> ForwardReply:
        """Answer a submission that another member has forwarded."""
        wait_until = monotonic_time() + min(body.answer_within_us, FROZEN_WAIT_US)
        stored = self._forwarded_message(body)
        submission = RoutedSubmission(stored, message_hash(stored), wait_until)
        if (dead_holder := entry_from_location(body.entry)) is not None:
            self.directory.merge_entries([dead_holder], monotonic_time())
        while body.key:
            reply = self._handle_forwarded(sender, body, submission)
            if reply is not None:
                return reply
        return BUSY_REPLY

    def _forwarded_message(self, body: ForwardedSubmit) -> StoredMessage:
        deadline = self.clock.now() + body.remaining_us
        if body.deadline:
            # `remaining_us` counts from the time of sending: the time in transit, or in the socket of a stopped
            # process, would extend the deadline. A larger difference than the longest transit comes from different
            # clocks.
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
        """Execute one step of a forwarded submission; None if another step is needed."""
        now = monotonic_time()
        self._mark_uncertain_after_takeover()
        route, _ = self._routing_state(body.key)
        if route == "wait":
            return None if self._wait_for_change(submission.wait_until) else BUSY_REPLY
        ruling = SubmissionRuling.NOT_HELD
        if route == "here":
            ruling = self.directory.rule_on_submission(body.key, body.id, submission.contents_hash, True, now)
        if ruling is SubmissionRuling.BUSY:
            return BUSY_REPLY
        if ruling is SubmissionRuling.CLAIM:
            return None if self._claim_for(submission) else BUSY_REPLY
        if ruling is SubmissionRuling.NOT_HELD:
            return self._handle_not_held(submission, now)
        if not body.moved and self.node.halls.get(sender) != self.node.halls[self.name]:
            request = MigrationRequest(body.key, MigrationReason.CLIENT, sender)
            self.requested_migrations[body.key] = request, now + CLIENT_REQUEST_TTL_US
        result = self._accept(submission.stored, submission.contents_hash, ruling, now)
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
        return ForwardReply("", 0, claim.granted, location_from_entry(claim.entry))

    def _answer_recall(self, body: RecallForward) -> Acknowledged:
        stored = self.store.messages.get(self.dispatcher.numbers_by_id.get(body.id, 0))
        if stored is not None and stored.order_key == body.key and stored.number not in self.store.migrating:
            self.counters.add("clients gone before their answer")
            self._withdraw(Submission(stored))
        return Acknowledged()
