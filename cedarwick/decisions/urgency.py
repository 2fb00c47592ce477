"""Urgency: the order in which held messages are processed, by the delivery value that is lost by waiting.

Times are in microseconds. `policy` and `load_shedding` use this module.
"""

from cedarwick.decisions.interface import float_setting
from cedarwick.decisions.sender_state import SenderState
from cedarwick.decisions.state import ASSUMED_LATENCY, NEVER, SECOND, Message

DEADLINE_NEAR = 3 * SECOND  # microseconds before the deadline, when a message may lose all of its remaining value
OBJECTIVE_NEAR = SECOND  # microseconds; earlier before its latency objective, a message loses half as much by waiting
RANK_CHECKS_PER_HALVING = 4  # how often a rank is recomputed while the value falls by half


class Urgency(SenderState):
    """Ranks messages by the delivery value that they lose per second."""

    def _urgency(self, now: int, message: Message) -> tuple[float, int, int]:
        """Return a sort key that puts the messages first that lose most by waiting.

        The losses of tenants over their share are weighted by the setting `over-share-worth`.
        """
        if now < message.rank_valid_until:
            return message.rank
        priority_class = message.priority_class
        remaining_value, loss = priority_class.delivery_value(now - message.objective_by)
        if message.deadline - now < DEADLINE_NEAR:
            loss += (
                remaining_value
                if priority_class.value_half_life
                else priority_class.priority_weight * priority_class.late_share
            ) / 3
        if now < message.objective_by - OBJECTIVE_NEAR:
            loss /= 2
        if message.ran_at and not priority_class.idempotent:
            loss += priority_class.priority_weight  # the deduplication window for a retry is running out
        if message.over_share:
            loss *= float_setting(self.settings, "over-share-worth", 1.0)
        # Except at these times, only an attempt changes the rank.
        times = message.objective_by - OBJECTIVE_NEAR, message.deadline - DEADLINE_NEAR + 1
        message.rank_valid_until = min((time for time in times if time > now), default=NEVER)
        if priority_class.value_half_life:
            message.rank_valid_until = min(
                message.rank_valid_until, now + priority_class.value_half_life // RANK_CHECKS_PER_HALVING
            )
        # Each of many senders has few call slots: divide the loss by the time for which a call occupies one.
        if self.many_senders:
            if priority_class.ordered and message.key:
                # The other messages of its order key wait for it.
                loss *= len(self.order_key_queues.queues[message.key])
            loss /= self.destinations[message.destination].min_latency or ASSUMED_LATENCY
        message.rank = -loss, message.objective_by, message.accepted_order
        return message.rank
