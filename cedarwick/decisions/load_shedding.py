"""Load shedding: which messages get a final answer without delivery, because they cannot succeed or room is short.

Times are microseconds, allowances messages a second. `Sender` (see `policy`) derives from `LoadShedding`.
"""

from cedarwick.decisions.interface import duration_setting, flag_setting, float_setting
from cedarwick.decisions.message_handle import Handle
from cedarwick.decisions.state import SECOND, Destination, TokenBucket
from cedarwick.decisions.urgency import Urgency

ALLOWANCE_BURST_S = 2  # seconds of a tenant's allowance that it may use at once
ASSUMED_OUTAGE_AGE = 10 * SECOND  # assumed age of an outage of which no receiver tells
OUTAGE_BASE_S = 3.0  # seconds that a message takes at least at a destination that is out


class LoadShedding(Urgency):
    """Gives messages up, and holds the number of open messages below its bound."""

    def _over_share(self, now: int, tenant: int) -> bool:
        """Whether a tenant has used up its allowance (messages a second) with this sender."""
        allowance = float_setting(self.settings, f"realms.{tenant}.allowance-per-s") / self.senders
        if allowance <= 0:
            return False
        unused = self.tenant_allowances.setdefault(tenant, TokenBucket(allowance * ALLOWANCE_BURST_S, now))
        unused.refill(now, allowance, allowance * ALLOWANCE_BURST_S)
        return not unused.take()

    def _shed(self, now: int) -> None:
        """Give messages up until the number of open ones is within its bound.

        Messages for the destination with the longest backlog go first; otherwise the backlog of one lost destination
        would fill the sender, and messages for all others would be refused.
        """
        bound = max(
            2, min(self.max_open_messages - 1, self.open_messages + self.storable_messages)
        )  # a full message store refuses everything too
        while self.open_messages >= bound:
            holding = [destination_state for destination_state in self.destinations.values() if destination_state.held]
            destination_states = sorted(holding, key=lambda each: (-self._drain_time_s(now, each), each.id))
            lines = (
                [held for held in destination_state.held if not (held.in_flight or held.ended)]
                for destination_state in destination_states
            )
            spare = next((line for line in lines if line), None)
            if spare is None:
                return
            # The lowest priority goes first, even if it was attempted already: if only messages without an attempt
            # could go, the most important ones would be shed in their destination_state.
            self.give_up(
                now,
                max(
                    spare,
                    key=lambda held: (-held.priority_class.priority_weight, not held.ran_at, self._urgency(now, held)),
                ),
            )

    def _drain_time_s(self, now: int, destination_state: Destination) -> float:
        """An estimate of how many seconds a destination takes to work off its backlog."""
        ready = destination_state.ready_receivers
        lost = max(
            (now - receiver.ejected_since for receiver in ready if receiver.ejected_since), default=ASSUMED_OUTAGE_AGE
        )
        if any(not receiver.ejected_since for receiver in ready):
            return len(destination_state.held) / max(receiver.rate_control.rate or 1.0 for receiver in ready)
        # Expect an outage to last as long again as it already has.
        return len(destination_state.held) * (OUTAGE_BASE_S + lost / SECOND)

    def give_up(self, now: int, message: Handle) -> None:
        """Close the message without delivery: nack it if no attempt can have run, otherwise abandon it.

        A nack advises a wait (microseconds) where the settings allow Retry-After.
        """
        if message.ran_at:
            self.decisions.abandoned.append(message.id)
        else:
            longest = duration_setting(self.settings, "policy-limits.max-retry-after-ms")
            longest *= flag_setting(self.settings, "policy-limits.retry-after")
            wait = min(longest, max(0, self.destinations[message.destination].rate_control.wait_until - now))
            self.decisions.nacks.append((message.id, wait))
        self.close(now, message)
