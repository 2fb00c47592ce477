"""Load shedding: gives up messages that cannot be delivered any more, or that exceed the number of open messages.

Times are in microseconds, allowances in messages per second. `Sender` (see `policy`) derives from `LoadShedding`.
"""

from cedarwick.decisions.interface import duration_setting, flag_setting, float_setting
from cedarwick.decisions.message_handle import Handle
from cedarwick.decisions.state import SECOND, Destination, TokenBucket
from cedarwick.decisions.urgency import Urgency

ALLOWANCE_BURST_S = 2  # seconds of its allowance that a tenant may use at once
ASSUMED_OUTAGE_AGE = 10 * SECOND  # microseconds; used if no receiver of the destination is listed as ready
OUTAGE_BASE_S = 3.0  # seconds; the minimum time per message at a destination that is out


class LoadShedding(Urgency):
    """Gives up messages, and keeps the number of open messages within its bound."""

    def _over_share(self, now: int, tenant: int) -> bool:
        """Whether a tenant has used up its allowance at this sender."""
        allowance = float_setting(self.settings, f"realms.{tenant}.allowance-per-s") / self.senders
        if allowance <= 0:
            return False
        unused = self.tenant_allowances.setdefault(tenant, TokenBucket(allowance * ALLOWANCE_BURST_S, now))
        unused.refill(now, allowance, allowance * ALLOWANCE_BURST_S)
        return not unused.take()

    def _shed(self, now: int) -> None:
        """Give up messages until the number of open messages is within its bound.

        Messages for the destination with the longest backlog are given up first; otherwise the backlog of one failed
        destination would fill the sender, and messages for all others would be rejected.
        """
        # A full store rejects all messages, too.
        bound = max(2, min(self.max_open_messages - 1, self.open_messages + self.storable_messages))
        while self.open_messages >= bound:
            with_backlog = [
                destination_state for destination_state in self.destinations.values() if destination_state.held
            ]
            destination_states = sorted(with_backlog, key=lambda each: (-self._drain_time_s(now, each), each.id))
            backlogs = (
                [held for held in destination_state.held if not (held.in_flight or held.ended)]
                for destination_state in destination_states
            )
            sheddable = next((backlog for backlog in backlogs if backlog), None)
            if sheddable is None:
                return
            # Shed the lowest priority weight first, even if an attempt may have run: if only messages without an
            # attempt could be shed, more important ones would be shed instead.
            self.give_up(
                now,
                max(
                    sheddable,
                    key=lambda held: (-held.priority_class.priority_weight, not held.ran_at, self._urgency(now, held)),
                ),
            )

    def _drain_time_s(self, now: int, destination_state: Destination) -> float:
        """Estimate how many seconds a destination needs to work off its backlog."""
        ready = destination_state.ready_receivers
        outage_age = max(
            (now - receiver.ejected_since for receiver in ready if receiver.ejected_since), default=ASSUMED_OUTAGE_AGE
        )
        if any(not receiver.ejected_since for receiver in ready):
            return len(destination_state.held) / max(receiver.rate_control.rate or 1.0 for receiver in ready)
        # Expect an outage to continue for as long as it has lasted already.
        return len(destination_state.held) * (OUTAGE_BASE_S + outage_age / SECOND)

    def give_up(self, now: int, message: Handle) -> None:
        """Close a message without delivery: nack it if no attempt may have run, otherwise abandon it.

        A nack advises a Retry-After wait (microseconds) if the settings allow it.
        """
        if message.ran_at:
            self.decisions.abandoned.append(message.id)
        else:
            longest = duration_setting(self.settings, "policy-limits.max-retry-after-ms")
            longest *= flag_setting(self.settings, "policy-limits.retry-after")
            wait = min(longest, max(0, self.destinations[message.destination].rate_control.wait_until - now))
            self.decisions.nacks.append((message.id, wait))
        self.close(now, message)
