"""Urgency: the order in which held messages are considered, by the value that waiting costs.

Times are microseconds. `policy` and `load_shedding` use it.
"""

from cedarwick.decisions.interface import float_setting
from cedarwick.decisions.sender_state import SenderState
from cedarwick.decisions.state import NEVER, SECOND, Message


class Urgency(SenderState):
    """Ranks messages by the value of delivery that they lose each second."""

    def _urgency(self, now: int, message: Message) -> tuple[float, int, int]:
        """A sort key that puts the message first that loses most by waiting; over-share tenants lose less."""
        if now < message.rank_until:
            return message.rank
        priority_class = message.priority_class
        left, loses = priority_class.delivery_value(now - message.objective_by)
        if message.deadline - now < 3 * SECOND:
            loses += (
                left if priority_class.halves_in else priority_class.priority_weight * priority_class.late_share
            ) / 3
        if now < message.objective_by - SECOND:
            loses /= 2
        if message.ran_at and not priority_class.idempotent:
            loses += priority_class.priority_weight  # the window in which it may be retried is running out
        if message.over_share:
            loses *= float_setting(self.settings, "over-share-worth", 1.0)
        times = message.objective_by - SECOND, message.deadline - 3 * SECOND + 1  # else only an attempt tells
        message.rank_until = min((time for time in times if time > now), default=NEVER)
        if priority_class.halves_in:
            message.rank_until = min(message.rank_until, now + priority_class.halves_in // 4)
        if self.many:  # each of many senders has few slots: weigh the loss by how long a call occupies one
            if priority_class.ordered and message.key:
                loses *= len(self.turns.lines[message.key])  # the other messages of its key wait for it
            loses /= self.destinations[message.destination].quickest or SECOND / 2
        message.rank = -loses, message.objective_by, message.order
        return message.rank
