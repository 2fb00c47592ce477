"""Answers for messages near their deadline that nobody may fire for."""

from cedarwick.fleet.limits import ANSWER_AHEAD_US, NO_MAJORITY_UNHELD_US, NO_MAJORITY_US
from cedarwick.fleet.membership import MemberStatus
from cedarwick.fleet.partition_takeover import PartitionTakeover
from cedarwick.fleet.takeover import Takeover, TakeoverStage


class LateAnswers(PartitionTakeover):
    """Answers what would end unanswered without a majority."""

    def _answer_late(self, now: int, few: bool) -> None:
        """Without a majority nobody can be asked who has the right: what ends is answered, as one that may have run.

        So is what nobody else can answer: it is held here but no copy follows, or only this member has it.
        Danger: otherwise the right is settled within a moment, and whoever has it gives the answer; one of ours
        beside it would be a second, and perhaps another one.
        """
        soon = self.clock.now() + ANSWER_AHEAD_US
        self._before_the_fleet(soon)
        for holding in list(self.store.holdings.values()):
            stage = holding.adoption.stage
            held = stage is TakeoverStage.HOLDING and holding.imported
            ours = held and holding.adoption.holder.may_fire(now)
            # Danger: after a restart a partition that no majority grants to anybody would end unanswered.
            unheld = held and not ours or self._nobodys(holding.adoption)
            holding.unheld_since = (holding.unheld_since or now) if unheld else 0
            if holding.serving or self.leaving:
                continue
            # No majority has answered for so long, though its members may be heard.
            wait = (
                NO_MAJORITY_US if held else NO_MAJORITY_UNHELD_US
            )  # who has not held it since its start may have much to hear
            ours = ours or holding.unheld_since > 0 and now - holding.unheld_since >= wait
            numbers: list[int] = []
            if stage is TakeoverStage.OFFERING:
                # What no copy was sent, and nobody was offered, nobody else can answer. Danger: an offer without an
                # answer may have been taken, and the taker may have told another end.
                heard = self.members.state(now, self._newest(holding.adoption)) is MemberStatus.ALIVE
                if not heard and not holding.approached:
                    numbers, _ = self.store.only_here(holding)
            elif ours or few:
                numbers = self.store.numbers(holding.partition)
            elif stage is TakeoverStage.GONE and not holding.offered:
                numbers = sum(self.store.only_here(holding), [])
            late = [
                number
                for number in numbers
                if self.store.messages[number].deadline <= soon and number not in self.store.inert
            ]
            if late:
                self.dispatcher.answer_late(late)

    def _nobodys(self, adoption: Takeover) -> bool:
        """Whether a partition here is asked for, or will be, and nobody else is known to have held it after us."""
        waits = adoption.stage in (TakeoverStage.FOLLOWING, TakeoverStage.WAITING, TakeoverStage.ASKING)
        return waits and self._newest(adoption) in ("", self.name)

    def _before_the_fleet(self, soon: int) -> None:
        """Messages that were taken before this sender was a member: nobody else has heard of them."""
        numbers = self.store.numbers(0) if self.before else []
        self.before = bool(numbers)
        owed = [number for number in numbers if self.store.messages[number].end is None]
        if owed and self.store.taking():
            self._rekey(owed)
        late = [
            number
            for number in numbers
            if number in self.store.messages and (number not in owed or self.store.messages[number].deadline <= soon)
        ]
        if late:
            self.dispatcher.answer_late(late)
