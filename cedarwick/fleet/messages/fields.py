"""Field types and limits that all peer messages share, and the base types of bodies and of rows within them.

A reader holds a peer message whole, so each text, list and byte string has a bound.
"""

from typing import Annotated

import msgspec
from msgspec import Meta

MAX_MESSAGE_BYTES = 1 << 20  # bytes of an encoded peer message
MAX_MEMBERS = 64  # members of a group, at most

Name = Annotated[str, Meta(max_length=64)]  # of a member, a group, a subscription; empty: nobody
Text = Annotated[str, Meta(max_length=512)]  # read by a person
ShortText = Annotated[str, Meta(max_length=128)]  # an id, the name of a lease
MigrationName = Annotated[str, Meta(max_length=200)]  # the name of a migration: a stamp and two members
ClientText = Annotated[str, Meta(max_length=200)]  # of a message, as a client may give it
Unsigned = Annotated[int, Meta(ge=0)]  # numbers, terms, microseconds
# Bounded well below 64 bits: terms are incremented and packed with other numbers, and the result must still fit into a
# peer message and a file.
Term = Annotated[int, Meta(ge=0, lt=1 << 40)]  # one a second for 30,000 years
SequenceNumber = Annotated[int, Meta(ge=0, lt=1 << 62)]  # of successor sets, of a session's holders, of migrations
EventNumber = Annotated[int, Meta(ge=-1)]  # the number of the last event that was reached; -1: none
EncodedFacts = Annotated[
    bytes, Meta(max_length=MAX_MESSAGE_BYTES - (1 << 14))
]  # leaves room for the rest of the peer message
ClientRequest = Annotated[bytes, Meta(max_length=1 << 18)]  # one request of a client, or its answer
MemberNames = Annotated[tuple[Name, ...], Meta(max_length=MAX_MEMBERS)]


class PeerBody(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """The body of a peer message, an array on the wire with its tag first."""


class PeerBodyPart(msgspec.Struct, frozen=True, array_like=True):
    """A row within a body, an array on the wire without a tag."""
