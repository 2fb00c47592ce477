"""Which messages get a final answer without delivery: those past hope, and those that must make way."""

from cedarwick.decisions.interface import duration_setting, flag_setting, float_setting
from cedarwick.decisions.message_handle import Handle
from cedarwick.decisions.state import SECOND, Destination, TokenBucket
from cedarwick.decisions.urgency import Urgency


class LoadShedding(Urgency):
    """Gives messages up, and keeps the number of open ones within its bound."""

    def _over_share(self, now: int, tenant: int) -> bool:
        """Whether a tenant has used up its allowance (messages a second) with this sender."""
        allowance = float_setting(self.settings, f"realms.{tenant}.allowance-per-s") / self.senders
        if allowance <= 0:
            return False
        unused = self.tenant_allowances.setdefault(tenant, TokenBucket(allowance * 2, now))
        unused.fill(now, allowance, allowance * 2)
        return not unused.take()

    def _shed(self, now: int) -> None:
        """Give messages up until the number of open ones is within its bound.

        Danger: a backlog for one lost destination fills the sender and turns all others away.
        """
        bound = max(2, min(self.most_open - 1, self.open + self.room))  # a full folder turns all away as well
        while self.open >= bound:
            holding = [place for place in self.destinations.values() if place.held]
            places = sorted(holding, key=lambda each: (-self._drain(now, each), each.id))
            lines = ([held for held in place.held if not (held.out or held.ended)] for place in places)
            spare = next((line for line in lines if line), None)
            if spare is None:
                return
            # Danger: once the least important have had an attempt, nacks alone would cost the most important.
            self.give_up(
                now,
                max(
                    spare,
                    key=lambda held: (-held.priority_class.priority_weight, not held.ran_at, self._urgency(now, held)),
                ),
            )

    def _drain(self, now: int, place: Destination) -> float:
        """About how many seconds the backlog of a destination takes to leave."""
        ready = place.ready
        lost = max((now - member.out_since for member in ready if member.out_since), default=10 * SECOND)
        if any(not member.out_since for member in ready):
            return len(place.held) / max(member.pace.rate or 1.0 for member in ready)
        return len(place.held) * (3.0 + lost / SECOND)  # an outage may last as long again as it has

    def give_up(self, now: int, message: Handle) -> None:
        """The final answer, at once: a nack only when every attempt provably never ran."""
        if message.ran_at:
            self.verdicts.abandoned.append(message.id)
        else:
            longest = duration_setting(self.settings, "policy-limits.max-retry-after-ms")
            longest *= flag_setting(self.settings, "policy-limits.retry-after")
            wait = min(longest, max(0, self.destinations[message.destination].pace.wait_until - now))
            self.verdicts.nacks.append((message.id, wait))
        self.close(now, message)
