"""Hints shared between members: pending order keys, Retry-After waits and manual suspensions."""

from typing import Annotated

from msgspec import Meta

from cedarwick.fleet.messages.fields import Name, PeerBody, PeerBodyPart, ShortText, Unsigned

PENDING_ORDER_KEYS_LEVEL = 3  # lowest level of a member that can read `PendingOrderKeys`
MAX_ORDER_KEYS = 4096  # per `PendingOrderKeys`


class PendingOrderKeys(PeerBody, frozen=True, tag="Owed"):
    """All order keys with messages that have been pending at the sender since before a membership change.

    Answered by `Acknowledged`.
    """

    keys: Annotated[tuple[Unsigned, ...], Meta(max_length=MAX_ORDER_KEYS)] = ()


class RetryAfterEntry(PeerBodyPart, frozen=True):
    """A receiver whose Retry-After wait has `remaining_us` microseconds left."""

    uid: ShortText
    remaining_us: Annotated[int, Meta(ge=0, lt=1 << 40)]  # a duration, since the clocks of two machines differ


class RetryAfterHint(PeerBody, frozen=True, tag="Hint"):
    """Retry-After waits that receivers requested from the sender. Answered by `Acknowledged`."""

    waits: Annotated[tuple[RetryAfterEntry, ...], Meta(max_length=4096)] = ()


class SuspensionMark(PeerBodyPart, frozen=True):
    """A receiver that was suspended manually, or restored; the mark with the larger (counter, member) wins."""

    uid: ShortText
    counter: Annotated[int, Meta(ge=0, lt=1 << 62)]  # wall clock microseconds, or larger
    member: Name  # at which an operator set it
    calls: Annotated[int, Meta(ge=0, le=1000)]  # suspensions in force; 0: restored


class SuspensionMarks(PeerBody, frozen=True, tag="Marks"):
    """Marks that the receiver may lack, and the digest of all marks of the sender.

    Answered by `SuspensionMarks`, which holds all marks of the receiver if the digests differ.
    """

    digest: Unsigned
    marks: Annotated[tuple[SuspensionMark, ...], Meta(max_length=4096)] = ()
    complete: bool = False  # in an answer: receivers that are not listed are not suspended
