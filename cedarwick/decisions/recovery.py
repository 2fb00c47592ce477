"""Ejection of failing receivers, canaries that probe for their recovery, and the ramp after recovery.

Times are in microseconds, rates in calls per second. `health` and `selection` call this module.
"""

from cedarwick.decisions.interface import HealthChange, HealthReason, HealthState, float_setting
from cedarwick.decisions.sender_state import SAFE_RATE_SHARE, SenderState
from cedarwick.decisions.state import SECOND, RateControl, Receiver, TokenBucket

WARM_UP_CALL_ALLOWANCE = 2  # calls within `rules.fall-ms` above the allowed rate that a restarted destination tolerates
MIN_CANARY_GAP = 800_000  # microseconds between this sender's canaries to a destination with a high rate
CANARY_GAP_PER_AGE = 2.5  # the upper bound of canary gaps grows to this multiple of the outage's age
MAX_CANARY_GAP = 6 * SECOND  # microseconds; the smallest upper bound of canary gaps, doubled with many senders
RAMP_SAFETY_SHARE = 0.8  # of the rate that the settings allow to a recovering destination


class Recovery(SenderState):
    """Ejects receivers, and computes when canaries probe them and how fast they ramp up."""

    def _eject(
        self, now: int, receiver: Receiver, proved_never_ran: bool, reason: HealthReason, message: int = 0
    ) -> None:
        """Eject a receiver, or record a further failure of an ejected one.

        `proved_never_ran`: its last failure proved that the attempt never ran; `message`: the message whose attempt
        failed, 0 if none did.
        """
        ejected_before = receiver.ejected_since > 0
        receiver.ejected_since, receiver.suspected = receiver.ejected_since or now, False
        receiver.outage_confirmed, receiver.proved_never_ran, receiver.recovered_at = True, proved_never_ran, 0
        receiver.canary_at = self._next_canary(now, receiver)
        if not ejected_before:
            self._report_health(receiver, HealthState.EJECTED, reason, receiver.ejected_since, message)
            # An outage usually affects all receivers of a destination: those in service may be about to fail, too.
            for sibling in (
                self._rate_group(self.destinations[receiver.destination], receiver.rate_control)
                if not self.few_senders
                else []
            ):
                if not sibling.ejected_since:
                    self._suspect(now, sibling, message)
        # An attempt on an idle connection to a dead machine gets no answer; a new connection fails at once.
        self.decisions.released_connections.append(receiver.id)

    def _eject_silent(self, now: int, receiver: Receiver) -> None:
        """Eject a receiver whose calls stay unanswered although none of them has failed yet."""
        receiver.ejected_since, receiver.proved_never_ran, receiver.suspected = now, False, False
        receiver.canary_at = self._next_canary(now, receiver)
        self._report_health(receiver, HealthState.EJECTED, HealthReason.SILENCE, now)

    def _suspect(self, now: int, receiver: Receiver, message: int) -> None:
        """Suspect a receiver after a failed call to its rate group, which may be the first sign of an outage."""
        if self.few_senders and now - receiver.rate_control.completed_at <= self.overload_window:
            return
        receiver.rate_control.failed_since = receiver.rate_control.failed_since or now
        self._report_suspicion(now, receiver, HealthReason.FAILURES, message)

    def _report_suspicion(self, now: int, receiver: Receiver, reason: HealthReason, message: int) -> None:
        """Report a suspicion, at most once until the next completion; a ramp has been reported already."""
        if not receiver.suspected and not receiver.recovered_at:
            receiver.suspected = True
            self._report_health(receiver, HealthState.SUSPECTED, reason, now, message)

    def _outage_suspected(self, now: int, rate_control: RateControl) -> bool:
        """Whether a call has failed since the last completion, and that completion is older than `rules.fall-ms`."""
        return rate_control.failed_since > 0 and now - rate_control.completed_at > self.overload_window

    def _clear_suspicion(self, now: int, receiver: Receiver, sent_at: int, message: int) -> bool:
        """End the suspicions of a rate group after a completion; return whether it ended a suspected outage.

        After a suspected outage the receivers in service ramp up: a sender that has seen a call fail must not send all
        its held messages at once, even if the failure was no reason to eject.
        """
        rate_control = receiver.rate_control
        outage = self._outage_suspected(now, rate_control)
        rate_control.failed_since, rate_control.throttled_since, rate_control.completed_at = 0, 0, now
        rate_control.completed_sent_at = max(rate_control.completed_sent_at, sent_at)
        for sibling in self._rate_group(self.destinations[receiver.destination], rate_control):
            suspected, sibling.suspected = sibling.suspected, False
            if not sibling.in_service:
                continue  # the state that is stored for it says more
            if outage and (suspected or not self.few_senders) and not sibling.recovered_at:
                self._begin_ramp(now, sibling, now, HealthReason.COMPLETION, message)
            elif suspected:
                self._report_health(sibling, HealthState.IN_SERVICE, HealthReason.COMPLETION, now, message)
        return outage

    def _begin_ramp(self, now: int, receiver: Receiver, since: int, reason: HealthReason, message: int = 0) -> None:
        """Ramp up a receiver that recovered at about `since`; the ramp lasts at least `ramp_time` from now."""
        receiver.recovered_at, receiver.ramp_until = since, now + self.ramp_time
        receiver.ramp_bucket = TokenBucket(0.0, now)
        self._report_health(receiver, HealthState.RAMPING, reason, since, message)

    def _end_ramp(self, now: int, receiver: Receiver) -> None:
        """End the ramp of a receiver: it has warmed up."""
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
        """Report a rate cut, so that it survives a restart; otherwise the sender would start at full rate again."""
        if receiver.recovered_at:
            since, state = receiver.recovered_at, HealthState.RAMPING
        else:
            since, state = now, HealthState.SUSPECTED if receiver.suspected else HealthState.IN_SERVICE
        self._report_health(receiver, state, HealthReason.RATE_CUT, since, message)

    def _eject_rate_group(self, now: int, receiver: Receiver) -> None:
        """With many senders, eject all receivers of a rate group without a recent completion once two are ejected.

        An outage usually affects all receivers of a destination. If each of many senders probed them one by one, the
        senders together would overload the first one that recovers.
        """
        rate_group = self._rate_group(self.destinations[receiver.destination], receiver.rate_control)
        if self.many_senders and sum(sibling.ejected_since > 0 for sibling in rate_group) > 1:
            for sibling in rate_group:
                if not sibling.ejected_since and self._lacks_recent_completion(now, sibling):
                    self._eject(now, sibling, receiver.proved_never_ran, HealthReason.OTHERS_EJECTED)

    def _next_canary(self, now: int, receiver: Receiver) -> int:
        """Return when the next canary may be sent (microseconds).

        The canaries of many senders together could overload a recovering receiver, so the gaps grow with the age of the
        outage.
        """
        gap = self._canary_gap(now, receiver)
        receiver.rate_control.canary_at = max(receiver.rate_control.canary_at, now + gap * 3 // 4)
        tolerated_calls = self._recovery_rate(receiver, 0) * self.senders * self.overload_window / SECOND
        if (
            self.many_senders or self.senders > tolerated_calls + WARM_UP_CALL_ALLOWANCE
        ) and receiver.rate_control.wait_until > now:
            # All senders know the same end of the Retry-After wait: spread their return at random.
            return receiver.rate_control.wait_until + self.random_source.randrange(gap)
        return now + gap * 3 // 4 + self.random_source.randrange(gap // 2)

    def _canary_gap(self, now: int, receiver: Receiver) -> int:
        """Return the mean time between two canaries of this sender to a receiver (microseconds)."""
        # Canaries do no harm while connections fail, so the gaps need not grow. With many senders they must, since all
        # senders would otherwise call the receiver in the moment when it recovers.
        unreachable = receiver.proved_never_ran and not receiver.consecutive_throttles and not self.many_senders
        gap_for_age = round((now - receiver.ejected_since) * (0.0 if unreachable else CANARY_GAP_PER_AGE))
        gap = max(MIN_CANARY_GAP, round(SECOND / self._recovery_rate(receiver, 0)))
        return min(gap, max(MAX_CANARY_GAP * (1 + self.many_senders), gap_for_age))

    def _recovery_rate(self, receiver: Receiver, since: int, sharing: int = 1) -> float:
        """Return the calls per second that this sender may send `since` microseconds after the receiver's recovery.

        `sharing`: the number of receivers among which the rate of the destination is divided.
        """
        warm_up_share = float_setting(self.settings, "rules.cold-share", 0.25)
        share = warm_up_share + (1 - warm_up_share) * min(1.0, since / self.ramp_time)
        observed_rate = max(
            receiver.observed_rate, receiver.rate_control.limit * SAFE_RATE_SHARE / self.senders / sharing
        )
        share *= RAMP_SAFETY_SHARE * float_setting(self.settings, "rules.fall-multiple", 1.5)
        return max(self.min_rate / sharing, share * observed_rate)
