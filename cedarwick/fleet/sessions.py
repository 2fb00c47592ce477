"""The session directory: which member holds each session, and which ids were accepted recently. No I/O, no clock.

A session has a key (64 bits; 0: none), one holder and a sequence that grows with each change of its holder. Only the
holder accepts its submissions and remembers their ids. Every other member has a `SessionEntry`, which may be outdated:

- An outdated entry costs one hop. A forwarded submission is never forwarded again: a member that receives one for a
  session that it does not hold accepts nothing. It answers with the entry it knows, or disowns the session if it is
  itself the presumed holder. The forwarding member may then forward once more, to the holder so named, or claim the
  disowned session; otherwise the client gets -BUSY.
- A member that knows of no holder claims the session: it asks all members, and opens the session once a majority
  (including itself) has granted the claim. A grant is recorded as an entry, so a second claimer learns of the first. No
  id can be accepted twice while a majority remembers the session, that is for `ENTRY_TTL_US` after its last use. A
  member that has just started does not grant, claim or disown until ids from before its start cannot be submitted any
  more (`ID_RETENTION_US`).
- The member that took over a sender's partition may *inherit* its sessions at once if it knows the recent ids
  (`recent_ids.py`). A member grants that claim only if, as far as it knows, the claimer holds the newest partition of
  the lost sender, no other member holds the session, and no move of it was voted on recently: ids that were transferred
  with a move are not in the partition. A member that has granted the claim votes on no move of that session for
  `ID_RETENTION_US`. An inheritance and a move, or a new partition of the lost sender, each need a majority, so at least
  one member sees both.
- A sender that has lost its partition is therefore certain of none of its sessions (`mark_all_uncertain`): once it
  has a new partition, it claims each session again before it accepts another submission of it, and keeps the ids that
  it knows.

The caller accepts nothing for a session while it has no lease on its own partition: a member that is cut off may not
learn that its sessions were claimed or inherited. Held sessions must be sent to all other members in turn
(`next_locations`) within `ID_RETENTION_US`. Times are microseconds of a clock that the caller provides.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

import xxhash

ID_RETENTION_US = 15_000_000  # microseconds for which an accepted id is not accepted again
ENTRY_TTL_US = 120_000_000  # microseconds without use after which an entry is removed
SESSION_TTL_US = 60_000_000  # microseconds without use after which a session expires, well before its entries do
MAX_ENTRIES = 100_000  # entries; beyond that the least recently used one is removed
CLAIM_TIMEOUT_US = 100_000  # microseconds after which a claim without a majority fails
INHERITED_SEQUENCE_STEP = 64  # exceeds all sequences that the last holder may have used without sending them


def hash_contents(*parts: object) -> int:
    """Hash the contents of a submission; unlike that of Python, the hash is the same in every process."""
    hasher = xxhash.xxh3_64()
    for part in parts:
        data = part if isinstance(part, bytes) else str(part).encode()
        hasher.update(len(data).to_bytes(8, "big") + data)
    return hasher.intdigest()


class SessionEntry(NamedTuple):
    """The holder of a session, as far as is known."""

    key: int
    holder: str
    sequence: int
    age: int  # microseconds since the last use, at the time of sending


@dataclass(slots=True)
class KnownHolder:
    """What this member knows about the holder of a session."""

    holder: str
    sequence: int
    last_used_at: int
    confirmed: bool = True  # by the holder; otherwise only this member is known to have granted the claim


@dataclass(slots=True)
class Session:
    """A session that this member holds."""

    sequence: int
    last_used_at: int
    ids: dict[str, tuple[int, int]] = field(default_factory=dict)  # recent ones: when accepted, and the contents hash
    is_certain: bool = True  # no other member can have inherited it


class SubmissionRuling(Enum):
    """How to handle a submission."""

    ACCEPT = "accept"  # and call `record_accepted` before the next ruling
    DUPLICATE = "duplicate"  # accepted before with the same contents
    CONFLICT = "conflict"  # accepted before with different contents
    FORWARD = "forward"  # to the holder
    CLAIM = "claim"  # no holder is known but perhaps this member, not for certain; call `begin_claim`
    NOT_HELD = "not_held"  # forwarded by another member, but not held here; answer with `answer_not_held`
    BUSY = "busy"  # a claim is in progress, or the holder cannot be determined


class ClaimAnswer(NamedTuple):
    """The answer to a claim, or to a submission that was forwarded to the wrong member."""

    granted: bool  # the claim is granted, or the session is disowned and may be claimed
    entry: SessionEntry | None  # that of the conflicting or presumed holder


class ClaimRequest(NamedTuple):
    """A claim as sent to all other members."""

    key: int
    sequence: int
    replaced: tuple[int, str]  # sequence and holder of the entry that it replaces; (0, "") for none
    claimed_at: int  # by the claimer's clock; identifies the claim


@dataclass(slots=True)
class PendingClaim:
    """A claim of this member that is in progress."""

    request: ClaimRequest
    expires_at: int
    granted_by: set[str]
    ids: dict[str, tuple[int, int]]  # id -> (age at the time of the claim, contents hash)


class SessionDirectory:
    """What this member knows about all sessions, and the sessions that it holds.

    Args:
        name: that of this member.
        member_count: the number of members, including this one.
        has_no_history: no submission can have been accepted before: the fleet starts for the first time, or this is
            its only member.
    """

    def __init__(self, name: str, member_count: int, now: int, has_no_history: bool = False) -> None:
        self.name = name
        self.member_count = member_count
        self.grants_from = now if has_no_history else now + ID_RETENTION_US
        self.entries: dict[int, KnownHolder] = {}  # ordered by their last change or use
        self.sessions: dict[int, Session] = {}
        self.claims: dict[int, PendingClaim] = {}
        self.unsent_keys: dict[int, None] = {}  # of entries that changed here and have not been sent yet
        self.resend_queue: list[int] = []  # keys of held sessions that are to be sent again
        self.granted_inheritances: dict[
            int, tuple[int, str, str]
        ] = {}  # by key, recent ones: when, the new holder, the old holder

    def holder_of(self, key: int) -> str | None:
        """Return the holder of a session, as far as is known."""
        known = self.entries.get(key)
        return known.holder if known is not None else None

    def entry(self, key: int, now: int) -> SessionEntry | None:
        """Return the confirmed entry of a session, to be sent to another member."""
        known = self.entries.get(key)
        # An unconfirmed grant would look like a holder, and to the real holder like its successor.
        if known is None or not known.confirmed:
            return None
        return SessionEntry(key, known.holder, known.sequence, max(0, now - known.last_used_at))

    # ---- submissions ----

    def rule_on_submission(
        self, key: int, message: str, contents_hash: int, forwarded: bool, now: int
    ) -> SubmissionRuling:
        """Decide how to handle a submission of a session (key not 0).

        `forwarded`: it comes from another member, not from a client.
        """
        session = self.sessions.get(key)
        # Other members may have removed the entry of a session that was unused for long, and granted a new claim.
        if session is not None and session.last_used_at >= now - SESSION_TTL_US:
            if not session.is_certain:
                return SubmissionRuling.BUSY if self.is_claiming(key, now) else SubmissionRuling.CLAIM
            known = session.ids.get(message)
            if known is None or known[0] < now - ID_RETENTION_US:
                return SubmissionRuling.ACCEPT
            return SubmissionRuling.DUPLICATE if known[1] == contents_hash else SubmissionRuling.CONFLICT
        # It is not forwarded again, as two members that take each other for the holder would do so endlessly. It is not
        # accepted either, as the real holder may have accepted this id.
        if forwarded:
            return SubmissionRuling.NOT_HELD
        if self.is_claiming(key, now):
            return SubmissionRuling.BUSY
        if key not in self.entries or self.holder_of(key) == self.name:
            return SubmissionRuling.CLAIM
        return SubmissionRuling.FORWARD

    def is_claiming(self, key: int, now: int) -> bool:
        """Whether a claim of this member is in progress."""
        return key in self.claims and self.claims[key].expires_at > now

    def record_accepted(self, key: int, message: str, contents_hash: int, now: int) -> None:
        """Record the id and contents hash of an accepted submission of a session that this member holds."""
        session = self.sessions[key]
        while session.ids and next(iter(session.ids.values()))[0] < now - ID_RETENTION_US:
            del session.ids[next(iter(session.ids))]
        session.ids.pop(message, None)
        session.ids[message] = now, contents_hash
        session.last_used_at = now
        self._merge_entry(key, self.name, session.sequence, now)

    # ---- claims ----

    def answer_not_held(self, key: int, now: int) -> ClaimAnswer:
        """Return the answer to a forwarded submission of a session that this member does not hold."""
        # A member that has just restarted must not disown a session: it may have accepted ids shortly before, and
        # another member would accept them again.
        disowned = self.grants_from <= now and self.holder_of(key) in (None, self.name) and key not in self.claims
        return ClaimAnswer(disowned, self.entry(key, now))

    def forward_refused(self, key: int, responder: str, answer: ClaimAnswer, now: int) -> SubmissionRuling:
        """Decide after `answer_not_held` of `responder`: FORWARD (once, to another member), CLAIM or BUSY."""
        if answer.entry is not None:
            self.merge_entries([answer.entry], now)
        if answer.granted and self.holder_of(key) == responder:
            return SubmissionRuling.CLAIM
        return (
            SubmissionRuling.FORWARD
            if self.holder_of(key) not in (None, responder, self.name)
            else SubmissionRuling.BUSY
        )

    def begin_claim(self, key: int, now: int) -> ClaimRequest | None:
        """Begin to claim a session after a ruling `CLAIM`.

        Returns the request to send to all other members, or None if no claim can be made. The only member of a fleet
        holds the session at once.
        """
        self.claims = {each: claim for each, claim in self.claims.items() if claim.expires_at > now}
        if key in self.claims or self.grants_from > now:
            return None
        known = self.entries.get(key)
        replaced = (known.sequence, known.holder) if known is not None else (0, "")
        request = ClaimRequest(key, replaced[0] + 1, replaced, now)
        self.claims[key] = PendingClaim(request, now + CLAIM_TIMEOUT_US, {self.name}, self.recent_ids(key, now))
        self._open_if_granted(key, now)
        return request

    def begin_inheritance(self, key: int, ids: dict[str, tuple[int, int]], now: int) -> ClaimRequest | None:
        """Begin to claim a session whose last holder's partition was adopted here.

        Returns the request to send to all other members, or None if no claim can be made. The caller has checked that
        this member itself grants it (`answer_inheritance`). `ids`: age in microseconds and contents hash of all recent
        ids.
        """
        known = self.entries.get(key)
        if known is None or self.grants_from > now or self.is_claiming(key, now):
            return None
        request = ClaimRequest(key, known.sequence + INHERITED_SEQUENCE_STEP, (known.sequence, known.holder), now)
        self.granted_inheritances[key] = now, self.name, known.holder
        self.claims[key] = PendingClaim(request, now + CLAIM_TIMEOUT_US, {self.name}, ids)
        self._open_if_granted(key, now)
        return request

    def answer_claim(self, request: ClaimRequest, claimer: str, now: int) -> ClaimAnswer:
        """Answer another member's claim of a session; a grant is recorded as an unconfirmed entry."""
        key = request.key
        known = self.entries.get(key)
        claimed_as = request.sequence, claimer
        if key in self.sessions and self.sessions[key].last_used_at >= now - SESSION_TTL_US:
            return ClaimAnswer(False, self.entry(key, now))
        if known is not None and now - known.last_used_at <= ENTRY_TTL_US:
            if tuple(request.replaced) < (known.sequence, known.holder) != claimed_as:
                return ClaimAnswer(False, self.entry(key, now))
            # A claimer that was paused must not replace the entry of a member that opened the session meanwhile.
            if request.replaced[1] == claimer != known.holder:
                return ClaimAnswer(False, self.entry(key, now))
        own_claim = self.claims.get(key)
        if (
            own_claim is not None
            and own_claim.expires_at > now
            and (own_claim.request.sequence, self.name) > claimed_as
        ):
            return ClaimAnswer(False, None)
        if self.grants_from > now:
            return ClaimAnswer(False, None)
        self.claims.pop(key, None)  # an own claim yields to this one
        self._merge_entry(key, claimer, request.sequence, now, False)
        return ClaimAnswer(True, None)

    def answer_inheritance(
        self, request: ClaimRequest, claimer: str, holds_partition: bool, may_have_moved: bool, now: int
    ) -> ClaimAnswer:
        """Answer the claim of a member (possibly this one) that wants to inherit a session.

        Args:
            holds_partition: as far as is known here, `claimer` holds the newest partition of the last holder.
            may_have_moved: a recent vote on a move of the session (`Acceptor.may_have_moved`) or an open move
                forbids the inheritance.
        """
        key, known = request.key, self.entries.get(request.key)
        if (
            not holds_partition
            or may_have_moved
            or self.grants_from > now
            or claimer != self.name
            and self.is_claiming(key, now)
        ):
            return ClaimAnswer(False, self.entry(key, now))
        if key in self.sessions and (self.sessions[key].last_used_at >= now - SESSION_TTL_US or claimer == self.name):
            return ClaimAnswer(False, self.entry(key, now))
        # A second successor, or the successor of a successor, does not know the ids that the first one inherited.
        if self.forbids_vote(key, claimer, now):
            return ClaimAnswer(False, self.entry(key, now))
        if known is not None and (
            known.holder not in (request.replaced[1], claimer)
            or known.sequence > (request.replaced[0] if known.holder != claimer else request.sequence)
        ):
            return ClaimAnswer(False, self.entry(key, now))
        if claimer != self.name:
            self.granted_inheritances[key] = now, claimer, request.replaced[1]
            self._merge_entry(key, claimer, request.sequence, now, False)
        return ClaimAnswer(True, None)

    def forbids_vote(self, key: int, source: str, now: int, known: bool = True) -> bool:
        """Whether a recently granted inheritance forbids this member to vote on another source's move of the session.

        `known`: this member knew of the move before it started, or the source is alive and so holds its partition.
        """
        # Grants from before a restart are not known here.
        if not known and self.grants_from > now and source != self.name:
            return True
        granted_at, claimer, _ = self.granted_inheritances.get(key, (0, source, ""))
        if not key:  # a member of an older level does not send the session
            return any(
                previous_holder == source and granted_at >= now - ID_RETENTION_US
                for granted_at, _, previous_holder in self.granted_inheritances.values()
            )
        return claimer != source and granted_at >= now - ID_RETENTION_US

    def is_superseded(self, key: int, source: str, sequence: int) -> bool:
        """Whether a session that moves here got another holder since the move began, or is held here already.

        `sequence`: that of the session since the move began.
        """
        known = self.entries.get(key)
        if known is None or known.sequence < sequence:
            return False
        # The source may have announced this member as the holder before this member has learned of the decision.
        return key in self.sessions if known.holder == self.name else known.holder != source

    def mark_all_uncertain(self) -> None:
        """Mark all held sessions as uncertain: this member's partition was adopted, so each may have been inherited."""
        for session in self.sessions.values():
            session.is_certain = False

    def record_claim_answer(self, request: ClaimRequest, responder: str, answer: ClaimAnswer, now: int) -> bool:
        """Record an answer to a claim of this member; returns whether this member holds the session from now on."""
        claim = self.claims.get(request.key)
        if answer.entry is not None:
            if (
                request.replaced[1] == self.name != answer.entry.holder
                and claim is not None
                and claim.request == request
            ):
                # A member that had removed the entry of this one may have opened the session with a smaller sequence.
                for known in (self.sessions, self.entries, self.claims):
                    known.pop(request.key, None)
            self.merge_entries([answer.entry], now)
        claim = self.claims.get(request.key)
        # An answer to an earlier claim does not apply to later claims.
        if claim is None or claim.request != request or claim.expires_at <= now or not answer.granted:
            return False
        claim.granted_by.add(responder)
        return self._open_if_granted(request.key, now)

    def _open_if_granted(self, key: int, now: int) -> bool:
        claim = self.claims[key]
        if len(claim.granted_by) * 2 <= self.member_count:
            return False
        del self.claims[key]
        elapsed_us = now - claim.request.claimed_at
        ids = {each: (age + elapsed_us, contents_hash) for each, (age, contents_hash) in claim.ids.items()}
        self.hold(key, claim.request.sequence, ids, now)
        return True

    # ---- changes of the holder ----

    def hold(self, key: int, sequence: int, ids: dict[str, tuple[int, int]], now: int, is_certain: bool = True) -> None:
        """Hold a session from now on, after a claim, a move or an inheritance, or as its holder's next process.

        Args:
            sequence: larger than that of any earlier holder.
            ids: id -> (age in microseconds, contents hash), as `recent_ids` returned them at the earlier holder.
            is_certain: no other member can have inherited it.
        """
        self.claims.pop(key, None)
        ids_received = {
            each: (now - age, contents_hash)
            for each, (age, contents_hash) in sorted(ids.items(), key=lambda item: -item[1][0])
        }
        self.sessions[key] = Session(sequence, now, ids_received, is_certain)
        self._merge_entry(key, self.name, sequence, now)
        self.unsent_keys[key] = None

    def recent_ids(self, key: int, now: int) -> dict[str, tuple[int, int]]:
        """Return the recent ids of a held session for its next holder: id -> (age in microseconds, contents hash)."""
        session = self.sessions.get(key)
        return (
            {}
            if session is None
            else {
                each: (now - at, contents_hash)
                for each, (at, contents_hash) in session.ids.items()
                if at >= now - ID_RETENTION_US
            }
        )

    def record_new_holder(self, key: int, holder: str, sequence: int, now: int) -> None:
        """Record the new holder of a session that this member held, and its sequence there."""
        self.sessions.pop(key, None)
        if self._merge_entry(key, holder, sequence, now):
            self.unsent_keys[key] = None

    def expire_entries_of(self, holder: str, now: int) -> None:
        """Age the entries of a dead member, so that any member may claim its sessions after `ID_RETENTION_US`."""
        for known in self.entries.values():
            if known.holder == holder:
                known.last_used_at = min(known.last_used_at, now - ENTRY_TTL_US + ID_RETENTION_US)

    # ---- gossip ----

    def next_locations(self, limit: int, now: int) -> list[SessionEntry]:
        """Return the entries to send to all other members next: those that changed here, then held sessions in turn."""
        keys = [key for key in self.unsent_keys if key not in self.sessions or self.sessions[key].is_certain][:limit]
        for key in keys:
            del self.unsent_keys[key]
        if not self.resend_queue:
            self.resend_queue = list(self.sessions)
        while self.resend_queue and len(keys) < limit:
            key = self.resend_queue.pop()
            if key in self.sessions and self.sessions[key].is_certain and key not in keys:
                keys.append(key)
        entries = (self.entry(key, now) for key in keys)
        return [each for each in entries if each is not None]

    def merge_entries(self, entries: Iterable[SessionEntry], now: int) -> None:
        """Merge entries of another member; the order of calls and repeats make no difference."""
        for entry in entries:
            if 0 < entry.key < 1 << 64 and entry.sequence > 0 and 0 <= entry.age <= ENTRY_TTL_US and entry.holder:
                self._merge_entry(entry.key, entry.holder, entry.sequence, now - entry.age)

    def clean_up(self, now: int) -> None:
        """Remove expired sessions, entries and grants; to be called about once a second."""
        self.granted_inheritances = {
            key: grant for key, grant in self.granted_inheritances.items() if grant[0] >= now - ID_RETENTION_US
        }
        for key in [each for each, session in self.sessions.items() if session.last_used_at < now - SESSION_TTL_US]:
            del self.sessions[key]
        for key in [each for each, known in self.entries.items() if known.last_used_at < now - ENTRY_TTL_US]:
            del self.entries[key]

    def _merge_entry(self, key: int, holder: str, sequence: int, last_used_at: int, confirmed: bool = True) -> bool:
        """Merge an entry: the higher (sequence, holder) wins, then the later use. Returns whether the holder changed.

        Of two concurrent claims with one sequence, only the one that its holder has confirmed can have been granted.
        """
        known = self.entries.get(key)
        is_confirmation = known is not None and confirmed and not known.confirmed and sequence == known.sequence
        if known is not None and not is_confirmation and (sequence, holder) < (known.sequence, known.holder):
            return False
        changed = known is None or is_confirmation or (sequence, holder) > (known.sequence, known.holder)
        if known is not None and not changed and last_used_at <= known.last_used_at:
            return False
        if changed and holder != self.name and key in self.sessions:
            # The session moved or was inherited while this member was paused: it must accept no more ids for it.
            del self.sessions[key]
        self.entries.pop(key, None)
        confirmed = confirmed or known is not None and not changed and known.confirmed
        self.entries[key] = KnownHolder(holder, sequence, last_used_at, confirmed)
        if len(self.entries) > MAX_ENTRIES:
            oldest_key = next((each for each in self.entries if each not in self.sessions), key)
            del self.entries[oldest_key]
        return changed
