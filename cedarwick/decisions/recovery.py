"""Ejection of failing receivers, canaries that probe for their recovery, and the ramp after it.

Times are microseconds, rates calls a second. `health` and `selection` call it.
"""

from cedarwick.decisions.interface import HealthChange, HealthReason, HealthState, float_setting
from cedarwick.decisions.sender_state import SAFE_RATE_SHARE, SenderState
from cedarwick.decisions.state import SECOND, RateControl, Receiver, TokenBucket

WARM_UP_CALL_ALLOWANCE = 2  # calls above what a restarted destination withstands within `rules.fall-ms`
MIN_CANARY_GAP = 800_000  # between two canaries of this sender to one destination, where it is large
CANARY_GAP_PER_AGE = 2.5  # gaps between canaries grow to this multiple of the outage's age where senders are many
MAX_CANARY_GAP = 6 * SECOND  # and where it is small or the senders are many
RAMP_SAFETY_SHARE = 0.8  # of what the fail-back rule allows


class Recovery(SenderState):
    """Ejects receivers, and computes when they are probed and how fast they ramp up."""

    def _eject(
        self, now: int, receiver: Receiver, proved_never_ran: bool, reason: HealthReason, message: int = 0
    ) -> None:
        """Eject a receiver, or note a further failure of one that is ejected.

        `proved_never_ran`: its last failure proved that nothing ran; `message`: whose attempt failed, 0 where none did.
        """
        ejected_before = receiver.ejected_since > 0
        receiver.ejected_since, receiver.suspected = receiver.ejected_since or now, False
        receiver.outage_confirmed, receiver.proved_never_ran, receiver.recovered_at = True, proved_never_ran, 0
        receiver.canary_at = self._next_canary(now, receiver)
        if not ejected_before:
            self._report_health(receiver, HealthState.EJECTED, reason, receiver.ejected_since, message)
            # An outage mostly affects all receivers of a destination: those in service may be about to fail, too.
            for sibling in (
                self._rate_group(self.destinations[receiver.destination], receiver.rate_control)
                if not self.few_senders
                else []
            ):
                if not sibling.ejected_since:
                    self._suspect(now, sibling, message)
        # An attempt on an idle connection to a dead machine is lost unseen; a new connection fails at once.
        self.decisions.released_connections.append(receiver.id)

    def _eject_silent(self, now: int, receiver: Receiver) -> None:
        """Eject a receiver whose calls stay unanswered; none of them has failed yet."""
        receiver.ejected_since, receiver.proved_never_ran, receiver.suspected = now, False, False
        receiver.canary_at = self._next_canary(now, receiver)
        self._report_health(receiver, HealthState.EJECTED, HealthReason.SILENCE, now)

    def _suspect(self, now: int, receiver: Receiver, message: int) -> None:
        """A call there or at a sibling failed, which may be the first that is seen of an outage."""
        if self.few_senders and now - receiver.rate_control.completed_at <= self.overload_window:
            return
        receiver.rate_control.failed_since = receiver.rate_control.failed_since or now
        self._report_suspicion(now, receiver, HealthReason.FAILURES, message)

    def _report_suspicion(self, now: int, receiver: Receiver, reason: HealthReason, message: int) -> None:
        """Store that a receiver is suspect, once until the next completion; a ramp is stored already."""
        if not receiver.suspected and not receiver.recovered_at:
            receiver.suspected = True
            self._report_health(receiver, HealthState.SUSPECTED, reason, now, message)

    def _outage_suspected(self, now: int, rate_control: RateControl) -> bool:
        """Whether a call has failed since the last completion, and that is longer ago than `rules.fall-ms`."""
        return rate_control.failed_since > 0 and now - rate_control.completed_at > self.overload_window

    def _clear_suspicion(self, now: int, receiver: Receiver, sent_at: int, message: int) -> bool:
        """A call was completed; whether an outage lay before it, after which the receivers in service ramp up.

        Who has seen a call fail there must not send what it holds at once, even where that was no reason to eject.
        """
        rate_control = receiver.rate_control
        outage = self._outage_suspected(now, rate_control)
        rate_control.failed_since, rate_control.throttled_since, rate_control.completed_at = 0, 0, now
        rate_control.completed_sent_at = max(rate_control.completed_sent_at, sent_at)
        for sibling in self._rate_group(self.destinations[receiver.destination], rate_control):
            suspected, sibling.suspected = sibling.suspected, False
            if not sibling.in_service:
                continue  # what is stored of it says more
            if outage and (suspected or not self.few_senders) and not sibling.recovered_at:
                self._begin_ramp(now, sibling, now, HealthReason.COMPLETION, message)
            elif suspected:
                self._report_health(sibling, HealthState.IN_SERVICE, HealthReason.COMPLETION, now, message)
        return outage

    def _begin_ramp(self, now: int, receiver: Receiver, since: int, reason: HealthReason, message: int = 0) -> None:
        """Let a receiver ramp up as one that has been back since `since`, until a whole ramp from now at least."""
        receiver.recovered_at, receiver.ramp_until = since, now + self.ramp_time
        receiver.ramp_bucket = TokenBucket(0.0, now)
        self._report_health(receiver, HealthState.RAMPING, reason, since, message)

    def _end_ramp(self, now: int, receiver: Receiver) -> None:
        """The receiver is warm."""
        receiver.recovered_at = 0
        self._report_health(receiver, HealthState.IN_SERVICE, HealthReason.RAMP_OVER, now)

    def _report_health(
        self, receiver: Receiver, state: HealthState, reason: HealthReason, since: int, message: int = 0
    ) -> None:
        self.decisions.health_changes.append(
            HealthChange(
                receiver.id,
                receiver.destination,
                state,
                reason,
                since,
                message,
                receiver.proved_never_ran,
                receiver.observed_rate,
                receiver.rate_control.rate if receiver.rate_control.rate and receiver.rate_control.cut_at else 0.0,
            )
        )

    def _report_rate_cut(self, now: int, receiver: Receiver, message: int) -> None:
        """A restarted sender at full rate would meet the throttling destination as if it had never been refused."""
        if receiver.recovered_at:
            since, state = receiver.recovered_at, HealthState.RAMPING
        else:
            since, state = now, HealthState.SUSPECTED if receiver.suspected else HealthState.IN_SERVICE
        self._report_health(receiver, state, HealthReason.RATE_CUT, since, message)

    def _eject_rate_group(self, now: int, receiver: Receiver) -> None:
        """Eject the other receivers of a destination as well, once a second one of them is out.

        An outage mostly affects all receivers of a destination. If each of many senders went on probing them one by
        one, the senders together would overload whichever recovers first.
        """
        rate_group = self._rate_group(self.destinations[receiver.destination], receiver.rate_control)
        if self.many_senders and sum(sibling.ejected_since > 0 for sibling in rate_group) > 1:
            for sibling in rate_group:
                if not sibling.ejected_since and self._lacks_recent_completion(now, sibling):
                    self._eject(now, sibling, receiver.proved_never_ran, HealthReason.OTHERS_EJECTED)

    def _next_canary(self, now: int, receiver: Receiver) -> int:
        """When the next canary may go (microseconds).

        The canaries of many senders add up and could overload a receiver that recovers, so the gaps grow with the
        outage's age.
        """
        gap = self._canary_gap(now, receiver)
        receiver.rate_control.canary_at = max(receiver.rate_control.canary_at, now + gap * 3 // 4)
        withstood = self._recovery_rate(receiver, 0) * self.senders * self.overload_window / SECOND
        if (
            self.many_senders or self.senders > withstood + WARM_UP_CALL_ALLOWANCE
        ) and receiver.rate_control.wait_until > now:
            # All senders know the same end of the wait: spread their return at random.
            return receiver.rate_control.wait_until + self.random_source.randrange(gap)
        return now + gap * 3 // 4 + self.random_source.randrange(gap // 2)

    def _canary_gap(self, now: int, receiver: Receiver) -> int:
        """The mean time between two canaries of this sender to a receiver (microseconds)."""
        # Canaries do no harm while connections fail, so gaps need not grow; but with many senders all of them would
        # hit the receiver in the moment it recovers.
        dead = receiver.proved_never_ran and not receiver.consecutive_throttles and not self.many_senders
        aged = round((now - receiver.ejected_since) * (0.0 if dead else CANARY_GAP_PER_AGE))
        gap = max(MIN_CANARY_GAP, round(SECOND / self._recovery_rate(receiver, 0)))
        return min(gap, max(MAX_CANARY_GAP * (1 + self.many_senders), aged))

    def _recovery_rate(self, receiver: Receiver, since: int, sharing: int = 1) -> float:
        """Calls a second that this sender may send `since` microseconds after the receiver's recovery.

        `sharing`: how many receivers take this rate at once, of a destination that gets it as a whole.
        """
        warm_up_share = float_setting(self.settings, "rules.cold-share", 0.25)
        share = warm_up_share + (1 - warm_up_share) * min(1.0, since / self.ramp_time)
        observed_rate = max(
            receiver.observed_rate, receiver.rate_control.limit * SAFE_RATE_SHARE / self.senders / sharing
        )
        share *= RAMP_SAFETY_SHARE * float_setting(self.settings, "rules.fall-multiple", 1.5)
        return max(self.min_rate / sharing, share * observed_rate)
