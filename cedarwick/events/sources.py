"""The names of event sources, one for each boot of each member, and which of them have ended.

Used by `exchange.py` and `subscription_server.py`.
"""

from cedarwick.config.member_slots import slot_of
from cedarwick.events.registry import NAME
from cedarwick.fleet.peer_verifier import PeerVerifier

MAX_STEM_LENGTH = 47  # characters; source names must fit into the cursors of subscribers


class Sources:
    """The members' boots, as seen by the verifier of peer messages."""

    def __init__(self, gate: PeerVerifier) -> None:
        self.gate = gate

    def of(self, member: str) -> str:
        """The source of a member's newest boot; empty if none is known."""
        boot = self._boot(member)
        return f"{stem(member)}-{boot}" if boot else ""

    def over(self, source: str) -> bool:
        """Whether a source has ended for good: its member has restarted, or is no longer a member."""
        source_stem, _, boot = source.rpartition("-")
        for member in (self.gate.me, *self.gate.others):
            if stem(member) == source_stem:
                newest = self._boot(member)
                return newest > 0 and (not boot.isdecimal() or int(boot) < newest)
        return True

    def _boot(self, member: str) -> int:
        return self.gate.incarnation if member == self.gate.me else self.gate.newest_incarnations.get(member, 0)


def stem(member: str) -> str:
    """The first part of a source's name: the member's name, or its slot if the name does not fit."""
    return member if len(member) <= MAX_STEM_LENGTH and NAME.fullmatch(member) else f"m{slot_of(member)}"
