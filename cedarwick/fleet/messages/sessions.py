"""Sessions: their locations, migrations and the decisions on them, claims, and forwarded submissions."""

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
    """The holder of the session of a key; the entry with the larger sequence is newer."""

    key: Unsigned
    holder: Name
    sequence: SequenceNumber
    age: Unsigned  # microseconds since the session was last used


class SessionLocations(PeerBody, frozen=True, tag="Lodgings"):
    """Changed session locations, and whether the sender accepts more sessions.

    Answered by `SessionLocations` without `locations`.
    """

    locations: Annotated[tuple[SessionLocation, ...], Meta(max_length=4096)] = ()
    session_count: Unsigned = 0  # held by the sender
    accepts_sessions: bool = False  # whether the sender accepts more sessions
    next_stamp: SequenceNumber = 0  # of the next migration that the sender starts
    is_first_run: bool = False  # as far as the sender knows, neither of the two members has run before


class RecentIdEntry(PeerBodyPart, frozen=True):
    """The id of a recently accepted message, used to recognise repeats."""

    id: ClientText
    age: Unsigned  # microseconds
    content_hash: Unsigned  # hash of the contents of its submission


class StageSession(PeerBody, frozen=True, tag="Stage"):
    """The messages of a session; the target stores them inactive until the migration is decided.

    Answered by `StageReply`.
    """

    move: MigrationName
    key: Unsigned
    sequence: SequenceNumber  # the session's sequence after the start of the migration
    facts: EncodedFacts
    digest: Unsigned
    ids: Annotated[tuple[RecentIdEntry, ...], Meta(max_length=1 << 14)] = ()
    attempt_remaining_us: Unsigned = 0  # for which an attempt of the session may still run


class StageReply(PeerBody, frozen=True, tag="Staged"):
    """Whether the target has stored the session; if not, the reason."""

    move: MigrationName
    stored: bool
    reason: Text = ""


class BallotNumber(PeerBodyPart, frozen=True):
    """A Paxos ballot number: its round, and text that identifies a proposer in one run of its process."""

    round: SequenceNumber
    proposer: ShortText


class PrepareRequest(PeerBody, frozen=True, tag="Prepare"):
    """First phase of a Paxos decision: prepare a ballot. Answered by `VoteReply`."""

    move: MigrationName
    ballot: BallotNumber
    key: Unsigned = 0  # of the session; 0: the sender's level is below 3


class AcceptRequest(PeerBody, frozen=True, tag="Accept"):
    """Second phase of a Paxos decision: accept a value. Answered by `VoteReply`."""

    move: MigrationName
    ballot: BallotNumber
    value: Name
    key: Unsigned = 0  # as in `PrepareRequest`


class VoteReply(PeerBody, frozen=True, tag="Voted"):
    """An acceptor's answer to either phase."""

    move: MigrationName
    granted: bool
    promised: BallotNumber  # the highest ballot promised
    accepted: BallotNumber
    value: Name = ""  # accepted or decided; empty: none
    decided: bool = False


class MigrationDecided(PeerBody, frozen=True, tag="Settled"):
    """The decided value of a migration, and whether the target is active.

    Answered by a `MigrationDecided` with the receiver's knowledge.
    """

    move: MigrationName
    value: Name  # empty in an answer: unknown
    active: bool = False


class SessionClaim(PeerBody, frozen=True, tag="Claims"):
    """Asks for permission to open the session of a key at the sender. Answered by `ClaimReply`."""

    key: Unsigned
    sequence: SequenceNumber
    replaced_sequence: SequenceNumber  # of the entry that the claim replaces; 0: none
    replaced_holder: Name
    at: Unsigned  # microseconds of the sender's clock; identifies the claim


class SessionInheritance(PeerBody, frozen=True, tag="Inherits"):
    """Asks for the session of a lost holder whose partition and recent ids the sender has.

    Answered by `ClaimReply`. Members below level 3 cannot read this message, so no member grants it that would also
    vote on a migration of the session.
    """

    key: Unsigned
    sequence: Unsigned
    replaced_sequence: Unsigned  # of the last holder
    replaced_holder: Name
    partition: Unsigned  # the newest partition of the last holder
    at: Unsigned  # as in `SessionClaim`


class ClaimReply(PeerBody, frozen=True, tag="Claimed"):
    """Whether the claim is granted; if not, the conflicting entry, if known."""

    granted: bool
    entry: SessionLocation | None = None


class ForwardedSubmit(PeerBody, frozen=True, tag="Pass"):
    """A client's submission, forwarded once to the session's holder. Answered by `ForwardReply`."""

    key: Unsigned
    id: ClientText
    idempotency_key: ClientText  # equal for all repeats of a message; `key` of the stored record
    priority_class: ClientText
    tenant: ClientText
    destination: Unsigned
    remaining_us: Annotated[int, Meta(ge=-(1 << 62), lt=1 << 62)]  # until its deadline
    answer_within_us: Unsigned  # time limit of the answer to the client
    body: ClientRequest
    moved: bool = False  # forwarded by the previous holder, whose client is still connected
    entry: SessionLocation | None = None  # of the lost holder, for the member that now holds its partition
    deadline: Unsigned = 0  # wall clock microseconds at the forwarding member; 0: not sent by older members


class ForwardReply(PeerBody, frozen=True, tag="Passed"):
    """The answer for the client; empty: another member holds the session (`entry`), or nobody holds it (`disowned`)."""

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
