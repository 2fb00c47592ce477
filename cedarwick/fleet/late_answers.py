"""Final answers for messages near their deadline for which no member may make an attempt.

Called by `FleetNode.check` every `DEADLINE_CHECK_S` seconds. Times are microseconds: `now` of the boot clock, deadlines
of the wall clock.
"""

from cedarwick.fleet.limits import DEADLINE_MARGIN_US, NO_MAJORITY_UNHELD_US, NO_MAJORITY_US
from cedarwick.fleet.membership import MemberStatus
from cedarwick.fleet.partition_takeover import PartitionTakeover
from cedarwick.fleet.takeover import Takeover, TakeoverStage


class LateAnswers(PartitionTakeover):
    """Gives final answers to messages that would otherwise pass their deadline unanswered."""

    def _answer_late(self, now: int, majority_lost: bool) -> None:
        """Answer messages near their deadline as ones that may have run, if no other member can answer them.

        That is the case while there is no majority (`majority_lost`), since no member can learn who holds the lease;
        if the partition is held here but no replica is up to date; and if only this member has the message. In all
        other cases the lease is decided soon and its holder answers. An answer from here would be a second one, and
        could differ.
        """
        near_deadline = self.clock.now() + DEADLINE_MARGIN_US
        self._answer_pre_fleet_messages(near_deadline)
        for holding in list(self.store.leased_partitions.values()):
            stage = holding.takeover.stage
            held = stage is TakeoverStage.HOLDING and holding.imported
            answer_here = held and holding.takeover.holder.is_valid(now)
            # Also partitions that no majority grants to any member, as after a restart: no other member would answer.
            unheld = held and not answer_here or self._has_no_holder(holding.takeover)
            holding.unheld_since = (holding.unheld_since or now) if unheld else 0
            if holding.serving or self.leaving:
                continue
            # For how long no majority may have answered lease requests, even if heartbeats of members arrive. The limit
            # is longer if this process has not held the partition, since it may still have much to learn from others.
            unheld_limit = NO_MAJORITY_US if held else NO_MAJORITY_UNHELD_US
            answer_here = answer_here or holding.unheld_since > 0 and now - holding.unheld_since >= unheld_limit
            numbers: list[int] = []
            if stage is TakeoverStage.OFFERING:
                # No other member can answer messages that were sent to no replica and in no offer. An offer without a
                # reply may have been stored, and the new holder may have given the message another final answer.
                holder_alive = self.members.status(now, self._presumed_holder(holding.takeover)) is MemberStatus.ALIVE
                if not holder_alive and not holding.offer_sent:
                    numbers = self.store.unreplicated(holding).unsent
            elif answer_here or majority_lost:
                numbers = self.store.message_numbers(holding.partition)
            elif stage is TakeoverStage.GONE and not holding.offer_accepted:
                numbers = sum(self.store.unreplicated(holding), [])
            late = [
                number
                for number in numbers
                if self.store.messages[number].deadline <= near_deadline and number not in self.store.migrating
            ]
            if late:
                self.dispatcher.abandon_parked(late)

    def _has_no_holder(self, takeover: Takeover) -> bool:
        """Whether this member requests a partition, or will, and no other member is known to have held it since."""
        not_held_yet = takeover.stage in (TakeoverStage.FOLLOWING, TakeoverStage.WAITING, TakeoverStage.ASKING)
        return not_held_yet and self._presumed_holder(takeover) in ("", self.name)

    def _answer_pre_fleet_messages(self, near_deadline: int) -> None:
        """Move messages from before this sender was a member to the open partition; answer those near their deadline.

        `near_deadline`: wall clock microseconds; deadlines up to it are near. No other member has these messages.
        """
        numbers = self.store.message_numbers(0) if self.has_pre_fleet_messages else []
        self.has_pre_fleet_messages = bool(numbers)
        pending = [number for number in numbers if self.store.messages[number].final_answer is None]
        if pending and self.store.accepts_messages():
            self._renumber(pending)
        late = [
            number
            for number in numbers
            if number in self.store.messages
            and (number not in pending or self.store.messages[number].deadline <= near_deadline)
        ]
        if late:
            self.dispatcher.abandon_parked(late)
