"""Decides which peer messages are accepted: from a known member of this group, from its newest boot, to this sender.

Called by `peer_server.py` and `peer_client.py` for each message. An incarnation is the wall time of a boot in
microseconds.
"""

from collections.abc import Iterable

from cedarwick.errors import CedarwickError
from cedarwick.fleet.messages import LEVEL, VERSION, Body, PeerMessage, PeerMessageHeader


class ProtocolVersionError(CedarwickError):
    """A peer message in another version of the fleet's messages."""

    code = "CW702"
    remedy = "bring all members to one version of the program"


class OtherGroupError(CedarwickError):
    """A peer message of another fleet."""

    code = "CW703"
    remedy = "compare `fleet.group` and the addresses in the operator files of both senders"


class UnknownMemberError(CedarwickError):
    """A peer message from a sender that is no other member here."""

    code = "CW704"
    remedy = "give all members one list of members in their operator files, each a name of its own; then SIGHUP"


class MisdirectedMessageError(CedarwickError):
    """A peer message to another member than the one that it has reached."""

    code = "CW705"
    remedy = "compare the member's address in the operator files with the one it listens on"


class StaleIncarnationError(CedarwickError):
    """A peer message from a boot of a member that a newer boot has replaced."""

    code = "CW706"
    remedy = "end the older process of that member; if there is none, set the machine's clock"


class PeerVerifier:
    """The other members, and the newest boot of each that was seen."""

    def __init__(self, group: str, me: str, incarnation: int, members: Iterable[str]) -> None:
        self.group = group
        self.me = me
        self.incarnation = incarnation
        self.newest_incarnations: dict[str, int] = {}
        self.levels: dict[str, int] = {me: LEVEL}  # of what each member heard from can do
        self.replace_members(members)

    def replace_members(self, members: Iterable[str]) -> None:
        """Take over another list of members; what was seen of their boots stays."""
        self.others = frozenset(members) - {self.me}

    def peer_message(self, to: str, body: Body) -> PeerMessage:
        """A message of this sender with its header, ready to be encoded."""
        return PeerMessage(VERSION, LEVEL, self.group, self.me, self.incarnation, to, body)

    def check_version(self, head: PeerMessageHeader) -> None:
        """Raise `ProtocolVersionError` for a message of another version, whose body cannot be understood."""
        if head.version != VERSION:
            raise ProtocolVersionError(
                f"version {head.version} from {head.sender!r}, where {self.me!r} speaks {VERSION}"
            )

    def check(self, head: PeerMessageHeader) -> None:
        """Accept a peer message and note its boot, or raise one of this module's errors."""
        self.check_version(head)
        if head.group != self.group:
            raise OtherGroupError(f"group {head.group!r} from {head.sender!r}, where {self.me!r} is of {self.group!r}")
        # A second process under this sender's own name would hold the same leases.
        if head.sender == self.me:
            raise UnknownMemberError(f"a peer message to {self.me!r} from a sender of the same name")
        if head.sender not in self.others:
            raise UnknownMemberError(f"{head.sender!r} is no member of {self.group!r} at {self.me!r}")
        if head.to != self.me:
            raise MisdirectedMessageError(f"a peer message from {head.sender!r} to {head.to!r} has reached {self.me!r}")
        newest = self.newest_incarnations.get(head.sender, 0)
        if head.incarnation < newest:
            raise StaleIncarnationError(
                f"boot {head.incarnation} of {head.sender!r}, where {self.me!r} has seen {newest}"
            )
        self.newest_incarnations[head.sender], self.levels[head.sender] = head.incarnation, head.level
