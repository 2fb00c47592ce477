"""Updates of the receivers from outside: the list, calls for it that failed, and Retry-After waits."""

from collections import deque
from collections.abc import Sequence

from cedarwick.decisions.health import JUDGED_OUTCOMES
from cedarwick.decisions.interface import EndpointState, EndpointUpdate, ListedEndpoint
from cedarwick.decisions.rate_control import RateAdjustment
from cedarwick.decisions.sender_state import BACKOFF_BASE, LIST_WAIT, MAX_RETRY_AFTER
from cedarwick.decisions.state import SECOND, Destination, RateControl, Receiver, TokenBucket

LIST_POLL_GAP = SECOND // 4  # of a window for the next call for the list, for each sender
FORGET_AFTER = 20 * SECOND  # after a receiver has left the list; a replacement starts from its outage until then


class EndpointUpdates(RateAdjustment):
    """Keeps the records of the receivers in step with the list."""

    def listed(self, now: int, change: EndpointUpdate, listings: Sequence[ListedEndpoint]) -> None:
        """Take over an update of the list, whole or changes alone, and forget receivers that left long ago."""
        if change is not EndpointUpdate.DELTA:
            named = {listing.receiver for listing in listings}
            for receiver in self.receivers.values():
                receiver.ready &= receiver.id in named  # a whole list replaces: what it leaves out is gone
        for listing in listings:
            self._update_receiver(now, listing)
        # Danger: each update would cost a look at every destination; only what is held needs one.
        self.changed.update(place.id for place in self.destinations.values() if place.held)
        self._forget_departed(now)

    def _update_receiver(self, now: int, listing: ListedEndpoint) -> None:
        """Take over one line of the list."""
        place = self._destination(listing.destination)
        if listing.receiver not in self.receivers:
            self._add_receiver(now, place, listing)
        known = self.receivers[listing.receiver]
        back = listing.phase is EndpointState.READY and not known.ready and known.left_at
        known.ready = listing.phase is EndpointState.READY
        if back and now - known.left_at > self.fall_time:
            # Danger: a receiver that was taken out for a while has been restarted, and returns cold.
            known.back_at, known.ramp = now, TokenBucket(0.0, now)
        if self.settings.get("weight-source", "off") != "off" and listing.rate > 0:
            self._list_rate(known.pace, listing.rate)

    def _add_receiver(self, now: int, place: Destination, listing: ListedEndpoint) -> None:
        """A record for a receiver that is not known yet; out where all it replaces are."""
        pace = RateControl() if listing.kind in self.separate_kinds else place.pace
        new = Receiver(
            listing.receiver,
            listing.zone,
            listing.kind,
            listing.destination,
            pace,
            recent_successes=deque(maxlen=JUDGED_OUTCOMES),
        )
        self.receivers[new.id] = new
        mates = self._mates(place, pace)
        out = [mate for mate in mates if mate.out_since]
        if out and not any(mate.ready and not mate.out_since for mate in mates):
            # Danger: what was held through an outage goes all at once to a replacement machine.
            new.out_since, new.failed, new.provable = out[0].out_since, True, out[0].provable
            new.canary_at = max(now, pace.canary_at)
        place.members.append(listing.receiver)

    def _forget_departed(self, now: int) -> None:
        """Danger: where receivers are replaced all day, the records of those that have gone add up."""
        for record in list(self.receivers.values()):
            record.left_at = 0 if record.ready else record.left_at or now
            # Danger: one that comes back before its Retry-After wait is over is still to be spared.
            still_needed = record.calls or record.pace.wait_until > now
            if record.left_at and now - record.left_at > FORGET_AFTER and not still_needed:
                self.destinations[record.destination].members.remove(record.id)
                del self.receivers[record.id]

    def list_poll_failed(self, now: int) -> None:
        """A call for the list failed or its subscription broke: draw the time of the next call.

        Danger: all senders lose the list at once; a call that discovery turns away has cost it work too, and as
        long as all together ask faster than it answers, it answers nobody.
        """
        recent = now - self.polled_at < self.max_poll_backoff
        self.failed_polls = min(self.failed_polls, 16) if recent else 0
        window = max(BACKOFF_BASE << self.failed_polls, self.senders * LIST_POLL_GAP)
        # Danger: in a window that is cut short more come than are answered; so its lower half is left out.
        least = min(LIST_WAIT, self.max_poll_backoff) // 2 if window > self.max_poll_backoff else 0
        self.subscribe_at = now + 1 + least + self.chance.below(max(1, min(self.max_poll_backoff, window) - least))
        self.failed_polls += 1

    def retry_after_waits(self, now: int) -> list[tuple[int, int]]:
        """Receivers whose Retry-After wait is not over, and its end: for a process that replaces this one."""
        return [(known.id, known.pace.wait_until) for known in self.receivers.values() if known.pace.wait_until > now]

    def heed(self, now: int, receiver: int, until: int) -> None:
        """A Retry-After wait, known apart from its attempt's outcome or heard by the process that this one replaces."""
        if receiver in self.receivers and until > now:
            known = self.receivers[receiver]
            known.pace.wait_until = max(known.pace.wait_until, min(until, now + MAX_RETRY_AFTER))
            self.changed.add(known.destination)
