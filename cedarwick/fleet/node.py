"""One member of a fleet: connects membership, leases, partitions and replicas to network, folder and dispatcher.

The greenlet `run` checks all state every `CHECK_INTERVAL_S` seconds. Requests from other members are answered in the
greenlets of the peer server; calls to other members run in their own greenlets. No greenlet yields between reading
state and making the change that relies on it. The rules, with their reasons, are in `takeover.py`, `leases.py`,
`membership.py` and `replication.py`. Each part of the work has its own module, whose class is a base of `FleetNode`.
Times named `now` are microseconds of the boot clock (`monotonic_time`).
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
    """This sender as a member. It is created before the dispatcher; call `start` once the folder has been read."""

    def __init__(
        self, name: str, settings: Fleet, state_folder: str, store: ReplicatedStore, clock: Clock, counters: Counters
    ) -> None:
        """As `MemberState`; also raises OSError if this member's address cannot be bound."""
        super().__init__(name, settings, state_folder, store, clock, counters)
        store.reserve_numbers, store.on_replication_timeout = self._reserve_numbers, self._note_replication_timeout
        if settings.sessions:
            from cedarwick.fleet import session_routing  # the session modules are loaded only if sessions are on

            self.session_router = session_routing.SessionRouter(self)
        self.server = PeerServer(self.addresses[name], self.verifier, counters, self.handle_peer_message)

    def start(self, dispatcher: PartitionDispatcher) -> list[gevent.Greenlet]:
        """Load the replicas, accept peer messages and start the greenlets. Call it once the folder has been read.

        Returns the greenlets: `run`, and one for each other member, which ends when that member is removed.
        """
        self.dispatcher = dispatcher
        self.replicas.load()
        for partition in self.replicas.files:
            self._follow_partition(partition)
        slot = slot_of(self.name)
        recorded_terms = {
            record.partition: record.term for record in self.lease_records.values() if record.partition >> 12 == slot
        }
        stored_partitions = {number >> 32 for number in self.store.messages} - {0}
        for partition in sorted(stored_partitions - recorded_terms.keys()):
            # An adopted partition, or one whose lease record is lost: resumed if no other member holds it by now.
            self.takeovers[partition] = Takeover(
                partition, self.name, self.halls, self._recorded_term(partition), resume=True
            )
        self.ownership = Ownership(self.name, slot, self.halls, recorded_terms)
        for partition in sorted(recorded_terms)[:-1]:
            if partition not in self.takeovers and partition in stored_partitions:
                self.takeovers[partition] = Takeover(
                    partition, self.name, self.halls, recorded_terms[partition], resume=True
                )
        # Partitions of which there is only a replica are left out: it may be incomplete.
        for partition in sorted(stored_partitions & set(self.takeovers)):
            self._hold_partition(partition)
        if self.store.damaged:
            # A replica may still have records that this folder has lost. Until successors have had time to take over,
            # the replica must not be updated from the folder, or it would drop those records too.
            self.damaged_partitions = stored_partitions | set(recorded_terms)
        self.server.start()
        greenlets = [gevent.spawn(self.run)]
        greenlets += [gevent.spawn(self._exchange_heartbeats, name) for name in self.peers.names()]
        logger.info(
            "started as member {} of group {} in hall {}, with {} other members",
            self.name,
            self.settings.group,
            self.halls[self.name],
            len(self.halls) - 1,
        )
        return greenlets

    def run(self) -> None:
        """Run `check` every `CHECK_INTERVAL_S` seconds; never returns."""
        while True:
            self.check(monotonic_time())
            gevent.sleep(CHECK_INTERVAL_S)

    def check(self, now: int) -> None:
        """Do all work due at `now`, microseconds of the boot clock. A step that fails does not stop the others."""
        for change in (changes := self.members.changes(now)):
            logger.info("member {} is {} (was {})", change.name, change.current.value, change.previous.value)
            self.exchange.on_member_changed(change, self.members.heartbeat_ages(now).get(change.name, 0))
            if change.current is MemberStatus.ALIVE and not self.grantor.learning:
                gevent.spawn(self._learn_closed_partitions, change.name)
        self.alive_members = [name for name in self.halls if self.members.status(now, name) is MemberStatus.ALIVE]
        # Counted from the first check without a majority, not from the last heartbeat: a process that was suspended has
        # received no heartbeat for long, and receives the next ones a moment after it resumes.
        self.no_majority_since = (
            0 if len(self.alive_members) >= self.members.majority else self.no_majority_since or now
        )
        majority_lost = self.no_majority_since > 0 and now - self.no_majority_since >= NO_MAJORITY_US
        self._guarded(self.gossip.send_due, now, self.alive_members, self.members.majority)
        self._guarded(self.exchange.look, now, self.alive_members, self.members.majority)
        self._guarded(self._learn_grants, now)
        self._guarded(self._ensure_open_partition, now)
        for takeover in list(self.takeovers.values()):
            self._guarded(self._step_takeover, now, takeover)
        if self.session_router is not None:
            self._guarded(self.session_router.look, now)
        self._guarded(self.replicas.compact_step)
        # Clients may return to a member that is back, so what is pending here now is older than what it will accept.
        if any(change.current is MemberStatus.ALIVE for change in changes):
            for holding in self.store.leased_partitions.values():
                self._record_backlog(holding)
        if changes or time.monotonic() - self.deadlines_checked_at >= DEADLINE_CHECK_S:
            self._guarded(self._exchange_pending_order_keys, now)
        if time.monotonic() - self.deadlines_checked_at >= DEADLINE_CHECK_S:
            self.deadlines_checked_at = time.monotonic()
            self._guarded(self._answer_late, now, majority_lost)

    def leave(self) -> None:
        """Announce that this sender leaves and release its leases, so that successors can take over immediately.

        Best effort: waits at most `CALL_TIMEOUT_S` seconds for the other members' answers.
        """
        self.leaving = True
        calls = [gevent.spawn(self._call, name, self._own_heartbeat(), CALL_TIMEOUT_S) for name in self.peers.names()]
        for holding in self.store.leased_partitions.values():
            holding.serving = False  # before the release: after it a successor may make attempts
            if (
                len(holding.takeover.holder.successors) > 1
                and (request := holding.takeover.holder.release()) is not None
            ):
                self._guarded(self._answer_lease_request, request)
                calls += [gevent.spawn(self._call, name, request, CALL_TIMEOUT_S) for name in self.peers.names()]
        gevent.joinall(calls, timeout=CALL_TIMEOUT_S)

    def hand_over(self) -> None:
        """Write the sessions for the process that replaces this one; a failure is counted and logged."""
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
