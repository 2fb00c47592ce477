"""Leases (Gray and Cheriton 1989, granted by a majority): the rules, and what grantors and holders share. No I/O.

Every member is a `LeaseGrantor` (`lease_grantor.py`); a member that wants a lease has a `LeaseHolder` for it
(`lease_holder.py`). Both are driven by `lease_exchange.py` and `takeover.py`. Callers pass the time in whole
microseconds of the member's own clock, which continues while the machine sleeps; times of two members are never
compared.

Mutual exclusion: at most one holder may make attempts. A promise runs for a span that starts when the request
*arrives*; the lease lasts for less than that span, counted from when the request was *sent*. Two majorities share a
grantor, which grants the second holder only once its promise to the first has expired. `CLOCK_DRIFT_DIVISOR` keeps
this true where one clock is up to 5% slower than another.

Succession: only a successor may take over. A successor set names the members (the holder first) whose replicas are
complete. Sets are numbered `term << 20 | n`, so those of a newer term are newer. A grantor stores the newest set that
it has received, and grants a newer term to members of that set only. A holder may make attempts only once a majority
knows a set of its *own* term: from then on a majority refuses members of older sets, which cannot know its attempts. A
set named by a holder that made no attempt excludes nobody, so the successors of its predecessor may still take over if
it fails between being granted the term and naming its set.

Persistence: the rows of a grantor's table are written to its folder before the answer is sent (`dirty`). A holder asks
its own grantor before any other, so a restarted member knows each term that it ever requested and never requests it
again.

Probes: a request uses up its term, and a newer term ends an older one that is not renewed in time. So a member probes
first (the pre-vote of Raft): a probe is a request that a grantor answers as it would a real one, without storing it.
The term is requested only once a majority would grant it. A probe changes no grantor, so none of the arguments above
is affected.

How a member learns that a row names it. Each reply carries the grantor's newest set. A holder requests with the newest
set that it has received if that set names it, else with the set of its own row; members of a newer set go first. A
member with a complete replica whose promise has expired probes the other members for their rows once per span, since
the request that named it may have been lost. Where no grantor knows any set, nobody has ever made an attempt, and any
complete replica may take over.

Recovery of a lost table: a grantor that has lost its table learns it from the others and grants nothing meanwhile. It
reads their tables only after one whole span: by then a request that it granted before the loss no longer counts for its
holder, so every other grantor of that request has it in its table. It has learned enough once it has the tables of as
many members that are not learning as every majority must share one with (3 members: 2, 4: 2, 5: 3), or the tables of
all others. So the first start of a fleet needs every member up at the same time, once. A member whose folder was
deleted needs `tables_needed` others that have their tables, and one span. Two tables lost at the same time need all
other members up.

Contents of a learned row: the newest term and the newest set are taken independently. A newer term may have been
requested by a member that does not know the newest set, and an older set would let that member take over. The term's
holder is taken only where a majority of the members has granted it that term; otherwise the row names no holder, and
this grantor grants the term to nobody, since it may have voted for another member before it lost its table. A holder
whose lease has expired, and to which a grantor permanently refuses the present term, requests the next one.
"""

LEASE_SPAN_US = 1_200_000  # holds `REQUESTS_PER_SPAN`, so three may be lost; longer than pauses of a process
CLOCK_DRIFT_DIVISOR = 20  # one part in 20: clocks may differ in rate by 5%, a hundred times what NTP tolerates
MAX_PAUSE_US = 50_000  # for which a process may be descheduled between the lease check and the first byte sent
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
