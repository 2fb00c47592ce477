"""Which members get replicas of a partition: rendezvous hashing (Thaler and Ravishankar 1998), other halls first."""

from collections.abc import Collection, Iterable, Mapping

import xxhash


def weight(partition: int, name: str) -> int:
    """How much a member wants a partition: the same at every member, and independent of who else there is."""
    return xxhash.xxh3_64_intdigest(f"{partition}/{name}".encode())


def replica_order(partition: int, holder: str, halls: Mapping[str, str], names: Iterable[str]) -> list[str]:
    """Members in the order in which they are to have replicas: those of other halls first.

    Also the order of successors.
    """
    # Other halls first, so that one power cut does not take the messages and their replica.
    home = halls.get(holder)
    return sorted(
        (name for name in names if name != holder and name in halls),
        key=lambda name: (halls[name] == home, -weight(partition, name), name),
    )


def choose_replicas(
    partition: int, holder: str, halls: Mapping[str, str], alive: Collection[str], count: int
) -> list[str]:
    """The members that are to have a replica of a partition which `holder` holds, `count` at most.

    `halls` has all members, `alive` those that may be chosen. A member that joins gets only replicas for which it ranks
    highest; when one leaves, only its replicas move.
    """
    return replica_order(partition, holder, halls, alive)[:count]
