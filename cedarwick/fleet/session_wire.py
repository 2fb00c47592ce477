"""Sessions from and to peer messages."""

from cedarwick.fleet.messages import (
    SessionLocation,
)
from cedarwick.fleet.sessions import (
    Entry,
    contents,
)
from cedarwick.store.records import StoredMessage


def hash_of(stored: StoredMessage) -> int:
    """What came with an id; the same wherever it comes."""
    return contents(stored.key, stored.priority_class, stored.tenant, stored.destination, stored.body or b"")


def entry_of(location: SessionLocation | None) -> Entry | None:
    return Entry(location.key, location.holder, location.sequence, location.age) if location is not None else None


def lodging_of(entry: Entry | None) -> SessionLocation | None:
    return SessionLocation(*entry) if entry is not None else None
