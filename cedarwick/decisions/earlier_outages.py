"""Outages that outlive the records of their receivers: across a restart, and across removal from the endpoint list.

Times are in microseconds. `health`, `endpoint_updates` and (see `interface.py`) the dispatcher call this module.
"""

from cedarwick.decisions.interface import EarlierHealth, HealthChange, HealthReason, HealthState
from cedarwick.decisions.recovery import Recovery
from cedarwick.decisions.state import SECOND, DepartedOutage, Destination, Receiver, TokenBucket


class EarlierOutages(Recovery):
    """Restores ejections and ramps, so that a recovering destination never gets the traffic of a healthy one."""

    def restore_health(self, now: int, receiver: int, earlier: EarlierHealth) -> None:
        """Apply what an earlier process knew about a receiver that is listed now."""
        record = self.receivers[receiver]
        record.observed_rate = max(record.observed_rate, earlier.observed_rate)
        # The last attempt of the earlier process is not known: do not estimate the recovery as earlier than this start.
        record.last_attempt_at = record.last_attempt_at or now
        rate_control = record.rate_control
        # For a receiver in service, an old rate cut is obsolete: the rate has risen since.
        if earlier.cut_rate and (earlier.state is not HealthState.IN_SERVICE or earlier.recorded_age < self.ramp_time):
            rate_control.rate = (
                earlier.cut_rate if rate_control.rate is None else min(rate_control.rate, earlier.cut_rate)
            )
            rate_control.reference_rate = rate_control.reference_rate or max(earlier.observed_rate, earlier.cut_rate)
            rate_control.cut_at, rate_control.bucket = now, TokenBucket(0.0, now)
        if earlier.state is HealthState.EJECTED:
            self._eject_for_earlier_outage(now, record, self._earlier_outage(now, earlier))
            self._report_health(record, HealthState.EJECTED, HealthReason.BEFORE_RESTART, record.ejected_since)
        elif earlier.state is HealthState.SUSPECTED:
            record.rate_control.failed_since = record.rate_control.failed_since or max(1, now - earlier.age)
            record.suspected = True
            self._spread_first_call(now, record)
            self._report_health(
                record, HealthState.SUSPECTED, HealthReason.BEFORE_RESTART, record.rate_control.failed_since
            )
        elif not record.ready and earlier.state is HealthState.AWAY:
            record.not_ready_since = now - self.overload_window - 1  # unknown duration: it ramps up when it returns
        elif earlier.state is not HealthState.IN_SERVICE and not record.ejected_since:
            # The progress of its ramp depends on a clock that may have been changed: restart the ramp.
            self._begin_ramp(now, record, now, HealthReason.BEFORE_RESTART)
            self._spread_first_call(now, record)

    def restore_departed(self, now: int, earlier: EarlierHealth) -> None:
        """Apply what an earlier process knew about a receiver that is not listed any more.

        The listed receivers may be its replacements, or may have been in service all the time: they ramp up.
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
        """Start the ramp with a random part of a token: many senders may have started at the same time."""
        receiver.ramp_bucket = TokenBucket(self.random_source.randrange(SECOND) / SECOND, now)

    @staticmethod
    def _earlier_outage(now: int, earlier: EarlierHealth) -> DepartedOutage:
        return DepartedOutage(max(1, now - earlier.age), earlier.proved_never_ran, earlier.observed_rate)

    def _ongoing_outage(self, destination_state: Destination, rate_group: list[Receiver]) -> DepartedOutage | None:
        """Return the outage that applies to a newly listed receiver; None if another receiver is in service."""
        if any(sibling.in_service for sibling in rate_group):
            return None
        ejected = next((sibling for sibling in rate_group if sibling.ejected_since), None)
        return ejected.outage() if ejected else destination_state.departed_outage

    def _eject_for_earlier_outage(self, now: int, receiver: Receiver, outage: DepartedOutage) -> None:
        """Eject a receiver as part of an earlier outage; its first canary is due at random within a canary gap."""
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
        """Keep the outage of receivers whose records are deleted, and report it."""
        destination_state.departed_outage = outage
        self._report_departed(destination_state, HealthState.EJECTED, HealthReason.DEPARTED_EJECTED, outage)

    def _end_departed_outage(self, now: int, destination_state: Destination) -> None:
        """End the remembered outage of a destination, because one of its receivers has completed a call."""
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
