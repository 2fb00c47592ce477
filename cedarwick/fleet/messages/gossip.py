"""Hints that members spread: keys that are owed, Retry-After waits, suspensions by hand."""

from typing import Annotated

from msgspec import Meta

from cedarwick.fleet.messages.fields import Name, PeerBody, PeerBodyPart, ShortText, Unsigned

PENDING_ORDER_KEYS_LEVEL = 3  # the level from which on a member reads `PendingOrderKeys`
MAX_ORDER_KEYS = 4096  # keys in one `PendingOrderKeys`, at most


class PendingOrderKeys(PeerBody, frozen=True, tag="Owed"):
    """All order keys with messages that are pending at the sender since before a change among the members.

    Answered by `Acknowledged`.
    """

    keys: Annotated[tuple[Unsigned, ...], Meta(max_length=MAX_ORDER_KEYS)] = ()


class RetryAfterEntry(PeerBodyPart, frozen=True):
    """A receiver that asked, by Retry-After, for a pause of `remaining_us` microseconds from now on."""

    uid: ShortText
    remaining_us: Annotated[int, Meta(ge=0, lt=1 << 40)]  # a span, not a time: the clocks of two machines differ


class RetryAfterHint(PeerBody, frozen=True, tag="Hint"):
    """Retry-After waits that receivers asked of the sender. Answered by `Acknowledged`."""

    waits: Annotated[tuple[RetryAfterEntry, ...], Meta(max_length=4096)] = ()


class SuspensionMark(PeerBodyPart, frozen=True):
    """A receiver suspended by hand, or restored; the mark with the larger (counter, member) wins."""

    uid: ShortText
    counter: Annotated[int, Meta(ge=0, lt=1 << 62)]  # wall clock microseconds, or more
    member: Name  # where an operator set it
    calls: Annotated[int, Meta(ge=0, le=1000)]  # suspensions in force; 0: restored


class SuspensionMarks(PeerBody, frozen=True, tag="Marks"):
    """Marks that the receiver may lack, and the digest of all.

    Answered by `SuspensionMarks`, with all marks of the receiver if the digests differ.
    """

    digest: Unsigned
    marks: Annotated[tuple[SuspensionMark, ...], Meta(max_length=4096)] = ()
    complete: bool = False  # in an answer: a receiver that is not listed was restored, or never suspended
