"""One member of a fleet: ties members, leases, partitions and copies to the network, the folder and the dispatcher.

The greenlet `run` looks at everything every few milliseconds; peer messages of other members are answered in the
greenlets of the link; calls to them are made in greenlets of their own. None of them waits between a look at a state
and the change that rests on it. What is settled, and why, stands in `takeover.py`, `leases.py`, `membership.py` and
`replication.py`; each part of the work has a module of its own, whose class is a base of `FleetNode`.
"""

import time

import gevent
from loguru import logger

from cedarwick.config.operator import Fleet
from cedarwick.fleet.late_answers import LateAnswers
from cedarwick.fleet.limits import CALL_TIMEOUT_S, DEADLINE_CHECK_S, LOOK_INTERVAL_S, NO_MAJORITY_US
from cedarwick.fleet.membership import MemberStatus
from cedarwick.fleet.membership_reload import MembershipReload
from cedarwick.fleet.messages import slot_of
from cedarwick.fleet.ports import PartitionDispatcher
from cedarwick.fleet.replicated_store import ReplicatedStore, monotonic_time
from cedarwick.fleet.request_handling import RequestHandling
from cedarwick.fleet.takeover import Ownership, Takeover
from cedarwick.fleet.transport import PeerServer
from cedarwick.net.clock import Clock
from cedarwick.net.counters import Counters


class FleetNode(MembershipReload, RequestHandling, LateAnswers):
    """This sender as a member. Made before the dispatcher is; `start` begins once the folder is read."""

    def __init__(
        self, name: str, settings: Fleet, state: str, store: ReplicatedStore, clock: Clock, counters: Counters
    ) -> None:
        """As `MemberState`; OSError also where its address cannot be listened at."""
        super().__init__(name, settings, state, store, clock, counters)
        store.reserve, store.starved = self._reserve, self._starved
        if settings.sessions:
            from cedarwick.fleet import session_routing  # nothing of sessions is loaded where they are off

            self.traffic = session_routing.SessionRouter(self)
        self.server = PeerServer(self.where[name], self.gate, counters, self.answer)

    def start(self, dispatcher: PartitionDispatcher) -> list[gevent.Greenlet]:
        """Once the folder is read: load the copies, take peer messages, and run. The greenlets never return."""
        self.dispatcher = dispatcher
        self.copies.load()
        for partition in self.copies.copies:
            self._follow(partition)
        slot = slot_of(self.name)
        stored = {held.partition: held.term for held in self.held.values() if held.partition >> 12 == slot}
        mine = {number >> 32 for number in self.store.messages} - {0}
        for partition in sorted(mine - stored.keys()):
            # A partition that was adopted, or one whose line is lost: taken up again if nobody else has it by now.
            self.adoptions[partition] = Takeover(
                partition, self.name, self.halls, self._term_of(partition), resume=True
            )
        self.ownership = Ownership(self.name, slot, self.halls, stored)
        for partition in sorted(stored)[:-1]:
            if partition not in self.adoptions and partition in mine:
                self.adoptions[partition] = Takeover(partition, self.name, self.halls, stored[partition], resume=True)
        for partition in sorted(mine & set(self.adoptions)):  # a copy is none: it may not be whole
            self._hold(partition)
        if self.store.damaged:
            # Danger: a copy may have what this folder has lost, and would drop it to be like the folder.
            self.doubted = mine | set(stored)
        self.server.start()
        parts = [gevent.spawn(self.run)]
        parts += [gevent.spawn(self._beat, name) for name in self.peers.names()]
        logger.info(
            "member {} of {} in hall {}: {} others",
            self.name,
            self.settings.group,
            self.halls[self.name],
            len(self.halls) - 1,
        )
        return parts

    def run(self) -> None:
        """Never returns: looks at everything, again and again."""
        while True:
            self.look(monotonic_time())
            gevent.sleep(LOOK_INTERVAL_S)

    def look(self, now: int) -> None:
        """Do what the time asks for, at `now` of the boot clock in microseconds; one part that fails keeps none up."""
        for change in (changes := self.members.changes(now)):
            logger.info("member {} is {} (was {})", change.name, change.now.value, change.before.value)
            self.exchange.member(change, self.members.beat_ages(now).get(change.name, 0))
            if change.now is MemberStatus.ALIVE and not self.grantor.learning:
                gevent.spawn(self._closed_elsewhere, change.name)
        self.alive = [name for name in self.halls if self.members.state(now, name) is MemberStatus.ALIVE]
        # Counted from the look that saw it: a process that slept has heard nobody, and is answered in a moment.
        self.few_since = 0 if len(self.alive) >= self.members.majority else self.few_since or now
        few = self.few_since > 0 and now - self.few_since >= NO_MAJORITY_US
        self._guarded(self.sharing.look, now, self.alive, self.members.majority)
        self._guarded(self.exchange.look, now, self.alive, self.members.majority)
        self._guarded(self._learn, now)
        self._guarded(self._own, now)
        for adoption in list(self.adoptions.values()):
            self._guarded(self._look_at, now, adoption)
        if self.traffic is not None:
            self._guarded(self.traffic.look, now)
        self._guarded(self.copies.step)
        if any(change.now is MemberStatus.ALIVE for change in changes):  # whoever it is may get back its clients
            for holding in self.store.holdings.values():
                self._backlog(holding)
        if changes or time.monotonic() - self.looked_late >= DEADLINE_CHECK_S:
            self._guarded(self._owe, now)
        if time.monotonic() - self.looked_late >= DEADLINE_CHECK_S:
            self.looked_late = time.monotonic()
            self._guarded(self._answer_late, now, few)

    def leave(self) -> None:
        """This sender ends: the successors may go on at once. What is said reaches whom it can within a moment."""
        self.leaving = True
        calls = [gevent.spawn(self._call, name, self._own_beat(), CALL_TIMEOUT_S) for name in self.peers.names()]
        for holding in self.store.holdings.values():
            holding.serving = False  # Danger: once it is released, a successor may fire
            if len(holding.adoption.holder.successors) > 1 and (ask := holding.adoption.holder.release()) is not None:
                self._guarded(self._answer_ask, ask)
                calls += [gevent.spawn(self._call, name, ask, CALL_TIMEOUT_S) for name in self.peers.names()]
        gevent.joinall(calls, timeout=CALL_TIMEOUT_S)

    def hand_over(self) -> None:
        """Another process of this sender goes on."""
        if self.traffic is not None:
            try:
                self.traffic.hand_over()
            except OSError as error:
                self.counters.warning("the sessions cannot be handed over", error)

    def stop(self) -> None:
        """Close the listener, the connections and the files of the copies."""
        if self.traffic is not None:
            self.traffic.stop()
        self.exchange.stop()
        self.server.stop()
        self.peers.close()
        self.copies.close()
