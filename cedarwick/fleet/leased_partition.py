"""A partition that this sender holds or has held: its ledger of facts, its replication log and its state. No I/O.

`ReplicatedStore` has one `LeasedPartition` for each such partition; the node creates and removes them.
"""

from cedarwick.fleet.fact_ledger import FactLedger
from cedarwick.fleet.replication import ReplicationLog
from cedarwick.fleet.replication_facts import EndRank, Fact, base_of, with_end
from cedarwick.fleet.takeover import Takeover
from cedarwick.store.bodies import BodyLostError
from cedarwick.store.journal import Store

# How long replicas may lag, in microseconds, before the partition is not served and nothing waits for them any more.
STALLED_AFTER_US = 500_000


class LeasedPartition:
    """A partition that this sender holds, or held and has not given up. Times are microseconds of the boot clock."""

    def __init__(self, partition: int, takeover: Takeover) -> None:
        self.partition = partition
        self.takeover = takeover
        self.ledger = FactLedger(0)
        self.log = ReplicationLog(partition, 0, lambda _: None)
        self.log_started_at = 0  # when its log began: its replicas have some time to catch up before it does without
        self.imported = False  # whether its messages are in the folder and in the ledger
        self.serving = False  # whether the dispatcher makes attempts for it
        # By replica that becomes a successor once it has the log up to an index: that index, and since when.
        self.joining: dict[str, tuple[int, int]] = {}
        self.stalled_since = 0  # since when its replicas lag; 0: they are up to date
        self.unreplicated_since = 0  # since when it is served without replicas; 0: it has replicas
        self.reserved_upto = 0  # message numbers below this one are reserved on the disk
        self.imported_from_term = 0  # the term of the replica that this process took it over from; 0: it did not
        self.offer_sent = False  # whether a newer holder was sent an offer
        self.offer_accepted = False  # whether the newer holder has stored everything that was known here
        self.unheld_since = 0  # since when the lease is expired without replies of a majority; 0: held, or lost
        self.offer_completed_at = 0  # if it was taken over: when its previous holder had offered everything it knew
        self.sent_upto = 0  # facts below this index were sent to at least one replica
        # By number of a message that was pending before the last change among the members: its order key.
        self.backlog: dict[int, int] = {}
        # If it was taken over: messages that ended here, so that a late update does not restore them.
        self.ended_numbers: set[int] = set()

    def is_stalled(self, now: int) -> bool:
        """Whether its replicas have lagged for more than `STALLED_AFTER_US`."""
        return self.stalled_since > 0 and now - self.stalled_since > STALLED_AFTER_US

    def read_fact(self, store: Store, number: int) -> Fact | None:
        """The fact of a pending message, for the log; None if it is not pending, without a base if its body is lost."""
        stored, known = store.messages.get(number), self.ledger.known.get(number)
        if stored is None or known is None:
            return None
        try:
            return Fact(number, base_of(stored, store.read_body(number) if stored.final_answer is None else b""), known)
        except BodyLostError:
            return Fact(number, None, known)

    def read_fact_for_member(self, store: Store, number: int) -> Fact | None:
        """The same for another member, where a message whose body cannot be read counts as failed.

        Without its base, a replica would omit the message and still count as complete, and nobody would answer it after
        a takeover.
        """
        fact = self.read_fact(store, number)
        if fact is None or fact.base is not None:
            return fact
        return with_end(Fact(number, base_of(store.messages[number], b""), fact.known), EndRank.FAILED)
