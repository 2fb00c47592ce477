"""A session's move: all that can happen to one, up to a bound, and the cores beside it."""

import pickle
import random
import unittest
import unittest.mock
from collections import Counter
from collections.abc import Iterator
from typing import Literal

from hypothesis import given, settings
from hypothesis import strategies as st

from cedarwick.fleet import migration_table as moves_module
from cedarwick.fleet.consensus import (
    Acceptor,
    AcceptorReply,
    Ballot,
    DecisionValue,
    Proposer,
    ProposerRequest,
    format_move_name,
)
from cedarwick.fleet.migration_planner import (
    CALL_OFF_PAUSE_US,
    MAX_LOAD_SHARE,
    MIN_STAY_US,
    MigrationPlanner,
    MigrationReason,
    MigrationRequest,
    Neighbour,
)
from cedarwick.fleet.migration_table import (
    CALL_OFF_AFTER_US,
    FORWARDING_US,
    FREEZE_TIMEOUT_US,
    MAX_INCOMING_MOVES,
    MAX_OUTGOING_MOVES,
    Migration,
    MigrationAction,
    MigrationStep,
    MigrationTable,
    SourceStage,
    TargetStage,
)
from cedarwick.fleet.sessions import (
    CLAIM_TIMEOUT_US,
    ENTRY_TTL_US,
    ID_RETENTION_US,
    MAX_ENTRIES,
    SESSION_TTL_US,
    ClaimAnswer,
    ClaimRequest,
    Entry,
    SessionDirectory,
    SubmissionRuling,
    contents_hash,
)

KEY, MS = 7, 1000
MOVE = format_move_name(10, "A", "B")
FROZEN = (SourceStage.FREEZING, SourceStage.OFFERED, SourceStage.FORWARDING)

# What can happen to a member, and what leaves it: to whom, or of whom where it is for the judge alone.
Event = (
    tuple[
        Literal[
            "begin",
            "on_attempts_ended",
            "on_marked",
            "on_staged",
            "call_off",
            "on_stored",
            "round",
            "learn",
            "restart",
            "due",
        ]
    ]
    | tuple[Literal["stage", "bereft"], bool]
    | tuple[Literal["adopt"], bool, str | None]
    | tuple[Literal["ask"], str, ProposerRequest]
    | tuple[Literal["answer"], ProposerRequest, AcceptorReply]
    | tuple[Literal["tell", "said"], str, DecisionValue, bool]
)
Answering = tuple[Literal["answer"], str, ProposerRequest, AcceptorReply]
Message = (
    tuple[Literal["stage", "staged", "refused", "again", "fired"], str]
    | tuple[Literal["ask"], str, str, ProposerRequest]
    | Answering
    | tuple[Literal["tell", "said"], str, str, DecisionValue, bool]
    | tuple[Literal["vote"], str, Ballot, DecisionValue]
)
State = tuple[tuple[int, ...], int, int, int]  # members, messages sent, restarts and adoptions left
View = tuple[list[Event], bool, bool, str | None, str | None, bool, bool, bool, bool, Migration | None]
Way = tuple[tuple[int, Event], ...]

STAGED: Way = (
    (0, ("begin",)),
    (0, ("on_attempts_ended",)),
    (0, ("on_marked",)),
    (1, ("stage", True)),
    (1, ("on_stored",)),
)  # the straight way


def jitter(failed: int) -> int:
    return 30 * MS * failed


class Member:
    """One sender: what lies in its folder, and its moves, which a restart loses."""

    def __init__(self, name: str, made: type[MigrationTable], acceptor: type[Acceptor]) -> None:
        self.name, self.made, self.boots = name, made, 0
        self.acceptor = acceptor(0)
        self.moves = made(name, f"{name}#0", ("A", "B", "C"), self.acceptor, jitter)
        self.gives: str | None = "live" if name == "A" else None  # the source's facts: live, marked, over
        self.takes: str | None = None  # the target's: staged, live, dropped
        self.marked_at_successors = self.staged_at_successors = False
        self.gives_held, self.takes_held = name == "A", name == "B"  # the lease on the partition they lie in

    def key(self) -> str:
        return repr(
            (
                self.name,
                self.boots,
                self.acceptor.rows,
                self.moves.by_name,
                self.gives,
                self.takes,
                self.marked_at_successors,
                self.staged_at_successors,
                self.gives_held,
                self.takes_held,
            )
        )

    def move(self) -> Migration | None:
        return self.moves.by_name.get(MOVE)

    def fires_as_giver(self) -> bool:
        move = self.move()
        return self.gives_held and self.gives == "live" and (move is None or move.source_stage not in FROZEN)

    def fires_as_taker(self) -> bool:
        return self.takes_held and self.takes == "live"

    # What can happen; each returns the messages that leave.

    def events(self) -> list[Event]:
        """What the member may do of its own accord."""
        move = self.move()
        found: list[Event] = []
        if self.name == "A" and self.gives == "live" and move is None and not self.boots:
            found.append(("begin",))
        if move is not None:
            if move.source_stage is SourceStage.FREEZING:
                found.append(("on_marked",) if move.marking else ("on_attempts_ended",))
            if move.source_stage in (SourceStage.FREEZING, SourceStage.OFFERED) and move.proposer is None:
                found.append(("call_off",))
            if move.target_stage is TargetStage.STAGED and not move.stored and self.takes_held:
                found.append(("on_stored",))
            if move.value is None and move.proposer is not None and move.proposer.highest_round < 3:
                found.append(("round",))
            if (move.source_stage and not self.gives_held) or (move.target_stage and not self.takes_held):
                found.append(("learn",))
        return found

    def do(self, event: Event, now: int = 0) -> list[Message]:
        sent: list[Message] = []
        acts: list[MigrationStep] = []
        move = self.move()
        if event[0] == "begin":
            acts = self.moves.begin(MOVE, KEY, now)
        elif event[0] == "on_marked":
            self.gives = "marked"
            if not self.gives_held:
                return sent
            self.marked_at_successors = True
            acts = self.moves.on_marked(MOVE, now)
        elif event[0] == "on_stored":
            self.staged_at_successors = True
            acts = self.moves.on_stored(MOVE, now)
        elif event[0] == "round":
            assert move is not None and move.proposer is not None
            acts = self.moves._vote_requests(move.proposer.begin_full_round(now))
        elif event[0] == "learn":
            for gives in [each for each, held in ((True, self.gives_held), (False, self.takes_held)) if not held]:
                self.moves.forget_side(MOVE, gives)
                self.gives, self.takes = (None, self.takes) if gives else (self.gives, None)
        elif event[0] == "restart":
            self.boots += 1
            self.moves = self.made(self.name, f"{self.name}#{self.boots}", ("A", "B", "C"), self.acceptor, jitter)
            table = self.acceptor.table()
            self.acceptor.load(table, now)
            if self.gives_held and self.gives == "marked":
                acts += self.moves.on_marks_found(MOVE, KEY, True, now)
            if self.takes_held and self.takes == "staged":
                self.staged_at_successors = True
                acts += self.moves.on_marks_found(MOVE, KEY, False, now)
        elif event[0] == "adopt":
            _, gives, found = event
            if gives:
                self.gives, self.gives_held = found, True
            else:
                self.takes, self.takes_held, self.staged_at_successors = found, True, True
            acts = self.moves.on_marks_found(MOVE, KEY, gives, now) if found in ("marked", "staged") else []
        elif event[0] == "bereft":
            self.gives_held, self.takes_held = (False, self.takes_held) if event[1] else (self.gives_held, False)
            return sent
        elif event[0] == "stage":
            acts = self.moves.on_offer(MOVE, KEY, event[1], now)
        elif event[0] == "ask":
            votes, answer = self.asked(event[1], event[2])
            return [*votes, answer]
        elif event[0] == "tell" or event[0] == "said":
            acts = self.moves.on_decision(MOVE, event[2], event[3], now)
            value, active = self.moves.known_decision(MOVE)
            if value is not None and event[0] == "tell":
                sent.append(("said", event[1], self.name, value, active))
        elif event[0] == "answer":
            acts = self.moves.on_vote_reply(event[1], event[2], now)
        elif event[0] == "due":
            acts = self.moves.due_steps(now)
        else:
            acts = getattr(self.moves, event[0])(MOVE, now)
        for act in acts:
            sent += self.act(act, now)
        return sent

    def act(self, act: MigrationStep, now: int) -> list[Message]:
        if act.action is MigrationAction.REQUEST_VOTE:
            assert act.vote_request is not None
            if act.to == self.name:
                votes, answer = self.asked(self.name, act.vote_request, now)
                return votes + self.do(("answer", answer[2], answer[3]), now)
            return [("ask", act.to, self.name, act.vote_request)]
        if act.action is MigrationAction.SEND_DECISION:
            assert act.value is not None
            return [
                ("tell", to, self.name, act.value, act.active)
                for to in ([act.to] if act.to else "ABC")
                if to != self.name
            ]
        if act.action is MigrationAction.STAGE:
            return [("stage", "B")]
        if act.action is MigrationAction.CONFIRM_STAGED:
            return [("staged", "A")]
        if act.action is MigrationAction.REFUSE:
            return [("refused", "A")]
        if act.action is MigrationAction.STORE_OFFER:
            again: list[Message] = [("again", self.name)] if self.takes in ("live", "dropped") else []
            self.takes = "staged"
            return again
        elif act.action is MigrationAction.ACTIVATE:
            self.takes = "live"
            sent: list[Message] = [("fired", self.name)] if self.takes_held else []
            for each in self.moves.on_activated(MOVE, now):
                sent += self.act(each, now)
            return sent
        elif act.action is MigrationAction.DISCARD_AT_TARGET:
            self.takes = "dropped"
        elif act.action is MigrationAction.RELEASE:
            self.gives = "live"
        elif act.action is MigrationAction.DISCARD_AT_SOURCE:
            self.gives = "over"
        return []

    def asked(self, by: str, ask: ProposerRequest, now: int = 0) -> tuple[list[Message], Answering]:
        acceptor = self.acceptor
        if ask.value is None:
            answer = acceptor.prepare(ask.move, ask.ballot, now)
        else:
            answer = acceptor.accept(ask.move, ask.ballot, ask.value, now)
        votes: list[Message] = [("vote", self.name, ask.ballot, ask.value)] if answer.granted and ask.value else []
        return votes, ("answer", by, ask, answer._replace(unsaved_row=None))


class UnsafeMoveError(Exception):
    pass


def ones(mask: int) -> Iterator[int]:
    while mask:
        lowest = mask & -mask
        yield lowest.bit_length() - 1
        mask ^= lowest


class Explorer:
    """Breadth first over (members, messages sent, restarts left). Messages are a set that only grows: each may be
    delivered at any time, in any order, any number of times or never; so loss and a crash before a send are in it."""

    def __init__(self, made: type[MigrationTable] = MigrationTable, acceptor: type[Acceptor] = Acceptor) -> None:
        self.ids: dict[str, int] = {}
        self.blobs: list[bytes] = []
        self.views: list[View] = []
        self.messages: list[Message] = []
        self.bits: dict[Message, int] = {}
        self.handled: list[tuple[int, list[Event]]] = []
        self.steps: dict[tuple[int, Event], tuple[int, int]] = {}
        self.start = tuple(self.known(Member(name, made, acceptor)) for name in "ABC")

    def known(self, member: Member) -> int:
        key = member.key()
        if key not in self.ids:
            self.ids[key] = len(self.blobs)
            self.blobs.append(pickle.dumps(member))
            move = member.move()
            self.views.append(
                (
                    member.events(),
                    member.fires_as_giver(),
                    member.fires_as_taker(),
                    member.gives,
                    member.takes,
                    member.gives_held,
                    member.takes_held,
                    member.marked_at_successors,
                    member.staged_at_successors,
                    move,
                )
            )
        return self.ids[key]

    def bit(self, message: Message) -> int:
        if message not in self.bits:
            self.bits[message] = len(self.messages)
            self.messages.append(message)
            self.handled.append(("ABC".index(message[1]), self.event(message)))
        return 1 << self.bits[message]

    def step(self, number: int, event: Event) -> tuple[int, int]:
        done = self.steps.get((number, event))
        if done is None:
            member: Member = pickle.loads(self.blobs[number])
            sent = 0
            for message in member.do(event):
                sent |= self.bit(message)
            done = self.steps[number, event] = self.known(member), sent
        return done

    def event(self, message: Message) -> list[Event]:
        if message[0] == "stage":
            return [("stage", True), ("stage", False)]
        if message[0] == "staged":
            return [("on_staged",)]
        if message[0] == "refused":
            return [("call_off",)]
        if message[0] == "ask":
            return [("ask", message[2], message[3])]
        if message[0] == "answer":
            return [("answer", message[2], message[3])]
        if message[0] == "tell" or message[0] == "said":
            return [(message[0], message[2], message[3], message[4])]
        return []

    def following(self, state: State) -> Iterator[State]:
        members, sent, restarts, adoptions = state
        for place, number in enumerate(members):
            view = self.views[number]
            events = list(view[0])
            if restarts:
                events.append(("restart",))
            for event in events:
                yield self.after(state, place, event, restarts - (event[0] == "restart"))
        for index in ones(sent):
            place, events = self.handled[index]
            for event in events:
                number, new = self.step(members[place], event)
                if number != members[place] or new & ~sent:
                    yield (*members[:place], number, *members[place + 1 :]), sent | new, restarts, adoptions
        if adoptions:
            for gives, owner in ((True, 0), (False, 1)):
                view = self.views[members[owner]]
                if view[5 if gives else 6]:
                    for found in self.copies(view, gives):
                        bereft = self.after(state, owner, ("bereft", gives), restarts)
                        yield self.after((*bereft[:3], adoptions - 1), 2, ("adopt", gives, found), restarts)

    @staticmethod
    def copies(view: View, gives: bool) -> list[str | None]:
        """What a successor may have of a side when it adopts the partition:

        it knows of marks for sure once `marked` ran.
        """
        mine, sure = (view[3], view[7]) if gives else (view[4], view[8])
        if gives:
            return ["marked"] if sure else ["live"] if mine == "live" else ["live", "marked"]
        return ["staged"] if sure else [None] if mine is None else [None, "staged"]

    def after(self, state: State, place: int, event: Event, restarts: int) -> State:
        members, sent, _, adoptions = state
        number, new = self.step(members[place], event)
        return (*members[:place], number, *members[place + 1 :]), sent | new, restarts, adoptions

    def judge(self, state: State) -> None:
        """Raises UnsafeMoveError where a claim is broken."""
        members, sent, _, _ = state
        views = [self.views[number] for number in members]
        votes: dict[tuple[Ballot, DecisionValue], set[str]] = {}
        fired = False
        for message in (self.messages[index] for index in ones(sent)):
            if message[0] == "vote":
                votes.setdefault(message[2:], set()).add(message[1])
            fired = fired or message[0] == "fired"
            if message[0] == "again":
                raise UnsafeMoveError("taken again")
        decided = {value for (_, value), voters in votes.items() if len(voters) > 1}
        if len(decided) > 1:
            raise UnsafeMoveError("decided twice")
        gives = any(view[1] for view in views)
        if gives and (fired or any(view[2] for view in views)):
            raise UnsafeMoveError("both may fire")
        if sum(view[1] for view in views) > 1 or sum(view[2] for view in views) > 1:
            raise UnsafeMoveError("two holders fire")
        givers = {view[3] for view in views if view[5]}
        takers = {view[4] for view in views if view[6]}
        if not givers & {"live", "marked"} and not takers & {"staged", "live"}:
            raise UnsafeMoveError("lost")
        if decided == {"off"} and not givers & {"live", "marked"}:
            raise UnsafeMoveError("called off, and the source's gone")
        if decided == {"taker"} and not takers & {"staged", "live"} or fired and decided != {"taker"}:
            raise UnsafeMoveError("the target's without the decision, or the decision without the target's")

    def explore(self, depth: int, restarts: int, adoptions: int, every: int = 0, after: Way = ()) -> int:
        """States seen; each is judged, and one in `every` is run to its fair end. `after`: begin with these events."""
        first: State = (self.start, 0, restarts, adoptions)
        for place, event in after:
            first = self.after(first, place, event, restarts)
        seen, layer = {first}, [first]
        for _ in range(depth):
            new = []
            for state in layer:
                for following in self.following(state):
                    if following not in seen:
                        seen.add(following)
                        self.judge(following)
                        if every and len(seen) % every == 0:
                            self.fair_end(following)
                        new.append(following)
            layer = new
        return len(seen)

    def fair_end(self, state: State) -> None:
        """Every message arrives from here on, once and in order, and the clocks go on: one side must own it."""
        members: list[Member] = [pickle.loads(self.blobs[number]) for number in state[0]]
        queue: list[Message] = []
        for member in members:
            if ("learn",) in member.events():
                member.do(("learn",))
        for now in range(0, 20_000 * MS, 50 * MS):
            for member in members:
                for event in member.events():
                    if event[0] in ("on_attempts_ended", "on_marked", "on_stored"):
                        queue += member.do(event, now)
                queue += member.do(("due",), now)
            while queue:
                message = queue.pop(0)
                for event in self.event(message)[:1]:
                    queue += members["ABC".index(message[1])].do(event, now)
        gives = [member.gives for member in members if member.gives_held]
        takes = [member.takes for member in members if member.takes_held]
        fires = sum(member.fires_as_giver() + member.fires_as_taker() for member in members)
        if fires != 1 or "staged" in takes or (gives != ["live"] and takes != ["live"]):
            raise UnsafeMoveError(f"no end: {gives} {takes} {fires}")


class Hasty(MigrationTable):
    def on_staged(self, name: str, now: int) -> list[MigrationStep]:
        move = self.by_name.get(name)
        if move is None or move.source_stage is not SourceStage.OFFERED:
            return []
        move.source_stage = SourceStage.FORWARDING
        return [MigrationStep(MigrationAction.DISCARD_AT_SOURCE, name)]


class Eager(MigrationTable):
    def on_stored(self, name: str, now: int) -> list[MigrationStep]:
        acts = super().on_stored(name, now)
        self.by_name[name].target_stage = TargetStage.GRANTED
        return [MigrationStep(MigrationAction.ACTIVATE, name), *acts]


class Trusting(MigrationTable):
    def on_offer(self, name: str, key: int, room: bool, now: int) -> list[MigrationStep]:
        if name not in self.by_name:
            self.acceptor.may_add_row = lambda move: True  # type: ignore[method-assign]
            try:
                return super().on_offer(name, key, room, now)
            finally:
                del self.acceptor.may_add_row
        return super().on_offer(name, key, room, now)


class Giddy(MigrationTable):
    def call_off(self, name: str, now: int) -> list[MigrationStep]:
        move = self.by_name.get(name)
        return self._record_decision(move, "off", now) if move and move.source_stage is SourceStage.OFFERED else []


class Forgetful(Acceptor):
    def accept(self, move: str, ballot: Ballot, value: DecisionValue, now: int, key: int = 0) -> AcceptorReply:
        if move in self.rows:
            self.rows[move].promised = (0, "")
        return super().accept(move, ballot, value, now, key)


class Deaf(Proposer):
    def receive_reply(
        self, voter: str, ballot: Ballot, value: DecisionValue | None, answer: AcceptorReply, now: int
    ) -> list[ProposerRequest]:
        if value is None:
            answer = answer._replace(accepted=(0, ""), value=None)
        return super().receive_reply(voter, ballot, value, answer, now)


def asks(acts: list[MigrationStep]) -> list[ProposerRequest]:
    """What the acts ask; each of them must ask."""
    found = [act.vote_request for act in acts if act.vote_request is not None]
    assert len(found) == len(acts)
    return found


class ModelHistoriesTest(unittest.TestCase):
    def test_every_course_of_a_move_is_safe_and_has_an_end(self) -> None:
        for after, depth, restarts, adoptions, states in (
            ((), 12, 0, 0, 34283),
            ((), 9, 1, 2, 19948),
            (STAGED, 6, 1, 1, 93072),
        ):
            with self.subTest(depth=depth, restarts=restarts, adoptions=adoptions):
                self.assertEqual(Explorer().explore(depth, restarts, adoptions, 499, after), states)

    def test_a_broken_part_is_caught(self) -> None:
        for made, acceptor, after, depth in (
            (Hasty, Acceptor, STAGED, 6),
            (Eager, Acceptor, (), 8),
            (Trusting, Acceptor, STAGED, 6),
            (Giddy, Acceptor, STAGED, 5),
            (MigrationTable, Forgetful, STAGED, 8),
        ):
            with self.subTest(made=made, acceptor=acceptor), self.assertRaises(UnsafeMoveError):
                Explorer(made, acceptor).explore(depth, 1, 0, 0, after)
        with unittest.mock.patch.object(moves_module, "Proposer", Deaf), self.assertRaises(UnsafeMoveError):
            Explorer().explore(8, 0, 0, 0, STAGED)

    def test_the_clock(self) -> None:
        member = Member("A", MigrationTable, Acceptor)
        member.do(("begin",))
        moves = member.moves
        self.assertEqual((moves.next_due_at(), moves.routing_state(KEY)), (FREEZE_TIMEOUT_US, ("wait", "")))
        self.assertEqual([act.action for act in moves.due_steps(FREEZE_TIMEOUT_US)], [MigrationAction.MARK])
        self.assertEqual([act.action for act in moves.on_marked(MOVE, FREEZE_TIMEOUT_US)], [MigrationAction.STAGE])
        self.assertEqual(moves.action_near_deadline(MOVE), "failed")
        self.assertEqual(
            [act.action for act in moves.due_steps(FREEZE_TIMEOUT_US + moves_module.MIN_RETRY_US)],
            [MigrationAction.STAGE],
        )
        self.assertEqual([ask.value for ask in asks(moves.due_steps(CALL_OFF_AFTER_US))], [None] * 3)
        moves.on_decision(MOVE, "taker", False, CALL_OFF_AFTER_US)
        self.assertEqual(
            [act.action for act in moves.due_steps(CALL_OFF_AFTER_US + moves_module.MIN_RETRY_US)],
            [MigrationAction.SEND_DECISION],
        )
        self.assertEqual((moves.routing_state(KEY), moves.action_near_deadline(MOVE)), (("pass", "B"), "over"))
        self.assertEqual(
            [act.action for act in moves.due_steps(CALL_OFF_AFTER_US + FORWARDING_US)],
            [MigrationAction.DISCARD_AT_SOURCE, MigrationAction.CLOSE],
        )
        moves.due_steps(CALL_OFF_AFTER_US + FORWARDING_US + moves_module.FINISHED_RETENTION_US)
        self.assertEqual((moves.by_name, moves.by_key, moves.routing_state(KEY)), ({}, {}, ("here", "")))

    def test_a_partition_that_comes_back_is_settled_under_ballots_of_its_own(self) -> None:
        moves = Member("C", MigrationTable, Acceptor).moves
        first = {ask.ballot for ask in asks(moves.on_marks_found(MOVE, KEY, True, 0))}
        moves.forget_side(MOVE, True)
        self.assertFalse(first & {ask.ballot for ask in asks(moves.on_marks_found(MOVE, KEY, True, 0))})


class PlansTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(st.integers(0, 300), st.integers(0, 300), st.integers(1, 1 << 40))
    def test_a_hall_s_sessions_go_to_both_neighbours_by_load_within_limits(
        self, first: int, second: int, seed: int
    ) -> None:
        planner, held, left = MigrationPlanner("north"), {"E": first, "W": second}, set(range(seed, seed + 200))
        for now in range(0, 100 * MS * 60, 100 * MS):
            seen = [Neighbour(name, "south", count, 500) for name, count in held.items()]
            chosen = planner.plan([MigrationRequest(key, MigrationReason.LEAVING) for key in sorted(left)], seen, now)
            self.assertLessEqual(len(planner.targets), MAX_OUTGOING_MOVES)
            self.assertLessEqual(max(Counter(planner.targets.values()).values(), default=0), MAX_INCOMING_MOVES)
            for key, to in chosen:
                planner.note_end(key, True, now)
                held[to] += 1
                left.remove(key)
        self.assertFalse(left)
        self.assertLessEqual(max(held.values()), MAX_LOAD_SHARE * 500)
        self.assertLessEqual(abs(held["E"] - held["W"]), max(50 + MAX_OUTGOING_MOVES, abs(first - second)))

    def test_a_session_that_has_just_moved_or_was_called_off_stays(self) -> None:
        planner, there = MigrationPlanner("north"), [Neighbour("E", "south", 0, 9)]
        planner.note_arrival(KEY, 0)
        client, operator = (
            MigrationRequest(KEY, MigrationReason.CLIENT, "E"),
            MigrationRequest(KEY, MigrationReason.OPERATOR, "E"),
        )
        self.assertEqual(planner.plan([client], there, MIN_STAY_US - 1), [])
        self.assertEqual(planner.plan([operator], there, MIN_STAY_US - 1), [(KEY, "E")])
        planner.note_end(KEY, False, MIN_STAY_US)
        self.assertEqual(planner.plan([client], there, MIN_STAY_US + CALL_OFF_PAUSE_US - 1), [])
        self.assertEqual(planner.plan([client], there, MIN_STAY_US + CALL_OFF_PAUSE_US), [(KEY, "E")])
        self.assertEqual(
            planner.plan([MigrationRequest(8, MigrationReason.CLIENT, "W")], there, MIN_STAY_US + CALL_OFF_PAUSE_US), []
        )


def claim(one: SessionDirectory) -> ClaimRequest:
    asking = one.begin_claim(KEY, 0)
    assert asking is not None
    return asking


class DirectoriesTest(unittest.TestCase):
    entries = st.lists(
        st.builds(
            Entry,
            st.integers(0, 2),
            st.sampled_from(["A", "B", "me"]),
            st.integers(0, 3),
            st.sampled_from([0, 5, ENTRY_TTL_US, ENTRY_TTL_US + 1]),
        ),
        max_size=12,
    )

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(entries, st.randoms(use_true_random=False))
    def test_news_may_come_in_any_order_and_twice(self, entries: list[Entry], order: random.Random) -> None:
        one, two = SessionDirectory("me", 3, 0), SessionDirectory("me", 3, 0)
        one.merge_entries(entries, ENTRY_TTL_US)
        shuffled = entries + entries[:3]
        order.shuffle(shuffled)
        two.merge_entries(shuffled, ENTRY_TTL_US)
        self.assertEqual(one.entries, two.entries)
        self.assertNotIn(0, one.entries)

    def test_what_is_kept_is_bounded_and_forgotten(self) -> None:
        one = SessionDirectory("me", 1, 0, alone=True)
        one.begin_claim(KEY, 0)
        one.merge_entries([Entry(key, "A", 1, MAX_ENTRIES + 9 - key) for key in range(8, MAX_ENTRIES + 9)], MAX_ENTRIES)
        one.merge_entries([Entry(5, "A", 1, ENTRY_TTL_US + 1)], MAX_ENTRIES)
        self.assertIsNone(one.holder_of(5))
        self.assertEqual((len(one.entries), one.holder_of(8), one.holder_of(KEY)), (MAX_ENTRIES, None, "me"))
        self.assertEqual(one.next_locations(9, 0)[0].key, KEY)
        one.forget(ENTRY_TTL_US + MAX_ENTRIES + 1)
        self.assertEqual((one.entries, one.sessions), ({}, {}))

    def test_an_id_is_taken_once_wherever_its_client_goes(self) -> None:
        for seed in range(400):
            with self.subTest(seed=seed):
                self.course(random.Random(seed))

    def course(self, drawn: random.Random) -> None:
        names, now, taken = "ABC", 0, -ENTRY_TTL_US
        peer_messages: list[tuple[int, int, ClaimRequest, ClaimAnswer | None]] = []
        every = [SessionDirectory(name, 3, now, alone=True) for name in names]
        for _ in range(150):
            what = drawn.choice(["submit"] * 5 + ["deliver"] * 9 + ["restart"] + ["move"] * 2)
            at, other, which = drawn.randrange(3), drawn.randrange(3), drawn.randrange(10)
            later = drawn.choice([0] * 25 + [1_000_000, ID_RETENTION_US + 1, SESSION_TTL_US + 1, ENTRY_TTL_US + 1])
            now += later
            for each in every:
                each.forget(now)
            one, two, session = every[at], every[other], every[at].sessions.get(KEY)
            if what == "restart":
                every[at] = SessionDirectory(names[at], 3, now)
            elif what == "deliver" and peer_messages:  # any claim or answer that was ever sent
                to, by, asking, answer = peer_messages[-1 - which % len(peer_messages)]
                if answer is None:
                    peer_messages.append((by, to, asking, every[to].answer_claim(asking, names[by], now)))
                else:
                    every[to].record_claim_answer(asking, names[by], answer, now)
            elif what == "move" and session is not None and at != other:
                two.hold(KEY, session.sequence + 1, one.recent_ids(KEY, now), now)
                one.record_new_holder(KEY, names[other], session.sequence + 1, now)
            elif what == "submit" and at != other:  # a client at `at`, which has a link to `other` alone
                ruling, holder = one.rule(KEY, "id", 1, False, now), at
                if ruling is SubmissionRuling.FORWARD and one.holder_of(KEY) == names[other]:
                    ruling, holder = two.rule(KEY, "id", 1, True, now), other
                    if ruling is SubmissionRuling.NOT_HELD:
                        ruling = one.forward_refused(KEY, names[other], two.answer_not_held(KEY, now), now)
                begun = one.begin_claim(KEY, now) if ruling is SubmissionRuling.CLAIM else None
                if begun is not None:
                    peer_messages += [(to, at, begun, None) for to in range(3) if to != at]
                if ruling is SubmissionRuling.ACCEPT:
                    self.assertGreater(now - taken, ID_RETENTION_US)
                    taken = now
                    every[holder].record_accepted(KEY, "id", 1, now)
                    told = every[holder].next_locations(
                        9, now
                    )  # its lease was renewed by a majority, which hears this too
                    every[at + other - holder].merge_entries(told, now)

    def test_who_does_not_hold_a_session_neither_takes_nor_opens_it(self) -> None:
        one, two = SessionDirectory("A", 3, 0, alone=True), SessionDirectory("B", 3, 0, alone=True)
        self.assertIs(one.rule(KEY, "id", 1, True, 0), SubmissionRuling.NOT_HELD)
        asking = claim(one)
        self.assertEqual(
            (one.rule(KEY, "id", 1, False, 0), one.answer_not_held(KEY, 0).granted), (SubmissionRuling.BUSY, False)
        )
        self.assertIs(one.rule(KEY, "id", 1, False, CLAIM_TIMEOUT_US), SubmissionRuling.CLAIM)
        self.assertTrue(one.record_claim_answer(asking, "B", two.answer_claim(asking, "A", 0), 0))
        self.assertFalse(one.answer_claim(ClaimRequest(KEY, 9, (8, "A"), 0), "C", 0).granted)
        one.record_accepted(KEY, "id", 1, 0)
        two.hold(KEY, 2, one.recent_ids(KEY, 5), 5)
        one.record_new_holder(KEY, "B", 2, 5)
        self.assertEqual(
            [two.rule(KEY, "id", hashed, True, ID_RETENTION_US) for hashed in (1, 2)],
            [SubmissionRuling.DUPLICATE, SubmissionRuling.CONFLICT],
        )
        self.assertIs(two.rule(KEY, "id", 2, True, ID_RETENTION_US + 1), SubmissionRuling.ACCEPT)
        self.assertIs(one.rule(KEY, "id", 1, False, 6), SubmissionRuling.FORWARD)
        two.expire_entries_of("A", 6)
        one.expire_entries_of("B", 6)
        one.forget(7 + ID_RETENTION_US)
        self.assertEqual((one.holder_of(KEY), two.holder_of(KEY)), (None, "B"))

    def test_who_has_just_started_or_slept_trusts_nothing_of_its_own(self) -> None:
        new, old = SessionDirectory("A", 3, 0), SessionDirectory("B", 3, 0, alone=True)
        self.assertFalse(
            new.answer_not_held(KEY, ID_RETENTION_US - 1).granted or new.begin_claim(KEY, ID_RETENTION_US - 1)
        )
        self.assertFalse(new.answer_claim(claim(old), "B", ID_RETENTION_US - 1).granted)
        self.assertTrue(new.answer_not_held(KEY, ID_RETENTION_US).granted)
        old.hold(KEY, 4, {}, 0)
        self.assertIs(old.rule(KEY, "id", 1, False, SESSION_TTL_US), SubmissionRuling.ACCEPT)
        self.assertIs(old.rule(KEY, "id", 1, False, SESSION_TTL_US + 1), SubmissionRuling.CLAIM)
        old.merge_entries([Entry(KEY, "A", 5, 0)], 1)
        self.assertIs(old.rule(KEY, "id", 1, False, 1), SubmissionRuling.FORWARD)

    def test_of_two_claims_at_once_one_gives_way(self) -> None:
        one, two, third = (SessionDirectory(name, 3, 0, alone=True) for name in "ABC")
        first, second = claim(one), claim(two)
        self.assertFalse(two.answer_claim(first, "A", 0).granted)
        for asking, now in ((second._replace(at=-1), 0), (second, CLAIM_TIMEOUT_US)):
            self.assertFalse(two.record_claim_answer(asking, "C", ClaimAnswer(True, None), now))
        self.assertTrue(two.record_claim_answer(second, "A", one.answer_claim(second, "B", 0), 0))
        self.assertTrue(third.answer_claim(first, "A", 0).granted)
        self.assertFalse(one.record_claim_answer(first, "C", third.answer_claim(first, "A", 0), 0))

    def test_contents_tell_parts_apart(self) -> None:
        self.assertNotEqual(contents_hash("ab", b"c"), contents_hash("a", b"bc"))
