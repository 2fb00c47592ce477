"""One member of a fleet: connects membership, leases, partitions and replicas to network, folder and dispatcher.

The greenlet `run` checks all state every few milliseconds. Requests from other members are answered in the greenlets of
the peer server, and calls to other members are made in greenlets of their own. No greenlet yields between reading a
state and the change that relies on it. The rules, and the reasons for them, are in `takeover.py`, `leases.py`,
`membership.py` and `replication.py`; each part of the work has a module of its own, whose class is a base of
`FleetNode`. Times named `now` are microseconds of the boot clock (`monotonic_time`).
"""

import time

import gevent
from loguru import logger

from cedarwick.config.member_slots import slot_of
from cedarwick.config.operator import Fleet
from cedarwick.fleet.late_answers import LateAnswers
from cedarwick.fleet.limits import CALL_TIMEOUT_S, CHECK_INTERVAL_S, DEADLINE_CHECK_S, NO_MAJORITY_US
from cedarwick.fleet.membership import MemberStatus
from cedarwick.fleet.membership_reload import MembershipReload
from cedarwick.fleet.peer_server import PeerServer
from cedarwick.fleet.ports import PartitionDispatcher
from cedarwick.fleet.replicated_store import ReplicatedStore, monotonic_time
from cedarwick.fleet.request_handling import RequestHandling
from cedarwick.fleet.takeover import Ownership, Takeover
from cedarwick.net.clock import Clock
from cedarwick.net.counters import Counters


class FleetNode(MembershipReload, RequestHandling, LateAnswers):
    """This sender as a member. It is made before the dispatcher; call `start` once the folder has been read."""

    def __init__(
        self, name: str, settings: Fleet, state: str, store: ReplicatedStore, clock: Clock, counters: Counters
    ) -> None:
        """As `MemberState`; raises OSError also where this member's address cannot be bound."""
        super().__init__(name, settings, state, store, clock, counters)
        store.reserve_numbers, store.on_replication_timeout = self._reserve_numbers, self._note_replication_timeout
        if settings.sessions:
            from cedarwick.fleet import session_routing  # nothing of sessions is loaded where they are off

            self.session_router = session_routing.SessionRouter(self)
        self.server = PeerServer(self.addresses[name], self.verifier, counters, self.answer)

    def start(self, dispatcher: PartitionDispatcher) -> list[gevent.Greenlet]:
        """Load the replicas, accept peer messages and start to run. Call it once the folder has been read.

        Returns the greenlets of the member, none of which ever returns.
        """
        self.dispatcher = dispatcher
        self.replicas.load()
        for partition in self.replicas.files:
            self._follow_partition(partition)
        slot = slot_of(self.name)
        stored = {held.partition: held.term for held in self.held.values() if held.partition >> 12 == slot}
        mine = {number >> 32 for number in self.store.messages} - {0}
        for partition in sorted(mine - stored.keys()):
            # An adopted partition, or one whose lease record is lost: resume it if no other member holds it by now.
            self.takeovers[partition] = Takeover(
                partition, self.name, self.halls, self._recorded_term(partition), resume=True
            )
        self.ownership = Ownership(self.name, slot, self.halls, stored)
        for partition in sorted(stored)[:-1]:
            if partition not in self.takeovers and partition in mine:
                self.takeovers[partition] = Takeover(partition, self.name, self.halls, stored[partition], resume=True)
        for partition in sorted(mine & set(self.takeovers)):  # not those with a replica alone: it may be incomplete
            self._hold_partition(partition)
        if self.store.damaged:
            # A replica may still have records that this folder has lost. Until that is settled it must not be brought
            # into line with the folder, or it would drop them too.
            self.damaged_partitions = mine | set(stored)
        self.server.start()
        parts = [gevent.spawn(self.run)]
        parts += [gevent.spawn(self._exchange_heartbeats, name) for name in self.peers.names()]
        logger.info(
            "member {} of {} in hall {}: {} others",
            self.name,
            self.settings.group,
            self.halls[self.name],
            len(self.halls) - 1,
        )
        return parts

    def run(self) -> None:
        """Check all state every `CHECK_INTERVAL_S` seconds; never returns."""
        while True:
            self.check(monotonic_time())
            gevent.sleep(CHECK_INTERVAL_S)

    def check(self, now: int) -> None:
        """Do all work due at `now`, microseconds of the boot clock. A part that fails does not stop the others."""
        for change in (changes := self.members.changes(now)):
            logger.info("member {} is {} (was {})", change.name, change.current.value, change.previous.value)
            self.exchange.on_member_changed(change, self.members.heartbeat_ages(now).get(change.name, 0))
            if change.current is MemberStatus.ALIVE and not self.grantor.learning:
                gevent.spawn(self._learn_closed_partitions, change.name)
        self.alive = [name for name in self.halls if self.members.status(now, name) is MemberStatus.ALIVE]
        # Counted from the first check without a majority, not from the last heartbeat: a process that was suspended has
        # heard nobody for long, and hears the others again a moment later.
        self.no_majority_since = 0 if len(self.alive) >= self.members.majority else self.no_majority_since or now
        few = self.no_majority_since > 0 and now - self.no_majority_since >= NO_MAJORITY_US
        self._guarded(self.gossip.send_due, now, self.alive, self.members.majority)
        self._guarded(self.exchange.look, now, self.alive, self.members.majority)
        self._guarded(self._learn_grants, now)
        self._guarded(self._ensure_open_partition, now)
        for takeover in list(self.takeovers.values()):
            self._guarded(self._step_takeover, now, takeover)
        if self.session_router is not None:
            self._guarded(self.session_router.look, now)
        self._guarded(self.replicas.compact_step)
        # Clients may return to the member that is back; what is owed here now is older than what it will accept.
        if any(change.current is MemberStatus.ALIVE for change in changes):
            for holding in self.store.leased_partitions.values():
                self._record_backlog(holding)
        if changes or time.monotonic() - self.deadlines_checked_at >= DEADLINE_CHECK_S:
            self._guarded(self._exchange_pending_order_keys, now)
        if time.monotonic() - self.deadlines_checked_at >= DEADLINE_CHECK_S:
            self.deadlines_checked_at = time.monotonic()
            self._guarded(self._answer_late, now, few)

    def leave(self) -> None:
        """Announce the end of this sender and release its leases, so that successors may take over at once.

        Best effort: waits `CALL_TIMEOUT_S` seconds at most for the other members' answers.
        """
        self.leaving = True
        calls = [gevent.spawn(self._call, name, self._own_heartbeat(), CALL_TIMEOUT_S) for name in self.peers.names()]
        for holding in self.store.leased_partitions.values():
            holding.serving = False  # before the release: after it a successor may fire
            if len(holding.takeover.holder.successors) > 1 and (ask := holding.takeover.holder.release()) is not None:
                self._guarded(self._answer_lease_request, ask)
                calls += [gevent.spawn(self._call, name, ask, CALL_TIMEOUT_S) for name in self.peers.names()]
        gevent.joinall(calls, timeout=CALL_TIMEOUT_S)

    def hand_over(self) -> None:
        """Hand the sessions over to the process that replaces this one; a failure is counted and logged."""
        if self.session_router is not None:
            try:
                self.session_router.hand_over()
            except OSError as error:
                self.counters.warning("the sessions cannot be handed over", error)

    def stop(self) -> None:
        """Close the listener, the connections to other members and the files of the replicas."""
        if self.session_router is not None:
            self.session_router.stop()
        self.exchange.stop()
        self.server.stop()
        self.peers.close()
        self.replicas.close()
