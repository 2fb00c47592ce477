"""Times and sizes that govern one member of a fleet.

A name ends in its unit: `_S` seconds, `_US` microseconds, `_BYTES`; the others count.
"""

LOOK_INTERVAL_S = 0.02  # between two looks at everything
HEARTBEAT_INTERVAL_S = 0.25
CALL_TIMEOUT_S = 0.4  # for an answer to a heartbeat or a lease request: a third of a lease
REPLICATE_TIMEOUT_S = 0.5  # for an answer of a copy
REPLICATE_PAUSE_S = 0.005  # between two messages to a copy that nobody waits for: each takes more facts along
REORDER_WAIT_US = 10_000  # in which a message of a log's tail may be overtaken by the next
OFFER_TIMEOUT_S = 1.0
OFFER_PART_BYTES = 1 << 17  # of facts in one part of an offer
GATHER_COPIES_US = 400_000  # in which the copies of a partition that begins may come up before it goes on without them
ANSWER_AHEAD_US = 300_000  # before its deadline a message that nobody may fire for is answered
DEADLINE_CHECK_S = 0.1  # between two looks for messages near their deadline
NO_MAJORITY_US = 1_000_000  # without a majority until nobody can be asked who has the right
NO_MAJORITY_UNHELD_US = 3_000_000  # the same, for a partition that this process has not held
COPY_TRUST_US = 10_000_000  # a copy must have been whole for so long before a sender that went on alone counts on it
REBORN_ASKS_US = 600_000  # in which a member that was started again asks for the partition that it still has
DOUBTED_US = 5_000_000  # so long successors may adopt what a damaged folder has, before it goes on with what is left
IDLE_HOLDER_US = 1_800_000  # in which a member that is granted a partition begins to fire for it
OFFER_EXPECTED_US = 60_000_000  # so long an adopted partition is held open for what its last holder may still offer
UNWANTED_COPY_US = 30_000_000  # a copy not written to for so long, of a holder that names no successor, is dropped
MAX_OWED_MESSAGES = 1 << 14  # of a partition that are looked at for keys that others let rest
MAX_LAG_FACTS = 2048  # a successor that lacks more, or for longer than `MAX_LAG_US`, is none under `ack = "own"`
MAX_LAG_US = 2_000_000
PARTITION_CLOSED = "closed"  # the problem of an offer for a partition of which nothing is owed any more (on the wire)
