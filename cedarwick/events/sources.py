"""The names of event sources, one for each incarnation of each member, and which of them have ended.

Used by `exchange.py` and `subscription_server.py`.
"""

from cedarwick.config.member_slots import slot_of
from cedarwick.events.registry import NAME
from cedarwick.fleet.peer_verifier import PeerVerifier

MAX_STEM_LENGTH = 47  # characters; source names must fit into the cursors of subscribers


class Sources:
    """The members' event sources, by the incarnations that the verifier of peer messages has seen."""

    def __init__(self, verifier: PeerVerifier) -> None:
        self.verifier = verifier

    def current(self, member: str) -> str:
        """The source of a member's newest incarnation; empty if none is known."""
        incarnation = self._incarnation(member)
        return f"{member_stem(member)}-{incarnation}" if incarnation else ""

    def has_ended(self, source: str) -> bool:
        """Whether a source has ended for good: its member has restarted or is no longer a member."""
        source_stem, _, incarnation = source.rpartition("-")
        for member in (self.verifier.me, *self.verifier.others):
            if member_stem(member) == source_stem:
                newest = self._incarnation(member)
                return newest > 0 and (not incarnation.isdecimal() or int(incarnation) < newest)
        return True

    def _incarnation(self, member: str) -> int:
        return (
            self.verifier.incarnation
            if member == self.verifier.me
            else self.verifier.newest_incarnations.get(member, 0)
        )


def member_stem(member: str) -> str:
    """The first part of a source's name: the name of its member, or the member's slot if the name does not fit."""
    return member if len(member) <= MAX_STEM_LENGTH and NAME.fullmatch(member) else f"m{slot_of(member)}"
