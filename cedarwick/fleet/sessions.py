"""Sessions: which member holds which, and which ids were taken recently. No I/O, no clock.

A session has a key (64 bits; 0: none), one holder and a sequence that grows by one with each change of its holder. Who
holds it alone takes its submissions, and it alone remembers their ids. Everybody else keeps a `SessionEntry`:

- A wrong guess costs one hop: a submission that was passed on is not passed on again. A member that gets one without
  holding the session takes nothing. It answers with the entry it knows, or disowns the session if it is thought to be
  the holder and is not. The member that passed it on may pass it once to the holder so named, or claim a disowned
  session; otherwise the client gets -BUSY.
- A member that knows of no holder claims the session: it asks all members, and opens it once a majority (itself
  counted) has granted the claim. A grant is an entry, so a second claimer learns of the first: no id can be taken twice
  while a majority remembers, that is for `ENTRY_TTL_US` after the session's last use. A member that has just started
  does not grant, claim or disown until ids from before cannot come any more (`ID_RETENTION_US`).
- The member that took over a sender's partition may *inherit* its sessions at once, where it knows the recent ids
  (`recent_ids.py`). Each acceptor of that claim grants it only if, as far as it knows, the claimer holds the newest
  partition of the lost sender, nobody else holds the session, and no move of it was voted on recently: ids that came
  with a move are not in the partition. Whoever has granted it votes on no move of that session for `ID_RETENTION_US`.
  So an inheritance and a move, or a new partition of the lost sender, which each need a majority as well, meet at one
  member at least.
- So a sender that has lost its partition is sure of none of its sessions (`mark_all_uncertain`): once it has the next
  partition it claims each of them anew before it takes anything more, and goes on with the ids that it knows.

The caller takes nothing for a session while it has no lease on its own partition: cut off, it might not learn that its
sessions were claimed or adopted. Held sessions must be sent to all others in turn (`next_locations`) within
`ID_RETENTION_US`. Times are microseconds of a clock that the caller gives.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

import xxhash

ID_RETENTION_US = 15_000_000  # microseconds after its submission in which an id is not taken again
ENTRY_TTL_US = 120_000_000  # microseconds without use after which an entry is forgotten
SESSION_TTL_US = 60_000_000  # without use, until a session lapses; well before others forget its holder
MAX_ENTRIES = 100_000  # entries; above it the one unused for longest is forgotten
CLAIM_TIMEOUT_US = 100_000  # microseconds after which a claim without a majority has failed
INHERITED_SEQUENCE_STEP = 64  # to be above all sequences that the last holder may not have sent any more


def hash_contents(*parts: object) -> int:
    """A hash of what came with an id, the same in every process (that of Python isn't)."""
    whole = xxhash.xxh3_64()
    for part in parts:
        data = part if isinstance(part, bytes) else str(part).encode()
        whole.update(len(data).to_bytes(8, "big") + data)
    return whole.intdigest()


class SessionEntry(NamedTuple):
    """Who holds a session, as far as is known."""

    key: int
    holder: str
    sequence: int
    age: int  # microseconds since its last use, when this was sent


@dataclass(slots=True)
class KnownHolder:
    """What this member knows of a session's holder."""

    holder: str
    sequence: int
    last_used_at: int
    confirmed: bool = True  # by the holder itself; else granted here, and no majority is known to have granted it


@dataclass(slots=True)
class Session:
    """A session that is held here."""

    sequence: int
    last_used_at: int
    ids: dict[str, tuple[int, int]] = field(default_factory=dict)  # recent ones: when, and the hash of the contents
    is_certain: bool = True  # nobody can have inherited it


class SubmissionRuling(Enum):
    """What to do with a submission."""

    ACCEPT = "accept"  # and call `record_accepted` before anything else is ruled on
    DUPLICATE = "duplicate"  # accepted before with the same contents
    CONFLICT = "conflict"  # accepted before with others
    FORWARD = "forward"  # to the holder
    CLAIM = "claim"  # nobody is known to hold it, or this member for sure; call `begin_claim`
    NOT_HELD = "not_held"  # it was forwarded already, and isn't held here: answer with `answer_not_held`
    BUSY = "busy"  # a claim is under way, or nobody can tell


class ClaimAnswer(NamedTuple):
    """The answer to a claim, or to a submission that was passed to the wrong member."""

    granted: bool  # the claim, or: disowned, so that it may be claimed
    entry: SessionEntry | None  # who stands in the way, or is thought to be the holder


class ClaimRequest(NamedTuple):
    """A claim as it is put to all other members."""

    key: int
    sequence: int
    over: tuple[int, str]  # sequence and holder of the entry that is void; (0, "") for none
    at: int  # when, by the claimer's clock: identifies the claim


@dataclass(slots=True)
class PendingClaim:
    """A claim of this member that is under way, with the members that have granted it."""

    request: ClaimRequest
    until: int
    granted: set[str]
    ids: dict[str, tuple[int, int]]  # id -> (age when asked, hash), where the session is inherited


class SessionDirectory:
    """What this member knows of all sessions, and those that it holds.

    Args:
        name: this member.
        member_count: how many there are, itself counted.
        alone: there is no other one, or the fleet starts for the first time: nothing can have been taken before.
    """

    def __init__(self, name: str, member_count: int, now: int, has_no_history: bool = False) -> None:
        self.name = name
        self.member_count = member_count
        self.grants_from = now if has_no_history else now + ID_RETENTION_US
        self.entries: dict[int, KnownHolder] = {}  # in the order of their last change or use
        self.sessions: dict[int, Session] = {}
        self.claims: dict[int, PendingClaim] = {}
        self.unsent_keys: dict[int, None] = {}  # changed here and not sent yet
        self.resend_queue: list[int] = []  # of the held ones, those that are to be sent again
        self.granted_inheritances: dict[int, tuple[int, str, str]] = {}  # recent ones: when, to whom, and from whom

    def holder_of(self, key: int) -> str | None:
        """The holder of a session as far as is known."""
        known = self.entries.get(key)
        return known.holder if known is not None else None

    def entry(self, key: int, now: int) -> SessionEntry | None:
        """What is known of a session, to be sent to another member."""
        known = self.entries.get(key)
        # Only confirmed: a claim granted here alone would look like a holder, to the real holder like its successor.
        if known is None or not known.confirmed:
            return None
        return SessionEntry(key, known.holder, known.sequence, max(0, now - known.last_used_at))

    # ---- submissions ----

    def rule_on_submission(self, key: int, message: str, hashed: int, forwarded: bool, now: int) -> SubmissionRuling:
        """What to do with a submission of a session (key not 0); `forwarded`: by another member, not by a client."""
        session = self.sessions.get(key)
        # A session unused for long may have been forgotten by the others and claimed anew.
        if session is not None and session.last_used_at >= now - SESSION_TTL_US:
            if not session.is_certain:
                return SubmissionRuling.BUSY if self.is_claiming(key, now) else SubmissionRuling.CLAIM
            known = session.ids.get(message)
            if known is None or known[0] < now - ID_RETENTION_US:
                return SubmissionRuling.ACCEPT
            return SubmissionRuling.DUPLICATE if known[1] == hashed else SubmissionRuling.CONFLICT
        # Not passed on again: two members that think each other the holder would pass it to and fro. Not taken either:
        # the real holder may have taken this id.
        if forwarded:
            return SubmissionRuling.NOT_HELD
        if self.is_claiming(key, now):
            return SubmissionRuling.BUSY
        if key not in self.entries or self.holder_of(key) == self.name:
            return SubmissionRuling.CLAIM
        return SubmissionRuling.FORWARD

    def is_claiming(self, key: int, now: int) -> bool:
        """Whether a claim from here is under way."""
        return key in self.claims and self.claims[key].until > now

    def record_accepted(self, key: int, message: str, hashed: int, now: int) -> None:
        """Record the id and hash of an accepted submission of a session that is held here."""
        session = self.sessions[key]
        while session.ids and next(iter(session.ids.values()))[0] < now - ID_RETENTION_US:
            del session.ids[next(iter(session.ids))]
        session.ids.pop(message, None)
        session.ids[message] = now, hashed
        session.last_used_at = now
        self._merge_entry(key, self.name, session.sequence, now)

    # ---- opening ----

    def answer_not_held(self, key: int, now: int) -> ClaimAnswer:
        """The answer to a submission that was passed to this member, which does not hold the session."""
        # A member that has just restarted must not disown ids that it took a moment ago: another would take them again.
        disowned = self.grants_from <= now and self.holder_of(key) in (None, self.name) and key not in self.claims
        return ClaimAnswer(disowned, self.entry(key, now))

    def forward_refused(self, key: int, by: str, answer: ClaimAnswer, now: int) -> SubmissionRuling:
        """After `answer_not_held` of `by` to a submission: FORWARD (once, to another member), CLAIM or BUSY."""
        if answer.entry is not None:
            self.merge_entries([answer.entry], now)
        if answer.granted and self.holder_of(key) == by:
            return SubmissionRuling.CLAIM
        return SubmissionRuling.FORWARD if self.holder_of(key) not in (None, by, self.name) else SubmissionRuling.BUSY

    def begin_claim(self, key: int, now: int) -> ClaimRequest | None:
        """Begin to claim a session after a ruling `CLAIM`; what to ask all other members, None where it cannot be.

        Where this member is alone in its fleet it holds the session at once.
        """
        self.claims = {each: claim for each, claim in self.claims.items() if claim.until > now}
        if key in self.claims or self.grants_from > now:
            return None
        known = self.entries.get(key)
        over = (known.sequence, known.holder) if known is not None else (0, "")
        request = ClaimRequest(key, over[0] + 1, over, now)
        self.claims[key] = PendingClaim(request, now + CLAIM_TIMEOUT_US, {self.name}, self.recent_ids(key, now))
        self._open_if_granted(key, now)
        return request

    def begin_inheritance(self, key: int, ids: dict[str, tuple[int, int]], now: int) -> ClaimRequest | None:
        """Begin to claim a session whose last holder's partition was adopted here; what to ask all other members.

        The caller has found that nothing stands in the way here (`answer_inheritance`). `ids`: age in microseconds and
        hash of all recent ids.
        """
        known = self.entries.get(key)
        if known is None or self.grants_from > now or self.is_claiming(key, now):
            return None
        request = ClaimRequest(key, known.sequence + INHERITED_SEQUENCE_STEP, (known.sequence, known.holder), now)
        self.granted_inheritances[key] = now, self.name, known.holder
        self.claims[key] = PendingClaim(request, now + CLAIM_TIMEOUT_US, {self.name}, ids)
        self._open_if_granted(key, now)
        return request

    def answer_claim(self, request: ClaimRequest, by: str, now: int) -> ClaimAnswer:
        """Answer another member's claim of a session; a grant is noted as an unconfirmed entry."""
        key = request.key
        known = self.entries.get(key)
        theirs = request.sequence, by
        if key in self.sessions and self.sessions[key].last_used_at >= now - SESSION_TTL_US:
            return ClaimAnswer(False, self.entry(key, now))
        if known is not None and now - known.last_used_at <= ENTRY_TTL_US:
            if tuple(request.over) < (known.sequence, known.holder) != theirs:
                return ClaimAnswer(False, self.entry(key, now))
            # A claimer that was paused cannot void the entry of a member that opened the session meanwhile.
            if request.over[1] == by != known.holder:
                return ClaimAnswer(False, self.entry(key, now))
        own = self.claims.get(key)
        if own is not None and own.until > now and (own.request.sequence, self.name) > theirs:
            return ClaimAnswer(False, None)
        if self.grants_from > now:
            return ClaimAnswer(False, None)
        self.claims.pop(key, None)  # it gives way
        self._merge_entry(key, by, request.sequence, now, False)
        return ClaimAnswer(True, None)

    def answer_inheritance(self, request: ClaimRequest, by: str, holds: bool, moved: bool, now: int) -> ClaimAnswer:
        """Answer the claim of a member (perhaps this one) that wants to inherit a session.

        Args:
            holds: as far as is known here `by` holds the newest partition of the last holder.
            moved: a vote of late on a move of the session stands in the way (`Acceptor.moved`), or an open move.
        """
        key, known = request.key, self.entries.get(request.key)
        if not holds or moved or self.grants_from > now or by != self.name and self.is_claiming(key, now):
            return ClaimAnswer(False, self.entry(key, now))
        if key in self.sessions and (self.sessions[key].last_used_at >= now - SESSION_TTL_US or by == self.name):
            return ClaimAnswer(False, self.entry(key, now))
        # A second successor, or a successor's successor, does not know the ids that came by inheritance.
        if self.forbids_vote(key, by, now):
            return ClaimAnswer(False, self.entry(key, now))
        if known is not None and (
            known.holder not in (request.over[1], by)
            or known.sequence > (request.over[0] if known.holder != by else request.sequence)
        ):
            return ClaimAnswer(False, self.entry(key, now))
        if by != self.name:
            self.granted_inheritances[key] = now, by, request.over[1]
            self._merge_entry(key, by, request.sequence, now, False)
        return ClaimAnswer(True, None)

    def forbids_vote(self, key: int, source: str, now: int, known: bool = True) -> bool:
        """Whether a recently granted inheritance forbids this member to vote on another source's move of the session.

        `known`: it knew of the move before it started, or the source is alive and so holds its partition.
        """
        # What was granted before a restart is not known here.
        if not known and self.grants_from > now and source != self.name:
            return True
        at, by, _ = self.granted_inheritances.get(key, (0, source, ""))
        if not key:  # a member of an older level does not send the session
            return any(of == source and at >= now - ID_RETENTION_US for at, _, of in self.granted_inheritances.values())
        return by != source and at >= now - ID_RETENTION_US

    def is_superseded(self, key: int, source: str, sequence: int) -> bool:
        """Whether a session that is to come here has another holder since its move began, or is held here already.

        `sequence`: of the session, since then.
        """
        known = self.entries.get(key)
        if known is None or known.sequence < sequence:
            return False
        # The source may have named this member to all others before it has learned that it is the holder.
        return key in self.sessions if known.holder == self.name else known.holder != source

    def mark_all_uncertain(self) -> None:
        """Mark all held sessions: this member's partition was adopted, so each may have been inherited."""
        for session in self.sessions.values():
            session.is_certain = False

    def record_claim_answer(self, request: ClaimRequest, by: str, answer: ClaimAnswer, now: int) -> bool:
        """Note an answer to a claim of this member; True: the session is held here from now on."""
        claim = self.claims.get(request.key)
        if answer.entry is not None:
            if request.over[1] == self.name != answer.entry.holder and claim is not None and claim.request == request:
                # Opened anew by a member that had forgotten this one, the session may have a smaller sequence.
                for known in (self.sessions, self.entries, self.claims):
                    known.pop(request.key, None)
            self.merge_entries([answer.entry], now)
        claim = self.claims.get(request.key)
        # The answer to an earlier claim says nothing about claims made since.
        if claim is None or claim.request != request or claim.until <= now or not answer.granted:
            return False
        claim.granted.add(by)
        return self._open_if_granted(request.key, now)

    def _open_if_granted(self, key: int, now: int) -> bool:
        claim = self.claims[key]
        if len(claim.granted) * 2 <= self.member_count:
            return False
        del self.claims[key]
        passed = now - claim.request.at
        ids = {each: (age + passed, hashed) for each, (age, hashed) in claim.ids.items()}
        self.hold(key, claim.request.sequence, ids, now)
        return True

    # ---- sessions that come and go ----

    def hold(self, key: int, sequence: int, ids: dict[str, tuple[int, int]], now: int, is_certain: bool = True) -> None:
        """A session is held here from now on: claimed, active after a move, or adopted.

        Args:
            sequence: larger than all that its earlier holders had.
            ids: id -> (age in microseconds, hash of contents), as `recent_ids` gave it at the earlier holder.
            sure: nobody can have inherited it.
        """
        self.claims.pop(key, None)
        taken = {each: (now - age, hashed) for each, (age, hashed) in sorted(ids.items(), key=lambda one: -one[1][0])}
        self.sessions[key] = Session(sequence, now, taken, is_certain)
        self._merge_entry(key, self.name, sequence, now)
        self.unsent_keys[key] = None

    def recent_ids(self, key: int, now: int) -> dict[str, tuple[int, int]]:
        """The recent ids of a session held here, for its next holder: id -> (age in microseconds, hash of contents)."""
        session = self.sessions.get(key)
        return (
            {}
            if session is None
            else {each: (now - at, hashed) for each, (at, hashed) in session.ids.items() if at >= now - ID_RETENTION_US}
        )

    def record_new_holder(self, key: int, holder: str, sequence: int, now: int) -> None:
        """Note that a session that was held here has another holder, and its sequence there."""
        self.sessions.pop(key, None)
        if self._merge_entry(key, holder, sequence, now):
            self.unsent_keys[key] = None

    def expire_entries_of(self, holder: str, now: int) -> None:
        """Age the entries of a dead member: any member may claim its sessions once `ID_RETENTION_US` has passed."""
        for known in self.entries.values():
            if known.holder == holder:
                known.last_used_at = min(known.last_used_at, now - ENTRY_TTL_US + ID_RETENTION_US)

    # ---- gossip ----

    def next_locations(self, limit: int, now: int) -> list[SessionEntry]:
        """What to send to all others next: what has changed here, then the held sessions in turn."""
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
        """Join entries of another member; in any order, any number of times."""
        for entry in entries:
            if 0 < entry.key < 1 << 64 and entry.sequence > 0 and 0 <= entry.age <= ENTRY_TTL_US and entry.holder:
                self._merge_entry(entry.key, entry.holder, entry.sequence, now - entry.age)

    def clean_up(self, now: int) -> None:
        """Drop what is old; to be called about once a second."""
        self.granted_inheritances = {
            key: grant for key, grant in self.granted_inheritances.items() if grant[0] >= now - ID_RETENTION_US
        }
        for key in [each for each, session in self.sessions.items() if session.last_used_at < now - SESSION_TTL_US]:
            del self.sessions[key]
        for key in [each for each, known in self.entries.items() if known.last_used_at < now - ENTRY_TTL_US]:
            del self.entries[key]

    def _merge_entry(self, key: int, holder: str, sequence: int, last_used_at: int, confirmed: bool = True) -> bool:
        """Join an entry by (sequence, holder), then the later use; whether it is another one now.

        Of two claims at once the one that its holder has confirmed was granted; then nobody else's was.
        """
        known = self.entries.get(key)
        beats = known is not None and confirmed and not known.confirmed and sequence == known.sequence
        if known is not None and not beats and (sequence, holder) < (known.sequence, known.holder):
            return False
        changed = known is None or beats or (sequence, holder) > (known.sequence, known.holder)
        if known is not None and not changed and last_used_at <= known.last_used_at:
            return False
        if changed and holder != self.name and key in self.sessions:
            # It moved on or was adopted during a pause of this member, which must not take ids for it any more.
            del self.sessions[key]
        self.entries.pop(key, None)
        confirmed = confirmed or known is not None and not changed and known.confirmed
        self.entries[key] = KnownHolder(holder, sequence, last_used_at, confirmed)
        if len(self.entries) > MAX_ENTRIES:
            oldest = next((each for each in self.entries if each not in self.sessions), key)
            del self.entries[oldest]
        return changed
