"""A partition that this sender holds, or has held: its ledger of facts, its replication log and its state. No I/O.

`ReplicatedStore` has one `LeasedPartition` for each such partition; the node decides which ones there are.
"""

from cedarwick.fleet.fact_ledger import FactLedger
from cedarwick.fleet.replication import ReplicationLog
from cedarwick.fleet.replication_facts import EndRank, Fact, base_of, with_end
from cedarwick.fleet.takeover import Takeover
from cedarwick.store.bodies import BodyLostError
from cedarwick.store.journal import Store

# Microseconds that a replica may lag: then its partition is not served, and nothing waits for the replica any more.
STALLED_AFTER_US = 500_000


class LeasedPartition:
    """A partition that this sender holds, or has held and not given up. Times are microseconds of the boot clock."""

    def __init__(self, partition: int, takeover: Takeover) -> None:
        self.partition = partition
        self.takeover = takeover
        self.ledger = FactLedger(0)
        self.log = ReplicationLog(partition, 0, lambda _: None)
        self.log_started_at = 0  # when its log began: its replicas have some time until it goes on without them
        self.imported = False  # its messages are in the folder, the ledger knows them
        self.serving = False  # the dispatcher makes attempts for it
        # Replicas that become successors once they have the log up to an index: that index, and since when.
        self.joining: dict[str, tuple[int, int]] = {}
        self.stalled_since = 0  # since when its replicas do not follow; 0: they do
        self.unreplicated_since = 0  # since when it goes on without replicas; 0: it does not
        self.reserved_upto = 0  # numbers below this one are reserved on the disk
        self.imported_from_term = 0  # the term of the replica that it was adopted from in this process; 0: it was not
        self.offer_sent = False  # some newer holder was sent an offer
        self.offer_accepted = False  # the newer holder has stored all that was known here
        self.unheld_since = 0  # since when the lease has run out with no answer of a majority; 0: held, or lost
        self.offer_completed_at = 0  # of an adopted partition: when its last holder has offered all that it knew
        self.sent_upto = 0  # facts below this index were sent to some replica
        self.backlog: dict[int, int] = {}  # owed since before the last change among the members: their order keys
        # Of an adopted partition: ended here, so that an old update does not bring them back.
        self.ended_numbers: set[int] = set()

    def is_stalled(self, now: int) -> bool:
        """Whether its replicas have been behind for more than `STALLED_AFTER_US` microseconds."""
        return self.stalled_since > 0 and now - self.stalled_since > STALLED_AFTER_US

    def read_fact(self, store: Store, number: int) -> Fact | None:
        """The fact of an owed message for the log: None where it is not owed; without base where its body is lost."""
        stored, known = store.messages.get(number), self.ledger.known.get(number)
        if stored is None or known is None:
            return None
        try:
            return Fact(number, base_of(stored, store.body(number) if stored.end is None else b""), known)
        except BodyLostError:
            return Fact(number, None, known)

    def read_fact_for_member(self, store: Store, number: int) -> Fact | None:
        """The same for another member; a message whose body cannot be read counts as failed there.

        Without its base a replica would omit the message and still count as complete, and after a takeover nobody
        would answer it.
        """
        fact = self.read_fact(store, number)
        if fact is None or fact.base is not None:
            return fact
        return with_end(Fact(number, base_of(store.messages[number], b""), fact.known), EndRank.FAILED)
