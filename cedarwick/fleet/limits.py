"""Intervals, time limits and sizes of one member of a fleet, for `FleetNode` and its parts.

A name ends in its unit: `_S` seconds, `_US` microseconds, `_BYTES`; the others are counts.
"""

US_PER_S = 1_000_000  # microseconds in a second
CHECK_INTERVAL_S = 0.02  # between two checks of all state
HEARTBEAT_INTERVAL_S = 0.25
CALL_TIMEOUT_S = 0.4  # for an answer to a heartbeat or a lease request: a third of a lease
REPLICATE_TIMEOUT_S = 0.5  # for an answer of a replica
REPLICATE_PAUSE_S = 0.005  # between two messages to a replica that nobody waits for, so each has more facts
REORDER_WAIT_US = 10_000  # in which a message of a log's tail may be overtaken by the next
OFFER_TIMEOUT_S = 1.0
OFFER_PART_BYTES = 1 << 17  # of facts in one part of an offer
NEW_LOG_CATCH_UP_US = 400_000  # in which the replicas of a new log may catch up before it goes on without them
DEADLINE_MARGIN_US = 300_000  # so long before its deadline a message is answered that no member may attempt
DEADLINE_CHECK_S = 0.1  # between two searches for messages near their deadline
NO_MAJORITY_US = 1_000_000  # without a majority for so long, nobody is expected to find out who holds a lease
NO_MAJORITY_UNHELD_US = 3_000_000  # the same, for a partition that this process has not held
REPLICA_PROVEN_US = 10_000_000  # a replica must be complete for so long before a sender that went on alone relies on it
RESTART_REQUEST_WINDOW_US = 600_000  # in which a restarted member asks for the partition that it still has
DAMAGED_FOLDER_US = 5_000_000  # in which successors may adopt the partitions of a damaged folder before it resumes them
START_SERVING_US = 1_800_000  # in which a member that is granted a partition begins to serve it
OFFER_EXPECTED_US = 60_000_000  # an adopted partition stays open so long for offers of its previous holder
UNUSED_REPLICA_US = 30_000_000  # a replica is dropped if not written to for so long, and its holder names no successor
MAX_OWED_MESSAGES = 1 << 14  # of a partition that are searched for keys to hold back at the others
MAX_LAG_FACTS = 2048  # under `ack = "own"` a replica that lacks more, or lags longer than `MAX_LAG_US`, is no successor
MAX_LAG_US = 2_000_000  # see `MAX_LAG_FACTS`
PARTITION_CLOSED = "closed"  # the problem of an offer for a partition of which nothing is owed any more (on the wire)
