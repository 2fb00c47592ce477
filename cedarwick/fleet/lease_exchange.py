"""Asking other members for leases, answering them, and the table of grants on the disk."""

import gevent
from loguru import logger

from cedarwick.fleet.limits import CALL_TIMEOUT_S, HEARTBEAT_INTERVAL_S
from cedarwick.fleet.member_state import MemberState
from cedarwick.fleet.messages import GrantTable, GrantTableRequest, LeaseReply, LeaseRequest
from cedarwick.fleet.replicated_store import monotonic_time
from cedarwick.fleet.takeover import Takeover


class LeaseExchange(MemberState):
    """The own grantor's answers and table, and lease requests to the others."""

    def _answer_ask(self, ask: LeaseRequest) -> LeaseReply:
        reply = self._granted(ask)
        self._write_table(ask.right)
        return reply

    def _granted(self, ask: LeaseRequest) -> LeaseReply:
        """The own grantor's answer, which nobody may be reply before `_write_table` of its right has returned."""
        reply = self.grantor.ask(monotonic_time(), ask)
        if self.grantor.dirty:
            self.changed += 1
            self.changed_at[ask.right] = self.changed
            self.grantor.dirty = False
        return reply

    def _write_table(self, right: str = "") -> None:
        """Returns once what was granted is on the disk, of one right or of all; OSError where that fails.

        Danger: a grant that is answered and not on the disk would be given to somebody else after a restart.
        """
        if self.grantor.dirty:
            self.changed += 1
            self.grantor.dirty = False
        wanted = self.changed_at.get(right, 0) if right else self.changed
        while self.written < wanted:
            if self.writing:
                gevent.sleep(0.001)
                continue
            self.writing, upto, table = True, self.changed, self.grantor.table()
            try:
                # Danger: a rename on a busy disk takes seconds; the process would stand still, and its rights run out.
                gevent.get_hub().threadpool.apply(self.lasting.write_table, (table,))
            finally:
                self.writing = False
            self.written = upto
            self.changed_at = {each: at for each, at in self.changed_at.items() if at > upto}

    def _learn(self, now: int) -> None:
        for name in self.grantor.wants(now):
            if name not in self.asking:
                self.asking.add(name)
                gevent.spawn(self._ask_table, name)

    def _ask_table(self, name: str) -> None:
        sent_at = monotonic_time()
        answer = self._call(name, GrantTableRequest(), CALL_TIMEOUT_S)
        if isinstance(answer, GrantTable) and self.grantor.learned(sent_at, name, answer):
            logger.info("the table of grants is whole")
            self._write_table()
        if not isinstance(answer, GrantTable) or answer.learning:
            gevent.sleep(HEARTBEAT_INTERVAL_S)
        self.asking.discard(name)

    def _closed_elsewhere(self, name: str) -> None:
        """Learn which partitions were closed while this member was away.

        Danger: with one that it takes for open, no later partition of that sender goes from its table, and the
        table grows.
        """
        answer = self._call(name, GrantTableRequest(), CALL_TIMEOUT_S)
        if isinstance(answer, GrantTable):
            self.grantor.closed_elsewhere(answer)
            self._guarded(self._write_table)

    def _give_up(self, ask: LeaseRequest) -> None:
        """Tell all that they need not keep their promise of a right."""
        self._guarded(self._answer_ask, ask)
        for name in self.peers.names():
            gevent.spawn(self._call, name, ask, CALL_TIMEOUT_S)

    def _ask_all(self, adoption: Takeover, ask: LeaseRequest, reply: LeaseReply, sent_at: int) -> None:
        """Ask the others once the own grantor's answer lasts."""
        try:
            # Danger: the own grantor first, so that a restart knows each term that was ever asked for.
            self._write_table(ask.right)
        except OSError as error:
            self.counters.warning("the fleet's folder cannot be used", error)
            return
        if self.leaving or adoption.holder.term != ask.term:
            return  # it was given up meanwhile
        adoption.holder.answered(monotonic_time(), sent_at, self.name, reply)
        for name in self.peers.names():
            gevent.spawn(self._ask, adoption, name, ask, sent_at)

    def _ask(self, adoption: Takeover, name: str, ask: LeaseRequest, sent_at: int) -> None:
        answer = self._call(name, ask, CALL_TIMEOUT_S)
        if isinstance(answer, LeaseReply):
            adoption.holder.answered(monotonic_time(), sent_at, name, answer)
