"""Field types and limits shared by all peer messages, and the base types of bodies and of rows within them.

The receiver holds a whole peer message in memory, so every string, list and byte string has a maximum length.
"""

from typing import Annotated

import msgspec
from msgspec import Meta

MAX_MESSAGE_BYTES = 1 << 20  # of an encoded peer message
MAX_MEMBERS = 64  # of a group

Name = Annotated[str, Meta(max_length=64)]  # of a member, group or subscription; empty: none
Text = Annotated[str, Meta(max_length=512)]  # for people to read
ShortText = Annotated[str, Meta(max_length=128)]  # an identifier, such as the name of a lease
MigrationName = Annotated[str, Meta(max_length=200)]  # made of a stamp and two member names
ClientText = Annotated[str, Meta(max_length=200)]  # a string that a client supplies, such as a message id
Unsigned = Annotated[int, Meta(ge=0)]  # a counter, a number or microseconds
# Limited well below 64 bits: terms are incremented and packed with other numbers, and the result must still fit into a
# peer message and into a file.
Term = Annotated[int, Meta(ge=0, lt=1 << 40)]  # one term per second lasts for 30,000 years
SequenceNumber = Annotated[int, Meta(ge=0, lt=1 << 62)]  # of successor sets, session holders and migrations
EventNumber = Annotated[int, Meta(ge=-1)]  # of the last event reached; -1: none
EncodedFacts = Annotated[
    bytes, Meta(max_length=MAX_MESSAGE_BYTES - (1 << 14))
]  # leaves room for the rest of the peer message
ClientRequest = Annotated[bytes, Meta(max_length=1 << 18)]  # the body of a client's submission
MemberNames = Annotated[tuple[Name, ...], Meta(max_length=MAX_MEMBERS)]


class PeerBody(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """The body of a peer message; encoded as an array with the tag first."""


class PeerBodyPart(msgspec.Struct, frozen=True, array_like=True):
    """A row within a body; encoded as an array without a tag."""
