"""Intervals, time limits and sizes of one member of a fleet, for `FleetNode` and its parts.

A name ends in its unit: `_S` seconds, `_US` microseconds, `_BYTES`; the others are counts.
"""

US_PER_S = 1_000_000  # microseconds in a second
CHECK_INTERVAL_S = 0.02  # between two checks of the whole state
HEARTBEAT_INTERVAL_S = 0.25
CALL_TIMEOUT_S = 0.4  # for the answer to a heartbeat or a lease request: a third of a lease
REPLICATE_TIMEOUT_S = 0.5  # for the acknowledgement of a replica
REPLICATE_PAUSE_S = 0.005  # between two messages to a replica that nothing waits for, so that each carries more facts
REORDER_WAIT_US = 10_000  # for which an out-of-order message of a log's tail waits for the one before it
OFFER_TIMEOUT_S = 1.0
OFFER_PART_BYTES = 1 << 17  # of facts in one part of an offer
NEW_LOG_CATCH_UP_US = 400_000  # in which the replicas of a new log may catch up before it continues without them
DEADLINE_MARGIN_US = 300_000  # before its deadline, at which a message that no member may attempt is answered
DEADLINE_CHECK_S = 0.1  # between two searches for messages near their deadline
NO_MAJORITY_US = 1_000_000  # without a majority, after which no member is expected to learn who holds a lease
NO_MAJORITY_UNHELD_US = 3_000_000  # the same, for a partition that this process has not held
REPLICA_PROVEN_US = 10_000_000  # for which a replica must be complete before a sender that went on alone relies on it
RESTART_REQUEST_WINDOW_US = 600_000  # in which a restarted member requests the lease of a partition that it still has
DAMAGED_FOLDER_US = 5_000_000  # in which successors may take over the partitions of a damaged folder before they resume
START_SERVING_US = 1_800_000  # in which a member that is granted a partition must start to serve it
OFFER_EXPECTED_US = 60_000_000  # for which a partition that was taken over stays open for offers of its last holder
# Without writes for this long, a replica is dropped if its holder does not name this member a successor.
UNUSED_REPLICA_US = 30_000_000
MAX_PENDING_SEARCHED = 1 << 14  # pending messages of a partition that are searched for keys that others hold back
MAX_LAG_FACTS = 2048  # under `ack = "own"` a replica that lacks more, or lags longer than `MAX_LAG_US`, is no successor
MAX_LAG_US = 2_000_000  # see `MAX_LAG_FACTS`
PARTITION_CLOSED = "closed"  # the problem in the reply to an offer for a closed partition (on the wire)
