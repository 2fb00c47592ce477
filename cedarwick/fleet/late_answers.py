"""Answers for messages near their deadline that no member may attempt.

Called by `FleetNode.check` every `DEADLINE_CHECK_S` seconds. Times are microseconds: `now` of the boot clock, deadlines
of the wall clock.
"""

from cedarwick.fleet.limits import DEADLINE_MARGIN_US, NO_MAJORITY_UNHELD_US, NO_MAJORITY_US
from cedarwick.fleet.membership import MemberStatus
from cedarwick.fleet.partition_takeover import PartitionTakeover
from cedarwick.fleet.takeover import Takeover, TakeoverStage


class LateAnswers(PartitionTakeover):
    """Answers messages that would pass their deadline unanswered while there is no majority."""

    def _answer_late(self, now: int, few: bool) -> None:
        """Answer messages near their deadline as ones that may have run, where no other member can answer them.

        That is so without a majority (`few`), as nobody can find out who holds the lease; where the partition is held
        here but no replica follows; and where only this member has the message. In all other cases the lease is
        settled within a moment and its holder answers: an answer from here would be a second, maybe different one.
        """
        soon = self.clock.now() + DEADLINE_MARGIN_US
        self._answer_pre_fleet_messages(soon)
        for holding in list(self.store.leased_partitions.values()):
            stage = holding.takeover.stage
            held = stage is TakeoverStage.HOLDING and holding.imported
            ours = held and holding.takeover.holder.is_valid(now)
            # Also partitions that no majority grants to anybody, as after a restart: nobody else would answer them.
            unheld = held and not ours or self._has_no_holder(holding.takeover)
            holding.unheld_since = (holding.unheld_since or now) if unheld else 0
            if holding.serving or self.leaving:
                continue
            # How long no majority has answered lease requests, though members may be heard. Longer where this process
            # has not held the partition: it may have much to learn from others yet.
            wait = NO_MAJORITY_US if held else NO_MAJORITY_UNHELD_US
            ours = ours or holding.unheld_since > 0 and now - holding.unheld_since >= wait
            numbers: list[int] = []
            if stage is TakeoverStage.OFFERING:
                # Nobody else can answer what no replica was sent and nobody was offered. An offer without an answer
                # may have been stored, and the new holder may have answered the message otherwise.
                heard = self.members.status(now, self._presumed_holder(holding.takeover)) is MemberStatus.ALIVE
                if not heard and not holding.offer_sent:
                    numbers = self.store.unreplicated(holding).unsent
            elif ours or few:
                numbers = self.store.message_numbers(holding.partition)
            elif stage is TakeoverStage.GONE and not holding.offer_accepted:
                numbers = sum(self.store.unreplicated(holding), [])
            late = [
                number
                for number in numbers
                if self.store.messages[number].deadline <= soon and number not in self.store.migrating
            ]
            if late:
                self.dispatcher.abandon_parked(late)

    def _has_no_holder(self, takeover: Takeover) -> bool:
        """Whether this member asks for a partition, or will, and no other member is known to have held it since."""
        waits = takeover.stage in (TakeoverStage.FOLLOWING, TakeoverStage.WAITING, TakeoverStage.ASKING)
        return waits and self._presumed_holder(takeover) in ("", self.name)

    def _answer_pre_fleet_messages(self, soon: int) -> None:
        """Move messages from before this sender was a member to the open partition; answer those near their deadline.

        `soon`: wall clock microseconds; deadlines up to it are near. No other member has these messages.
        """
        numbers = self.store.message_numbers(0) if self.has_pre_fleet_messages else []
        self.has_pre_fleet_messages = bool(numbers)
        owed = [number for number in numbers if self.store.messages[number].final_answer is None]
        if owed and self.store.accepts_messages():
            self._renumber(owed)
        late = [
            number
            for number in numbers
            if number in self.store.messages and (number not in owed or self.store.messages[number].deadline <= soon)
        ]
        if late:
            self.dispatcher.abandon_parked(late)
