"""Outages that outlive the records of their receivers: over a restart, and over a departure from the list.

Times are microseconds. `health` and `endpoint_updates` call it, and the dispatcher as `interface.py` describes.
"""

from cedarwick.decisions.interface import EarlierHealth, HealthChange, HealthReason, HealthState
from cedarwick.decisions.recovery import Recovery
from cedarwick.decisions.state import SECOND, DepartedOutage, Destination, Receiver, TokenBucket


class EarlierOutages(Recovery):
    """Restores ejections and ramps, so that a recovering destination is never met as one that was never out."""

    def restore_health(self, now: int, receiver: int, earlier: EarlierHealth) -> None:
        """Apply what an earlier process knew of a receiver that is listed now."""
        known = self.receivers[receiver]
        known.observed_rate = max(known.observed_rate, earlier.observed_rate)
        # The last look of the earlier process is not known: the return is not taken for earlier than this start.
        known.last_attempt_at = known.last_attempt_at or now
        rate_control = known.rate_control
        # In service, an old cut says nothing any more: the rate has risen since.
        if earlier.cut_rate and (earlier.state is not HealthState.IN_SERVICE or earlier.recorded_age < self.ramp_time):
            rate_control.rate = (
                earlier.cut_rate if rate_control.rate is None else min(rate_control.rate, earlier.cut_rate)
            )
            rate_control.reference_rate = rate_control.reference_rate or max(earlier.observed_rate, earlier.cut_rate)
            rate_control.cut_at, rate_control.bucket = now, TokenBucket(0.0, now)
        if earlier.state is HealthState.EJECTED:
            self._eject_for_earlier_outage(now, known, self._earlier_outage(now, earlier))
            self._report_health(known, HealthState.EJECTED, HealthReason.BEFORE_RESTART, known.ejected_since)
        elif earlier.state is HealthState.SUSPECTED:
            known.rate_control.failed_since = known.rate_control.failed_since or max(1, now - earlier.age)
            known.suspected = True
            self._spread_first_call(now, known)
            self._report_health(
                known, HealthState.SUSPECTED, HealthReason.BEFORE_RESTART, known.rate_control.failed_since
            )
        elif not known.ready and earlier.state is HealthState.AWAY:
            known.not_ready_since = (
                now - self.overload_window - 1
            )  # since when is not known: its return begins with a ramp
        elif earlier.state is not HealthState.IN_SERVICE and not known.ejected_since:
            # How far its ramp had come rests on a clock that may have been set: it begins anew.
            self._begin_ramp(now, known, now, HealthReason.BEFORE_RESTART)
            self._spread_first_call(now, known)

    def restore_departed(self, now: int, earlier: EarlierHealth) -> None:
        """Apply what an earlier process knew of a receiver that the list does not name.

        Those that are listed may replace it, or may have been in service all the time: they ramp up.
        """
        if earlier.state is not HealthState.EJECTED:
            return
        destination_state = self._destination(earlier.destination)
        self._remember_departed_outage(destination_state, self._earlier_outage(now, earlier))
        for sibling in self._rate_group(destination_state, destination_state.rate_control):
            if sibling.in_service and not sibling.recovered_at:
                sibling.observed_rate = max(sibling.observed_rate, earlier.observed_rate)
                self._begin_ramp(now, sibling, now, HealthReason.BEFORE_RESTART)
                self._spread_first_call(now, sibling)

    def _spread_first_call(self, now: int, receiver: Receiver) -> None:
        """Many senders may have started in the same moment: a random part of the first token spreads their calls."""
        receiver.ramp_bucket = TokenBucket(self.random_source.randrange(SECOND) / SECOND, now)

    @staticmethod
    def _earlier_outage(now: int, earlier: EarlierHealth) -> DepartedOutage:
        return DepartedOutage(max(1, now - earlier.age), earlier.proved_never_ran, earlier.observed_rate)

    def _ongoing_outage(self, destination_state: Destination, rate_group: list[Receiver]) -> DepartedOutage | None:
        """The outage that a receiver shares_call which the list names anew; None where some receiver is in service."""
        if any(sibling.in_service for sibling in rate_group):
            return None
        out = next((sibling for sibling in rate_group if sibling.ejected_since), None)
        return out.outage() if out else destination_state.departed_outage

    def _eject_for_earlier_outage(self, now: int, receiver: Receiver, outage: DepartedOutage) -> None:
        """Eject a receiver as one of an outage that began earlier; its canary comes at random within a gap."""
        receiver.ejected_since, receiver.outage_confirmed, receiver.proved_never_ran = (
            outage.ejected_since,
            True,
            outage.proved_never_ran,
        )
        receiver.recovered_at = 0
        receiver.observed_rate = max(receiver.observed_rate, outage.observed_rate)
        receiver.canary_at = now + self.random_source.randrange(self._canary_gap(now, receiver))
        receiver.rate_control.canary_at = max(receiver.rate_control.canary_at, receiver.canary_at)

    def _remember_departed_outage(self, destination_state: Destination, outage: DepartedOutage) -> None:
        """Remember the outage of receivers whose records go."""
        destination_state.departed_outage = outage
        self._report_departed(destination_state, HealthState.EJECTED, HealthReason.DEPARTED_EJECTED, outage)

    def _end_departed_outage(self, now: int, destination_state: Destination) -> None:
        """A receiver of the destination has completed a call."""
        if destination_state.departed_outage is not None:
            outage = DepartedOutage(now, False, 0.0)
            destination_state.departed_outage = None
            self._report_departed(destination_state, HealthState.IN_SERVICE, HealthReason.COMPLETION, outage)

    def _report_departed(
        self, destination_state: Destination, state: HealthState, reason: HealthReason, outage: DepartedOutage
    ) -> None:
        self.decisions.health_changes.append(
            HealthChange(
                0,
                destination_state.id,
                state,
                reason,
                outage.ejected_since,
                0,
                outage.proved_never_ran,
                outage.observed_rate,
            )
        )
