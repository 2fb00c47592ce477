"""Leases (Gray and Cheriton 1989, granted by a majority): the rules, and what grantors and holders share. No I/O.

Every member is a `LeaseGrantor` (`lease_grantor.py`); a member that wants a lease has a `LeaseHolder` for it
(`lease_holder.py`). Both are driven by `lease_exchange.py` and `takeover.py`. Callers pass the time in whole
microseconds of the member's own clock, which goes on while the machine sleeps; times of two members are never compared.

Why at most one holder may fire. A promise runs for a span from when the request *arrived*; the lease lasts for less
than that span from when the request was *sent*. Two majorities share a grantor, and that one grants the second holder
only when its promise to the first has run out. `CLOCK_DRIFT_DIVISOR` keeps this true where one clock is up to 5% slower
than another.

Why only a successor follows. A set of successors names the members (the holder first) whose replicas are whole. Sets
are numbered `term << 20 | n`, so those of a newer term are newer. A grantor stores the newest set that it has received,
and grants a newer term to members of that set only. A holder may fire only once a majority knows a set of *its own*
term: from then on members of older sets, who can't know its attempts, are refused by a majority. A set named by a
holder that fired nothing binds nobody, so its predecessor's successors may still take over if it dies between grant and
naming.

What must survive a restart: the rows of a grantor's table are in its folder before the answer is sent (`dirty`). The
own grantor is asked before any other one, so a restarted member knows each term it ever asked for and never asks again.

What a request in vain must not cost. A request uses up its term, and a newer term ends an older one that is not
renewed in time. So a member probes first (the pre-vote of Raft): a probe is a request that a grantor answers as it
would a real one and forgets. Only once a majority would grant the term is it requested. A probe changes no grantor, so
it breaks none of the arguments above.

How a row finds the members that it names. Each reply carries the grantor's newest set. A holder requests with the
newest set that it has heard of if it is in it, else with its own row's; members of a newer set go first. A member with
a complete replica whose promise has run out enquires after the rows of the others once a span, by a probe: the request
that named it may have been lost. Where no grantor knows any set nobody has ever fired, and any complete replica may
follow.

A grantor that has lost its table learns it from others and grants nothing meanwhile. It reads their tables only after
one whole span: a request that it granted before the loss no longer counts for its holder then, so whoever else granted
that request has it in its table by now. It has learned enough when it has the tables of as many members that are not
learning as every majority must share one with (3 members: 2, 4: 2, 5: 3), or the tables of all others. So the first
start of a fleet needs every member up at the same time, once. A member whose folder was deleted needs `tables_needed`
others that have their tables, and one span. Two tables lost at the same time need all others up.

What a learned row may say. The newest term and the newest set are taken each for itself: a newer term may have been
asked for by a member that does not know the newest set, and an older set would let that member follow. The term's
holder is taken only where a majority of the members has granted it that term; otherwise the row names no holder, and
this grantor grants the term to nobody, since it may have voted for another before it lost its table. A holder whose
lease has run out, and to whom a grantor refuses the present term for good, asks for the next one.
"""

LEASE_SPAN_US = 1_200_000  # `REQUESTS_PER_SPAN` fit in, so three may be lost; longer than a process pauses
CLOCK_DRIFT_DIVISOR = 20  # one part in 20: clocks may differ in pace by 5%, a hundred times what NTP tolerates
MAX_PAUSE_US = 50_000  # for which a process may be descheduled between the check of its lease and the first byte
REQUESTS_PER_SPAN = 4
SUCCESSOR_SET_BITS = 20  # low bits of a set's number; the bits above are the term that named it
EPOCH_BITS = 12
PARTITION_PREFIX = "book:"
CLOSED_PREFIX = "closed:"  # a row `closed:<slot>` has in `term` the epoch up to which all of its partitions are closed


def majority_of(members: int) -> int:
    """The size of a majority of this many members."""
    return members // 2 + 1


def lease_name(partition: int) -> str:
    """The name of the lease of a partition."""
    return f"{PARTITION_PREFIX}{partition}"


def partition_of_lease(lease: str) -> int | None:
    """The partition that a lease is for; None for any other lease."""
    number = lease.removeprefix(PARTITION_PREFIX)
    return int(number) if number != lease and number.isdecimal() else None
