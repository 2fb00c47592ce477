"""Conversion between session entries and their form in peer messages."""

from cedarwick.fleet.messages import (
    SessionLocation,
)
from cedarwick.fleet.sessions import (
    SessionEntry,
    hash_contents,
)
from cedarwick.store.records import StoredMessage


def message_hash(stored: StoredMessage) -> int:
    """The hash of a submission's contents; the same at every member."""
    return hash_contents(stored.key, stored.priority_class, stored.tenant, stored.destination, stored.body or b"")


def entry_from_location(location: SessionLocation | None) -> SessionEntry | None:
    """The entry in a peer message; None for none."""
    return (
        SessionEntry(location.key, location.holder, location.sequence, location.age) if location is not None else None
    )


def location_from_entry(entry: SessionEntry | None) -> SessionLocation | None:
    """An entry as it is sent in peer messages; None for none."""
    return SessionLocation(*entry) if entry is not None else None
