"""One member of a fleet: ties members, leases, partitions and copies to the network, the folder and the dispatcher.

The greenlet `run` looks at everything every few milliseconds; peer messages of other members are answered in the
greenlets of
the link; calls to them are made in greenlets of their own. None of them waits between a look at a state and the change
that rests on it. What is settled, and why, stands in `takeover.py`, `leases.py`, `membership.py` and `replication.py`.
"""

import time
from collections.abc import Callable, Iterable
from itertools import islice
from typing import TYPE_CHECKING, Protocol

import gevent
import gevent.event
import msgspec
from loguru import logger

from cedarwick.config.operator import Fleet
from cedarwick.errors import CedarwickError
from cedarwick.events.exchange import Exchange
from cedarwick.fleet import placement
from cedarwick.fleet import replication_facts as known_facts
from cedarwick.fleet.fleet_files import FleetFiles, LeaseRecord
from cedarwick.fleet.gossip import Gossip
from cedarwick.fleet.leased_partition import STARVED, LeasedPartition
from cedarwick.fleet.leases import SPAN, LeaseGrantor, LeaseState, right_of
from cedarwick.fleet.membership import Membership, MemberStatus
from cedarwick.fleet.messages import (
    OWING,
    Acknowledged,
    Body,
    Cursors,
    Digests,
    GrantTable,
    GrantTableRequest,
    Heartbeat,
    LeaseReply,
    LeaseRequest,
    Matches,
    OfferReply,
    OwedKeys,
    PeerMessage,
    ReplicaAck,
    ReplicateFacts,
    ReplicatePiece,
    RetryAfterHint,
    Subscribe,
    SuspensionMarks,
    TakeoverOffer,
    digest_of,
    slot_of,
)
from cedarwick.fleet.messages import (
    HeldLease as Right,
)
from cedarwick.fleet.order_key_hints import OrderKeyHints
from cedarwick.fleet.peer_verifier import PeerVerifier
from cedarwick.fleet.replica_files import ReplicaFolder, ReplicaStore
from cedarwick.fleet.replicated_store import BLOCK, ReplicatedStore, monotonic_time
from cedarwick.fleet.replication import NO_ROOM, OTHER, TERM, FollowerProgress
from cedarwick.fleet.replication_facts import EndRank
from cedarwick.fleet.takeover import AWAY, BooksExhaustedError, Ownership, Takeover, TakeoverAction, TakeoverStage
from cedarwick.fleet.transport import PeerRefusedError, Peers, PeerServer, PeerUnreachableError
from cedarwick.net.assignment import address
from cedarwick.net.clock import Clock
from cedarwick.net.counters import Counters
from cedarwick.store.files import NoSpaceError

if TYPE_CHECKING:
    from cedarwick.fleet.session_routing import SessionRouter

TURN = 0.02  # seconds between two looks at everything
BEAT = 0.25  # seconds between two beats
ANSWER_IN = 0.4  # seconds for an answer to a beat or an ask: a third of a lease
SHIP_IN = 0.5  # seconds for an answer of a copy
LINGER = 0.005  # seconds between two messages to a copy that nobody waits for: each takes more facts along
EARLIER = 10_000  # microseconds in which a message of a log's tail may be overtaken by the next
OFFER_IN = 1.0
GATHER = (
    400_000  # microseconds in which the copies of a partition that begins may come up before it goes on without them
)
LATE = 300_000  # microseconds before its deadline a message that nobody may fire for is answered
LOOK_LATE = 0.1
ALONE = 1_000_000  # microseconds without a majority until nobody can be asked who has the right
UNKNOWN = 3_000_000  # the same, for a partition that this process has not held
BACK = 10_000_000  # a copy must have been whole for so long before a sender that went on alone counts on it again
REBORN = 600_000  # in which a member that was started again asks for the partition that it still has
DOUBTED = (
    5_000_000  # so long the successors of what a damaged folder has may adopt it, before it goes on with what is left
)
IDLE = 1_800_000  # in which a member that is granted a partition begins to fire for it
EXPECTED = 60_000_000  # so long an adopted partition is kept for what its last holder may still offer
UNWANTED = 30_000_000  # a copy that its holder has not written to for so long, and names no successor, is dropped
OFFER_PART = 1 << 17  # bytes of facts in one part of an offer
MOST_OWED = 1 << 14  # messages of a partition that are looked at for keys that others let rest
LAG_FACTS = 2048  # a successor that lacks more, or for longer than `LAG`, is a successor no more under `ack = "own"`
LAG = 2_000_000
CLOSED = "closed"  # the problem of an offer for a partition of which nothing is owed any more


class PartitionDispatcher(Protocol):
    """What the dispatcher does for a partition."""

    def adopt(self, numbers: list[int]) -> None: ...

    def park(self, numbers: list[int]) -> None: ...

    def answer_late(self, numbers: list[int]) -> None: ...

    def ordered(self, priority_class: str) -> bool: ...

    def rest(self, keys: frozenset[int]) -> None: ...

    def rest_of(self, key: int) -> int: ...


class UnknownPeerMessageError(CedarwickError):
    """A peer message whose kind this member does not answer."""

    code = "CW742"
    remedy = "bring all members to one version of the program"


class FleetNode:
    """This sender as a member. Made before the dispatcher is; `serve` begins once the folder is read."""

    def __init__(
        self, name: str, told: Fleet, state: str, store: ReplicatedStore, clock: Clock, counters: Counters
    ) -> None:
        """OSError where the folder or the address cannot be used; `NotAMemberError` where the file lacks this sender;
        `FolderOfAnother`."""
        self.name = name
        self.told = told
        self.store = store
        self.clock = clock
        self.counters = counters
        self.halls = {member.name: member.hall for member in told.member}
        if name not in self.halls:
            raise NotAMemberError(f"fleet.member: no entry has the name of this sender, {name!r}")
        self.where = {member.name: address(member.address) for member in told.member}
        self.lasting = FleetFiles(state, store.durable)
        self.lasting.claim(told.group, name)
        self.incarnation = self.lasting.boot(time.time_ns() // 1000)
        self.gate = PeerVerifier(told.group, name, self.incarnation, self.where)
        self.peers = Peers(self.gate, self.where)
        now = monotonic_time()
        self.members = Membership(name, self.halls, self.incarnation, now)
        table = self.lasting.table()
        known = table.grants if table is not None and not table.learning else None
        self.grantor = LeaseGrantor(name, self.halls, now, known)
        self.changed = self.written = 0  # counts the states of its table: the newest, and that on the disk
        self.changed_at: dict[str, int] = {}  # by right: the state with its newest row, where that is not on the disk
        self.writing = False
        self.copies = ReplicaStore(
            ReplicaFolder(self.lasting.copies), round(told.copies_mb * (1 << 20)), now=clock.now, durable=store.durable
        )
        self.adoptions: dict[int, Takeover] = {}
        self.held = {held.partition: held for held in self.lasting.held()}
        self.ownership: Ownership | None = None
        self.dispatcher: PartitionDispatcher
        self.shipped_at: dict[int, int] = {}  # by partition: when its holder last wrote to the copy here
        self.begun_at = now
        self.before = True  # whether messages may be left that were taken before this sender was a member
        self.doubted: set[int] = set()  # partitions of a folder with damage: the successors may have more of them
        self.reborn: dict[str, int] = {}  # when a member was first heard under a newer incarnation than before
        self.served: dict[int, tuple[str, int]] = {}  # by partition: who has said that it fires for it, and when
        self.claimed: dict[int, tuple[str, int]] = {}  # by partition: who is said to hold it, and since when
        self.full_at: dict[str, int] = {}  # when a member has refused to keep a copy
        self.asking: set[str] = set()  # grantors whose tables were asked for and have not come
        self.pumps: dict[tuple[int, str], gevent.Greenlet] = {}
        self.offers: dict[int, gevent.Greenlet] = {}
        self.alive: list[str] = []  # as of this look
        self.looked_late = 0.0
        self.few_since = 0  # since when too few members are alive to grant anything; 0: enough are
        self.leaving = False
        self.sharing = Gossip(name, self.lasting, clock, counters, self._call)
        self.owing = OrderKeyHints()
        self.lying: dict[int, frozenset[int]] = {}  # by partition: keys in a copy here whose holder is silent
        self.exchange = Exchange(name, self.gate, counters, self._call, state, round(told.follow_s * 1e6))
        store.seen = self.exchange.seen
        store.reserve, store.starved = self._reserve, self._starved
        self.traffic: SessionRouter | None = None
        if told.sessions:
            from cedarwick.fleet import session_routing  # nothing of sessions is loaded where they are off

            self.traffic = session_routing.SessionRouter(self)
        self.server = PeerServer(self.where[name], self.gate, counters, self.answer)

    # ---- life ----

    def start(self, dispatcher: PartitionDispatcher) -> list[gevent.Greenlet]:
        """Once the folder is read: load the copies, take peer messages, and run. The greenlets never return."""
        self.dispatcher = dispatcher
        self.copies.load()
        for partition in self.copies.copies:
            self._follow(partition)
        slot = slot_of(self.name)
        stored = {held.partition: held.term for held in self.held.values() if held.partition >> 12 == slot}
        mine = {number >> 32 for number in self.store.messages} - {0}
        for partition in sorted(mine - stored.keys()):
            # A partition that was adopted, or one whose line is lost: taken up again if nobody else has it by now.
            self.adoptions[partition] = Takeover(
                partition, self.name, self.halls, self._term_of(partition), resume=True
            )
        self.ownership = Ownership(self.name, slot, self.halls, stored)
        for partition in sorted(stored)[:-1]:
            if partition not in self.adoptions and partition in mine:
                self.adoptions[partition] = Takeover(partition, self.name, self.halls, stored[partition], resume=True)
        for partition in sorted(mine & set(self.adoptions)):  # a copy is none: it may not be whole
            self._hold(partition)
        if self.store.damaged:
            # Danger: a copy may have what this folder has lost, and would drop it to be like the folder.
            self.doubted = mine | set(stored)
        self.server.start()
        parts = [gevent.spawn(self.run)]
        parts += [gevent.spawn(self._beat, name) for name in self.peers.names()]
        logger.info(
            "member {} of {} in hall {}: {} others",
            self.name,
            self.told.group,
            self.halls[self.name],
            len(self.halls) - 1,
        )
        return parts

    def run(self) -> None:
        """Never returns: looks at everything, again and again."""
        while True:
            self.look(monotonic_time())
            gevent.sleep(TURN)

    def leave(self) -> None:
        """This sender ends: the successors may go on at once. What is said reaches whom it can within a moment."""
        self.leaving = True
        calls = [gevent.spawn(self._call, name, self._own_beat(), ANSWER_IN) for name in self.peers.names()]
        for holding in self.store.holdings.values():
            holding.serving = False  # Danger: once it is released, a successor may fire
            if len(holding.adoption.holder.successors) > 1 and (ask := holding.adoption.holder.release()) is not None:
                self._guarded(self._answer_ask, ask)
                calls += [gevent.spawn(self._call, name, ask, ANSWER_IN) for name in self.peers.names()]
        gevent.joinall(calls, timeout=ANSWER_IN)

    def hand_over(self) -> None:
        """Another process of this sender goes on."""
        if self.traffic is not None:
            try:
                self.traffic.hand_over()
            except OSError as error:
                self.counters.trouble("the sessions cannot be handed over", error)

    def stop(self) -> None:
        if self.traffic is not None:
            self.traffic.stop()
        self.exchange.stop()
        self.server.stop()
        self.peers.close()
        self.copies.close()

    def replace(self, told: Fleet) -> None:
        """Take over another list of members, and what else of the table may change in service."""
        if self.name not in {member.name for member in told.member}:
            error: CedarwickError = NotAMemberError(
                f"fleet.member: no entry has the name of this sender, {self.name!r}"
            )
            logger.error("the members stay as they were: {}", error.line)
            return
        try:
            self._one_at_a_time({member.name for member in told.member})
        except MembershipChangeError as error:
            logger.error("the members stay as they were: {}", error.line)
            return
        before, now = set(self.halls), monotonic_time()
        stored = msgspec.structs.replace(self.told, member=told.member, follow_s=told.follow_s)
        moved = self.where[self.name] not in [address(each.address) for each in told.member if each.name == self.name]
        if stored != told or moved:
            logger.warning(
                "but for the members and follow_s, the fleet's table and its own address are taken "
                "over at a start only"
            )
        self.told = stored
        self.halls = {member.name: member.hall for member in told.member}
        self.where = {member.name: address(member.address) for member in told.member}
        self.peers.replace(self.where)
        self.members.replace(now, self.halls)
        self.grantor.replace(self.halls)
        self.exchange.replace(round(told.follow_s * 1e6))
        if self.traffic is not None:
            self.traffic.replace()
        for adoption in self.adoptions.values():
            adoption.holder.replace(self.halls)
        if self.ownership is not None:
            self.ownership.names = self.halls  # of the partitions that it opens from now on
        for name in sorted(set(self.halls) - before):
            gevent.spawn(self._beat, name)
        logger.info("members of {}: {}", told.group, ", ".join(sorted(self.halls)))

    def _one_at_a_time(self, names: set[str]) -> None:
        """`MembershipChangeError` where majorities of a list in use and of the next one might share no member."""
        mine = self.members.names
        if len(mine ^ names) > 1:
            raise MembershipChangeError(f"the file changes {', '.join(sorted(mine ^ names))} at once")
        # Danger: two changes in turn here are two at once for a member that has taken over neither.
        behind = [name for name in sorted(mine) if self.members.list_of(name) not in (None, mine, frozenset(names))]
        if mine > names:  # who is dead takes over nothing; several of them are taken out in turn
            behind = [name for name in behind if self.members.state(monotonic_time(), name) not in AWAY]
        if mine != names and behind:
            raise MembershipChangeError(f"{', '.join(behind)} have not taken over the change before this one")

    # ---- beats ----

    def _beat(self, name: str) -> None:
        """Returns once the other is no member any more: says that this one lives, and hears it in the answer."""
        while name in self.halls:
            began = monotonic_time()
            answer = self._call(name, self._own_beat(), ANSWER_IN)
            took = monotonic_time() - began
            if isinstance(answer, Heartbeat):
                self._heard(name, self.gate.newest.get(name, 0), answer)
            self.members.slow(monotonic_time(), name, took)
            gevent.sleep(max(0.0, BEAT - took / 1e6))

    def _heard(self, name: str, incarnation: int, beat: Heartbeat) -> None:
        before = self.members.incarnation_of(name)
        now = monotonic_time()
        if self.members.heard(now, name, incarnation, beat.heard, beat.leaving):
            terms = {right.partition: right.term for right in beat.rights}
            for partition, adoption in self.adoptions.items():
                if partition in terms:
                    self.served[partition] = name, now
                    # Danger: a term that was asked for here, in vain, would hide who holds the partition.
                    term = max(terms[partition], adoption.holder.term, self.grantor.grant(right_of(partition)).term)
                    adoption.holder.newer = max(adoption.holder.newer, (term, name))
                elif partition in self.served and self.served[partition][0] == name:
                    del self.served[partition]
        if 0 < before < incarnation:
            self.reborn[name] = now
            for holding in self.store.holdings.values():
                if name in holding.log.followers:
                    holding.log.followers[name].lost()  # its copy may have gone with the boot before

    def _own_beat(self) -> Heartbeat:
        now = monotonic_time()
        rights = tuple(
            Right(holding.partition, holding.adoption.holder.term)
            for holding in self.store.holdings.values()
            if holding.serving and not self.leaving
        )
        return Heartbeat(self.leaving, self.members.beat_ages(now), rights)

    def _call(self, name: str, body: Body, within_s: float) -> Body | None:
        """The answer of another member; None where there is none."""
        answer = self._peer_message(name, body, within_s)
        return answer.body if answer is not None else None

    def _peer_message(self, name: str, body: Body, within_s: float) -> PeerMessage | None:
        try:
            return self.peers.peer_message(name, body, within_s)
        except PeerUnreachableError:
            self.counters.add(f"peer messages without an answer: {name}")
        except PeerRefusedError as error:
            self.counters.trouble(f"{name} refused a peer message", error)
        except CedarwickError as error:
            self.counters.trouble("a peer message that was not sent", error)
        return None

    # ---- peer messages of others ----

    def answer(self, peer_message: PeerMessage) -> PeerMessage:
        """What another member is told; in the greenlet of its connection."""
        return self.gate.peer_message(
            peer_message.sender, self._answer(peer_message.sender, peer_message.incarnation, peer_message.body)
        )

    def _answer(self, sender: str, incarnation: int, body: Body) -> Body:
        if isinstance(body, Heartbeat):
            self._heard(sender, incarnation, body)
            return self._own_beat()
        if isinstance(body, LeaseRequest):
            apart = self.members.apart(sender)
            if len(apart) > 1:
                # Danger: a majority of its list, with this member, and one of ours, without, could hold one right.
                raise MembershipChangeError(
                    f"{sender!r} has another list than {self.name!r}, by {', '.join(sorted(apart))}"
                )
            return self._answer_ask(body)
        if isinstance(body, GrantTableRequest):
            return self.grantor.table()
        if isinstance(body, ReplicateFacts | ReplicatePiece | Digests):
            return self._copy(body)
        if isinstance(body, TakeoverOffer):
            return self._offered(sender, body)
        if isinstance(body, OwedKeys):
            self.owing.heard(monotonic_time(), sender, body.keys)
            return Acknowledged()
        if isinstance(body, RetryAfterHint | SuspensionMarks):
            return self.sharing.heard(sender, body)
        if isinstance(body, Subscribe | Matches | Cursors):
            return self.exchange.heard(sender, monotonic_time(), body)
        if self.traffic is not None and (said := self.traffic.heard(sender, incarnation, body)) is not None:
            return said
        raise UnknownPeerMessageError(f"a {type(body).__name__} from {sender!r}")

    def _answer_ask(self, ask: LeaseRequest) -> LeaseReply:
        told = self._granted(ask)
        self._write_table(ask.right)
        return told

    def _granted(self, ask: LeaseRequest) -> LeaseReply:
        """The own grantor's answer, which nobody may be told before `_write_table` of its right has returned."""
        told = self.grantor.ask(monotonic_time(), ask)
        if self.grantor.dirty:
            self.changed += 1
            self.changed_at[ask.right] = self.changed
            self.grantor.dirty = False
        return told

    def _write_table(self, right: str = "") -> None:
        """Returns once what was granted is on the disk, of one right or of all; OSError where that fails.

        Danger: a grant that is answered and not on the disk would be given to somebody else after a restart.
        """
        if self.grantor.dirty:
            self.changed += 1
            self.grantor.dirty = False
        wanted = self.changed_at.get(right, 0) if right else self.changed
        while self.written < wanted:
            if self.writing:
                gevent.sleep(0.001)
                continue
            self.writing, upto, table = True, self.changed, self.grantor.table()
            try:
                # Danger: a rename on a busy disk takes seconds; the process would stand still, and its rights run out.
                gevent.get_hub().threadpool.apply(self.lasting.write_table, (table,))
            finally:
                self.writing = False
            self.written = upto
            self.changed_at = {each: at for each, at in self.changed_at.items() if at > upto}

    def _copy(self, body: ReplicateFacts | ReplicatePiece | Digests) -> Body:
        holding = self.store.holdings.get(body.partition)
        if holding is not None and holding.adoption.stage in (TakeoverStage.HOLDING, TakeoverStage.CLOSING):
            # Danger: an owner that slept would take our answer for its copy's, while we go on with the partition.
            if isinstance(body, Digests):
                return Digests(body.partition, holding.adoption.holder.term, ())
            return ReplicaAck(body.partition, holding.adoption.holder.term, 0, TERM)
        self.shipped_at[body.partition] = monotonic_time()
        if isinstance(body, Digests):
            return self.copies.digests(body)
        if isinstance(body, ReplicateFacts):
            self._let_earlier_come(body)
        have = self.copies.facts(body) if isinstance(body, ReplicateFacts) else self.copies.piece(body)
        if self.copies.unsynced:
            self.copies.flush(lambda sync, file: gevent.get_hub().threadpool.apply(sync, (file,)))
        if body.partition not in self.adoptions and self.copies.replica(body.partition) is not None:
            self._follow(body.partition)
        return have

    def _let_earlier_come(self, body: ReplicateFacts) -> None:
        """Messages out at once come on connections of their own, and need not be read in their order.

        Danger: each one refused has the holder send all again that is out, beside what is still on its way.
        """
        until = monotonic_time() + EARLIER
        while (
            (replica := self.copies.replica(body.partition)) is not None
            and replica.place.term == body.term
            and replica.place.next < body.first
            and monotonic_time() < until
        ):
            gevent.sleep(0.0005)

    def _follow(self, partition: int) -> None:
        """A copy lies here: look after it."""
        if partition not in self.adoptions:
            self.adoptions[partition] = Takeover(partition, self.name, self.halls, self._term_of(partition))

    def _term_of(self, partition: int) -> int:
        return self.held[partition].term if partition in self.held else 0

    # ---- everything, again and again ----

    def look(self, now: int) -> None:
        for change in (changes := self.members.changes(now)):
            logger.info("member {} is {} (was {})", change.name, change.now.value, change.before.value)
            self.exchange.member(change, self.members.beat_ages(now).get(change.name, 0))
            if change.now is MemberStatus.ALIVE and not self.grantor.learning:
                gevent.spawn(self._closed_elsewhere, change.name)
        self.alive = [name for name in self.halls if self.members.state(now, name) is MemberStatus.ALIVE]
        # Counted from the look that saw it: a process that slept has heard nobody, and is answered in a moment.
        self.few_since = 0 if len(self.alive) >= self.members.majority else self.few_since or now
        few = self.few_since > 0 and now - self.few_since >= ALONE
        self._guarded(self.sharing.look, now, self.alive, self.members.majority)
        self._guarded(self.exchange.look, now, self.alive, self.members.majority)
        self._guarded(self._learn, now)
        self._guarded(self._own, now)
        for adoption in list(self.adoptions.values()):
            self._guarded(self._look_at, now, adoption)
        if self.traffic is not None:
            self._guarded(self.traffic.look, now)
        self._guarded(self.copies.step)
        if any(change.now is MemberStatus.ALIVE for change in changes):  # whoever it is may get back its clients
            for holding in self.store.holdings.values():
                self._backlog(holding)
        if changes or time.monotonic() - self.looked_late >= LOOK_LATE:
            self._guarded(self._owe, now)
        if time.monotonic() - self.looked_late >= LOOK_LATE:
            self.looked_late = time.monotonic()
            self._guarded(self._answer_late, now, few)

    def _guarded(self, call: Callable[..., object], *told: object) -> None:
        """Danger:

        one partition that cannot be written would keep all others from being renewed, and from their answers.
        """
        try:
            call(*told)
        except (OSError, NoSpaceError) as error:
            self.counters.trouble("the fleet's folder cannot be used", error)
        except Exception:  # the process would end, and again after each start for as long as the folder is the same
            self.counters.failed(f"the fleet failed in {call.__name__}")

    def _owe(self, now: int) -> None:
        """Tell the others which keys are owed here from before a trouble, and let those rest that they have told."""
        here: set[int] = set()
        lying: set[int] = set().union(*(self._lying(now, adoption) for adoption in self.adoptions.values()))
        for holding in self.store.holdings.values():
            if holding.backlog:
                known = holding.ledger.known
                holding.backlog = {number: key for number, key in holding.backlog.items() if number in known}
                # Danger: a partition that is lost, or not fired for yet, has earlier ones of a key than the open one.
                (here if holding.serving else lying).update(holding.backlog.values())
        # An attempt of a key that has ended may still run.
        here |= {
            key for key in self.owing.told - here - lying - self.owing.elsewhere if self.dispatcher.rest_of(key) > 0
        }
        others = [name for name in self.alive if self.gate.levels.get(name, 0) >= OWING and name != self.name]
        if (keys := self.owing.tell(now, here | lying, others)) is not None:
            for name in others:
                gevent.spawn(self._call, name, OwedKeys(keys), ANSWER_IN)
        before = self.owing.elsewhere
        if self.owing.rests(now, here, lying) or before:
            self.dispatcher.rest(self.owing.elsewhere)

    def _lying(self, now: int, adoption: Takeover) -> frozenset[int]:
        """Keys that are owed in a copy here, if its holder is silent."""
        partition, grant = adoption.partition, self.grantor.grant(right_of(adoption.partition))
        replica = self.copies.replica(partition)
        # The own name stands there from when this member asks for the partition until it has taken it in.
        alive = grant.holder != self.name and self._standing(now, grant.holder, adoption) is MemberStatus.ALIVE
        if replica is None or partition in self.store.holdings or self.name not in grant.successors or alive:
            self.lying.pop(partition, None)
            return frozenset()
        if partition not in self.lying:  # a silent holder tells nothing new
            facts = [fact for fact in replica.held.values() if fact.base is not None and fact.base.turn]
            self.lying[partition] = frozenset(
                [
                    fact.base.turn
                    for fact in facts[:MOST_OWED]
                    if fact.base is not None
                    and fact.known.end[0] is EndRank.NONE
                    and self.dispatcher.ordered(fact.base.priority_class)
                ]
            )
        return self.lying[partition]

    def _backlog(self, holding: LeasedPartition) -> None:
        """What is owed in a partition now is from before a trouble, but for what rests in the open one for others."""
        for number in islice(holding.ledger.known, MOST_OWED):
            stored = self.store.messages.get(number)
            if (
                stored is not None
                and stored.turn
                and stored.end is None
                and self.dispatcher.ordered(stored.priority_class)
            ):
                # Danger: what was just adopted rested here as a copy's, and would be told no more.
                if holding is not self.store.current or stored.turn not in self.owing.elsewhere:
                    holding.backlog[number] = stored.turn

    def _learn(self, now: int) -> None:
        for name in self.grantor.wants(now):
            if name not in self.asking:
                self.asking.add(name)
                gevent.spawn(self._ask_table, name)

    def _ask_table(self, name: str) -> None:
        sent_at = monotonic_time()
        answer = self._call(name, GrantTableRequest(), ANSWER_IN)
        if isinstance(answer, GrantTable) and self.grantor.learned(sent_at, name, answer):
            logger.info("the table of grants is whole")
            self._write_table()
        if not isinstance(answer, GrantTable) or answer.learning:
            gevent.sleep(BEAT)
        self.asking.discard(name)

    def _own(self, now: int) -> None:
        """Have a partition in which new messages can be taken."""
        assert self.ownership is not None
        if self.leaving:
            return
        try:
            begun = self.ownership.step(self.grantor)
        except BooksExhaustedError as error:
            self.counters.trouble("no partition can be opened", error)
            return
        if begun is not None:
            self.adoptions[begun.partition] = begun
            holding = self._hold(begun.partition)
            logger.info("partition {} is to be held", begun.partition)
            self.store.open(holding, self._first_number(begun.partition))

    def _first_number(self, partition: int) -> int:
        upto = self.held[partition].upto if partition in self.held else partition << 32
        return max([upto, partition << 32, *self.store.numbers(partition)]) + 1

    def _reserve(self, holding: LeasedPartition) -> None:
        """Write down that a block of numbers is given, before the first of them is."""
        upto = self.store.next_number + BLOCK
        if (upto >> 32) != holding.partition:
            # Danger: nothing more is taken in a partition that is full, 2**32 numbers from its begin on; the next is
            # opened.
            if self.ownership is not None:
                self.ownership.full = holding is self.store.current
            return
        self._note(holding.partition, holding.adoption.holder.term, upto)
        holding.reserved = upto

    def _note(self, partition: int, term: int, upto: int) -> None:
        before = self.held.get(partition, LeaseRecord(partition, 0, 0))
        self.held[partition] = LeaseRecord(partition, max(term, before.term), max(upto, before.upto))
        self.lasting.write_held(list(self.held.values()))

    def _hold(self, partition: int) -> LeasedPartition:
        """The records of a partition that this sender is about to hold."""
        if partition not in self.store.holdings:
            self.store.holdings[partition] = LeasedPartition(partition, self.adoptions[partition])
        holding = self.store.holdings[partition]
        holding.adoption = self.adoptions[partition]
        return holding

    def _look_at(self, now: int, adoption: Takeover) -> None:
        """One partition: what the rules say is done."""
        partition, holder = adoption.partition, adoption.holder
        replica, holding = self.copies.replica(partition), self.store.holdings.get(partition)
        right = right_of(partition)
        doubted = partition in self.doubted and now - self.begun_at < DOUBTED
        whole = holding is not None and not doubted or (replica is not None and replica.whole)
        # Danger: alone nobody is granted a term, and asks in vain would cost the holder its own once the cut is healed.
        whole = whole and not self.few_since
        owed = len(holding.ledger.known) if holding is not None and holding.imported else 1
        if holding is not None and self._expects_offer(now, holding):
            owed = owed or 1
        # Danger: the own grantor knows nothing of a holder whose term it has given to somebody else, in vain.
        served = self.served[partition][1] + SPAN if partition in self.served else 0
        asked = holder.term if adoption.stage is TakeoverStage.ASKING else 0
        step = adoption.step(
            now,
            self.grantor.grant(right),
            max(self.grantor.promised(right), served),
            lambda name: self._standing(now, name, adoption),
            whole,
            owed,
        )
        if (
            asked
            and adoption.stage is not TakeoverStage.HOLDING
            and (holder.term, holder.state) != (asked, LeaseState.ASKING)
        ):
            # Danger: two that ask in vain, each promised by itself, would keep each other from it for ever.
            self._give_up(LeaseRequest(right, asked, self.name, 0))
        if step.do is TakeoverAction.ASK:
            logger.info("partition {}: asking for term {}", partition, holder.term)
        elif step.do is TakeoverAction.IMPORT:
            self._import(now, adoption)
        elif step.do is TakeoverAction.CLOSE:
            logger.info("partition {}: nothing is owed, it is closed", partition)
        elif step.do is TakeoverAction.OFFER and partition not in self.offers and not self.leaving:
            self.offers[partition] = gevent.spawn(self._offer, adoption, step.to)
        elif step.do is TakeoverAction.DROP:
            self._drop(partition)
            return
        ask = None if self.leaving else holder.asks(now)
        if ask is not None:
            told = self._granted(ask)
            if ask.right in self.changed_at:
                gevent.spawn(self._ask_all, adoption, ask, told, now)
            else:
                self._ask_all(adoption, ask, told, now)
        if holding is not None:
            self._serve(now, holding)
        elif replica is not None and self._unwanted(now, partition, adoption):
            self._drop(partition)

    def _expects_offer(self, now: int, holding: LeasedPartition) -> bool:
        """Whether who held an adopted partition before may come back with what no copy was told."""
        if not holding.from_term:
            return False
        # Danger: closed before it has the answer to its offer, it would end all of that itself.
        return now - holding.heard_out < 3 * OFFER_IN * 1e6 if holding.heard_out else now - holding.begun_at < EXPECTED

    def _standing(self, now: int, name: str, adoption: Takeover) -> MemberStatus:
        """How a member stands; one that is said to hold the partition, and does not fire for it, is as good as gone."""
        partition, grant = adoption.partition, self.grantor.grant(right_of(adoption.partition))
        term, holder = adoption.holder.newer
        holder = grant.holder if grant.term > term else holder
        if self.claimed.get(partition, ("", 0))[0] != holder:
            self.claimed[partition] = holder, now
        state = self.members.state(now, name)
        if name == holder and state is MemberStatus.ALIVE:
            who, at = self.served.get(partition, ("", 0))
            reborn = self.reborn.get(name, 0)
            # Danger: its first beats after a boot name no partition; without that boot it would be idle at once, and
            # lose the partition before it can ask, with ends that no copy was told.
            idle_since = max(self.claimed[partition][1], at if who == name else 0, reborn)
            # Alive under another incarnation, it would have asked for the partition by now; or it has asked in vain.
            if at < reborn <= now - REBORN or idle_since <= now - IDLE:
                return MemberStatus.DEAD
        return state

    def _give_up(self, ask: LeaseRequest) -> None:
        """Tell all that they need not keep their promise of a right."""
        self._guarded(self._answer_ask, ask)
        for name in self.peers.names():
            gevent.spawn(self._call, name, ask, ANSWER_IN)

    def _ask_all(self, adoption: Takeover, ask: LeaseRequest, told: LeaseReply, sent_at: int) -> None:
        """Ask the others once the own grantor's answer lasts."""
        try:
            # Danger: the own grantor first, so that a restart knows each term that was ever asked for.
            self._write_table(ask.right)
        except OSError as error:
            self.counters.trouble("the fleet's folder cannot be used", error)
            return
        if self.leaving or adoption.holder.term != ask.term:
            return  # it was given up meanwhile
        adoption.holder.answered(monotonic_time(), sent_at, self.name, told)
        for name in self.peers.names():
            gevent.spawn(self._ask, adoption, name, ask, sent_at)

    def _ask(self, adoption: Takeover, name: str, ask: LeaseRequest, sent_at: int) -> None:
        answer = self._call(name, ask, ANSWER_IN)
        if isinstance(answer, LeaseReply):
            adoption.holder.answered(monotonic_time(), sent_at, name, answer)

    def _unwanted(self, now: int, partition: int, adoption: Takeover) -> bool:
        grant = self.grantor.grant(right_of(partition))
        # Danger: this member's row may lag; a copy that its holder still counts on is written to all the time.
        return (
            grant.set > 0
            and self.name not in grant.successors
            and grant.holder != self.name
            and now - self.shipped_at.setdefault(partition, now) > UNWANTED
        )

    # ---- a partition that is held ----

    def _import(self, now: int, adoption: Takeover) -> None:
        """Granted: the partition's messages into the own folder, then its copies up, then its successors named."""
        partition, term = adoption.partition, adoption.holder.term
        holding = self._hold(partition)
        if holding.log.term != term:
            holding.imported = False
            replica = self.copies.replica(partition)
            try:
                if replica is None:
                    last = self._term_of(partition)
                    if 0 < last < term - 1:
                        holding.from_term = last  # somebody else may have held it between
                    self.store.resume_own(holding, term)
                else:
                    holding.from_term = replica.place.term
                    # Danger: a copy that follows behind may lack an attempt; what it holds may have run, since the last
                    # attempt that it was told of: they are told in their order.
                    heard = (head.at for fact in replica.held.values() for head in fact.known.heads.values())
                    behind = self.told.ack == "own" or replica.behind  # its holder may have been started before us
                    doubt_at = max(heard, default=1) if behind else 0
                    mine, perhaps = self.store.only_here(holding) if not holding.offered else ([], [])
                    facts = list(replica.held.values())
                    late = self.clock.now() + LATE
                    self.store.take_in(holding, facts, term, doubt_at, mine, perhaps, late)
                    if self.traffic is not None:
                        self.traffic.adopted(partition)
                    owner = next((name for name in self.halls if slot_of(name) == partition >> 12), "")
                    self.exchange.adopted(
                        [self.store.messages[number] for number in self.store.numbers(partition)], owner
                    )
            except NoSpaceError as error:
                self.counters.trouble("a partition cannot be adopted", error)
                ask = adoption.holder.release()
                if ask is not None:
                    self._give_up(ask)
                adoption.holder.state = LeaseState.LOST  # asked for again after a while, if nobody else has it by then
                return
            self._note(partition, term, 0)
            self.store.begin_log(holding, term)
            self._backlog(holding)
            self.copies.drop(partition)
            logger.info(
                "partition {}: held under term {}, {} messages owed", partition, term, len(holding.ledger.known)
            )
        self._ship(now, holding)
        wanted = self._wanted(holding)
        whole = self._whole(now, holding, wanted)
        if len(whole) == len(wanted) or now - holding.begun_at >= GATHER:
            holding.imported = True
            adoption.imported(now, whole)

    def _wanted(self, holding: LeasedPartition) -> list[str]:
        """The members that are to have copies of a partition."""
        now = monotonic_time()
        able = [name for name in self.alive if now - self.full_at.get(name, -BACK) >= BACK]
        able = able if len(able) > self.told.copies else self.alive
        return placement.copies(holding.partition, self.name, self.halls, able, self.told.copies)

    def _ship(self, now: int, holding: LeasedPartition) -> None:
        """Have a pump for each copy that is wanted or still a successor."""
        successors = self.store.successors_of(holding)
        wanted = set(self._wanted(holding))
        for name in sorted(wanted | (successors & set(self.halls))):
            if (holding.partition, name) not in self.pumps:
                follower = holding.log.followers.get(name) or holding.log.follow(name, now)
                self.pumps[holding.partition, name] = gevent.spawn(
                    self._pump, holding, holding.log.term, name, follower
                )
        for name in set(holding.log.followers) - wanted - successors:
            # The old copy stays until a majority knows a set of successors without it.
            holding.log.unfollow(name)

    def _whole(self, now: int, holding: LeasedPartition, names: Iterable[str]) -> list[str]:
        """Those of some members whose copies have all but a short tail."""
        found = []
        for name in names:
            follower = holding.log.followers.get(name)
            if follower is not None and follower.whole:
                missing, behind = follower.lag(now)
                if self.store.by_copy or missing <= LAG_FACTS and behind <= LAG:
                    found.append(name)
        return found

    def _serve(self, now: int, holding: LeasedPartition) -> None:
        """Keep the successors right, and let the dispatcher fire while the right is held."""
        holder = holding.adoption.holder
        if holding.adoption.stage is TakeoverStage.HOLDING and holding.imported:
            self._ship(now, holding)
            self._name_successors(now, holding)
        may = (
            holding.adoption.stage is TakeoverStage.HOLDING
            and holding.imported
            and not self.leaving
            and holder.may_fire(now)
            and self._copied(now, holding)
        )
        if may == holding.serving:
            return
        holding.serving = may
        self._backlog(holding)
        numbers = self.store.numbers(holding.partition)
        if may:
            logger.info(
                "partition {}: fired for from now on, {} messages, successors {}",
                holding.partition,
                len(numbers),
                ", ".join(holder.successors[1:]) or "none",
            )
            self.dispatcher.adopt(numbers)
        else:
            logger.warning(
                "partition {}: not fired for, {} messages ({})",
                holding.partition,
                len(numbers),
                holding.adoption.stage.value if holder.may_fire(now) is False else "no copy follows",
            )
            self.counters.add("partitions that were not fired for any more")
            self.dispatcher.park(numbers)

    def _name_successors(self, now: int, holding: LeasedPartition) -> None:
        holder = holding.adoption.holder
        wanted = self._wanted(holding)
        whole = self._whole(now, holding, wanted)
        if holding.starving(now) and self.told.alone == "own" and not self._back(now, holding, whole):
            holder.name(now, ())
            holding.joining = {}
            return
        if self.store.by_copy:
            whole = self._joined(now, holding, whole)
        old = [name for name in holder.successors[1:] if name in holding.log.followers and name not in wanted]
        if len(whole) < len(wanted):
            whole += [name for name in self._whole(now, holding, old) if name not in whole]
        if self.store.by_copy and not whole and holder.successors[1:] and self.told.alone == "busy":
            return  # Danger: without a successor, what was promised to be on two folders would be on one
        holder.name(now, placement.order(holding.partition, self.name, self.halls, whole))

    def _joined(self, now: int, holding: LeasedPartition, whole: list[str]) -> list[str]:
        """Those of some whole copies that are successors, or may be named for ones.

        Danger: a successor that was named with records on their way to it would go on without them, attempts among
        them, if
        this sender died in that moment. So what comes waits for it first, and it is named once it has what came before.
        """
        bound, log = holding.adoption.holder.bound, holding.log
        joining = {name: holding.joining.get(name, (log.next, now)) for name in whole if name not in bound}
        for name, (index, since) in joining.items():
            if log.acked([name]) < index and now - since > STARVED:
                self.full_at[name] = now  # it does not keep up: another one is asked
        if joining.keys() - holding.joining.keys() and holding.alone_since:
            logger.info("partition {}: copies follow again", holding.partition)
            holding.starved_at = holding.alone_since = 0
        holding.joining = {name: each for name, each in joining.items() if self.full_at.get(name) != now}
        return [
            name
            for name in whole
            if name in bound or name in holding.joining and log.acked([name]) >= holding.joining[name][0]
        ]

    def _starved(self, holding: LeasedPartition) -> None:
        """A copy has not taken a record in time."""
        if not holding.starved_at:
            holding.starved_at = monotonic_time()
            self.counters.trouble("a copy does not follow", f"partition {holding.partition}")

    def _back(self, now: int, holding: LeasedPartition, whole: list[str]) -> bool:
        """Whether a sender that goes on alone may count on copies again: they have followed for long enough."""
        if not whole:
            holding.alone_since = now
            return False
        return now - holding.alone_since >= BACK

    def _copied(self, now: int, holding: LeasedPartition) -> bool:
        """Under `ack = "copy"`: whether the successors have what was told, or the file says to go on without."""
        if not self.store.by_copy:
            return True
        successors = self.store.successors_of(holding)
        # Danger: one that no majority knows for a successor yet would not be granted what it has a copy of.
        if not successors or self.told.alone == "busy" and not holding.adoption.holder.successors[1:]:
            if self.told.alone == "own" and not holding.alone_since:
                logger.warning("partition {}: goes on without a copy", holding.partition)
                holding.alone_since = now
                holding.starved_at = holding.starved_at or now - STARVED
            return self.told.alone == "own"
        if holding.starved_at and holding.log.acked(successors) >= holding.log.next:
            if holding.alone_since or holding.starving(now):
                logger.info("partition {}: copies follow again", holding.partition)
            holding.starved_at = holding.alone_since = 0
        return not holding.starving(now)

    def _pump(self, holding: LeasedPartition, term: int, name: str, follower: FollowerProgress) -> None:
        """Returns once the copy is not followed any more: sends what it lacks."""
        while holding.log.followers.get(name) is follower and name in self.halls:
            message = follower.next(monotonic_time())
            if message is None:
                self.store.news.clear()
                self.store.news.wait(0.05)
                continue
            holding.sent = max(holding.sent, follower.sent)
            gevent.spawn(self._send, follower, name, message)
            gevent.sleep(0 if self.store.by_copy else LINGER)
        self.pumps.pop((holding.partition, name), None)

    def _send(self, follower: FollowerProgress, name: str, message: ReplicateFacts | ReplicatePiece | Digests) -> None:
        answer = self._peer_message(name, message, SHIP_IN)
        # Danger: by the newest boot heard of, an old one's answer that comes late would speak for the new one's files.
        if answer is not None and isinstance(answer.body, ReplicaAck):
            if answer.body.problem in (NO_ROOM, OTHER):
                self.full_at[name] = monotonic_time()
            follower.have(monotonic_time(), answer.body, answer.incarnation)
        elif answer is not None and isinstance(answer.body, Digests):
            follower.digests(monotonic_time(), answer.body, answer.incarnation)
        self.store.news.set()

    # ---- a partition that was lost, and one that is over ----

    def _offer(self, adoption: Takeover, to: str) -> None:
        """Tell the newer holder what only this member knows, until it has taken all."""
        holding = self.store.holdings.get(adoption.partition)
        if holding is not None and not holding.ledger.term:
            # Danger: what an earlier process of this sender has taken, or heard of, may be nowhere but in this folder.
            self.store.resume_own(holding, self._term_of(adoption.partition))
        told = self.store.known_here(holding) if holding is not None else []
        parts: list[bytes] = []
        part: list[bytes] = []
        for fact in told:
            part.append(known_facts.encoded(fact))
            if sum(map(len, part)) >= OFFER_PART:
                parts.append(known_facts.together(part))
                part = []
        parts.append(known_facts.together(part))
        logger.info("partition {}: {} messages offered to {}", adoption.partition, len(told), to)
        try:
            for index, data in enumerate(parts):
                offer = TakeoverOffer(
                    adoption.partition,
                    index,
                    index + 1 == len(parts),
                    data,
                    digest_of(data),
                    adoption.holder.term if holding is None else holding.ledger.term,
                )
                if holding is not None:
                    holding.approached = True
                answer = self._call(to, offer, OFFER_IN)
                if not isinstance(answer, OfferReply) or answer.problem:
                    if isinstance(answer, OfferReply) and answer.problem == CLOSED:
                        self._closed_elsewhere(to)
                    gevent.sleep(BEAT)
                    return  # it is asked again at the next look, of whoever holds the partition then
            adoption.offered()
            if holding is not None:
                holding.offered = True
        finally:
            self.offers.pop(adoption.partition, None)

    def _closed_elsewhere(self, name: str) -> None:
        """Learn which partitions were closed while this member was away.

        Danger: with one that it takes for open, no later partition of that sender goes from its table, and the table
        grows.
        """
        answer = self._call(name, GrantTableRequest(), ANSWER_IN)
        if isinstance(answer, GrantTable):
            self.grantor.closed_elsewhere(answer)
            self._guarded(self._write_table)

    def _offered(self, sender: str, body: TakeoverOffer) -> OfferReply:
        """The last holder of a partition that is held here tells what it knows."""
        holding = self.store.holdings.get(body.partition)
        if holding is None and self.grantor.grant(right_of(body.partition)).closed:
            return OfferReply(body.partition, body.part, CLOSED)
        if holding is None or not holding.imported or holding.adoption.stage is not TakeoverStage.HOLDING:
            return OfferReply(body.partition, body.part, "it is not held here")
        if digest_of(body.facts) != body.digest:
            return OfferReply(body.partition, body.part, "spoilt")
        try:
            facts = known_facts.decode_facts(body.facts)
            facts = self.traffic.offered(holding, facts) if self.traffic is not None else facts
            ended, news, problem = self.store.offered(holding, facts, body.term)
        except known_facts.CorruptFactsError as error:
            return OfferReply(body.partition, body.part, str(error)[:512])
        logger.info("partition {}: {} told of {} ends and {} news", body.partition, sender, len(ended), len(news))
        holding.heard_out = monotonic_time() if body.last and not problem else holding.heard_out
        if holding.serving and (ended or news):
            # What was decided on less is decided anew.
            self.dispatcher.park(ended + news)
            self.dispatcher.adopt(news)
        return OfferReply(body.partition, body.part, problem[:512])

    def _drop(self, partition: int) -> None:
        """The partition is over, or somebody else's for good."""
        holding = self.store.holdings.get(partition)
        if holding is not None:
            mine, perhaps = self.store.only_here(holding) if not holding.offered else ([], [])
            if mine or perhaps:
                if self.leaving or not self.store.taking():
                    # They are moved to the open partition once there is one, of the next process if need be; till then
                    # they are answered when late.
                    return
                if any(self.store.messages[number].out_at for number in mine + perhaps):
                    return  # Danger: under its new number a second attempt would go out beside the one that is out
                if not (self._rekey(mine) and self._rekey(perhaps, failed=True)):
                    return  # Danger: what has found no room is nowhere else; it is tried again at the next look
        adoption = self.adoptions.pop(partition)
        self.doubted.discard(partition)
        if holding is not None:
            numbers = self.store.numbers(partition)
            self.dispatcher.park(numbers)
            for name in list(holding.log.followers):
                holding.log.unfollow(name)
            self.store.forget(partition)
            logger.info(
                "partition {}: given up ({}), {} messages are another sender's",
                partition,
                adoption.stage.value,
                len(numbers),
            )
        if self.held.pop(partition, None) is not None:
            self.lasting.write_held(list(self.held.values()))
        replica = self.copies.replica(partition)
        closed = adoption.holder.state is LeaseState.CLOSED or self.grantor.grant(right_of(partition)).closed
        if holding is not None and replica is not None and replica.place.term > holding.log.term and not closed:
            self._follow(partition)  # Danger: the newer holder counts on this copy by now, it is none of ours
            return
        self.copies.drop(partition)
        self.lying.pop(partition, None)
        self.shipped_at.pop(partition, None)
        self.served.pop(partition, None)
        self.claimed.pop(partition, None)

    def _rekey(self, numbers: list[int], failed: bool = False) -> bool:
        """Messages that only this member has go on in the open partition; whether all of them do."""
        self.dispatcher.park(numbers)
        made: list[int] = []
        try:
            for number in self.store.rekey(numbers, failed):
                made.append(number)
        except (OSError, NoSpaceError) as error:
            self.counters.trouble("messages cannot be taken over into the open partition", error)
            return False
        finally:
            # Danger: those that found room before one that did not are nobody's else.
            if made:
                logger.info("{} messages go on in partition {}", len(made), made[0] >> 32)
                self.dispatcher.adopt(made)
        return True

    def _answer_late(self, now: int, few: bool) -> None:
        """Without a majority nobody can be asked who has the right: what ends is answered, as one that may have run.

        So is what nobody else can answer: it is held here but no copy follows, or only this member has it.
        Danger: otherwise the right is settled within a moment, and whoever has it gives the answer; one of ours
        beside it would be a second, and perhaps another one.
        """
        soon = self.clock.now() + LATE
        self._before_the_fleet(soon)
        for holding in list(self.store.holdings.values()):
            stage = holding.adoption.stage
            held = stage is TakeoverStage.HOLDING and holding.imported
            ours = held and holding.adoption.holder.may_fire(now)
            # Danger: after a restart a partition that no majority grants to anybody would end unanswered.
            unheld = held and not ours or self._nobodys(holding.adoption)
            holding.unheld_since = (holding.unheld_since or now) if unheld else 0
            if holding.serving or self.leaving:
                continue
            # No majority has answered for so long, though its members may be heard.
            wait = ALONE if held else UNKNOWN  # who has not held it since its start may have much to hear
            ours = ours or holding.unheld_since > 0 and now - holding.unheld_since >= wait
            numbers: list[int] = []
            if stage is TakeoverStage.OFFERING:
                # What no copy was sent, and nobody was offered, nobody else can answer. Danger: an offer without an
                # answer may have been taken, and the taker may have told another end.
                heard = self.members.state(now, self._newest(holding.adoption)) is MemberStatus.ALIVE
                if not heard and not holding.approached:
                    numbers, _ = self.store.only_here(holding)
            elif ours or few:
                numbers = self.store.numbers(holding.partition)
            elif stage is TakeoverStage.GONE and not holding.offered:
                numbers = sum(self.store.only_here(holding), [])
            late = [
                number
                for number in numbers
                if self.store.messages[number].deadline <= soon and number not in self.store.inert
            ]
            if late:
                self.dispatcher.answer_late(late)

    def _nobodys(self, adoption: Takeover) -> bool:
        """Whether a partition here is asked for, or will be, and nobody else is known to have held it after us."""
        waits = adoption.stage in (TakeoverStage.FOLLOWING, TakeoverStage.WAITING, TakeoverStage.ASKING)
        return waits and self._newest(adoption) in ("", self.name)

    def _newest(self, adoption: Takeover) -> str:
        """Who is said to hold a partition."""
        grant, (term, holder) = self.grantor.grant(right_of(adoption.partition)), adoption.holder.newer
        # Danger: a term may be another's at the grantors that count and ours at our own; then the other one holds it.
        return grant.holder if grant.term > term else holder

    def _before_the_fleet(self, soon: int) -> None:
        """Messages that were taken before this sender was a member: nobody else has heard of them."""
        numbers = self.store.numbers(0) if self.before else []
        self.before = bool(numbers)
        owed = [number for number in numbers if self.store.messages[number].end is None]
        if owed and self.store.taking():
            self._rekey(owed)
        late = [
            number
            for number in numbers
            if number in self.store.messages and (number not in owed or self.store.messages[number].deadline <= soon)
        ]
        if late:
            self.dispatcher.answer_late(late)


class NotAMemberError(CedarwickError):
    """The operator file has a fleet of which this sender is no member."""

    code = "CW743"
    remedy = "give the sender an entry in `[[fleet.member]]` under the name that the platform's configuration has"


class MembershipChangeError(CedarwickError):
    """Two lists of members differ by more than one, so a majority of each could grant one right twice."""

    code = "CW744"
    remedy = "change one member at a time: in all files, SIGHUP to all senders, then the next one"
