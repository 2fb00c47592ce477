"""Choice of a partition's replicas: rendezvous hashing (Thaler and Ravishankar 1998), members of other halls first."""

from collections.abc import Collection, Iterable, Mapping

import xxhash


def weight(partition: int, name: str) -> int:
    """The rendezvous weight of a member for a partition: the same at every member, independent of the other members."""
    return xxhash.xxh3_64_intdigest(f"{partition}/{name}".encode())


def replica_order(partition: int, holder: str, halls: Mapping[str, str], names: Iterable[str]) -> list[str]:
    """The members in order of preference for a replica, those of other halls first.

    This is also the order of successors.
    """
    # Members of other halls come first, so that one power failure does not destroy both the messages and their replica.
    holder_hall = halls.get(holder)
    return sorted(
        (name for name in names if name != holder and name in halls),
        key=lambda name: (halls[name] == holder_hall, -weight(partition, name), name),
    )


def choose_replicas(
    partition: int, holder: str, halls: Mapping[str, str], alive: Collection[str], count: int
) -> list[str]:
    """The members to replicate a partition to, at most `count`; `holder` holds it.

    `halls` contains all members, `alive` those that may be chosen. A member that joins gets only replicas for which it
    ranks highest; when one leaves, only its replicas move.
    """
    return replica_order(partition, holder, halls, alive)[:count]
