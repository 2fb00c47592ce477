"""Creates the parts of a sender that depend on the operator file, and names what prevents a start.

Used by `program.py`.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import TYPE_CHECKING

from cedarwick.errors import CedarwickError
from cedarwick.net.assignment import Assignment
from cedarwick.net.clock import Clock
from cedarwick.net.counters import Counters
from cedarwick.net.request_memory import body_cache_limit
from cedarwick.store.journal import DEFAULT_BODY_CACHE_BYTES, Store

if TYPE_CHECKING:
    from cedarwick.config.operator import Operator
    from cedarwick.fleet.node import FleetNode


class StartupError(CedarwickError):
    """The system or the state folder prevents the start of the program."""

    code = "CW103"
    remedy = "check that the addresses are free and the folder is writable, then start the sender again"


@contextmanager
def startup_errors() -> Iterator[None]:
    """Prefix errors of the block with "cannot start"; OSError, ValueError and KeyError become `StartupError`."""
    try:
        yield
    except CedarwickError as error:
        raise error.within("cannot start") from None
    except (OSError, ValueError, KeyError) as error:
        raise StartupError(f"cannot start: {type(error).__name__}: {error}") from None


def create_store(assignment: Assignment, operator: "Operator | None", clock: Clock) -> Store:
    """Create the store of the state folder; with a fleet in the operator file, one that replicates to other members."""
    settings = operator.store if operator is not None else None
    durable = settings is not None and settings.durability == "group"
    body_cache_bytes = round(settings.bodies_mb * (1 << 20)) if settings is not None else DEFAULT_BODY_CACHE_BYTES
    body_cache_bytes = body_cache_limit(assignment.memory_bytes, assignment.descriptors, body_cache_bytes)
    segment_bytes = round(settings.segment_kb * 1024) if settings is not None else 0
    fleet = operator.fleet if operator is not None else None
    if fleet is None:
        return Store(
            assignment.folder,
            assignment.disk_bytes,
            now=clock.now,
            durable=durable,
            body_cache_bytes=body_cache_bytes,
            segment_bytes=segment_bytes,
        )
    from cedarwick.fleet.replicated_store import ReplicatedStore

    return ReplicatedStore(
        assignment.folder,
        assignment.disk_bytes,
        now=clock.now,
        durable=durable,
        body_cache_bytes=body_cache_bytes,
        segment_bytes=segment_bytes,
        ack_after_replication=fleet.ack == "copy",
        ack_timeout_us=round(fleet.ack_within_ms * 1000),
    )


def create_fleet_node(
    assignment: Assignment, operator: "Operator | None", store: Store, clock: Clock, counters: Counters
) -> "FleetNode | None":
    """Create the fleet node of this sender; None without a fleet. Raises `StartupError`."""
    if operator is None or operator.fleet is None:
        return None
    from cedarwick.fleet.node import FleetNode
    from cedarwick.fleet.replicated_store import ReplicatedStore

    assert isinstance(store, ReplicatedStore)
    try:
        return FleetNode(assignment.name, operator.fleet, assignment.folder, store, clock, counters)
    except OSError as error:
        raise StartupError(f"cannot start: cannot use the fleet's address or folder: {error}") from None
