"""Reload of the list of members from the operator file (SIGHUP), one change at a time."""

import gevent
import msgspec
from loguru import logger

from cedarwick.config.operator import Fleet
from cedarwick.errors import CedarwickError
from cedarwick.fleet.heartbeats import Heartbeats
from cedarwick.fleet.member_state import MembershipChangeError, NotAMemberError
from cedarwick.fleet.replicated_store import monotonic_time
from cedarwick.fleet.takeover import ABSENT
from cedarwick.net.assignment import parse_address


class MembershipReload(Heartbeats):
    """Replaces the list of members in service."""

    def replace(self, settings: Fleet) -> None:
        """Apply a new list of members and `follow_s`; other changes are logged and ignored until the next start.

        A list that lacks this sender, or that `_one_at_a_time` refuses, is logged and changes nothing.
        """
        if self.name not in {member.name for member in settings.member}:
            error: CedarwickError = NotAMemberError(
                f"fleet.member: no entry has the name of this sender, {self.name!r}"
            )
            logger.error("the members stay as they were: {}", error.line)
            return
        try:
            self._one_at_a_time({member.name for member in settings.member})
        except MembershipChangeError as error:
            logger.error("the members stay as they were: {}", error.line)
            return
        before, now = set(self.halls), monotonic_time()
        stored = msgspec.structs.replace(self.settings, member=settings.member, follow_s=settings.follow_s)
        moved = self.addresses[self.name] not in [
            parse_address(each.address) for each in settings.member if each.name == self.name
        ]
        if stored != settings or moved:
            logger.warning(
                "but for the members and follow_s, the fleet's table and its own address are taken "
                "over at a start only"
            )
        self.settings = stored
        self.halls = {member.name: member.hall for member in settings.member}
        self.addresses = {member.name: parse_address(member.address) for member in settings.member}
        self.peers.replace(self.addresses)
        self.members.replace_members(now, self.halls)
        self.grantor.replace_members(self.halls)
        self.exchange.set_lifetime(round(settings.follow_s * 1e6))
        if self.session_router is not None:
            self.session_router.replace()
        for takeover in self.takeovers.values():
            takeover.holder.replace_members(self.halls)
        if self.ownership is not None:
            self.ownership.names = self.halls  # of the partitions that it opens from now on
        for name in sorted(set(self.halls) - before):
            gevent.spawn(self._exchange_heartbeats, name)
        logger.info("members of {}: {}", settings.group, ", ".join(sorted(self.halls)))

    def _one_at_a_time(self, names: set[str]) -> None:
        """Check a new list; `MembershipChangeError` if a majority of it might not overlap with one of a list in use."""
        mine = self.members.names
        if len(mine ^ names) > 1:
            raise MembershipChangeError(f"the file changes {', '.join(sorted(mine ^ names))} at once")
        # All others must have applied the previous change: for one that has not, the next is two changes at once.
        behind = [
            name for name in sorted(mine) if self.members.members_known_to(name) not in (None, mine, frozenset(names))
        ]
        if mine > names:  # dead members cannot apply a change; several of them may be removed in turn
            behind = [name for name in behind if self.members.status(monotonic_time(), name) not in ABSENT]
        if mine != names and behind:
            raise MembershipChangeError(f"{', '.join(behind)} have not taken over the change before this one")
