"""Sessions: where they are held, their migration and its decision, claims, and forwarded submissions."""

from typing import Annotated

from msgspec import Meta

from cedarwick.fleet.messages.fields import (
    ClientRequest,
    ClientText,
    EncodedFacts,
    MigrationName,
    Name,
    PeerBody,
    PeerBodyPart,
    SequenceNumber,
    ShortText,
    Text,
    Unsigned,
)


class SessionLocation(PeerBodyPart, frozen=True):
    """The holder of the session of a key; the entry with the larger sequence is the newer one."""

    key: Unsigned
    holder: Name
    sequence: SequenceNumber
    age: Unsigned  # microseconds since its last use


class SessionLocations(PeerBody, frozen=True, tag="Lodgings"):
    """Changed session locations, and whether the sender takes more sessions.

    Answered by `SessionLocations` without `locations`.
    """

    locations: Annotated[tuple[SessionLocation, ...], Meta(max_length=4096)] = ()
    session_count: Unsigned = 0  # sessions
    accepts_sessions: bool = False  # whether the sender takes more sessions
    next_stamp: SequenceNumber = 0  # of the next migration that the sender begins
    is_first_run: bool = False  # as far as the sender knows, neither member has run before


class RecentIdEntry(PeerBodyPart, frozen=True):
    """The id of a message accepted a short while ago, so that a repeat is recognised."""

    id: ClientText
    age: Unsigned  # microseconds
    content_hash: Unsigned  # digest of the submission that came with it


class StageSession(PeerBody, frozen=True, tag="Stage"):
    """The messages of a session, to be stored inert until its migration is decided. Answered by `StageReply`."""

    move: MigrationName
    key: Unsigned
    sequence: SequenceNumber  # of the session since the migration began
    facts: EncodedFacts
    digest: Unsigned
    ids: Annotated[tuple[RecentIdEntry, ...], Meta(max_length=1 << 14)] = ()
    attempt_remaining_us: Unsigned = 0  # microseconds in which an attempt of the session may still run


class StageReply(PeerBody, frozen=True, tag="Staged"):
    """Whether the session is in the target's folder; if not, `why`."""

    move: MigrationName
    stored: bool
    reason: Text = ""


class BallotNumber(PeerBodyPart, frozen=True):
    """A ballot: its round, and the text of one proposer of one boot."""

    round: SequenceNumber
    proposer: ShortText


class PrepareRequest(PeerBody, frozen=True, tag="Prepare"):
    """First phase of a Paxos decision. Answered by `VoteReply`."""

    move: MigrationName
    ballot: BallotNumber
    key: Unsigned = 0  # of the session; 0: sent by a member of a level below 3


class AcceptRequest(PeerBody, frozen=True, tag="Accept"):
    """Second phase of a Paxos decision: accept the value. Answered by `VoteReply`."""

    move: MigrationName
    ballot: BallotNumber
    value: Name
    key: Unsigned = 0  # as in `PrepareRequest`


class VoteReply(PeerBody, frozen=True, tag="Voted"):
    """An acceptor's answer to either phase."""

    move: MigrationName
    granted: bool
    promised: BallotNumber  # the highest
    accepted: BallotNumber
    value: Name = ""  # accepted, or decided; empty: none
    decided: bool = False


class MigrationDecided(PeerBody, frozen=True, tag="Settled"):
    """The decided value of a migration, and whether the target is active.

    Answered by a `MigrationDecided` with what the receiver knows.
    """

    move: MigrationName
    value: Name  # empty, in an answer: not known
    active: bool = False


class SessionClaim(PeerBody, frozen=True, tag="Claims"):
    """Asks whether the sender may open the session of a key. Answered by `ClaimReply`."""

    key: Unsigned
    sequence: SequenceNumber
    replaced_sequence: SequenceNumber  # sequence and holder of the entry that it replaces
    replaced_holder: Name
    at: Unsigned


class SessionInheritance(PeerBody, frozen=True, tag="Inherits"):
    """Asks for the session of a lost holder whose partition, and recent ids, the sender has.

    Answered by `ClaimReply`. Members below level 3 cannot read it, so that nobody grants it who would also vote on a
    migration of the session.
    """

    key: Unsigned
    sequence: Unsigned
    replaced_sequence: Unsigned  # sequence and name of the last holder
    replaced_holder: Name
    partition: Unsigned  # the newest that the last holder had
    at: Unsigned


class ClaimReply(PeerBody, frozen=True, tag="Claimed"):
    """Whether the claim is granted; if not, the entry that stands against it, where known."""

    granted: bool
    entry: SessionLocation | None = None


class ForwardedSubmit(PeerBody, frozen=True, tag="Pass"):
    """A client's submission for the session's holder; it is not forwarded again. Answered by `ForwardReply`."""

    key: Unsigned
    id: ClientText
    idempotency_key: ClientText  # equal for repeats of one message: `key` of the stored record
    priority_class: ClientText
    tenant: ClientText
    destination: Unsigned
    remaining_us: Annotated[int, Meta(ge=-(1 << 62), lt=1 << 62)]  # microseconds to its deadline
    answer_within_us: Unsigned  # microseconds in which the client's answer is wanted
    body: ClientRequest
    moved: bool = False  # forwarded by the previous holder, whose client connection stayed open
    entry: SessionLocation | None = None  # the lost holder, for the member that holds its partition now
    deadline: Unsigned = 0  # wall microseconds of the member that forwards it; 0: an older member does not say


class ForwardReply(PeerBody, frozen=True, tag="Passed"):
    """The answer for the client; empty: the session is held elsewhere (`entry`), or disowned."""

    answer: Name
    wait_ms: Unsigned = 0
    disowned: bool = False
    entry: SessionLocation | None = None


class RecallForward(PeerBody, frozen=True, tag="Recall"):
    """The client of a `ForwardedSubmit` disconnected before it was answered.

    Answered by `Acknowledged`.
    """

    key: Unsigned
    id: ClientText
