"""Receivers' health in the dispatcher: it is logged, recorded in the state folder, and restored after a restart.

A base class of `Dispatcher`; times are microseconds.
"""

import json
from collections.abc import Sequence

from loguru import logger

from cedarwick.decisions.interface import EarlierHealth, HealthChange, HealthState, ListedEndpoint
from cedarwick.net.dispatch_state import DispatcherState
from cedarwick.store.health_file import HealthFile, HealthKey


class ReceiverHealth(DispatcherState):
    """Logs and stores each change of a receiver's health, and restores it after a restart."""

    def restore_health(self, health_file: HealthFile) -> None:
        """Load what an earlier process recorded; call once at the start, before the first endpoint list update."""
        self.health_file = health_file
        self.earlier_health = health_file.load()
        if self.earlier_health:
            logger.info("health of {} receivers known from before the restart", len(self.earlier_health))

    def _apply_earlier_health(self, listings: Sequence[ListedEndpoint]) -> None:
        """Restore what an earlier process recorded of receivers that are now listed for the first time."""
        now = self.clock.now()
        first, self.first_listing = self.first_listing, False
        for listing in listings:
            key = HealthKey(self.uid_of(listing.receiver), listing.destination)
            earlier = self.earlier_health.pop(key, None)
            if earlier is None and first and self.health_file is not None and not self.health_file.complete:
                # It is unknown which receivers were ejected; each may be recovering.
                earlier = EarlierHealth(listing.destination, HealthState.RAMPING, False, 0.0, 0)
            if earlier is not None:
                self.sender.restore_health(now, listing.receiver, earlier)
        if first:
            for earlier in self.earlier_health.values():
                self.sender.restore_departed(now, earlier)

    def _store_health(self) -> None:
        """Record what the events of this round have changed, and retry records that could not be written before."""
        self._record_health(self.sender.take_health_changes())
        if self.health_file is not None:
            self.health_file.retry()

    def _record_health(self, changes: Sequence[HealthChange]) -> None:
        """Log and record changes; the records are written before any further attempt is sent."""
        now = self.clock.now()
        for change in changes:
            # The endpoint list may no longer have a receiver that the decisions remove now.
            uid = self.uid_of(change.receiver) or self.recorded_uids.pop(change.receiver, "")
            self._log_health(change, uid, now)
            if uid and change.state is not HealthState.IN_SERVICE:
                self.recorded_uids[change.receiver] = uid
            else:
                self.recorded_uids.pop(change.receiver, None)
            if self.health_file is not None and (uid or not change.receiver):
                self.health_file.record(
                    uid,
                    EarlierHealth(
                        change.destination,
                        change.state,
                        change.proved_never_ran,
                        change.observed_rate,
                        max(0, now - change.since),
                        change.cut_rate,
                    ),
                )

    def _log_health(self, change: HealthChange, uid: str, now: int) -> None:
        """Log one line for a change, so that canaries, ramps and held messages can be explained later."""
        stored = self.store.messages.get(change.message)
        record = {
            "receiver": uid,
            "destination": change.destination,
            "state": change.state.value,
            "reason": change.reason.value,
            "since": change.since,
            "message": stored.id if stored is not None else "",
            "number": change.message,
            "at": now,
        }
        logger.info("receiver health {}", json.dumps(record))
        self.counters.add(f"receivers {change.state.value}")
