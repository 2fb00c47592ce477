"""Conversion between session entries and their form in peer messages."""

from cedarwick.fleet.messages import (
    SessionLocation,
)
from cedarwick.fleet.sessions import (
    Entry,
    contents_hash,
)
from cedarwick.store.records import StoredMessage


def hash_of(stored: StoredMessage) -> int:
    """The hash of a submission's contents; the same at every member."""
    return contents_hash(stored.key, stored.priority_class, stored.tenant, stored.destination, stored.body or b"")


def entry_of(location: SessionLocation | None) -> Entry | None:
    """The entry in a peer message; None for none."""
    return Entry(location.key, location.holder, location.sequence, location.age) if location is not None else None


def location_of(entry: Entry | None) -> SessionLocation | None:
    """An entry as it is sent in peer messages; None for none."""
    return SessionLocation(*entry) if entry is not None else None
