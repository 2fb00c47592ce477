"""Lease requests to other members, replies to their requests, and the table of grants on the disk.

Connects the rules of `leases.py` to the network and the state folder. Times are microseconds of the boot clock.
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
    """Answers lease requests, writes the grantor's table to the disk, and sends lease requests to other members."""

    def _answer_lease_request(self, request: LeaseRequest) -> LeaseReply:
        """Answer a lease request once the grant is on the disk; OSError if it cannot be written."""
        reply = self._own_grantor_reply(request)
        self._write_table(request.lease)
        return reply

    def _own_grantor_reply(self, request: LeaseRequest) -> LeaseReply:
        """The own grantor's reply. It must not be sent or counted before `_write_table` of its lease has returned."""
        reply = self.grantor.handle_request(monotonic_time(), request)
        if self.grantor.dirty:
            self.grants_version += 1
            self.unwritten_grants[request.lease] = self.grants_version
            self.grantor.dirty = False
        return reply

    def _write_table(self, lease: str = "") -> None:
        """Return once all grants of one lease, or of all leases, are on the disk; OSError if that fails.

        A lease whose grant was answered but not written could be granted to another member after a restart.
        """
        if self.grantor.dirty:
            self.grants_version += 1
            self.grantor.dirty = False
        required_version = self.unwritten_grants.get(lease, 0) if lease else self.grants_version
        while self.written_grants_version < required_version:
            if self.writing_grants:
                gevent.sleep(0.001)
                continue
            self.writing_grants, written_version, table = True, self.grants_version, self.grantor.table()
            try:
                # In a thread: a rename on a busy disk may take seconds, and a process blocked that long loses its
                # leases.
                gevent.get_hub().threadpool.apply(self.fleet_files.write_grant_table, (table,))
            finally:
                self.writing_grants = False
            self.written_grants_version = written_version
            self.unwritten_grants = {
                lease: version for lease, version in self.unwritten_grants.items() if version > written_version
            }

    def _learn_grants(self, now: int) -> None:
        """Request the tables of other members that the own grantor needs after it has lost its table."""
        for name in self.grantor.members_to_learn_from(now):
            if name not in self.tables_requested:
                self.tables_requested.add(name)
                gevent.spawn(self._request_table, name)

    def _request_table(self, name: str) -> None:
        """Request the table of one member; if it has none, wait `HEARTBEAT_INTERVAL_S` before the next request."""
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

        Closed partitions are removed from the table in order only. One that is still recorded as open would keep all
        later ones of its sender in the table, which would grow without bound.
        """
        answer = self._call(name, GrantTableRequest(), CALL_TIMEOUT_S)
        if isinstance(answer, GrantTable):
            self.grantor.learn_closed(answer)
            self._guarded(self._write_table)

    def _release_lease(self, request: LeaseRequest) -> None:
        """Release a lease at the own grantor and at all others. `request` has a span of 0."""
        self._guarded(self._answer_lease_request, request)
        for name in self.peers.names():
            gevent.spawn(self._call, name, request, CALL_TIMEOUT_S)

    def _request_lease(self, takeover: Takeover, request: LeaseRequest, reply: LeaseReply, sent_at: int) -> None:
        """Send a lease request to the other members, once the own grantor's reply is on the disk."""
        try:
            # The own grantor first: a restarted member then knows each term that it ever requested, and never reuses
            # one.
            self._write_table(request.lease)
        except OSError as error:
            self.counters.warning("the fleet's folder cannot be used", error)
            return
        if self.leaving or not request.probe and takeover.holder.term != request.term:
            return  # the request was abandoned during the write
        takeover.holder.receive_reply(monotonic_time(), sent_at, self.name, reply)
        for name in self.peers.names():
            gevent.spawn(self._request_lease_from, takeover, name, request, sent_at)

    def _request_lease_from(self, takeover: Takeover, name: str, request: LeaseRequest, sent_at: int) -> None:
        """Send a lease request to one member and pass its reply to the lease holder."""
        if request.probe and self.verifier.levels.get(name, PROTOCOL_LEVEL) < LEASE_PROBE_LEVEL:
            # A member of an earlier version would treat the probe as a request. It is sent none and counted as
            # agreeing, so the term is requested of it without a probe, as in that version.
            answer: Body | None = LeaseReply(True, 0, "", probe=True)
        else:
            answer = self._call(name, request, CALL_TIMEOUT_S)
        if isinstance(answer, LeaseReply):
            takeover.holder.receive_reply(monotonic_time(), sent_at, name, answer)
