"""What clients, partners and platform saw of a day: one record per thing, kept as JSON lines.

Nothing here comes from a sender's own words. Times are whole microseconds from the begin of the day; -1 stands
for 'never'.
"""

from collections.abc import Iterator
from typing import Any

import msgspec

from cedarwick.errors import CedarwickError

NEVER = -1


class Record(msgspec.Struct, tag_field="what", gc=False):
    """Base of the records: one observation."""


class Handed(Record, tag="handed"):
    """One request of a client, under an id of its own."""

    id: str
    first: str  # the id under which the same thing was first submitted
    priority_class: str = msgspec.field(name="band")
    destination: int
    mark: str
    turn: str
    due: int  # when the thing was due by the schedule, or this retry
    sent: int  # the last byte of the request was written
    outer: int  # its deadline
    sender: int
    answer: str = ""  # ok, busy, error, none (patience ran out), cut (the connection ended), down (none came up)
    answered: int = NEVER
    wait: int = 0  # the advised wait of a `busy` answer, microseconds
    fresh: bool = True  # the first request of its connection
    again: bool = False  # a sender had it before and did not answer, or died
    taker: int = -1  # the sender that the one asked has passed it to, where that is known


class Called(Record, tag="called"):
    """One call at a partner."""

    id: str
    mark: str
    endpoint: str
    destination: int
    sender: int
    first: int  # its first byte was read
    whole: int  # its last byte was read
    ended: int = NEVER  # the answer was written, or the connection ended
    status: int = 0  # 0: no answer was written
    wait: int = 0  # the Retry-After wait of its answer, microseconds
    ran: bool = False
    repeat: bool = False  # its mark was known
    spoilt: str = ""
    body_ok: bool = True
    left: bool = False  # its caller had closed its sending side before the answer was written


class Noticed(Record, tag="noticed"):
    """One notice that the platform received at `/status`."""

    id: str
    state: str
    after: int  # microseconds
    at: int
    sender: int


class Heard(Record, tag="heard"):
    """A line of the list as it was written to one sender."""

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
    ended: int  # NEVER: to the end of the day
    warming_up: bool = msgspec.field(name="cold")
    fell: bool  # because it was overloaded while warming up


class Gone(Record, tag="gone"):
    """An injected fault, as it was carried out."""

    number: int
    kind: str
    began: int
    ended: int
    on: list[str]
    size: float


class Life(Record, tag="life"):
    """A change of a sender's process: its start, its readiness, a signal, its end."""

    sender: int
    event: str  # started, ready, killed, termed, stopped, continued, ended
    at: int
    status: int = 0


class Rude(Record, tag="rude"):
    """A bad client's connection."""

    sender: int
    began: int
    form: str
    ended: int  # an error line was read, or the connection ended; NEVER: neither came
    reply: str


class Sampled(Record, tag="sampled"):
    """A sample of the memory, descriptors and processor time of a sender's process."""

    sender: int
    at: int
    memory: int  # bytes, resident
    descriptors: int
    cpu: int  # microseconds since its start


class Late(Record, tag="late"):
    """The laboratory's own event loop was late."""

    at: int
    by: int


AnyRecord = Handed | Called | Noticed | Heard | Away | Gone | Life | Rude | Sampled | Late


class History:
    """All records of a day by type, each in the order of their begins."""

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
        getattr(self, type(record).__name__.lower()).append(record)

    def records(self) -> Iterator[AnyRecord]:
        for each in vars(self).values():
            yield from each

    def write(self, path: str) -> None:
        encoder = msgspec.json.Encoder()
        with open(path, "wb") as file:
            for record in self.records():
                file.write(encoder.encode(record) + b"\n")


class CorruptHistoryError(CedarwickError, ValueError):
    """A kept history of a day has a line that cannot be read."""

    code = "CW602"
    remedy = "play the day again; the file that is named was cut or changed after it was written"


def read_history(path: str) -> History:
    """A history that was written before; `CorruptHistoryError` names the line that cannot be read."""
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
    """Any records, one JSON object a line."""
    with open(path, "wb") as file:
        for row in rows:
            file.write(msgspec.json.encode(row) + b"\n")
