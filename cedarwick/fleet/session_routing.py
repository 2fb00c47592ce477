"""Sessions in service: who takes a client's submission, and which sessions move when.

What is settled, and why, stands in `sessions.py` and `migration_table.py`; how a move is done in
`session_migration.py`. Peer messages wait
here for frozen sessions and for copies, so they go over connections of their own: beats and leases must not stand
behind them.
"""

import time
from collections.abc import Callable
from typing import Literal, NamedTuple

import gevent
import gevent.event
from loguru import logger

from cedarwick.errors import CedarwickError
from cedarwick.fleet.leases import EPOCH_BITS, right_of
from cedarwick.fleet.membership import MemberStatus
from cedarwick.fleet.messages import (
    AcceptRequest,
    Acknowledged,
    Body,
    ClaimReply,
    ForwardedSubmit,
    ForwardReply,
    MigrationDecided,
    PrepareRequest,
    RecallForward,
    SessionClaim,
    SessionInheritance,
    SessionLocation,
    SessionLocations,
    StageSession,
    slot_of,
)
from cedarwick.fleet.migration_table import WAITS, MigrationReason, MigrationRequest, Neighbour
from cedarwick.fleet.ports import SessionHost
from cedarwick.fleet.recent_ids import UNKNOWN, RecentIds
from cedarwick.fleet.replicated_store import LeasedPartition, monotonic_time
from cedarwick.fleet.replication import ReplicaEntry as Step
from cedarwick.fleet.replication_facts import EndRank, Fact
from cedarwick.fleet.session_files import HeldSession, Sessions
from cedarwick.fleet.session_migration import LATE, SECOND, SESSIONS, SETTLE_IN, SessionMigrations
from cedarwick.fleet.sessions import (
    CLAIM,
    LAPSES,
    REMEMBERED,
    Claim,
    ClaimRequest,
    ClaimRuling,
    Entry,
    SessionDirectory,
    contents,
)
from cedarwick.fleet.transport import PeerRefusedError, Peers, PeerUnreachableError
from cedarwick.net.client_listener import ClientListener, SubmitResult
from cedarwick.net.dispatcher import AdmissionResult, Dispatcher, Submission
from cedarwick.ops.commands import Call
from cedarwick.ops.management import Staff
from cedarwick.store.records import StoredMessage

AT_ONCE = 16  # peer messages to one member that wait for their answers
MOST_CLAIMS = 2  # for one submission: a claim that fails was refused, or met members that are slow
PATIENCE = 330_000  # microseconds in which a client's request is answered, of the 400 ms that it waits
TRY = 0.15  # seconds until a submission that was passed on without an answer is passed on again
LEAST = 15_000  # microseconds without which nothing more is tried for a client
GOSSIP = 250_000  # microseconds between two peer messages of news to each member
TOLD = 256  # sessions in one peer message at least: a 40th of all that are held, and so all in 10 s
MOST_TOLD = 4096
WISHES = 256  # looked at in one turn
COMES_FOR = 1_000_000  # microseconds for which a client that came to another sender counts as being there
HANDED_OVER = 5_000_000  # microseconds after the end of a process in which its successor goes on with its sessions
MOVED_IN = 1.5  # seconds in which staff are told what became of a move
SUCCESSORS = (
    3  # the level of members whose sessions can be inherited: they claim them anew when they have lost their partition
)
UNSURE: SubmitResult = (AdmissionResult.UNSURE, 0, None)
BUSY: SubmitResult = (AdmissionResult.BUSY, 0, None)


class InvalidMoveError(CedarwickError):
    """Staff name a session or a sender that cannot be."""

    code = "CW751"
    remedy = "send MOVE KEY SENDER: the key in 1 to 16 hexadecimal digits, not zero, and another member's name"


class SessionNotHeldError(CedarwickError):
    """Staff ask for the move of a session that this sender does not hold."""

    code = "CW752"
    remedy = "ask the sender that is named; a session without one is opened where its client comes next"


class SessionNotMovedError(CedarwickError):
    """A session stays where it was."""

    code = "CW753"
    remedy = "see that the taker lives, is not drained and has room, then move it again; a moved one waits 60 s"


class InheritedSessions(NamedTuple):
    """What this member knows of the ids of a partition that it has adopted."""

    owner: str  # who took them
    whole_at: int  # by the boot clock; before that ids of late may be missing
    ids: dict[int, dict[str, tuple[int, int]]]  # by session: when they came, and the hash of what came with them
    keys: set[int]  # inherited


class SessionRouter:
    """Nothing is told or taken before `attach`."""

    def __init__(self, node: SessionHost) -> None:
        self.node = node
        self.name = node.name
        self.store = node.store
        self.lasting = node.lasting
        self.counters = node.counters
        self.clock = node.clock
        self.lane = Peers(node.gate, node.where, AT_ONCE)
        now = monotonic_time()
        self.directory = SessionDirectory(self.name, len(node.halls), now)
        self.transfers = SessionMigrations(node, self.directory, self._call, self._takes, self._change)
        self.moves = self.transfers.moves
        self.dispatcher: Dispatcher
        self.client_listener: ClientListener
        self.leaving = False
        self.changed = gevent.event.Event()  # something that a submission may wait for
        self.pending: dict[str, Submission] = {}  # by id: at the dispatcher
        self.wishes: dict[int, tuple[MigrationRequest, int]] = {}  # and until when
        self.ends: dict[int, gevent.event.AsyncResult] = {}  # by key: staff wait for the end of its move
        self.neighbours: dict[str, SessionLocations] = {}  # what each member told last
        self.first_seen: dict[str, int] = {}  # by member: the first boot of it that was heard of
        self.new: set[str] = set()  # members that have never run before, and know of no earlier boot of this one
        self.void: set[str] = set()  # members whose sessions were given up
        self.told_at = self.forgot_at = 0
        self.partition = 0  # in which the sessions that are held for sure were taken
        self.memories: dict[int, RecentIds] = {}  # by partition, of the copies that lie here
        self.estates: dict[int, InheritedSessions] = {}  # by partition that was adopted here
        if self.store.by_copy:
            node.copies.heard = self._copied

    def attach(self, staff: Staff, client_listener: ClientListener, dispatcher: Dispatcher) -> None:
        """Before the first peer message: from now on clients' submissions and the calls of staff come here."""
        self.dispatcher = self.transfers.dispatcher = dispatcher
        self.take_up()
        self.client_listener = client_listener
        client_listener.hand_in = self.hand_in
        staff.moves = self.moved_by_hand

    def stop(self) -> None:
        self.lane.close()

    def replace(self) -> None:
        """The node has another list of members."""
        self.lane.replace(self.node.where)
        self.moves.voters = tuple(sorted(self.node.halls))
        self.directory.members = len(self.node.halls)

    def take_up(self) -> None:
        """Go on with the sessions of the process that this one replaces, if it ended a moment ago."""
        left, now = self.transfers.files.take_sessions(), monotonic_time()
        age = time.time_ns() // 1000 - left.at if left is not None else 0
        # Danger: a file that is older, or of the future, may speak of sessions that others hold by now.
        if left is not None and 0 <= age < HANDED_OVER:
            for each in left.held:
                ids = {id: (then + age, hashed) for id, (then, hashed) in each.ids.items()}
                self.directory.hold(each.key, each.sequence, ids, now)
            self.partition = left.partition  # Danger: if that was adopted meanwhile, they may have been inherited
            logger.info("{} sessions of the process before go on", len(left.held))

    def hand_over(self) -> None:
        """The process that replaces this one goes on with its sessions; OSError where that cannot be written."""
        now = monotonic_time()
        self._bind()
        held = [
            HeldSession(key, session.sequence, self.directory.ids(key, now))
            for key, session in self.directory.sessions.items()
            if session.sure and session.used >= now - LAPSES and self._standing(key)[0] == "here"
        ]
        self.transfers.files.write_sessions(Sessions(time.time_ns() // 1000, held, self.partition))
        self.directory.sessions.clear()

    def leave(self) -> None:
        """This sender ends: its sessions go to neighbours."""
        self.leaving = True

    def left(self) -> bool:
        """Whether no session is held or on its way any more, or nobody takes them."""
        held = self.directory.sessions and any(each.takes for each in self._neighbours())
        return not held and not self.transfers.under_way_here()

    # ---- submissions ----

    def hand_in(self, stored: StoredMessage) -> SubmitResult:
        """What becomes of a client's submission; in the greenlet of its connection."""
        if not stored.turn:
            return self.client_listener.to_dispatcher(stored)
        began = monotonic_time()
        key, hashed, claims, hops = stored.turn, hash_of(stored), 0, 0
        while (now := monotonic_time()) < began + PATIENCE:
            self._bind()
            there, holder = self._standing(key)
            ruling = self.directory.rule(key, stored.id, hashed, False, now) if there == "here" else None
            if there == "wait" or ruling is ClaimRuling.BUSY:
                if not self._wait(began + WAITS):
                    return BUSY
                continue
            if ruling in (ClaimRuling.TAKE, ClaimRuling.SAME, ClaimRuling.REPEATED):
                handed = self._take(stored, hashed, ruling, now)
                if handed is not None:
                    return handed
                continue
            if ruling is ClaimRuling.CLAIM or ruling is None and not holder:
                claims += 1
                if claims > MOST_CLAIMS or not self._claim(key):
                    return BUSY
                continue
            known = self.directory.where(key)
            to = holder if known in (None, self.name) else known or ""  # it may have moved on since
            entry = self.directory.entry(key, now)
            if not self._lives(to):
                successor = self._successor(to) if entry is not None and entry.holder == to else ""
                if successor == self.name and claims < MOST_CLAIMS:
                    claims += 1
                    if self._inherit(key):
                        continue
                to, claims = successor, MOST_CLAIMS
            else:
                entry = None
            if hops == 2 or not self._lives(to):
                return BUSY
            hops += 1
            answer = self._pass(stored, to, began + PATIENCE, there == "pass", entry)
            if isinstance(answer, tuple):
                return answer
            if answer.answer:
                taken = answer.answer == AdmissionResult.KEPT.value
                return AdmissionResult(answer.answer), answer.wait_ms, self._recalling(stored, to) if taken else None
            told = Claim(answer.disowned, entry_of(answer.entry))
            after = self.directory.refused(key, to, told, monotonic_time())
            if after is ClaimRuling.CLAIM:
                self.transfers.act(self.moves.client_gone(key, monotonic_time()))
                if self._claim(key):
                    continue
            # It may have come here meanwhile.
            if (
                after is not ClaimRuling.PASS
                and key not in self.directory.sessions
                and self._standing(key)[0] != "wait"
            ):
                return BUSY
        return BUSY

    def _standing(self, key: int) -> tuple[Literal["here", "wait", "pass"], str]:
        """As `Moves.standing`, but that a session which has come back is here."""
        there, to = self.moves.standing(key)
        return ("here", "") if there == "pass" and key in self.directory.sessions else (there, to)

    def _lives(self, name: str) -> bool:
        return name != self.name and self.node.members.state(monotonic_time(), name) is MemberStatus.ALIVE

    def _wait(self, until: int) -> bool:
        """Whether something has changed before a time."""
        return self.changed.wait(max(0, until - monotonic_time()) / SECOND) is True

    def _change(self) -> None:
        changed, self.changed = self.changed, gevent.event.Event()
        changed.set()

    def _take(self, stored: StoredMessage, hashed: int, ruling: ClaimRuling, now: int) -> SubmitResult | None:
        """Of a session that is held here; None where it was frozen meanwhile."""
        pending = self.pending.get(stored.id)
        if ruling is ClaimRuling.REPEATED:
            return AdmissionResult.REPEATED, 0, None
        if ruling is ClaimRuling.SAME:
            # Danger: one that is passed on twice must not be told it was turned away when the first was taken.
            answered, wait_ms = pending.answer.get() if pending is not None else (AdmissionResult.KEPT, 0)
            return None if answered is AdmissionResult.FROZEN else (answered, wait_ms, None)
        if not self.store.taking():
            return BUSY  # Danger: who is cut off may not have heard that the session has another holder
        self.directory.took(stored.turn, stored.id, hashed, now)
        submission = self.pending[stored.id] = Submission(stored)
        try:
            self.dispatcher.submit(submission)
            answered, wait_ms = submission.answer.get()
        finally:
            del self.pending[stored.id]
        if answered is not AdmissionResult.KEPT and (session := self.directory.sessions.get(stored.turn)) is not None:
            session.ids.pop(stored.id, None)
        if answered is AdmissionResult.FROZEN:
            return None
        taken = answered is AdmissionResult.KEPT and stored.number
        return answered, wait_ms, (lambda: self._withdraw(submission)) if taken else None

    def _withdraw(self, submission: Submission) -> None:
        # Danger: handed in again the id would be told +OK, of a message that is no more.
        session = self.directory.sessions.get(submission.message.turn)
        if session is not None and submission.message.id in session.ids:
            session.ids[submission.message.id] = session.ids[submission.message.id][0], UNKNOWN
        self.dispatcher.withdraw(submission)

    def _pass(
        self, stored: StoredMessage, to: str, until: int, moved: bool, gone: Entry | None
    ) -> ForwardReply | SubmitResult:
        """The holder's answer; `BUSY` where it surely has taken nothing, `UNSURE` where nobody can tell.

        `gone`: the holder is dead, and `to` has its partition.
        """
        sure = True
        while (left := until - monotonic_time()) > LEAST:
            body = ForwardedSubmit(
                stored.turn,
                stored.id,
                stored.key,
                stored.priority_class,
                stored.tenant,
                stored.destination,
                stored.deadline - self.clock.now(),
                left - LEAST,
                stored.body or b"",
                moved,
                lodging_of(gone),
            )
            try:
                answer = self.lane.call(to, body, min(left / SECOND, TRY))
            except PeerUnreachableError:
                sure = False
                self.counters.add(f"submissions passed on without an answer: {to}")
                gevent.sleep(0.005)
                continue
            except CedarwickError as error:
                self.counters.trouble(f"{to} refused a submission that was passed on", error)
                break
            if isinstance(answer, ForwardReply):
                self.counters.add("submissions passed on")
                return answer
            break
        return BUSY if sure else UNSURE

    def _recalling(self, stored: StoredMessage, to: str) -> Callable[[], None]:
        def recall() -> None:
            gevent.spawn(self._call, to, RecallForward(stored.turn, stored.id), SETTLE_IN)

        return recall

    def _passed(self, sender: str, body: ForwardedSubmit) -> ForwardReply:
        """Another member passes a client's submission on."""
        until = monotonic_time() + min(body.within, WAITS)
        limit = self.clock.now() + body.left
        stored = StoredMessage(
            0,
            body.id,
            body.mark,
            body.key,
            body.priority_class,
            body.tenant,
            body.destination,
            max(0, limit),
            body.body,
        )
        hashed, claims = hash_of(stored), 0
        if (gone := entry_of(body.entry)) is not None:
            self.directory.heard([gone], monotonic_time())
        while body.key:
            now = monotonic_time()
            self._bind()
            there, _ = self._standing(body.key)
            if there == "wait":
                if not self._wait(until):
                    break
                continue
            ruling = (
                self.directory.rule(body.key, body.id, hashed, True, now) if there == "here" else ClaimRuling.ELSEWHERE
            )
            if ruling in (ClaimRuling.BUSY, ClaimRuling.CLAIM):
                claims += 1
                if claims > MOST_CLAIMS or ruling is ClaimRuling.BUSY or not self._claim(body.key):
                    break
                continue
            if ruling is ClaimRuling.ELSEWHERE:
                of = self.directory.where(body.key) or ""
                if claims < MOST_CLAIMS and of and not self._lives(of) and self._successor(of) == self.name:
                    if self.directory.claiming(body.key, now):
                        if not self._wait(until):
                            break
                        continue
                    claims += 1
                    if self._inherit(body.key):
                        continue
                told = self.directory.elsewhere(body.key, now)
                return ForwardReply("", 0, told.granted, lodging_of(told.entry))
            if not body.moved and self.node.halls.get(sender) != self.node.halls[self.name]:
                self.wishes[body.key] = MigrationRequest(body.key, MigrationReason.CLIENT, sender), now + COMES_FOR
            handed = self._take(stored, hashed, ruling, now)
            if handed is not None:
                return ForwardReply(handed[0].value, handed[1])
        return ForwardReply(AdmissionResult.BUSY.value)

    def _recalled(self, body: RecallForward) -> Acknowledged:
        stored = self.store.messages.get(self.dispatcher.numbers.get(body.id, 0))
        if stored is not None and stored.turn == body.key and stored.number not in self.store.inert:
            self.counters.add("clients gone before their answer")
            self._withdraw(Submission(stored))
        return Acknowledged()

    # ---- opening ----

    def _claim(self, key: int) -> bool:
        """Whether the session may be ruled on once more: it was claimed, or its holder is known now."""
        # Danger: until the next partition is held a successor of the last one may still be granted what is claimed
        # anew.
        asking = self.directory.claim(key, monotonic_time()) if self.store.taking() else None
        if asking is None:
            return False
        self._ask_all(asking, SessionClaim(asking.key, asking.sequence, *asking.over, asking.at))
        self.counters.add("sessions claimed" if key in self.directory.sessions else "claims that failed")
        return True

    def _ask_all(self, asking: ClaimRequest, body: SessionClaim | SessionInheritance) -> None:
        """Put a claim to all others; returns once it is granted, or all have answered, or its time is over."""
        over = gevent.event.Event()
        others = [name for name in self.node.halls if name != self.name]
        answered: list[str] = []

        def ask(name: str) -> None:
            answer = self._call(name, body, CLAIM / SECOND)
            if isinstance(answer, ClaimReply):
                told = Claim(answer.granted, entry_of(answer.entry))
                if self.directory.answered(asking, name, told, monotonic_time()):
                    self._change()
                    over.set()
            answered.append(name)
            if len(answered) == len(others):
                over.set()

        for name in others:
            gevent.spawn(ask, name)
        over.wait(CLAIM / SECOND)

    # ---- sessions of a sender whose partition was adopted ----

    def _bind(self) -> None:
        """Before anything is ruled on: sessions are held for sure in one partition alone."""
        current = self.store.current
        if current is not None and current.partition != self.partition:
            if self.partition:
                self.directory.unsure()
                self.transfers.slept = set(self.transfers.offers)
            self.partition = current.partition

    def _copied(self, partition: int, step: Step, facts: list[Fact]) -> None:
        now = monotonic_time()
        if partition not in self.memories:
            self.memories[partition] = RecentIds(now)
        self.memories[partition].heard(step, facts, now)

    def adopted(self, partition: int) -> None:
        """A copy's messages are in the folder; its partition is held here under a new term."""
        memory, now = self.memories.pop(partition, None), monotonic_time()
        owner = next((name for name in self.node.halls if slot_of(name) == partition >> EPOCH_BITS), "")
        if memory is None or self.node.gate.levels.get(owner, 0) < SUCCESSORS or owner == self.name:
            logger.info(
                "sessions of {} are taken over {} s after its death: no ids of late are known",
                owner or "?",
                REMEMBERED // SECOND,
            )
            return
        self.estates[partition] = InheritedSessions(owner, memory.whole_at(), memory.by_key(), set())
        logger.info(
            "sessions of {} are taken over as they are used, {:.1f} s from now on",
            owner,
            max(0, memory.whole_at() - now) / SECOND,
        )

    def _newest_partition(self, name: str) -> int:
        """Of a sender, as far as is known here; 0: none."""
        slot = slot_of(name)
        epoch = self.node.grantor.newest(slot)
        return slot << EPOCH_BITS | epoch if epoch >= 0 else 0

    def _successor(self, name: str) -> str:
        """Who holds the newest partition of a sender that is gone; empty where nobody is known to."""
        partition = self._newest_partition(name)
        grant = self.node.grantor.grant(right_of(partition))
        return grant.holder if partition and grant.holder != name and not grant.closed else ""

    def _inherit(self, key: int) -> bool:
        """Whether a session whose last holder's partition is held here may be ruled on once more."""
        now, entry = monotonic_time(), self.directory.entry(key, monotonic_time())
        partition = self._newest_partition(entry.holder) if entry is not None else 0
        estate, holding = self.estates.get(partition), self.store.holdings.get(partition)
        if entry is None or estate is None or holding is None or not holding.serving or not self.store.taking():
            return False
        if estate.owner != entry.holder or estate.whole_at > now:
            self.counters.add("submissions for sessions whose ids of late are not known")
            return False
        over = (entry.sequence, entry.holder)
        if not self._successor_claims(ClaimRequest(key, 0, over, now), partition, self.name, now).granted:
            self.counters.add("inheritances that failed")
            return False
        ids = {id: (now - at, hashed) for id, (at, hashed) in estate.ids.get(key, {}).items() if at >= now - REMEMBERED}
        asking = self.directory.inherit(key, ids, now)
        if asking is None:
            return False
        # Danger: what the last holder offers later and no copy had was never answered; it may be taken here meanwhile.
        estate.keys.add(key)
        self._ask_all(asking, SessionInheritance(asking.key, asking.sequence, *asking.over, partition, asking.at))
        self.counters.add("sessions inherited" if key in self.directory.sessions else "inheritances that failed")
        return True

    def _successor_claims(self, asking: ClaimRequest, partition: int, by: str, now: int) -> Claim:
        holder = asking.over[1]
        grant = self.node.grantor.grant(right_of(partition))
        holds = (
            partition == self._newest_partition(holder)
            and grant.holder == by
            and not grant.closed
            and not self.node.grantor.learning
        )
        moved = self.transfers.acceptor.moved(asking.key, holder, now - REMEMBERED) or self.transfers.open_move(
            asking.key
        )
        return self.directory.successor_claims(asking, by, holds, moved, now)

    def offered(self, holding: LeasedPartition, facts: list[Fact]) -> list[Fact]:
        """Of what the last holder of an adopted partition offers, that which counts."""
        estate, soon = self.estates.get(holding.partition), self.clock.now() + 2 * LATE
        if estate is None or not estate.keys:
            return facts
        counts = []
        for fact in facts:
            stored, known = self.store.messages.get(fact.number), holding.ledger.known.get(fact.number)
            if known is None:
                if fact.base is not None and fact.base.turn in estate.keys:
                    continue  # Danger: no copy had it, so its client saw no answer and may have come here with it
            elif stored is not None and stored.turn in estate.keys and known.end[0] is EndRank.NONE:
                withdrawn = fact.known.end[0] is EndRank.TOLD and not (fact.known.move and fact.known.move[1])
                if withdrawn and stored.deadline > soon:  # later it may have been told 'failed' without a copy
                    continue  # Danger: its client was turned away there, and may have been told +OK here since
            counts.append(fact)
        return counts

    # ---- peer messages ----

    def heard(self, sender: str, incarnation: int, body: Body) -> Body | None:
        """The answer to another member's peer message; None where it is not for this part."""
        now = monotonic_time()
        if isinstance(body, ForwardedSubmit):
            return self._passed(sender, body)
        if isinstance(body, SessionLocations):
            first = self.lasting.first and self.first_seen.setdefault(sender, incarnation) == incarnation
            self._told(sender, body, now)
            return self._lodgings((), first)
        if isinstance(body, SessionClaim):
            asking = ClaimRequest(body.key, body.sequence, (body.over, body.over_holder), body.at)
            # Danger: a move that is decided late would make a second holder beside the one that claims.
            moving = self.transfers.open_move(body.key)
            told = Claim(False, None) if moving else self.directory.claimed(asking, sender, now)
            return ClaimReply(told.granted, lodging_of(told.entry))
        if isinstance(body, SessionInheritance):
            asking = ClaimRequest(body.key, body.sequence, (body.over, body.over_holder), body.at)
            told = self._successor_claims(asking, body.partition, sender, now)
            return ClaimReply(told.granted, lodging_of(told.entry))
        if isinstance(body, RecallForward):
            return self._recalled(body)
        if isinstance(body, StageSession | PrepareRequest | AcceptRequest | MigrationDecided):
            return self.transfers.answer(body, now)
        return None

    def _call(self, name: str, body: Body, within_s: float) -> Body | None:
        try:
            return self.lane.call(name, body, within_s)
        except PeerUnreachableError:
            self.counters.add(f"peer messages about sessions without an answer: {name}")
        except PeerRefusedError as error:
            self.counters.trouble(f"{name} refused a peer message about sessions", error)
        except CedarwickError as error:
            self.counters.trouble("a peer message about sessions that was not sent", error)
        return None

    # ---- everything, again and again ----

    def look(self, now: int) -> None:
        """What the time asks for; never waits."""
        self._bind()
        for name in self.node.halls:
            if name == self.name or self.node.members.state(now, name) not in (MemberStatus.DEAD, MemberStatus.LEFT):
                self.void.discard(name)
            elif name not in self.void:
                self.void.add(name)
                self.directory.without(name, now)
        if now - self.told_at >= GOSSIP:
            self.told_at = now
            self._gossip(now)
        if now - self.forgot_at >= SECOND:
            self.forgot_at = now
            self.directory.forget(now)
            self.transfers.forget(now)
            for known in (self.memories, self.estates):
                for partition in [partition for partition in known if partition not in self.node.adoptions]:
                    del known[partition]
        self.transfers.look(now)
        self._plan(now)
        self._see_ends()

    def _gossip(self, now: int) -> None:
        # Danger: who slept would tell of sessions that others hold by now.
        most = min(MOST_TOLD, TOLD + len(self.directory.sessions) // 40) if self.store.taking() else 0
        news = self.directory.news(most, now)
        told = tuple(lodging for entry in news if (lodging := lodging_of(entry)) is not None)
        for name in self.node.halls:
            if name != self.name:
                gevent.spawn(self._tell_news, name, told)

    def _tell_news(self, name: str, news: tuple[SessionLocation, ...]) -> None:
        first = self.lasting.first and name not in self.first_seen
        answer = self._call(name, self._lodgings(news, first), GOSSIP / SECOND)
        if not isinstance(answer, SessionLocations):
            return
        now = monotonic_time()
        self._told(name, answer, now)
        self.transfers.learned(name, answer.stamp)
        # Danger: who forgot its sessions, or those of others, must wait until no id of that time can come any more.
        if answer.first and self.lasting.first:
            self.new.add(name)
            if len(self.new) == len(self.node.halls) - 1 and self.directory.grants_at > now:
                self.directory.grants_at = now
                logger.info("sessions may be opened: no member has run before")

    def _lodgings(self, news: tuple[SessionLocation, ...], first: bool) -> SessionLocations:
        return SessionLocations(news, len(self.directory.sessions), self._takes(), self.transfers.stamp, first)

    def _takes(self) -> bool:
        return not (self.leaving or self.node.leaving or self.client_listener.paused) and self.store.taking()

    def _told(self, name: str, body: SessionLocations, now: int) -> None:
        self.neighbours[name] = body
        self.directory.heard([entry for lodging in body.news if (entry := entry_of(lodging)) is not None], now)

    # ---- which sessions move ----

    def _neighbours(self) -> list[Neighbour]:
        now, halls, members = monotonic_time(), self.node.halls, self.node.members
        return [
            Neighbour(
                name,
                halls[name],
                told.held,
                SESSIONS,
                not members.notes(now, name),
                told.takes and members.state(now, name) is MemberStatus.ALIVE,
            )
            for name, told in self.neighbours.items()
            if name in halls
        ]

    def _plan(self, now: int) -> None:
        self.wishes = {key: each for key, each in self.wishes.items() if each[1] > now}
        wishes = [wish for wish, _ in self.wishes.values()]
        if self.leaving or self.client_listener.paused:
            why = MigrationReason.LEAVING if self.leaving else MigrationReason.FAILING
            wishes += [
                MigrationRequest(key, why)
                for key in self.directory.sessions
                if key not in self.transfers.planner.out and key not in self.transfers.planner.off
            ][:WISHES]
        for key, to in self.transfers.planner.plan(wishes, self._neighbours(), now) if wishes else ():
            self.transfers.begin(key, to, now)

    def moved_by_hand(self, call: Call) -> str:
        """Staff want a session elsewhere: `MOVE KEY SENDER`."""
        text, _, to = call.argument.partition(" ")
        try:
            key = int(text, 16) if len(text) <= 16 and text.isalnum() else 0
        except ValueError:
            key = 0
        if not key:
            raise InvalidMoveError(f"{text[:40]!r} is no key of a session")
        if to not in self.node.halls or to == self.name:
            raise InvalidMoveError(f"{to[:64]!r} is no other member")
        if key not in self.directory.sessions:
            raise SessionNotHeldError(f"{key:016x} is held by {self.directory.where(key) or 'nobody'}")
        self.wishes[key] = MigrationRequest(key, MigrationReason.STAFF, to), monotonic_time() + SECOND
        end = self.ends.setdefault(key, gevent.event.AsyncResult())
        if not end.wait(MOVED_IN):
            self.ends.pop(key, None)
            raise SessionNotMovedError(f"{key:016x} stays at {self.name}")
        return f"YES {key:016x} moved to {end.get()}\n"

    def _see_ends(self) -> None:
        for key in [key for key in self.ends if self.directory.where(key) not in (None, self.name)]:
            self.wishes.pop(key, None)
            self.ends.pop(key).set(self.directory.where(key))


# ---- from and to peer messages ----


def hash_of(stored: StoredMessage) -> int:
    """What came with an id; the same wherever it comes."""
    return contents(stored.key, stored.priority_class, stored.tenant, stored.destination, stored.body or b"")


def entry_of(told: SessionLocation | None) -> Entry | None:
    return Entry(told.key, told.holder, told.sequence, told.age) if told is not None else None


def lodging_of(entry: Entry | None) -> SessionLocation | None:
    return SessionLocation(*entry) if entry is not None else None
