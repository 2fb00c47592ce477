"""The I/O of moves: what `migration_table.py` and `consensus.py` ask for, done with greenlets, peer messages, the
folder and the dispatcher.

What touches the folder and the dispatcher at once is done between two of the dispatcher's rounds. A message on the
move carries a
mark in the ledger of its partition, for the successors, and in a file of this member, for its next boot: the sequence
of its session, and `<` (it is given) or `>` (it is taken) before the name of the move.
"""

import random
from collections import deque
from collections.abc import Callable, Iterable

import gevent
import gevent.event
from loguru import logger

from cedarwick.errors import CedarwickError
from cedarwick.fleet.consensus import (
    ABSTENTION,
    Acceptor,
    AcceptorReply,
    Ballot,
    Proposer,
    ProposerRequest,
    Value,
    name_move,
    parts,
)
from cedarwick.fleet.membership import MemberStatus
from cedarwick.fleet.messages import (
    MAX_MESSAGE_BYTES,
    AcceptRequest,
    BallotNumber,
    Body,
    MigrationDecided,
    PrepareRequest,
    RecentIdEntry,
    StageReply,
    StageSession,
    VoteReply,
    digest_of,
    whole,
)
from cedarwick.fleet.migration_table import (
    FREEZE,
    MOST_OUT,
    MigrationAction,
    MigrationPlanner,
    MigrationStep,
    MigrationTable,
    SourceStage,
    TargetStage,
)
from cedarwick.fleet.ports import SessionHost
from cedarwick.fleet.replicated_store import monotonic_time
from cedarwick.fleet.replication_facts import Fact, decode_facts, encode_facts, stored_message_of
from cedarwick.fleet.session_files import SessionFiles
from cedarwick.fleet.sessions import LAPSES, SessionDirectory
from cedarwick.net.dispatcher import Dispatcher
from cedarwick.store.journal import NoSpaceError

SETTLE_IN = 0.3  # seconds for the answer to a question about a move
STAGE_IN = 0.45
WHOLE = 500_000  # microseconds that the copies have to get a mark
RELEASE_AGAIN = 1.0  # seconds until marks that could not be lifted are lifted again
CUT = 0.1  # seconds until calls that were cut off have ended
SESSIONS = 10_000  # that a sender bears
LATE = 300_000  # microseconds before its deadline a message on the move is answered
LOOK_LATE = 100_000
SECOND = 1_000_000
LARGEST_STAGE = MAX_MESSAGE_BYTES - (1 << 17)  # bytes of a session's facts: the rest of the peer message is for its ids
MOST_IDS = 1 << 12
GIVEN, TAKEN = "<", ">"


class SessionTooLargeError(CedarwickError):
    """A session's messages do not fit one peer message, so that it cannot be moved."""

    code = "CW754"
    remedy = "wait until some of the session's messages have ended; until then it stays where it is"


class InvalidMoveNameError(CedarwickError):
    """A peer message about a move whose name cannot be one."""

    code = "CW755"
    remedy = "bring all members to one version of the program"


class DecreesNotSavedError(CedarwickError):
    """This member's votes on moves cannot be written, and it gives none; moves are settled by the others."""

    code = "CW756"
    remedy = "free the disk that holds $RELAY_STATE"


class SessionMigrations:
    """The moves that this member has a side of. Nothing is done before `dispatcher` is set.

    Args:
        call: a peer message to another member and its answer within so many seconds; None where there is none.
        takes: whether this sender takes sessions now.
        change: to be called when something has changed that a submission may wait for.
    """

    def __init__(
        self,
        node: SessionHost,
        directory: SessionDirectory,
        call: Callable[[str, Body, float], Body | None],
        takes: Callable[[], bool],
        change: Callable[[], None],
    ) -> None:
        self.node = node
        self.name = node.name
        self.directory = directory
        self.call = call
        self.takes = takes
        self.change = change
        self.store = node.store
        self.files = SessionFiles(node.lasting)
        self.counters = node.counters
        self.clock = node.clock
        table = self.files.decrees()
        self.acceptor = Acceptor(monotonic_time(), table is None, table)
        self.unwritten: set[str] = set()  # moves with a vote of this member that is not on the disk
        self.stamp = node.incarnation  # of the next move
        self.acceptor.learned(self.name, self.stamp)
        self.files.write_decrees(self.acceptor.table())
        chance = random.Random(node.incarnation)
        self.moves = MigrationTable(
            self.name,
            f"{self.name}#{node.incarnation}",
            tuple(sorted(node.halls)),
            self.acceptor,
            lambda failed: chance.randint(0, 50_000 << min(failed, 5)),
        )
        self.planner = MigrationPlanner(node.halls[self.name])
        marks = self.files.inert()
        self.store.inert = {number: mark for number, mark in marks.items() if number in self.store.messages}
        self.store.marking = self.files.write_inert
        self.dispatcher: Dispatcher
        self.offers: dict[str, tuple[StageSession, int]] = {}  # by move: what was staged here, and when
        self.slept: set[str] = set()  # of these, staged in a partition that was adopted since
        self.sequences: dict[str, int] = {}  # by move: of its session, since it began
        self.answers: dict[str, gevent.event.AsyncResult] = {}  # by move: whether it was staged
        self.under_way: set[tuple[str, MigrationAction]] = set()
        self.strays: dict[str, Proposer] = {}  # undecided moves that this member has voted on and has no side of
        self.limits_at = 0

    def look(self, now: int) -> None:
        """What the time asks for; never waits."""
        self._look_at_marks(now)
        self.act(self.moves.due(now))

    def forget(self, now: int) -> None:
        """Drop what is old; about once a second."""
        if self.acceptor.prune(now):
            self._guarded(self.files.write_decrees, self.acceptor.table())
        self._settle_strays(now)
        for stored in (self.offers, self.sequences, self.answers):
            for name in [name for name in stored if name not in self.moves.moves]:
                del stored[name]

    def _settle_strays(self, now: int) -> None:
        """Of moves that nobody with a side of them has had decided for long: both may have lost it."""
        for name in self.acceptor.stale(now):
            if name not in self.moves.moves and name not in self.strays and len(self.strays) < MOST_OUT:
                # Danger: a ballot of its own, as for each proposer of this boot.
                self.moves.proposers += 1
                mark = f"{self.moves.mark}.{self.moves.proposers}"
                self.strays[name] = Proposer(name, mark, self.moves.voters, self.moves.wait)
                self._ask_for_stray(self.strays[name].settle(now), now)
        for stray in list(self.strays.values()):
            self._ask_for_stray(stray.due(now), now)

    def _ask_for_stray(self, asks: Iterable[ProposerRequest], now: int) -> None:
        todo = deque(asks)
        while todo:
            ask = todo.popleft()
            stray = self.strays.get(ask.move)
            if stray is not None and ask.to == self.name:
                answer = self.vote(ask.move, ask.ballot, ask.value, self._key(ask.move))
                todo.extend(stray.answered(ask.to, ask.ballot, ask.value, answer, now))
                self._see_stray(stray)
            elif stray is not None:
                gevent.spawn(self._ask, ask)

    def _see_stray(self, stray: Proposer) -> None:
        if stray.decided is not None and self.strays.pop(stray.move, None) is not None:
            self.counters.add("moves settled that nobody held any more")
            gevent.spawn(self._tell, MigrationStep(MigrationAction.TELL, stray.move, value=stray.decided))

    def learned(self, giver: str, stamp: int) -> None:
        """A giver has answered with the stamp of its next move.

        Danger: from a peer message of its own, which may have been written before this boot, nothing is learned.
        """
        if stamp and self.acceptor.lost and giver not in self.acceptor.floors:
            self.acceptor.learned(giver, stamp)
            self._guarded(self.files.write_decrees, self.acceptor.table())

    def under_way_here(self) -> bool:
        """Whether a move from here is not over yet."""
        return any(
            move.giving in (SourceStage.FREEZING, SourceStage.OFFERED)
            or move.giving is SourceStage.FORWARDING
            and not move.confirmed
            for move in self.moves.moves.values()
        )

    def begin(self, key: int, to: str, now: int) -> None:
        """Start to give a session that is held here to another member."""
        session = self.directory.sessions.get(key)
        if session is None or not session.sure or session.used < now - LAPSES or not self.store.taking():
            self.planner.ended(key, session is None, now)
            return
        name = name_move(self.stamp, self.name, to)
        self.stamp += 1
        acts = self.moves.begin(name, key, now)
        if not acts:
            self.planner.ended(key, False, now)
            return
        self.sequences[name] = session.sequence + 1
        self.directory.hold(key, session.sequence + 1, self.directory.ids(key, now), now)
        self.counters.add("moves begun")
        self.act(acts)

    # ---- peer messages ----

    def answer(self, body: StageSession | PrepareRequest | AcceptRequest | MigrationDecided, now: int) -> Body:
        """What another member is told about a move; `InvalidMoveNameError` where there cannot be such a one."""
        try:
            parts(body.move)
        except ValueError as error:
            raise InvalidMoveNameError(str(error)[:200]) from None
        if isinstance(body, StageSession):
            return self._staged(body, now)
        if isinstance(body, PrepareRequest):
            return voted(body.move, self.vote(body.move, ballot_of(body.ballot), None, body.key))
        value = value_of(body.value)
        if value is None:
            raise InvalidMoveNameError(f"no value of a decree: {body.value!r}")
        if isinstance(body, AcceptRequest):
            return voted(body.move, self.vote(body.move, ballot_of(body.ballot), value, body.key))
        row = self.acceptor.settled(body.move, value, now)
        if row is not None:
            self._guarded(self.files.add_decree, row)
        self.act(self.moves.settled(body.move, value, body.active, now))
        known, active = self.moves.said(body.move)
        return MigrationDecided(body.move, known or "", active)

    def _guarded(self, write: Callable[..., None], *told: object) -> bool:
        """Whether a small file could be written."""
        try:
            write(*told)
        except OSError as error:
            self.counters.trouble("votes on moves cannot be written", DecreesNotSavedError(str(error)))
            return False
        return True

    # ---- what moves ask for ----

    def act(self, acts: Iterable[MigrationStep]) -> None:
        """Do what a move's rules say; what waits for something is done in a greenlet of its own."""
        todo = deque(acts)
        now = monotonic_time()
        while todo:
            act = todo.popleft()
            if act.do is MigrationAction.ASK and act.ask is not None:
                if act.ask.to == self.name:
                    answer = self.vote(act.ask.move, act.ask.ballot, act.ask.value, self._key(act.ask.move))
                    todo.extend(self.moves.answered(act.ask, answer, now))
                else:
                    gevent.spawn(self._ask, act.ask)
            elif act.do is MigrationAction.TELL:
                gevent.spawn(self._tell, act)
            elif act.do in (MigrationAction.STAGED, MigrationAction.REFUSE):
                self._answer(act.move, act.do is MigrationAction.STAGED)
            elif act.do is MigrationAction.FORWARD:
                self._forward(act)
            elif act.do is MigrationAction.CLOSE:
                self.counters.add("moves closed")
            elif (act.move, act.do) not in self.under_way:
                self.under_way.add((act.move, act.do))
                gevent.spawn(self._do, act)

    def _do(self, act: MigrationStep) -> None:
        work = {
            MigrationAction.FREEZE: self._freeze,
            MigrationAction.MARK: self._mark,
            MigrationAction.STAGE: self._stage,
            MigrationAction.WRITE: self._write,
            MigrationAction.ACTIVATE: self._activate,
            MigrationAction.DROP: self._drop,
            MigrationAction.RELEASE: self._release,
            MigrationAction.OVER: self._over,
        }
        try:
            work[act.do](act.move)
        except Exception:  # one move that fails must not keep the others from being settled
            self.counters.failed(f"a move failed at {act.do.value}")
        finally:
            self.under_way.discard((act.move, act.do))
            self.change()

    def _key(self, name: str) -> int:
        known = self.moves.moves.get(name) or self.acceptor.rows.get(name)
        return known.key if known is not None else 0

    def _marked(self, name: str, side: str) -> list[int]:
        """Messages with the mark of one side of a move."""
        return sorted(
            number
            for number, (_, text) in self.store.inert.items()
            if text == side + name and number in self.store.messages
        )

    def _mine(self, name: str) -> bool:
        """Whether this process began the move.

        Else it has found it after a restart, or adopted the giver's partition.
        """
        return parts(name)[1] == self.name and name in self.sequences

    def _sequence(self, name: str, numbers: Iterable[int]) -> int:
        """Of the session, since the move began."""
        return max([self.sequences.get(name, 0), *(self.store.inert[number][0] for number in numbers)])

    def _save_without(self, numbers: Iterable[int]) -> None:
        gone = set(numbers)
        if gone:
            self.files.write_inert({number: mark for number, mark in self.store.inert.items() if number not in gone})

    # ---- the giver ----

    def _freeze(self, name: str) -> None:
        key = self._key(name)
        still = self.dispatcher.freeze(key)
        if not still.wait(FREEZE / SECOND):
            self.dispatcher.cut(key)
            still.wait(CUT)
        self.act(self.moves.idle(name, monotonic_time()))

    def _mark(self, name: str) -> None:
        key = self._key(name)
        self.dispatcher.cut(key)
        self.dispatcher.between(lambda: True).get()  # what was cut off has told its end before the marks are made
        partitions: set[int] = set()

        def mark() -> bool:
            owed = [
                stored
                for stored in self.store.messages.values()
                if stored.turn == key and stored.end is None and stored.number not in self.store.inert
            ]
            if not self.store.taking() or not all(self.store.may_fire(stored.number) for stored in owed):
                return False
            sequence, text = self.sequences[name], GIVEN + name
            if owed:
                self.files.write_inert(self.store.inert | {stored.number: (sequence, text) for stored in owed})
            for stored in owed:
                self.store.mark(stored.number, sequence, text)
            partitions.update(stored.number >> 32 for stored in owed)
            return True

        if self.dispatcher.between(mark).get() and self._copied(partitions):
            self.act(self.moves.marked(name, monotonic_time()))
        else:
            self.act(self.moves.call_off(name, monotonic_time()))

    def _copied(self, partitions: set[int]) -> bool:
        """Whether every successor gets what is told of some partitions, before long."""
        done, until = self.store.copied(partitions), monotonic_time() + WHOLE
        while not done():
            if monotonic_time() > until:
                return False
            gevent.sleep(0.002)
        return True

    def _stage(self, name: str) -> None:
        key, to = self._key(name), parts(name)[2]
        facts: list[Fact] = []
        for number in self._marked(name, GIVEN):
            fact = self.store.holdings[number >> 32].read(self.store, number)
            if fact is None or fact.base is None:
                self.act(self.moves.call_off(name, monotonic_time()))
                return
            facts.append(fact)
        data = encode_facts(facts)
        if len(data) > LARGEST_STAGE:
            self.counters.trouble("a session stays", SessionTooLargeError(f"{len(facts)} messages of {key:016x}"))
            self.act(self.moves.call_off(name, monotonic_time()))
            return
        ids = self.directory.ids(key, monotonic_time())
        if len(ids) > MOST_IDS:
            self.act(self.moves.call_off(name, monotonic_time()))
            return
        recent = tuple(RecentIdEntry(each, age, hashed) for each, (age, hashed) in ids.items())
        stage = StageSession(
            name, key, self.sequences[name], data, digest_of(data), recent, self.dispatcher.rest_of(key)
        )
        answer = self.call(to, stage, STAGE_IN)
        if isinstance(answer, StageReply):
            now = monotonic_time()
            if not answer.stored:
                self.counters.add("moves refused by the taker")
            self.act(self.moves.staged(name, now) if answer.stored else self.moves.call_off(name, now))

    def _forward(self, act: MigrationStep) -> None:
        key, now = self._key(act.move), monotonic_time()
        if self._mine(act.move):
            self.directory.gone(key, act.to, self.sequences[act.move] + 1, now)
            self.planner.ended(key, True, now)
            self.dispatcher.thaw(key)
            self.counters.add("sessions given away")
        self.change()

    def _release(self, name: str) -> None:
        key, now, mine = self._key(name), monotonic_time(), self._mine(name)

        def release() -> bool:
            numbers = self._marked(name, GIVEN)
            sequence = self._sequence(name, numbers) + 1
            self._save_without(numbers)
            for number in numbers:
                self.store.mark(number, sequence, "")
            if mine:
                session = self.directory.sessions.get(key)
                if session is not None:
                    self.directory.hold(
                        key, max(sequence, session.sequence), self.directory.ids(key, now), now, session.sure
                    )
                self.dispatcher.thaw(key)
            owed = [
                stored.number
                for stored in self.store.messages.values()
                if stored.turn == key and stored.end is None and self.store.may_fire(stored.number)
            ]
            self.dispatcher.adopt(owed, quietly=True)
            return True

        # Danger: with the file not written the messages would stay inert, and the session frozen, for good.
        while not self.dispatcher.between(release).get():
            gevent.sleep(RELEASE_AGAIN)
        if mine:
            self.planner.ended(key, False, monotonic_time())
        self.counters.add("moves called off")

    def _over(self, name: str) -> None:
        self.dispatcher.between(lambda: self._give_up(name, GIVEN)).get()

    def _give_up(self, name: str, side: str) -> bool:
        """The messages of one side are the other side's; nothing is told of them."""
        numbers = self._marked(name, side)
        for number in numbers:
            try:
                self.store.over(number)
            except NoSpaceError as error:  # Danger: it is written once there is room; the others must not wait for that
                self.counters.trouble("no room for the record of an end", error)
            self.store.inert.pop(number, None)
        self._save_without(numbers)
        return True

    # ---- the taker ----

    def _staged(self, body: StageSession, now: int) -> StageReply:
        if not whole(body):
            return StageReply(body.move, False, "spoilt")
        room = self.takes() and len(self.directory.sessions) < SESSIONS
        acts = self.moves.stage(body.move, body.key, room, now)
        if any(act.do is MigrationAction.WRITE for act in acts):
            self.offers[body.move] = body, now
            self.sequences[body.move] = body.sequence
        answer = self.answers.setdefault(body.move, gevent.event.AsyncResult())
        if acts and acts[0].do is MigrationAction.REFUSE:
            self.answers.pop(body.move, None)
            return StageReply(body.move, False, "no room")
        self.act(acts)
        stored = answer.wait(STAGE_IN)
        return StageReply(body.move, bool(stored), "" if stored else "it is not kept")

    def _answer(self, name: str, staged: bool) -> None:
        answer = self.answers.setdefault(name, gevent.event.AsyncResult())
        if not answer.ready():
            answer.set(staged)

    def _write(self, name: str) -> None:
        stage, _ = self.offers[name]

        def write() -> bool:
            made = [stored_message_of(fact) for fact in sorted(decode_facts(stage.facts), key=lambda fact: fact.number)]
            if not self.store.taking():
                return False
            for place, stored in enumerate(made):
                stored.number = self.store.next_number + place
                if not self.store.has_room(stored):
                    return False
            if made:
                mark = stage.sequence, TAKEN + name
                self.files.write_inert(self.store.inert | {stored.number: mark for stored in made})
            for stored in made:
                self.store.next_number += 1
                self.store.stage(stored, stage.sequence, TAKEN + name)
            return True

        stored = self.dispatcher.between(write).get()
        current = self.store.current
        if stored and current is not None and self._copied({current.partition}):
            self.act(self.moves.written(name, monotonic_time()))
        else:
            self._answer(name, False)

    def _activate(self, name: str) -> None:
        key, offer = self._key(name), self.offers.get(name)

        def activate() -> bool:
            numbers, now = self._marked(name, TAKEN), monotonic_time()
            holdings = [self.store.holdings.get(number >> 32) for number in numbers]
            if not self.store.taking() or not all(each is not None and each.serving for each in holdings):
                return False
            sequence = self._sequence(name, numbers) + 1
            self._save_without(numbers)
            for number in numbers:
                self.store.mark(number, sequence, "")
            soon = self.clock.now() + LATE
            # Danger: the giver may have answered what was about to end while the decree was not known.
            late = [number for number in numbers if self.store.messages[number].deadline <= soon]
            self.dispatcher.answer_late(late)
            # Danger: an attempt of before the move may still run, of a message that has ended, too; then all keys rest.
            quietly = offer is not None and not offer[0].rest
            if numbers or not quietly:
                self.dispatcher.adopt([number for number in numbers if number not in late], quietly)
            # Danger: decided late, the session may have been inherited from a giver that died; the messages were not.
            if offer is not None and not self.directory.superseded(key, parts(name)[1], offer[0].sequence):
                stage, at = offer  # without it the ids of late are not known here, and it is claimed later
                ids = {each.id: (each.age + now - at, each.hashed) for each in stage.ids}
                self.directory.hold(key, sequence, ids, now, name not in self.slept)
                self.planner.arrived(key, now)
            return True

        if self.dispatcher.between(activate).get():
            self.counters.add("sessions taken over")
            self.act(self.moves.activated(name, monotonic_time()))

    def _drop(self, name: str) -> None:
        self.dispatcher.between(lambda: self._give_up(name, TAKEN)).get()

    # ---- decrees ----

    def vote(self, move: str, ballot: Ballot, value: Value | None, key: int) -> AcceptorReply:
        """This member's own answer, on the disk before anybody hears of it."""
        now = monotonic_time()
        if value == "taker" and self._barred(move, key, now):
            return ABSTENTION
        answer = (
            self.acceptor.prepare(move, ballot, now, key)
            if value is None
            else self.acceptor.accept(move, ballot, value, now, key)
        )
        row = answer.write or (self.acceptor.rows[move] if move in self.unwritten else None)
        if row is not None:
            # Danger: the same question asked again changes nothing, and would be granted with nothing on the disk.
            self.unwritten.add(move)
            if not self._guarded(self.files.add_decree, row):
                return ABSTENTION
            self.unwritten.discard(move)
        return answer

    def _barred(self, move: str, key: int, now: int) -> bool:
        """Whether a vote for the taker could make a second holder beside one that inherits the session."""
        giver = parts(move)[1]
        known = move in self.acceptor.rows or self.node.members.state(now, giver) is MemberStatus.ALIVE
        return self.directory.bars(key, giver, now, known)

    def open_move(self, key: int) -> bool:
        """Whether this member has a side of a move of a session that is not decided, or not done."""
        move = self.moves.moves.get(self.moves.by_key.get(key, ""))
        return move is not None and (
            move.giving in (SourceStage.FREEZING, SourceStage.OFFERED)
            or move.giving is SourceStage.FORWARDING
            and not move.confirmed
            or move.taking in (TargetStage.STAGED, TargetStage.GRANTED)
        )

    def _ask(self, ask: ProposerRequest) -> None:
        vote, key = BallotNumber(*ask.ballot), self._key(ask.move)
        body: Body = (
            PrepareRequest(ask.move, vote, key) if ask.value is None else AcceptRequest(ask.move, vote, ask.value, key)
        )
        told = self.call(ask.to, body, SETTLE_IN)
        if isinstance(told, VoteReply):
            value = value_of(told.value)
            answer = AcceptorReply(
                told.granted,
                ballot_of(told.promised),
                ballot_of(told.accepted),
                value,
                told.decided and value is not None,
            )
            stray, now = self.strays.get(ask.move), monotonic_time()
            if stray is not None:
                self._ask_for_stray(stray.answered(ask.to, ask.ballot, ask.value, answer, now), now)
                self._see_stray(stray)
            self.act(self.moves.answered(ask, answer, now))

    def _tell(self, act: MigrationStep) -> None:
        """The decree to one member, or to all.

        Where the one knows nothing of an active side, its partition is another's.
        """
        assert act.value is not None
        others = [name for name in self.node.halls if name != self.name]
        for name in [act.to] if act.to in others else others:
            if act.to:
                if not self._tell_one(name, act):
                    gevent.joinall([gevent.spawn(self._tell_one, each, act) for each in others if each != name])
            else:
                gevent.spawn(self._tell_one, name, act)
        row = self.acceptor.settled(act.move, act.value, monotonic_time())
        if row is not None:
            self._guarded(self.files.add_decree, row)

    def _tell_one(self, name: str, act: MigrationStep) -> bool:
        """Whether the taker's side is live there."""
        answer = self.call(name, MigrationDecided(act.move, act.value or "", act.active), SETTLE_IN)
        if not isinstance(answer, MigrationDecided) or (value := value_of(answer.value)) is None:
            return False
        self.act(self.moves.settled(act.move, value, answer.active, monotonic_time()))
        return answer.active

    # ---- marks of before, and partitions that change hands ----

    def _look_at_marks(self, now: int) -> None:
        gone = [number for number in self.store.inert if number not in self.store.messages]
        for number in gone:
            del self.store.inert[number]
        sides: dict[str, list[int]] = {}
        for number, (_, text) in self.store.inert.items():
            sides.setdefault(text, []).append(number)
        for text, numbers in sides.items():
            name, giving = text[1:], text[:1] == GIVEN
            move = self.moves.moves.get(name)
            if move is not None and (move.giving if giving else move.taking) is not None:
                continue
            partitions = {number >> 32 for number in numbers}
            if not all(
                partition in self.store.holdings and self.store.holdings[partition].serving for partition in partitions
            ):
                continue
            if not giving and not self.store.copied(partitions)():
                continue
            logger.info("move {}: {} messages are marked here, it is to be settled", name, len(numbers))
            self.act(self.moves.found(name, self.store.messages[numbers[0]].turn, giving, now))
        for name, move in list(self.moves.moves.items()):
            for giving, side, text in ((True, move.giving, GIVEN), (False, move.taking, TAKEN)):
                open_side = side in (SourceStage.OFFERED, TargetStage.STAGED, TargetStage.GRANTED)
                if open_side and name not in self.sequences and text + name not in sides:
                    self.moves.lost(name, giving)  # found before, and its partition is another's by now
        if now - self.limits_at >= LOOK_LATE:
            self.limits_at = now
            self._answer_late()

    def _answer_late(self) -> None:
        soon = self.clock.now() + LATE
        for number, (_, text) in list(self.store.inert.items()):
            stored, holding = self.store.messages.get(number), self.store.holdings.get(number >> 32)
            if stored is None or stored.end is not None or stored.deadline > soon or holding is None:
                continue
            if holding.serving and self.moves.near_limit(text[1:]) == "failed" and text[:1] == GIVEN:
                self.counters.add("messages on the move that were answered by their limit")
                self.dispatcher.answer_late([number])


# ---- from and to peer messages ----


def ballot_of(vote: BallotNumber) -> Ballot:
    return vote.round, vote.mark


def value_of(told: str) -> Value | None:
    return "taker" if told == "taker" else "off" if told == "off" else None


def voted(move: str, answer: AcceptorReply) -> VoteReply:
    return VoteReply(
        move,
        answer.granted,
        BallotNumber(*answer.promised),
        BallotNumber(*answer.accepted),
        answer.value or "",
        answer.decided,
    )
