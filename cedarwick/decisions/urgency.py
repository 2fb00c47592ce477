"""Urgency: the order in which held messages are considered, by the value that waiting costs.

Times are microseconds. `policy` and `load_shedding` use it.
"""

from cedarwick.decisions.interface import float_setting
from cedarwick.decisions.sender_state import SenderState
from cedarwick.decisions.state import ASSUMED_LATENCY, NEVER, SECOND, Message

DEADLINE_NEAR = 3 * SECOND  # so near its deadline a message may lose all of its remaining value
OBJECTIVE_NEAR = SECOND  # longer before its latency objective a message loses half as much by waiting
RANK_CHECKS_PER_HALVING = 4  # how often a rank is computed anew while a value falls by half


class Urgency(SenderState):
    """Ranks messages by the value of delivery that they lose each second."""

    def _urgency(self, now: int, message: Message) -> tuple[float, int, int]:
        """A sort key that puts the message first that loses most by waiting; over-share tenants lose less."""
        if now < message.rank_valid_until:
            return message.rank
        priority_class = message.priority_class
        left, loses = priority_class.delivery_value(now - message.objective_by)
        if message.deadline - now < DEADLINE_NEAR:
            loses += (
                left if priority_class.value_half_life else priority_class.priority_weight * priority_class.late_share
            ) / 3
        if now < message.objective_by - OBJECTIVE_NEAR:
            loses /= 2
        if message.ran_at and not priority_class.idempotent:
            loses += priority_class.priority_weight  # the window in which it may be retried is running out
        if message.over_share:
            loses *= float_setting(self.settings, "over-share-worth", 1.0)
        # Apart from these times only an attempt changes the rank.
        times = message.objective_by - OBJECTIVE_NEAR, message.deadline - DEADLINE_NEAR + 1
        message.rank_valid_until = min((time for time in times if time > now), default=NEVER)
        if priority_class.value_half_life:
            message.rank_valid_until = min(
                message.rank_valid_until, now + priority_class.value_half_life // RANK_CHECKS_PER_HALVING
            )
        if self.many_senders:  # each of many senders has few slots: weigh the loss by how long a call occupies one
            if priority_class.ordered and message.key:
                loses *= len(self.order_key_queues.queues[message.key])  # the other messages of its key wait for it
            loses /= self.destinations[message.destination].min_latency or ASSUMED_LATENCY
        message.rank = -loses, message.objective_by, message.accepted_order
        return message.rank
