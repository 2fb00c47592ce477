"""Reload of the list of members from the operator file (SIGHUP). Only one member may change at a time."""

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
    """Replaces the list of members while the sender runs."""

    def reload_settings(self, settings: Fleet) -> None:
        """Apply a new list of members and `follow_s`; other changes are logged, and ignored until the next start.

        If the list lacks this sender, or `_check_membership_change` refuses it, that is logged and nothing changes.
        """
        if self.name not in {member.name for member in settings.member}:
            error: CedarwickError = NotAMemberError(
                f"fleet.member: no entry has the name of this sender, {self.name!r}"
            )
            logger.error("the members stay as they were; the new list is not applied: {}", error.line)
            return
        try:
            self._check_membership_change({member.name for member in settings.member})
        except MembershipChangeError as error:
            logger.error("the members stay as they were; the new list is not applied: {}", error.line)
            return
        previous_members, now = set(self.halls), monotonic_time()
        applied = msgspec.structs.replace(self.settings, member=settings.member, follow_s=settings.follow_s)
        address_changed = self.addresses[self.name] not in [
            parse_address(entry.address) for entry in settings.member if entry.name == self.name
        ]
        if applied != settings or address_changed:
            logger.warning(
                "changes of this sender's own address, and of settings in `[fleet]` other than the members and "
                "`follow_s`, take effect at the next start only"
            )
        self.settings = applied
        self.halls = {member.name: member.hall for member in settings.member}
        self.addresses = {member.name: parse_address(member.address) for member in settings.member}
        self.peers.replace(self.addresses)
        self.members.replace_members(now, self.halls)
        self.grantor.replace_members(self.halls)
        self.exchange.set_lifetime(round(settings.follow_s * 1e6))
        if self.session_router is not None:
            self.session_router.update_members()
        for takeover in self.takeovers.values():
            takeover.holder.replace_members(self.halls)
        if self.ownership is not None:
            self.ownership.names = self.halls  # for the partitions that it opens from now on
        for name in sorted(set(self.halls) - previous_members):
            gevent.spawn(self._exchange_heartbeats, name)
        logger.info("members of {}: {}", settings.group, ", ".join(sorted(self.halls)))

    def _check_membership_change(self, names: set[str]) -> None:
        """Check a new list; `MembershipChangeError` if a majority of it might not overlap one of a list in use."""
        current = self.members.names
        if len(current ^ names) > 1:
            raise MembershipChangeError(
                f"the operator file changes more than one member at once: {', '.join(sorted(current ^ names))}"
            )
        # All others must have applied the previous change: one that has not would see two changes at once.
        outdated = [
            name
            for name in sorted(current)
            if self.members.members_known_to(name) not in (None, current, frozenset(names))
        ]
        if current > names:  # dead members cannot apply a change; several of them may be removed in turn
            outdated = [name for name in outdated if self.members.status(monotonic_time(), name) not in ABSENT]
        if current != names and outdated:
            raise MembershipChangeError(f"{', '.join(outdated)} have not applied the previous change of members yet")
