"""Checks that a peer message comes from the newest boot of a known member of this group and is addressed to this one.

Called by `peer_server.py` and `peer_client.py` for each message. An incarnation is the wall time of a boot in
microseconds.
"""

from collections.abc import Iterable

from cedarwick.errors import CedarwickError
from cedarwick.fleet.messages import PROTOCOL_LEVEL, PROTOCOL_VERSION, Body, PeerMessage, PeerMessageHeader


class ProtocolVersionError(CedarwickError):
    """A peer message of another protocol version."""

    code = "CW702"
    remedy = "bring all members to one version of the program"


class OtherGroupError(CedarwickError):
    """A peer message of another fleet."""

    code = "CW703"
    remedy = "compare `fleet.group` and the addresses in the operator files of both senders"


class UnknownMemberError(CedarwickError):
    """A peer message from a sender that is not another member of this group."""

    code = "CW704"
    remedy = "give all members one list of members in their operator files, each a name of its own; then SIGHUP"


class MisdirectedMessageError(CedarwickError):
    """A peer message that was delivered to another member than the one it is addressed to."""

    code = "CW705"
    remedy = "compare the member's address in the operator files with the one it listens on"


class StaleIncarnationError(CedarwickError):
    """A peer message from a boot of a member that has been replaced by a newer one."""

    code = "CW706"
    remedy = "end the older process of that member; if there is none, set the machine's clock"


class PeerVerifier:
    """Checks peer messages against the other members and the newest known incarnation of each."""

    def __init__(self, group: str, me: str, incarnation: int, members: Iterable[str]) -> None:
        self.group = group
        self.me = me
        self.incarnation = incarnation
        self.newest_incarnations: dict[str, int] = {}
        self.levels: dict[str, int] = {me: PROTOCOL_LEVEL}  # by member: the protocol level of its last message
        self.replace_members(members)

    def replace_members(self, members: Iterable[str]) -> None:
        """Replace the members; the known incarnations are kept."""
        self.others = frozenset(members) - {self.me}

    def peer_message(self, to: str, body: Body) -> PeerMessage:
        """A peer message from this member with its header, ready to be encoded."""
        return PeerMessage(PROTOCOL_VERSION, PROTOCOL_LEVEL, self.group, self.me, self.incarnation, to, body)

    def check_version(self, header: PeerMessageHeader) -> None:
        """Raise `ProtocolVersionError` for a message of another version, whose body cannot be decoded."""
        if header.version != PROTOCOL_VERSION:
            raise ProtocolVersionError(
                f"version {header.version} from {header.sender!r}, where {self.me!r} speaks {PROTOCOL_VERSION}"
            )

    def check(self, header: PeerMessageHeader) -> None:
        """Accept a peer message and record its incarnation, or raise one of this module's errors."""
        self.check_version(header)
        if header.group != self.group:
            raise OtherGroupError(
                f"group {header.group!r} from {header.sender!r}, where {self.me!r} is of {self.group!r}"
            )
        # A second process with this sender's name would hold the same leases.
        if header.sender == self.me:
            raise UnknownMemberError(f"a peer message to {self.me!r} from a sender of the same name")
        if header.sender not in self.others:
            raise UnknownMemberError(f"{header.sender!r} is no member of {self.group!r} at {self.me!r}")
        if header.to != self.me:
            raise MisdirectedMessageError(
                f"a peer message from {header.sender!r} to {header.to!r} has reached {self.me!r}"
            )
        newest_incarnation = self.newest_incarnations.get(header.sender, 0)
        if header.incarnation < newest_incarnation:
            raise StaleIncarnationError(
                f"boot {header.incarnation} of {header.sender!r}, where {self.me!r} has seen {newest_incarnation}"
            )
        self.newest_incarnations[header.sender], self.levels[header.sender] = header.incarnation, header.level
