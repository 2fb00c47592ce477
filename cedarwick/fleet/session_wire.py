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
    """Hash the contents of a submission; the hash is the same at every member."""
    return hash_contents(stored.key, stored.priority_class, stored.tenant, stored.destination, stored.body or b"")


def entry_from_location(location: SessionLocation | None) -> SessionEntry | None:
    """Convert a location of a peer message to an entry; None for None."""
    return (
        SessionEntry(location.key, location.holder, location.sequence, location.age) if location is not None else None
    )


def location_from_entry(entry: SessionEntry | None) -> SessionLocation | None:
    """Convert an entry to a location for a peer message; None for None."""
    return SessionLocation(*entry) if entry is not None else None
