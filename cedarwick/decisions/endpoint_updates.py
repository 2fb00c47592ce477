"""Endpoint discovery as the decisions see it: list updates, failed list calls, and Retry-After waits.

Times are microseconds, listed rates calls a second. `Sender` (see `policy`) derives from `EndpointUpdates`.
"""

from collections import deque
from collections.abc import Sequence

from cedarwick.decisions.earlier_outages import EarlierOutages
from cedarwick.decisions.health import JUDGED_OUTCOMES
from cedarwick.decisions.interface import EndpointState, EndpointUpdate, HealthReason, HealthState, ListedEndpoint
from cedarwick.decisions.rate_control import RateAdjustment
from cedarwick.decisions.sender_state import BACKOFF_BASE, MAX_LIST_POLL_DELAY, MAX_RETRY_AFTER
from cedarwick.decisions.state import SECOND, Destination, RateControl, Receiver

MAX_POLL_DOUBLINGS = 16  # of the window from which the next list call is drawn
LIST_POLL_WINDOW_PER_SENDER = (
    SECOND // 4
)  # the window from which the next list call is drawn has at least this much for each sender
FORGET_AFTER = 20 * SECOND  # after a receiver has left the list; until then a replacement takes over its outage


class EndpointUpdates(RateAdjustment, EarlierOutages):
    """Keeps the records of the receivers in step with the list."""

    def apply_endpoint_list(self, now: int, change: EndpointUpdate, listings: Sequence[ListedEndpoint]) -> None:
        """Apply an update of the list (full or delta), and drop the records of receivers that left long ago."""
        if change is not EndpointUpdate.DELTA:
            named = {listing.receiver for listing in listings}
            for receiver in self.receivers.values():
                receiver.ready &= receiver.id in named  # a full list replaces the one before it
        for listing in listings:
            self._update_receiver(now, listing)
        # Only destinations with held messages need a new decision; looking at all of them would be too slow.
        self.changed_destinations.update(
            destination_state.id for destination_state in self.destinations.values() if destination_state.held
        )
        self._forget_departed(now)

    def _update_receiver(self, now: int, listing: ListedEndpoint) -> None:
        """Apply one line of the list to the record of its receiver, which is created if it is new."""
        destination_state = self._destination(listing.destination)
        if listing.receiver not in self.receivers:
            self._add_receiver(now, destination_state, listing)
        known = self.receivers[listing.receiver]
        back = listing.endpoint_state is EndpointState.READY and not known.ready and known.not_ready_since
        known.ready = listing.endpoint_state is EndpointState.READY
        if back and not known.ejected_since:
            if now - known.not_ready_since > self.overload_window:
                # Away for this long, it has probably been restarted: ramp up instead of full traffic.
                self._begin_ramp(now, known, now, HealthReason.RELISTED)
            elif not known.recovered_at:
                self._report_health(known, HealthState.IN_SERVICE, HealthReason.RELISTED, now)
        if self.settings.get("weight-source", "off") != "off" and listing.rate > 0:
            self._apply_rate_limit(known.rate_control, listing.rate)

    def _add_receiver(self, now: int, destination_state: Destination, listing: ListedEndpoint) -> None:
        """Create the record of a new receiver; where all receivers that it replaces are ejected, so is it at first."""
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
            # Otherwise all messages held through the outage would go to the replacement machine at once.
            self._eject_for_earlier_outage(now, new, outage)
            if destination_state.departed_outage is None:
                new.canary_at = max(now, rate_control.canary_at)  # those that it replaces are probed already
            self._report_health(new, HealthState.EJECTED, HealthReason.REPLACEMENT, new.ejected_since)
        destination_state.receiver_ids.append(listing.receiver)

    def _forget_departed(self, now: int) -> None:
        """Delete the records of receivers that left long ago; without this, replacements add up in memory."""
        for record in list(self.receivers.values()):
            if record.ready:
                record.not_ready_since = 0
            elif not record.not_ready_since:
                record.not_ready_since = now
                if not record.ejected_since:
                    self._report_health(record, HealthState.AWAY, HealthReason.UNLISTED, now)
            # A receiver that comes back before its Retry-After wait is over must still be left alone until then.
            still_needed = record.unanswered_attempts or record.rate_control.wait_until > now
            if record.not_ready_since and now - record.not_ready_since > FORGET_AFTER and not still_needed:
                self._forget(now, record)

    def _forget(self, now: int, record: Receiver) -> None:
        """Delete the record of a receiver that left long ago; an outage of its whole destination is remembered."""
        destination_state = self.destinations[record.destination]
        rate_group = self._rate_group(destination_state, record.rate_control)
        if (
            record.ejected_since
            and record.rate_control is destination_state.rate_control
            and not any(sibling.in_service for sibling in rate_group)
        ):
            # The receiver, or its replacement, may come back much later, and as cold.
            self._remember_departed_outage(destination_state, record.outage())
        self._report_health(record, HealthState.IN_SERVICE, HealthReason.FORGOTTEN, now)
        destination_state.receiver_ids.remove(record.id)
        del self.receivers[record.id]

    def list_poll_failed(self, now: int) -> None:
        """A call for the list failed or its subscription broke: draw the time of the next call.

        Discovery usually fails for all senders at once, and refusing a call costs it work too. The window grows with
        the number of senders and of failures, so that their retries together do not keep it overloaded.
        """
        recent = now - self.last_poll_at < self.max_poll_backoff
        self.failed_polls = min(self.failed_polls, MAX_POLL_DOUBLINGS) if recent else 0
        window = max(BACKOFF_BASE << self.failed_polls, self.senders * LIST_POLL_WINDOW_PER_SENDER)
        # A window cut to the maximum has more calls than discovery can answer; leaving out its lower half thins them.
        least = min(MAX_LIST_POLL_DELAY, self.max_poll_backoff) // 2 if window > self.max_poll_backoff else 0
        self.subscribe_at = (
            now + 1 + least + self.random_source.randrange(max(1, min(self.max_poll_backoff, window) - least))
        )
        self.failed_polls += 1

    def retry_after_waits(self, now: int) -> list[tuple[int, int]]:
        """Receivers with a running Retry-After wait and its end (microseconds), for a process that replaces this."""
        return [
            (known.id, known.rate_control.wait_until)
            for known in self.receivers.values()
            if known.rate_control.wait_until > now
        ]

    def apply_retry_after(self, now: int, receiver: int, until: int) -> None:
        """Apply a Retry-After wait until a time (microseconds) that is known ahead of, or apart from, an outcome.

        It comes from a response that is still being read, or from the process that this one replaces.
        """
        if receiver in self.receivers and until > now:
            known = self.receivers[receiver]
            known.rate_control.wait_until = max(known.rate_control.wait_until, min(until, now + MAX_RETRY_AFTER))
            self.changed_destinations.add(known.destination)
