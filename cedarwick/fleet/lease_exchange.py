"""Lease requests to other members, the answers to theirs, and the table of grants on the disk.

Connects `leases.py` to the network and the folder. Times are microseconds of the boot clock.
"""

import gevent
from loguru import logger

from cedarwick.fleet.limits import CALL_TIMEOUT_S, HEARTBEAT_INTERVAL_S
from cedarwick.fleet.member_state import MemberState
from cedarwick.fleet.messages import (
    LEASE_PROBE_LEVEL,
    PROTOCOL_LEVEL,
    Body,
    GrantTable,
    GrantTableRequest,
    LeaseReply,
    LeaseRequest,
)
from cedarwick.fleet.replicated_store import monotonic_time
from cedarwick.fleet.takeover import Takeover


class LeaseExchange(MemberState):
    """Answers lease requests, keeps the grantor's table on the disk, and sends lease requests to the others."""

    def _answer_lease_request(self, ask: LeaseRequest) -> LeaseReply:
        """Answer a lease request once the grant is on the disk; OSError where it cannot be written."""
        reply = self._grant(ask)
        self._write_table(ask.lease)
        return reply

    def _grant(self, ask: LeaseRequest) -> LeaseReply:
        """The own grantor's answer. It must not be sent or counted before `_write_table` of its lease has returned."""
        reply = self.grantor.handle_request(monotonic_time(), ask)
        if self.grantor.dirty:
            self.grants_version += 1
            self.unwritten_grants[ask.lease] = self.grants_version
            self.grantor.dirty = False
        return reply

    def _write_table(self, lease: str = "") -> None:
        """Return once all grants of one lease, or of all leases, are on the disk; OSError where that fails.

        A grant that was answered and is not on the disk could be granted to another member after a restart.
        """
        if self.grantor.dirty:
            self.grants_version += 1
            self.grantor.dirty = False
        wanted = self.unwritten_grants.get(lease, 0) if lease else self.grants_version
        while self.written_grants_version < wanted:
            if self.writing_grants:
                gevent.sleep(0.001)
                continue
            self.writing_grants, upto, table = True, self.grants_version, self.grantor.table()
            try:
                # In a thread: a rename on a busy disk may take seconds; a process blocked so long loses its leases.
                gevent.get_hub().threadpool.apply(self.fleet_files.write_grant_table, (table,))
            finally:
                self.writing_grants = False
            self.written_grants_version = upto
            self.unwritten_grants = {
                lease: version for lease, version in self.unwritten_grants.items() if version > upto
            }

    def _learn_grants(self, now: int) -> None:
        """Request the tables of others that the own grantor needs after it lost its table."""
        for name in self.grantor.members_to_learn_from(now):
            if name not in self.tables_requested:
                self.tables_requested.add(name)
                gevent.spawn(self._ask_table, name)

    def _ask_table(self, name: str) -> None:
        """Request the table of one member; not again before `HEARTBEAT_INTERVAL_S` seconds if it has none."""
        sent_at = monotonic_time()
        answer = self._call(name, GrantTableRequest(), CALL_TIMEOUT_S)
        if isinstance(answer, GrantTable) and self.grantor.learn_from(sent_at, name, answer):
            logger.info("the table of grants is complete")
            self._write_table()
        if not isinstance(answer, GrantTable) or answer.learning:
            gevent.sleep(HEARTBEAT_INTERVAL_S)
        self.tables_requested.discard(name)

    def _learn_closed_partitions(self, name: str) -> None:
        """Learn from another member which partitions were closed while this member was away.

        Closed partitions leave the table in order only: one that is wrongly taken for open would keep all later ones
        of its sender in the table, which would grow.
        """
        answer = self._call(name, GrantTableRequest(), CALL_TIMEOUT_S)
        if isinstance(answer, GrantTable):
            self.grantor.learn_closed(answer)
            self._guarded(self._write_table)

    def _release_lease(self, ask: LeaseRequest) -> None:
        """Release a lease at the own grantor and at all others."""
        self._guarded(self._answer_lease_request, ask)
        for name in self.peers.names():
            gevent.spawn(self._call, name, ask, CALL_TIMEOUT_S)

    def _request_lease(self, takeover: Takeover, ask: LeaseRequest, reply: LeaseReply, sent_at: int) -> None:
        """Send a lease request to the others, once the own grantor's answer is on the disk."""
        try:
            # The own grantor first: then after a restart each term that was ever asked for is known, and never reused.
            self._write_table(ask.lease)
        except OSError as error:
            self.counters.warning("the fleet's folder cannot be used", error)
            return
        if self.leaving or not ask.probe and takeover.holder.term != ask.term:
            return  # it was given up meanwhile
        takeover.holder.receive_reply(monotonic_time(), sent_at, self.name, reply)
        for name in self.peers.names():
            gevent.spawn(self._request_lease_from, takeover, name, ask, sent_at)

    def _request_lease_from(self, takeover: Takeover, name: str, ask: LeaseRequest, sent_at: int) -> None:
        """Send a lease request to one member and pass its answer to the lease holder."""
        if ask.probe and self.verifier.levels.get(name, PROTOCOL_LEVEL) < LEASE_PROBE_LEVEL:
            # It would take the probe for a request. Without one, as before, it is taken to agree.
            answer: Body | None = LeaseReply(True, 0, "", probe=True)
        else:
            answer = self._call(name, ask, CALL_TIMEOUT_S)
        if isinstance(answer, LeaseReply):
            takeover.holder.receive_reply(monotonic_time(), sent_at, name, answer)
