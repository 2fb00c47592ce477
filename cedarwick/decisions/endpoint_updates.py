"""Endpoint list updates, failed polls of the list, and Retry-After waits.

Times are in microseconds, listed rates in calls per second. `Sender` (see `policy`) derives from `EndpointUpdates`.
"""

from collections import deque
from collections.abc import Sequence

from cedarwick.decisions.earlier_outages import EarlierOutages
from cedarwick.decisions.health import JUDGED_OUTCOMES
from cedarwick.decisions.interface import EndpointState, EndpointUpdate, HealthReason, HealthState, ListedEndpoint
from cedarwick.decisions.rate_control import RateAdjustment
from cedarwick.decisions.sender_state import BACKOFF_BASE, MAX_LIST_POLL_DELAY, MAX_RETRY_AFTER
from cedarwick.decisions.state import SECOND, Destination, RateControl, Receiver

MAX_POLL_DOUBLINGS = 16  # doublings of the window of the random backoff of list polls
LIST_POLL_WINDOW_PER_SENDER = SECOND // 4  # microseconds; the window is at least this long for each sender
# Microseconds after a receiver has left the list; until then a replacement takes over its outage.
FORGET_AFTER = 20 * SECOND


class EndpointUpdates(RateAdjustment, EarlierOutages):
    """Keeps the records of the receivers up to date with the endpoint list."""

    def apply_endpoint_list(self, now: int, update_type: EndpointUpdate, listings: Sequence[ListedEndpoint]) -> None:
        """Apply a full or delta update of the endpoint list, and delete the records of receivers that left long ago."""
        if update_type is not EndpointUpdate.DELTA:
            listed_ids = {listing.receiver for listing in listings}
            for receiver in self.receivers.values():
                receiver.ready &= receiver.id in listed_ids  # a full list replaces the previous one
        for listing in listings:
            self._update_receiver(now, listing)
        # Only destinations with held messages need a new decision; checking all of them would be too slow.
        self.changed_destinations.update(
            destination_state.id for destination_state in self.destinations.values() if destination_state.held
        )
        self._forget_departed(now)

    def _update_receiver(self, now: int, listing: ListedEndpoint) -> None:
        """Apply one entry of the list to the record of its receiver; create the record if there is none yet."""
        destination_state = self._destination(listing.destination)
        if listing.receiver not in self.receivers:
            self._add_receiver(now, destination_state, listing)
        record = self.receivers[listing.receiver]
        returned = listing.endpoint_state is EndpointState.READY and not record.ready and record.not_ready_since
        record.ready = listing.endpoint_state is EndpointState.READY
        if returned and not record.ejected_since:
            if now - record.not_ready_since > self.overload_window:
                # After this long an absence it has probably been restarted: ramp up instead of sending full traffic.
                self._begin_ramp(now, record, now, HealthReason.RELISTED)
            elif not record.recovered_at:
                self._report_health(record, HealthState.IN_SERVICE, HealthReason.RELISTED, now)
        if self.settings.get("weight-source", "off") != "off" and listing.rate > 0:
            self._apply_rate_limit(record.rate_control, listing.rate)

    def _add_receiver(self, now: int, destination_state: Destination, listing: ListedEndpoint) -> None:
        """Create the record of a new receiver; eject it if all receivers that it may replace are ejected."""
        rate_control = RateControl() if listing.kind in self.separate_kinds else destination_state.rate_control
        new = Receiver(
            listing.receiver,
            listing.zone,
            listing.kind,
            listing.destination,
            rate_control,
            recent_successes=deque(maxlen=JUDGED_OUTCOMES),
        )
        self.receivers[new.id] = new
        outage = self._ongoing_outage(destination_state, self._rate_group(destination_state, rate_control))
        if outage is not None and rate_control is destination_state.rate_control:
            # Otherwise all messages held during the outage would be sent to the replacement at once.
            self._eject_for_earlier_outage(now, new, outage)
            if destination_state.departed_outage is None:
                new.canary_at = max(now, rate_control.canary_at)  # canaries probe the destination already
            self._report_health(new, HealthState.EJECTED, HealthReason.REPLACEMENT, new.ejected_since)
        destination_state.receiver_ids.append(listing.receiver)

    def _forget_departed(self, now: int) -> None:
        """Delete the records of receivers that left long ago; otherwise replacements would accumulate in memory."""
        for record in list(self.receivers.values()):
            if record.ready:
                record.not_ready_since = 0
            elif not record.not_ready_since:
                record.not_ready_since = now
                if not record.ejected_since:
                    self._report_health(record, HealthState.AWAY, HealthReason.UNLISTED, now)
            # A receiver that is listed again before its Retry-After wait is over must not be called until then.
            still_needed = record.unanswered_attempts or record.rate_control.wait_until > now
            if record.not_ready_since and now - record.not_ready_since > FORGET_AFTER and not still_needed:
                self._forget(now, record)

    def _forget(self, now: int, record: Receiver) -> None:
        """Delete the record of a receiver that left long ago; an outage of its whole destination is kept."""
        destination_state = self.destinations[record.destination]
        rate_group = self._rate_group(destination_state, record.rate_control)
        if (
            record.ejected_since
            and record.rate_control is destination_state.rate_control
            and not any(sibling.in_service for sibling in rate_group)
        ):
            # The receiver or its replacement may return much later, and must warm up then, too.
            self._remember_departed_outage(destination_state, record.outage())
        self._report_health(record, HealthState.IN_SERVICE, HealthReason.FORGOTTEN, now)
        destination_state.receiver_ids.remove(record.id)
        del self.receivers[record.id]

    def list_poll_failed(self, now: int) -> None:
        """Schedule the next poll after a poll of the endpoint list failed or its watch ended.

        Discovery usually fails for all senders at once, and even rejecting a poll costs it work. The window of the
        random backoff grows with the number of senders and of failures, so that the retries of all senders together do
        not keep it overloaded.
        """
        failed_recently = now - self.last_poll_at < self.max_poll_backoff
        self.failed_polls = min(self.failed_polls, MAX_POLL_DOUBLINGS) if failed_recently else 0
        window = max(BACKOFF_BASE << self.failed_polls, self.senders * LIST_POLL_WINDOW_PER_SENDER)
        # A window cut to the maximum has more polls than discovery can answer; using its upper half reduces them.
        min_delay = min(MAX_LIST_POLL_DELAY, self.max_poll_backoff) // 2 if window > self.max_poll_backoff else 0
        self.subscribe_at = (
            now + 1 + min_delay + self.random_source.randrange(max(1, min(self.max_poll_backoff, window) - min_delay))
        )
        self.failed_polls += 1

    def retry_after_waits(self, now: int) -> list[tuple[int, int]]:
        """Return the receivers in a Retry-After wait and its end (microseconds), for the process that takes over."""
        return [
            (record.id, record.rate_control.wait_until)
            for record in self.receivers.values()
            if record.rate_control.wait_until > now
        ]

    def apply_retry_after(self, now: int, receiver: int, until: int) -> None:
        """Apply a Retry-After wait until a time (microseconds) that is known before, or without, an outcome.

        It comes from a response that is still being read, or from the process that this one has replaced.
        """
        if receiver in self.receivers and until > now:
            record = self.receivers[receiver]
            record.rate_control.wait_until = max(record.rate_control.wait_until, min(until, now + MAX_RETRY_AFTER))
            self.changed_destinations.add(record.destination)
