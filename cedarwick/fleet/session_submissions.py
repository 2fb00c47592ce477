"""Clients' submissions: taken here, or passed on to the member that holds the session.

A part of `SessionRouter`. Times are microseconds unless stated otherwise.
"""

from collections.abc import Callable

import gevent

from cedarwick.errors import CedarwickError
from cedarwick.fleet.messages import (
    Acknowledged,
    ForwardedSubmit,
    ForwardReply,
    RecallForward,
)
from cedarwick.fleet.migration_planner import MigrationReason, MigrationRequest
from cedarwick.fleet.migration_state import SECOND, SETTLE_IN
from cedarwick.fleet.migration_table import WAITS
from cedarwick.fleet.recent_ids import UNKNOWN
from cedarwick.fleet.replicated_store import monotonic_time
from cedarwick.fleet.session_inheritance import SessionInheritances
from cedarwick.fleet.session_wire import entry_of, hash_of, lodging_of
from cedarwick.fleet.sessions import (
    Claim,
    ClaimRuling,
    Entry,
)
from cedarwick.fleet.transport import PeerUnreachableError
from cedarwick.net.client_listener import SubmitResult
from cedarwick.net.submission import AdmissionResult, Submission
from cedarwick.store.records import StoredMessage

MOST_CLAIMS = 2  # for one submission: a claim that fails was refused, or met members that are slow
PATIENCE = 330_000  # microseconds in which a client's request is answered, of the 400 ms that it waits
TRY = 0.15  # seconds until a submission that was passed on without an answer is passed on again
LEAST = 15_000  # microseconds without which nothing more is tried for a client
COMES_FOR = 1_000_000  # microseconds for which a client that came to another sender counts as being there
UNSURE: SubmitResult = (AdmissionResult.UNSURE, 0, None)
BUSY: SubmitResult = (AdmissionResult.BUSY, 0, None)


class SessionSubmissions(SessionInheritances):
    """Takes or forwards submissions, and answers those that other members forward."""

    def hand_in(self, stored: StoredMessage) -> SubmitResult:
        """Take or forward a client's submission; runs in its connection's greenlet. Begins no step after `PATIENCE`."""
        if not stored.turn:
            return self.client_listener.to_dispatcher(stored)
        began = monotonic_time()
        key, hashed, claims, hops = stored.turn, hash_of(stored), 0, 0
        while (now := monotonic_time()) < began + PATIENCE:
            self._bind()
            there, holder = self._standing(key)
            ruling = self.directory.rule(key, stored.id, hashed, False, now) if there == "here" else None
            if there == "wait" or ruling is ClaimRuling.BUSY:
                if not self._wait(began + WAITS):
                    return BUSY
                continue
            if ruling in (ClaimRuling.TAKE, ClaimRuling.SAME, ClaimRuling.REPEATED):
                handed = self._take(stored, hashed, ruling, now)
                if handed is not None:
                    return handed
                continue
            if ruling is ClaimRuling.CLAIM or ruling is None and not holder:
                claims += 1
                if claims > MOST_CLAIMS or not self._claim(key):
                    return BUSY
                continue
            known = self.directory.where(key)
            to = holder if known in (None, self.name) else known or ""  # it may have moved on since
            entry = self.directory.entry(key, now)
            if not self._lives(to):
                successor = self._successor(to) if entry is not None and entry.holder == to else ""
                if successor == self.name and claims < MOST_CLAIMS:
                    claims += 1
                    if self._inherit(key):
                        continue
                to, claims = successor, MOST_CLAIMS
            else:
                entry = None
            if hops == 2 or not self._lives(to):
                return BUSY
            hops += 1
            answer = self._pass(stored, to, began + PATIENCE, there == "pass", entry)
            if isinstance(answer, tuple):
                return answer
            if answer.answer:
                taken = answer.answer == AdmissionResult.ACCEPTED.value
                return AdmissionResult(answer.answer), answer.wait_ms, self._recalling(stored, to) if taken else None
            claim = Claim(answer.disowned, entry_of(answer.entry))
            after = self.directory.refused(key, to, claim, monotonic_time())
            if after is ClaimRuling.CLAIM:
                self.transfers.act(self.moves.client_gone(key, monotonic_time()))
                if self._claim(key):
                    continue
            # It may have come here meanwhile.
            if (
                after is not ClaimRuling.PASS
                and key not in self.directory.sessions
                and self._standing(key)[0] != "wait"
            ):
                return BUSY
        return BUSY

    def _take(self, stored: StoredMessage, hashed: int, ruling: ClaimRuling, now: int) -> SubmitResult | None:
        """Take a submission of a session that is held here; None if the session was frozen meanwhile."""
        pending = self.pending.get(stored.id)
        if ruling is ClaimRuling.REPEATED:
            return AdmissionResult.REPEATED, 0, None
        if ruling is ClaimRuling.SAME:
            # A submission that was passed on twice gets the answer of the first, not a refusal.
            answered, wait_ms = pending.answer.get() if pending is not None else (AdmissionResult.ACCEPTED, 0)
            return None if answered is AdmissionResult.FROZEN else (answered, wait_ms, None)
        if not self.store.taking():
            return BUSY  # cut off, it may not know that the session has another holder
        self.directory.took(stored.turn, stored.id, hashed, now)
        submission = self.pending[stored.id] = Submission(stored)
        try:
            self.dispatcher.submit(submission)
            answered, wait_ms = submission.answer.get()
        finally:
            del self.pending[stored.id]
        if (
            answered is not AdmissionResult.ACCEPTED
            and (session := self.directory.sessions.get(stored.turn)) is not None
        ):
            session.ids.pop(stored.id, None)
        if answered is AdmissionResult.FROZEN:
            return None
        taken = answered is AdmissionResult.ACCEPTED and stored.number
        return answered, wait_ms, (lambda: self._withdraw(submission)) if taken else None

    def _withdraw(self, submission: Submission) -> None:
        # Otherwise the same id, submitted again, would get +OK for a message that is no more.
        session = self.directory.sessions.get(submission.message.turn)
        if session is not None and submission.message.id in session.ids:
            session.ids[submission.message.id] = session.ids[submission.message.id][0], UNKNOWN
        self.dispatcher.withdraw(submission)

    def _pass(
        self, stored: StoredMessage, to: str, until: int, moved: bool, gone: Entry | None
    ) -> ForwardReply | SubmitResult:
        """Forward a submission and return the answer; `BUSY` if surely nothing was taken, `UNSURE` if it may have been.

        `until`: when to give up. `gone`: the entry of a dead holder whose partition `to` has.
        """
        sure = True
        while (left := until - monotonic_time()) > LEAST:
            body = ForwardedSubmit(
                stored.turn,
                stored.id,
                stored.key,
                stored.priority_class,
                stored.tenant,
                stored.destination,
                stored.deadline - self.clock.now(),
                left - LEAST,
                stored.body or b"",
                moved,
                lodging_of(gone),
            )
            try:
                answer = self.lane.call(to, body, min(left / SECOND, TRY))
            except PeerUnreachableError:
                sure = False
                self.counters.add(f"submissions passed on without an answer: {to}")
                gevent.sleep(0.005)
                continue
            except CedarwickError as error:
                self.counters.warning(f"{to} refused a submission that was passed on", error)
                break
            if isinstance(answer, ForwardReply):
                self.counters.add("submissions passed on")
                return answer
            break
        return BUSY if sure else UNSURE

    def _recalling(self, stored: StoredMessage, to: str) -> Callable[[], None]:
        def recall() -> None:
            gevent.spawn(self._call, to, RecallForward(stored.turn, stored.id), SETTLE_IN)

        return recall

    def _passed(self, sender: str, body: ForwardedSubmit) -> ForwardReply:
        """Answer a submission that another member passes on."""
        until = monotonic_time() + min(body.within, WAITS)
        limit = self.clock.now() + body.left
        stored = StoredMessage(
            0,
            body.id,
            body.mark,
            body.key,
            body.priority_class,
            body.tenant,
            body.destination,
            max(0, limit),
            body.body,
        )
        hashed, claims = hash_of(stored), 0
        if (gone := entry_of(body.entry)) is not None:
            self.directory.heard([gone], monotonic_time())
        while body.key:
            now = monotonic_time()
            self._bind()
            there, _ = self._standing(body.key)
            if there == "wait":
                if not self._wait(until):
                    break
                continue
            ruling = (
                self.directory.rule(body.key, body.id, hashed, True, now) if there == "here" else ClaimRuling.ELSEWHERE
            )
            if ruling in (ClaimRuling.BUSY, ClaimRuling.CLAIM):
                claims += 1
                if claims > MOST_CLAIMS or ruling is ClaimRuling.BUSY or not self._claim(body.key):
                    break
                continue
            if ruling is ClaimRuling.ELSEWHERE:
                of = self.directory.where(body.key) or ""
                if claims < MOST_CLAIMS and of and not self._lives(of) and self._successor(of) == self.name:
                    if self.directory.claiming(body.key, now):
                        if not self._wait(until):
                            break
                        continue
                    claims += 1
                    if self._inherit(body.key):
                        continue
                claim = self.directory.elsewhere(body.key, now)
                return ForwardReply("", 0, claim.granted, lodging_of(claim.entry))
            if not body.moved and self.node.halls.get(sender) != self.node.halls[self.name]:
                self.wishes[body.key] = MigrationRequest(body.key, MigrationReason.CLIENT, sender), now + COMES_FOR
            handed = self._take(stored, hashed, ruling, now)
            if handed is not None:
                return ForwardReply(handed[0].value, handed[1])
        return ForwardReply(AdmissionResult.BUSY.value)

    def _recalled(self, body: RecallForward) -> Acknowledged:
        stored = self.store.messages.get(self.dispatcher.numbers.get(body.id, 0))
        if stored is not None and stored.turn == body.key and stored.number not in self.store.inert:
            self.counters.add("clients gone before their answer")
            self._withdraw(Submission(stored))
        return Acknowledged()
