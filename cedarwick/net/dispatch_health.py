"""Receivers' health in the dispatcher: its log, its record in the folder, and what an earlier process knew.

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
        """Take up what an earlier process knew; call once, at the start, before a list update is handled."""
        self.health_file = health_file
        self.earlier_health = health_file.load()
        if self.earlier_health:
            logger.info("health of {} receivers known from before the restart", len(self.earlier_health))

    def _apply_earlier_health(self, listings: Sequence[ListedEndpoint]) -> None:
        """Tell the decisions what an earlier process knew of receivers that are listed for the first time."""
        now = self.clock.now()
        first, self.first_listing = self.first_listing, False
        for listing in listings:
            key = HealthKey(self.uid_of(listing.receiver), listing.destination)
            earlier = self.earlier_health.pop(key, None)
            if earlier is None and first and self.health_file is not None and not self.health_file.complete:
                # Nobody knows which receivers were out: each may be coming back.
                earlier = EarlierHealth(listing.destination, HealthState.RAMPING, False, 0.0, 0)
            if earlier is not None:
                self.sender.restore_health(now, listing.receiver, earlier)
        if first:
            for earlier in self.earlier_health.values():
                self.sender.restore_departed(now, earlier)

    def _store_health(self) -> None:
        """Store what the events of this round have changed, and what could not be stored before."""
        self._record_health(self.sender.take_health_changes())
        if self.health_file is not None:
            self.health_file.retry()

    def _record_health(self, changes: Sequence[HealthChange]) -> None:
        """Log and store changes; the record is written before a further attempt goes."""
        now = self.clock.now()
        for change in changes:
            # The list may have forgotten a receiver that the decisions forget now.
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
        """One line for each change: it explains canaries, ramps and held messages afterwards."""
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
