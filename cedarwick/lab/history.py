"""The history of a day: one record per observation of clients, partners and the platform, stored as JSON lines.

No record comes from what a sender reports of itself. Times are whole microseconds since the start of the day;
-1 means "never".
"""

from collections.abc import Iterator
from typing import Any

import msgspec

from cedarwick.errors import CedarwickError

NEVER = -1


class Record(msgspec.Struct, tag_field="what", gc=False):
    """Base class of the records, each of which is one observation."""


class Handed(Record, tag="handed"):
    """One request of a client, with its own message id."""

    id: str
    first: str  # the id of the first request for the same message
    priority_class: str = msgspec.field(name="band")
    destination: int
    mark: str
    turn: str
    due: int  # when the schedule, or the retry, had the request due
    sent: int  # when the last byte of the request was written
    outer: int  # the deadline
    sender: int
    answer: str = ""  # ok, busy, error, none (client timeout), cut (connection ended), down (connect failed)
    answered: int = NEVER
    wait: int = 0  # microseconds that a `busy` answer asks the client to wait
    fresh: bool = True  # whether it was the first request on its connection
    again: bool = False  # whether a sender had the message before and did not answer, or died
    taker: int = -1  # the sender to which the receiving sender forwarded it, if known


class Called(Record, tag="called"):
    """One call that a partner's endpoint received."""

    id: str
    mark: str
    endpoint: str
    destination: int
    sender: int
    first: int  # when its first byte was read
    whole: int  # when its last byte was read
    ended: int = NEVER  # when the answer was written, or the connection ended
    status: int = 0  # 0: no answer was written
    wait: int = 0  # Retry-After wait of the answer, in microseconds
    ran: bool = False
    repeat: bool = False  # whether its idempotency mark was already known
    spoilt: str = ""  # how the answer was malformed, cut short or delayed
    body_ok: bool = True
    left: bool = False  # whether the caller had closed its sending side before the answer was written
    copied: int = NEVER  # when a second copy of its answer was written on the same connection


class Noticed(Record, tag="noticed"):
    """A notice that the platform received at `/status`."""

    id: str
    state: str
    after: int  # wait before a retry, in microseconds
    at: int
    sender: int


class Heard(Record, tag="heard"):
    """An entry of the endpoint list as it was written to one sender."""

    uid: str
    destination: int
    state: str
    at: int
    sender: int


class Away(Record, tag="away"):
    """An outage of an endpoint."""

    endpoint: str
    destination: int
    began: int
    ended: int  # NEVER: it lasted until the end of the day
    warming_up: bool = msgspec.field(name="cold")
    fell: bool  # whether overload while warming up caused the outage


class Gone(Record, tag="gone"):
    """An injected fault as it took place."""

    number: int
    kind: str
    began: int
    ended: int
    on: list[str]
    size: float


class Life(Record, tag="life"):
    """A change of state of a sender's process: start, readiness, signal or end."""

    sender: int
    event: str  # started, ready, killed, termed, stopped, continued, ended
    at: int
    status: int = 0


class Rude(Record, tag="rude"):
    """A connection of a misbehaving client."""

    sender: int
    began: int
    form: str
    ended: int  # when an error line was read or the connection ended; NEVER: neither happened
    reply: str


class Sampled(Record, tag="sampled"):
    """A sample of the memory, descriptors and processor time that a sender's process uses."""

    sender: int
    at: int
    memory: int  # resident bytes
    descriptors: int
    cpu: int  # microseconds of processor time since the start of the process


class Late(Record, tag="late"):
    """A delay of the laboratory's own event loop."""

    at: int
    by: int


AnyRecord = Handed | Called | Noticed | Heard | Away | Gone | Life | Rude | Sampled | Late


class History:
    """All records of a day by type, each type in the order in which the observations began.

    Each attribute has the lower-case name of its record class.
    """

    def __init__(self) -> None:
        self.handed: list[Handed] = []
        self.called: list[Called] = []
        self.noticed: list[Noticed] = []
        self.heard: list[Heard] = []
        self.away: list[Away] = []
        self.gone: list[Gone] = []
        self.life: list[Life] = []
        self.rude: list[Rude] = []
        self.sampled: list[Sampled] = []
        self.late: list[Late] = []

    def add(self, record: AnyRecord) -> None:
        """Append a record to the list of its type."""
        getattr(self, type(record).__name__.lower()).append(record)

    def records(self) -> Iterator[AnyRecord]:
        """Yield all records, type by type."""
        for of_type in vars(self).values():
            yield from of_type

    def write(self, path: str) -> None:
        """Write all records to a file, one JSON object per line."""
        encoder = msgspec.json.Encoder()
        with open(path, "wb") as file:
            for record in self.records():
                file.write(encoder.encode(record) + b"\n")


class CorruptHistoryError(CedarwickError, ValueError):
    """A stored history of a day has a line that cannot be read."""

    code = "CW602"
    remedy = "play the day again; the file that is named was cut or changed after it was written"


def read_history(path: str) -> History:
    """Read a history file; `CorruptHistoryError` names the first line that cannot be read."""
    history = History()
    decoder: msgspec.json.Decoder[AnyRecord] = msgspec.json.Decoder(AnyRecord)
    with open(path, "rb") as file:
        for number, line in enumerate(file, 1):
            try:
                history.add(decoder.decode(line))
            except (msgspec.DecodeError, ValueError) as error:
                raise CorruptHistoryError(f"{path}: line {number}: {error}") from None
    return history


def write_lines(path: str, rows: list[Any]) -> None:
    """Write any records to a file, one JSON object per line."""
    with open(path, "wb") as file:
        for row in rows:
            file.write(msgspec.json.encode(row) + b"\n")
