"""Takeover of a partition: by a successor of a lost holder, or by its owner at startup. No I/O, no clock.

Each member that has the partition's records, as holder or as replica, has one `Takeover` for it. In each of its checks
the node calls `step` for what is to be done, sends what `holder.due_request` returns, and passes the replies to
`holder.receive_reply`. The stages:

    following  another member holds the partition and its promise is in force
    waiting    the promise has expired; this member requests the next term when its delay is over
    asking     the next term is requested
    holding    the term is granted: IMPORT until `note_imported`; attempts may be made once a majority knows the
               successors (`holder.is_valid`)
    closing    no message is pending: the lease is being closed at a majority
    offering   this member held the partition and another one does now: OFFER what only this one knows, until
               `note_offer_accepted`
    gone       DROP all of its records

Delays: a successor waits 300 ms (`SUCCESSOR_STAGGER_US`) for each successor before it in the set that may be alive. A
holder that is not known to be dead but has not renewed may come back at any moment (after a restart or a network
partition), so a successor then waits for `UNRENEWED_WAIT_US` first.
All times are whole microseconds of the member's own clock, which continues while the machine sleeps.
"""

from collections.abc import Callable, Collection
from enum import Enum
from typing import NamedTuple

from cedarwick.errors import CedarwickError
from cedarwick.fleet.lease_grantor import LeaseGrantor
from cedarwick.fleet.lease_holder import LeaseHolder, LeaseState
from cedarwick.fleet.leases import EPOCH_BITS, LEASE_SPAN_US, lease_name
from cedarwick.fleet.membership import MemberStatus
from cedarwick.fleet.messages import Grant

SUCCESSOR_STAGGER_US = 300_000  # delay between the requests of two successors: a request, its replies and one retry
UNRENEWED_WAIT_US = 3 * LEASE_SPAN_US  # wait for a live holder that does not renew; a restart takes about a second


class TakeoverStage(Enum):
    """What a member does with a partition; see the module's docstring."""

    FOLLOWING = "following"
    WAITING = "waiting"
    ASKING = "asking"
    HOLDING = "holding"
    CLOSING = "closing"
    OFFERING = "offering"
    GONE = "gone"


class TakeoverAction(Enum):
    """What is to be done now."""

    NOTHING = "nothing"
    ASK = "ask"  # returned once, for the log: a new term is requested
    IMPORT = "import"  # import the replica's facts into this member's folder, then call `note_imported`
    CLOSE = "close"  # returned once, for the log: no message is pending, the lease is being closed
    OFFER = "offer"  # send what is known to `target`; once it has stored everything, call `note_offer_accepted`
    DROP = "drop"  # delete the partition's records and this object


class TakeoverStep(NamedTuple):
    """What is to be done, and with which member."""

    action: TakeoverAction
    target: str = ""


NO_STEP = TakeoverStep(TakeoverAction.NOTHING)
ABSENT = (MemberStatus.DEAD, MemberStatus.LEFT)


class PartitionsExhaustedError(CedarwickError):
    """A sender has used up the partition numbers of its name."""

    code = "CW731"
    remedy = "give the sender another name in the members' list of every sender"


class Takeover:
    """One partition at one member.

    `term`: the newest term in which this member held it, according to its files; 0 for a replica.
    `resume`: set at boot for a partition that this member held according to its files, and for one that it opens.
    `accepts_messages`: whether new messages are stored in it; then it is not closed while it is empty.
    """

    def __init__(
        self,
        partition: int,
        me: str,
        names: Collection[str],
        term: int = 0,
        resume: bool = False,
        accepts_messages: bool = False,
    ) -> None:
        self.partition = partition
        self.me = me
        self.takes_new_messages = accepts_messages
        self.stage = TakeoverStage.FOLLOWING
        self.holder = LeaseHolder(lease_name(partition), me, names)
        self.holder.term = term
        self._has_held = resume  # this member may have facts that no other member has
        self._resume = resume
        self._imported = False
        self._absent_holder: tuple[str, int] | None = None  # the holder that is dead or has left, and since when
        self._lease_lost_at = 0  # when the lease was lost or refused; 0: never

    def note_imported(self, now: int, successors: Collection[str]) -> None:
        """Note that the facts are stored here. `successors`: members with complete replicas, in order of takeover."""
        self._imported = True
        self.holder.name_successors(now, successors)

    def note_offer_accepted(self) -> None:
        """Note that the newer holder has stored everything that this member knows."""
        if self.stage is TakeoverStage.OFFERING:
            self.stage = TakeoverStage.GONE

    def step(
        self,
        now: int,
        grant: Grant,
        promised: int,
        status_of: Callable[[str], MemberStatus],
        is_complete: bool,
        pending: int,
    ) -> TakeoverStep:
        """What is to be done now.

        `grant` and `promised` are those of the own grantor (`LeaseGrantor.grant`, `LeaseGrantor.promised_until`);
        `status_of` gives a member's status; `is_complete`: whether this member has all records of the partition for
        which the holder named it a successor, and has lost none since; `pending`: the number of messages without a
        final answer.
        """
        self.holder.update(now)
        if self.holder.state is LeaseState.CLOSED or (grant.closed and self.stage is not TakeoverStage.CLOSING):
            self.stage = TakeoverStage.GONE
        if self.stage is TakeoverStage.GONE:
            return TakeoverStep(TakeoverAction.DROP)
        if self.holder.state is LeaseState.LOST and self.stage in (
            TakeoverStage.ASKING,
            TakeoverStage.HOLDING,
            TakeoverStage.CLOSING,
        ):
            self._lease_lost_at = now
            self.stage = TakeoverStage.WAITING
            self._imported = False
        if self.stage is TakeoverStage.ASKING and self.holder.state is LeaseState.HELD:
            self.stage = TakeoverStage.HOLDING
            self._has_held = True
        if self.stage is TakeoverStage.HOLDING:
            return self._hold(now, pending)
        if self.stage in (TakeoverStage.ASKING, TakeoverStage.CLOSING):
            return NO_STEP
        return self._follow_or_ask(now, grant, promised, status_of, is_complete)

    def _hold(self, now: int, pending: int) -> TakeoverStep:
        if not self._imported:
            return TakeoverStep(TakeoverAction.IMPORT)
        if pending or self.takes_new_messages:
            return NO_STEP
        self.holder.close(now)
        self.stage = TakeoverStage.CLOSING
        return TakeoverStep(TakeoverAction.CLOSE)

    def _follow_or_ask(
        self, now: int, grant: Grant, promised: int, status_of: Callable[[str], MemberStatus], is_complete: bool
    ) -> TakeoverStep:
        """The step where another member may hold the lease: follow it, wait to request it, or offer the own facts."""
        # The own grantor may have granted this member a term that a majority granted to another one, which holds it.
        term, holder = (
            (grant.term, grant.holder)
            if grant.term > self.holder.newest_other_holder.term
            else self.holder.newest_other_holder
        )
        row = self.holder.newest_row(grant)
        if is_complete and self._may_request(now, grant, row, promised, status_of, holder):
            self._resume = False
            self.stage = TakeoverStage.ASKING
            self.holder.request_next_term(now, grant, probe_first=True)
            return TakeoverStep(TakeoverAction.ASK)
        if self._has_held and holder not in ("", self.me) and term >= self.holder.term:
            self.stage = TakeoverStage.OFFERING
            return TakeoverStep(TakeoverAction.OFFER, holder) if status_of(holder) not in ABSENT else NO_STEP
        self.stage = TakeoverStage.FOLLOWING if now < promised else TakeoverStage.WAITING
        if is_complete and self.stage is TakeoverStage.WAITING:
            self.holder.enquire(now, row)
        return NO_STEP

    def _may_request(
        self, now: int, grant: Grant, row: Grant, promised: int, status_of: Callable[[str], MemberStatus], holder: str
    ) -> bool:
        """Whether this member may request the next term now.

        `grant` is the own grantor's row, `row` the same with the newest successors that any grantor is known to have.
        """
        holder_absent = holder in ("", self.me) or status_of(holder) in ABSENT
        if not holder_absent:
            self._absent_holder = None
        elif self._absent_holder is None or self._absent_holder[0] != holder:
            self._absent_holder = (holder, now)
        if self._resume and holder in ("", self.me):
            return True  # the only promise is to this member, from an earlier boot
        # A replica that is no successor may lack attempts. Grantors refuse it, but its requests would use up terms.
        if self.me not in (*grant.successors, *row.successors):
            # Without a set, nobody has made attempts, so every complete replica has all records. The member that held
            # the partition goes first.
            extra_wait = 0 if self._has_held else UNRENEWED_WAIT_US
            return row.set_number == 0 and now >= max(promised, self._lease_lost_at + LEASE_SPAN_US) + extra_wait
        rank = sum(status_of(name) not in ABSENT for name in self._successors_before(grant, row))
        # After a refusal, the promises to this member must expire first, or two successors could split every vote.
        promises_end = max(promised, self._lease_lost_at + LEASE_SPAN_US if self._lease_lost_at else 0)
        since = (
            max(promises_end, self._absent_holder[1])
            if holder_absent and self._absent_holder
            else promises_end + UNRENEWED_WAIT_US
        )
        return now >= since + rank * SUCCESSOR_STAGGER_US

    def _successors_before(self, grant: Grant, row: Grant) -> tuple[str, ...]:
        """The successors that may request the next term before this member.

        Those of a newer set without this member come first: an older set counts only where too few grantors know the
        newer one.
        """
        if self.me in row.successors:
            return row.successors[: row.successors.index(self.me)]
        return row.successors + grant.successors[: grant.successors.index(self.me)]


class Ownership:
    """The partition for a member's new messages: the newest of its folder if it can be resumed, else a new one.

    `stored`: the partitions of the own slot that this member held according to its folder, with their newest terms.
    """

    def __init__(self, me: str, slot: int, names: Collection[str], stored: dict[int, int]) -> None:
        self.me = me
        self.slot = slot
        self.names = names
        self.current: Takeover | None = None
        self.exhausted = False  # whether the open partition has no message numbers left
        self._stored = dict(stored)
        self._newest = max((partition % (1 << EPOCH_BITS) for partition in stored), default=-1)

    def step(self, grantor: LeaseGrantor) -> Takeover | None:
        """A takeover that begins now, for the node to run with the others; None if none begins.

        While the own grantor is learning, no partition is opened: the table may have partitions that this member has
        lost from its folder. Raises `PartitionsExhaustedError`.
        """
        if self.current is not None and not self._is_lost(self.current) and not self.exhausted:
            return None
        if self.current is None and self._stored:
            partition = max(self._stored)
            self.current = Takeover(
                partition, self.me, self.names, self._stored[partition], resume=True, accepts_messages=True
            )
            return self.current
        if grantor.learning:
            return None
        # The epoch is above every one ever used: two messages with the same number would be merged into one.
        epoch = max(grantor.newest_epoch(self.slot), self._newest) + 1
        if epoch >> EPOCH_BITS:
            raise PartitionsExhaustedError(f"{self.me}: all {1 << EPOCH_BITS} partitions of its slot have been opened")
        self.exhausted = False
        if self.current is not None:
            self.current.takes_new_messages = False  # if held again, it is closed once no message is pending
        self._newest = epoch
        self.current = Takeover(
            self.slot << EPOCH_BITS | epoch, self.me, self.names, resume=True, accepts_messages=True
        )
        return self.current

    def partition(self, now: int) -> int | None:
        """The partition that accepts new messages now; None if there is none, and clients get `-BUSY`."""
        return self.current.partition if self.current is not None and self.current.holder.is_valid(now) else None

    def _is_lost(self, current: Takeover) -> bool:
        return current.stage in (TakeoverStage.OFFERING, TakeoverStage.GONE)
