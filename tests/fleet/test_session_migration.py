"""Session migrations: a bounded model check of the state machine, and the planner and session directory."""

import pickle
import random
import unittest
import unittest.mock
from collections import Counter
from collections.abc import Iterator
from typing import Literal

from hypothesis import given, settings
from hypothesis import strategies as st

from cedarwick.fleet import migration_table as migration_table_module
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
    SessionDirectory,
    SessionEntry,
    SubmissionRuling,
    hash_contents,
)

KEY, MS = 7, 1000
MOVE = format_move_name(10, "A", "B")
FROZEN = (SourceStage.FREEZING, SourceStage.OFFERED, SourceStage.FORWARDING)

# Events of a member, and messages that it sends. The first name in a message is its receiver, or its sender where the
# message is only evidence for `Explorer.check`.
Event = (
    tuple[
        Literal[
            "begin",
            "on_attempts_ended",
            "on_marked",
            "on_staged",
            "call_off",
            "on_stored",
            "full_round",
            "learn_loss",
            "restart",
            "due",
        ]
    ]
    | tuple[Literal["stage", "lose_partition"], bool]
    | tuple[Literal["adopt"], bool, str | None]
    | tuple[Literal["vote_request"], str, ProposerRequest]
    | tuple[Literal["vote_reply"], ProposerRequest, AcceptorReply]
    | tuple[Literal["decision", "decision_reply"], str, DecisionValue, bool]
)
VoteReplyMessage = tuple[Literal["vote_reply"], str, ProposerRequest, AcceptorReply]
Message = (
    tuple[Literal["stage", "staged", "refused", "stored_again", "activated"], str]
    | tuple[Literal["vote_request"], str, str, ProposerRequest]
    | VoteReplyMessage
    | tuple[Literal["decision", "decision_reply"], str, str, DecisionValue, bool]
    | tuple[Literal["granted"], str, Ballot, DecisionValue]
)
State = tuple[tuple[int, ...], int, int, int]  # members, messages sent, restarts and adoptions left
View = tuple[list[Event], bool, bool, str | None, str | None, bool, bool, bool, bool, Migration | None]
EventPath = tuple[tuple[int, Event], ...]

STAGED: EventPath = (
    (0, ("begin",)),
    (0, ("on_attempts_ended",)),
    (0, ("on_marked",)),
    (1, ("stage", True)),
    (1, ("on_stored",)),
)  # the path without failures until the session is staged


def jitter(failed: int) -> int:
    return 30 * MS * failed


class Member:
    """One sender: the contents of its folder, and its migrations, which are lost in a restart."""

    def __init__(self, name: str, table_class: type[MigrationTable], acceptor: type[Acceptor]) -> None:
        self.name, self.table_class, self.boots = name, table_class, 0
        self.acceptor = acceptor(0)
        self.migrations = table_class(name, f"{name}#0", ("A", "B", "C"), self.acceptor, jitter)
        self.source_copy: str | None = "live" if name == "A" else None  # live, marked, over
        self.target_copy: str | None = None  # staged, live, dropped
        self.marked_at_successors = self.staged_at_successors = False
        self.holds_source_partition, self.holds_target_partition = name == "A", name == "B"

    def state_key(self) -> str:
        return repr(
            (
                self.name,
                self.boots,
                self.acceptor.rows,
                self.migrations.by_name,
                self.source_copy,
                self.target_copy,
                self.marked_at_successors,
                self.staged_at_successors,
                self.holds_source_partition,
                self.holds_target_partition,
            )
        )

    def move(self) -> Migration | None:
        return self.migrations.by_name.get(MOVE)

    def sends_as_source(self) -> bool:
        move = self.move()
        return (
            self.holds_source_partition
            and self.source_copy == "live"
            and (move is None or move.source_stage not in FROZEN)
        )

    def sends_as_target(self) -> bool:
        return self.holds_target_partition and self.target_copy == "live"

    def events(self) -> list[Event]:
        """The events that can occur without a message."""
        move = self.move()
        found: list[Event] = []
        if self.name == "A" and self.source_copy == "live" and move is None and not self.boots:
            found.append(("begin",))
        if move is not None:
            if move.source_stage is SourceStage.FREEZING:
                found.append(("on_marked",) if move.marking else ("on_attempts_ended",))
            if move.source_stage in (SourceStage.FREEZING, SourceStage.OFFERED) and move.proposer is None:
                found.append(("call_off",))
            if move.target_stage is TargetStage.STAGED and not move.stored and self.holds_target_partition:
                found.append(("on_stored",))
            if move.value is None and move.proposer is not None and move.proposer.highest_round < 3:
                found.append(("full_round",))
            if (move.source_stage and not self.holds_source_partition) or (
                move.target_stage and not self.holds_target_partition
            ):
                found.append(("learn_loss",))
        return found

    def apply(self, event: Event, now: int = 0) -> list[Message]:
        """Apply an event, and return the messages that the member sends."""
        sent: list[Message] = []
        steps: list[MigrationStep] = []
        move = self.move()
        if event[0] == "begin":
            steps = self.migrations.begin(MOVE, KEY, now)
        elif event[0] == "on_marked":
            self.source_copy = "marked"
            if not self.holds_source_partition:
                return sent
            self.marked_at_successors = True
            steps = self.migrations.on_marked(MOVE, now)
        elif event[0] == "on_stored":
            self.staged_at_successors = True
            steps = self.migrations.on_stored(MOVE, now)
        elif event[0] == "full_round":
            assert move is not None and move.proposer is not None
            steps = self.migrations._vote_requests(move.proposer.begin_full_round(now))
        elif event[0] == "learn_loss":
            for at_source in [
                each
                for each, held in ((True, self.holds_source_partition), (False, self.holds_target_partition))
                if not held
            ]:
                self.migrations.forget_side(MOVE, at_source)
                self.source_copy, self.target_copy = (None, self.target_copy) if at_source else (self.source_copy, None)
        elif event[0] == "restart":
            self.boots += 1
            self.migrations = self.table_class(
                self.name, f"{self.name}#{self.boots}", ("A", "B", "C"), self.acceptor, jitter
            )
            table = self.acceptor.table()
            self.acceptor.load(table, now)
            if self.holds_source_partition and self.source_copy == "marked":
                steps += self.migrations.on_marks_found(MOVE, KEY, True, now)
            if self.holds_target_partition and self.target_copy == "staged":
                self.staged_at_successors = True
                steps += self.migrations.on_marks_found(MOVE, KEY, False, now)
        elif event[0] == "adopt":
            _, at_source, found = event
            if at_source:
                self.source_copy, self.holds_source_partition = found, True
            else:
                self.target_copy, self.holds_target_partition, self.staged_at_successors = found, True, True
            steps = self.migrations.on_marks_found(MOVE, KEY, at_source, now) if found in ("marked", "staged") else []
        elif event[0] == "lose_partition":
            self.holds_source_partition, self.holds_target_partition = (
                (False, self.holds_target_partition) if event[1] else (self.holds_source_partition, False)
            )
            return sent
        elif event[0] == "stage":
            steps = self.migrations.on_offer(MOVE, KEY, event[1], now)
        elif event[0] == "vote_request":
            votes, answer = self.vote(event[1], event[2])
            return [*votes, answer]
        elif event[0] == "decision" or event[0] == "decision_reply":
            steps = self.migrations.on_decision(MOVE, event[2], event[3], now)
            value, active = self.migrations.known_decision(MOVE)
            if value is not None and event[0] == "decision":
                sent.append(("decision_reply", event[1], self.name, value, active))
        elif event[0] == "vote_reply":
            steps = self.migrations.on_vote_reply(event[1], event[2], now)
        elif event[0] == "due":
            steps = self.migrations.due_steps(now)
        else:
            steps = getattr(self.migrations, event[0])(MOVE, now)
        for step in steps:
            sent += self.carry_out(step, now)
        return sent

    def carry_out(self, step: MigrationStep, now: int) -> list[Message]:
        if step.action is MigrationAction.REQUEST_VOTE:
            assert step.vote_request is not None
            if step.to == self.name:
                votes, answer = self.vote(self.name, step.vote_request, now)
                return votes + self.apply(("vote_reply", answer[2], answer[3]), now)
            return [("vote_request", step.to, self.name, step.vote_request)]
        if step.action is MigrationAction.SEND_DECISION:
            assert step.value is not None
            return [
                ("decision", to, self.name, step.value, step.active)
                for to in ([step.to] if step.to else "ABC")
                if to != self.name
            ]
        if step.action is MigrationAction.STAGE:
            return [("stage", "B")]
        if step.action is MigrationAction.CONFIRM_STAGED:
            return [("staged", "A")]
        if step.action is MigrationAction.REFUSE:
            return [("refused", "A")]
        if step.action is MigrationAction.STORE_OFFER:
            stored_again: list[Message] = (
                [("stored_again", self.name)] if self.target_copy in ("live", "dropped") else []
            )
            self.target_copy = "staged"
            return stored_again
        elif step.action is MigrationAction.ACTIVATE:
            self.target_copy = "live"
            sent: list[Message] = [("activated", self.name)] if self.holds_target_partition else []
            for each in self.migrations.on_activated(MOVE, now):
                sent += self.carry_out(each, now)
            return sent
        elif step.action is MigrationAction.DISCARD_AT_TARGET:
            self.target_copy = "dropped"
        elif step.action is MigrationAction.RELEASE:
            self.source_copy = "live"
        elif step.action is MigrationAction.DISCARD_AT_SOURCE:
            self.source_copy = "over"
        return []

    def vote(self, by: str, request: ProposerRequest, now: int = 0) -> tuple[list[Message], VoteReplyMessage]:
        acceptor = self.acceptor
        if request.value is None:
            answer = acceptor.prepare(request.move, request.ballot, now)
        else:
            answer = acceptor.accept(request.move, request.ballot, request.value, now)
        votes: list[Message] = (
            [("granted", self.name, request.ballot, request.value)] if answer.granted and request.value else []
        )
        return votes, ("vote_reply", by, request, answer._replace(unsaved_row=None))


class UnsafeMoveError(Exception):
    pass


def set_bits(mask: int) -> Iterator[int]:
    while mask:
        lowest = mask & -mask
        yield lowest.bit_length() - 1
        mask ^= lowest


class Explorer:
    """Explores the states (members, messages sent, restarts and adoptions left) breadth first.

    The messages form a set that only grows. Each may be delivered at any time, in any order, any number of times or
    never, which covers lost messages and crashes before a send.
    """

    def __init__(self, table_class: type[MigrationTable] = MigrationTable, acceptor: type[Acceptor] = Acceptor) -> None:
        self.member_ids: dict[str, int] = {}
        self.pickles: list[bytes] = []
        self.views: list[View] = []
        self.messages: list[Message] = []
        self.message_bits: dict[Message, int] = {}
        self.deliveries: list[tuple[int, list[Event]]] = []
        self.transitions: dict[tuple[int, Event], tuple[int, int]] = {}
        self.start = tuple(self.intern(Member(name, table_class, acceptor)) for name in "ABC")

    def intern(self, member: Member) -> int:
        key = member.state_key()
        if key not in self.member_ids:
            self.member_ids[key] = len(self.pickles)
            self.pickles.append(pickle.dumps(member))
            move = member.move()
            self.views.append(
                (
                    member.events(),
                    member.sends_as_source(),
                    member.sends_as_target(),
                    member.source_copy,
                    member.target_copy,
                    member.holds_source_partition,
                    member.holds_target_partition,
                    member.marked_at_successors,
                    member.staged_at_successors,
                    move,
                )
            )
        return self.member_ids[key]

    def message_bit(self, message: Message) -> int:
        if message not in self.message_bits:
            self.message_bits[message] = len(self.messages)
            self.messages.append(message)
            self.deliveries.append(("ABC".index(message[1]), self.events_on(message)))
        return 1 << self.message_bits[message]

    def apply_event(self, member_id: int, event: Event) -> tuple[int, int]:
        result = self.transitions.get((member_id, event))
        if result is None:
            member: Member = pickle.loads(self.pickles[member_id])
            sent = 0
            for message in member.apply(event):
                sent |= self.message_bit(message)
            result = self.transitions[member_id, event] = self.intern(member), sent
        return result

    def events_on(self, message: Message) -> list[Event]:
        if message[0] == "stage":
            return [("stage", True), ("stage", False)]
        if message[0] == "staged":
            return [("on_staged",)]
        if message[0] == "refused":
            return [("call_off",)]
        if message[0] == "vote_request":
            return [("vote_request", message[2], message[3])]
        if message[0] == "vote_reply":
            return [("vote_reply", message[2], message[3])]
        if message[0] == "decision" or message[0] == "decision_reply":
            return [(message[0], message[2], message[3], message[4])]
        return []

    def next_states(self, state: State) -> Iterator[State]:
        members, sent, restarts, adoptions = state
        for position, member_id in enumerate(members):
            view = self.views[member_id]
            events = list(view[0])
            if restarts:
                events.append(("restart",))
            for event in events:
                yield self.state_after(state, position, event, restarts - (event[0] == "restart"))
        for bit in set_bits(sent):
            position, events = self.deliveries[bit]
            for event in events:
                member_id, new_messages = self.apply_event(members[position], event)
                if member_id != members[position] or new_messages & ~sent:
                    yield (
                        (*members[:position], member_id, *members[position + 1 :]),
                        sent | new_messages,
                        restarts,
                        adoptions,
                    )
        if adoptions:
            for at_source, owner in ((True, 0), (False, 1)):
                view = self.views[members[owner]]
                if view[5 if at_source else 6]:
                    for found in self.possible_copies(view, at_source):
                        without_partition = self.state_after(state, owner, ("lose_partition", at_source), restarts)
                        yield self.state_after(
                            (*without_partition[:3], adoptions - 1), 2, ("adopt", at_source, found), restarts
                        )

    @staticmethod
    def possible_copies(view: View, at_source: bool) -> list[str | None]:
        """What a successor may have of one side when it adopts the partition.

        It is certain to have the marks once the holder has seen them at every successor.
        """
        copy, is_certain = (view[3], view[7]) if at_source else (view[4], view[8])
        if at_source:
            return ["marked"] if is_certain else ["live"] if copy == "live" else ["live", "marked"]
        return ["staged"] if is_certain else [None] if copy is None else [None, "staged"]

    def state_after(self, state: State, position: int, event: Event, restarts: int) -> State:
        members, sent, _, adoptions = state
        member_id, new_messages = self.apply_event(members[position], event)
        return (*members[:position], member_id, *members[position + 1 :]), sent | new_messages, restarts, adoptions

    def check(self, state: State) -> None:
        """Raise UnsafeMoveError if the state violates an invariant."""
        members, sent, _, _ = state
        views = [self.views[member_id] for member_id in members]
        votes: dict[tuple[Ballot, DecisionValue], set[str]] = {}
        activated = False
        for message in (self.messages[bit] for bit in set_bits(sent)):
            if message[0] == "granted":
                votes.setdefault(message[2:], set()).add(message[1])
            activated = activated or message[0] == "activated"
            if message[0] == "stored_again":
                raise UnsafeMoveError("an offer was stored again")
        decided = {value for (_, value), voters in votes.items() if len(voters) > 1}
        if len(decided) > 1:
            raise UnsafeMoveError("two values were decided")
        source_sends = any(view[1] for view in views)
        if source_sends and (activated or any(view[2] for view in views)):
            raise UnsafeMoveError("both sides may send attempts")
        if sum(view[1] for view in views) > 1 or sum(view[2] for view in views) > 1:
            raise UnsafeMoveError("two holders of one side may send attempts")
        source_copies = {view[3] for view in views if view[5]}
        target_copies = {view[4] for view in views if view[6]}
        if not source_copies & {"live", "marked"} and not target_copies & {"staged", "live"}:
            raise UnsafeMoveError("the messages are lost")
        if decided == {"off"} and not source_copies & {"live", "marked"}:
            raise UnsafeMoveError("the move was called off, but the source has no messages")
        if decided == {"taker"} and not target_copies & {"staged", "live"} or activated and decided != {"taker"}:
            raise UnsafeMoveError("the target is active without the decision, or has no messages after it")

    def explore(self, depth: int, restarts: int, adoptions: int, every: int = 0, after: EventPath = ()) -> int:
        """Check all states within `depth` events and return their number.

        The exploration begins after the events of `after`. From one state in `every`, `check_fair_end` is run.
        """
        first: State = (self.start, 0, restarts, adoptions)
        for position, event in after:
            first = self.state_after(first, position, event, restarts)
        seen, layer = {first}, [first]
        for _ in range(depth):
            next_layer = []
            for state in layer:
                for next_state in self.next_states(state):
                    if next_state not in seen:
                        seen.add(next_state)
                        self.check(next_state)
                        if every and len(seen) % every == 0:
                            self.check_fair_end(next_state)
                        next_layer.append(next_state)
            layer = next_layer
        return len(seen)

    def check_fair_end(self, state: State) -> None:
        """From here on each message arrives once, in order, and time passes: exactly one side must own the session."""
        members: list[Member] = [pickle.loads(self.pickles[number]) for number in state[0]]
        queue: list[Message] = []
        for member in members:
            if ("learn_loss",) in member.events():
                member.apply(("learn_loss",))
        for now in range(0, 20_000 * MS, 50 * MS):
            for member in members:
                for event in member.events():
                    if event[0] in ("on_attempts_ended", "on_marked", "on_stored"):
                        queue += member.apply(event, now)
                queue += member.apply(("due",), now)
            while queue:
                message = queue.pop(0)
                for event in self.events_on(message)[:1]:
                    queue += members["ABC".index(message[1])].apply(event, now)
        source_copies = [member.source_copy for member in members if member.holds_source_partition]
        target_copies = [member.target_copy for member in members if member.holds_target_partition]
        sending_sides = sum(member.sends_as_source() + member.sends_as_target() for member in members)
        if sending_sides != 1 or "staged" in target_copies or (source_copies != ["live"] and target_copies != ["live"]):
            raise UnsafeMoveError(f"the move did not end: {source_copies} {target_copies} {sending_sides}")


class DiscardsBeforeDecision(MigrationTable):
    def on_staged(self, name: str, now: int) -> list[MigrationStep]:
        move = self.by_name.get(name)
        if move is None or move.source_stage is not SourceStage.OFFERED:
            return []
        move.source_stage = SourceStage.FORWARDING
        return [MigrationStep(MigrationAction.DISCARD_AT_SOURCE, name)]


class ActivatesBeforeDecision(MigrationTable):
    def on_stored(self, name: str, now: int) -> list[MigrationStep]:
        steps = super().on_stored(name, now)
        self.by_name[name].target_stage = TargetStage.GRANTED
        return [MigrationStep(MigrationAction.ACTIVATE, name), *steps]


class StoresOfferTwice(MigrationTable):
    def on_offer(self, name: str, key: int, has_room: bool, now: int) -> list[MigrationStep]:
        if name not in self.by_name:
            self.acceptor.may_add_row = lambda move: True  # type: ignore[method-assign]
            try:
                return super().on_offer(name, key, has_room, now)
            finally:
                del self.acceptor.may_add_row
        return super().on_offer(name, key, has_room, now)


class CallsOffWithoutDecision(MigrationTable):
    def call_off(self, name: str, now: int) -> list[MigrationStep]:
        move = self.by_name.get(name)
        return self._record_decision(move, "off", now) if move and move.source_stage is SourceStage.OFFERED else []


class ForgetsPromises(Acceptor):
    def accept(self, move: str, ballot: Ballot, value: DecisionValue, now: int, key: int = 0) -> AcceptorReply:
        if move in self.rows:
            self.rows[move].promised = (0, "")
        return super().accept(move, ballot, value, now, key)


class IgnoresAcceptedValues(Proposer):
    def receive_reply(
        self, voter: str, ballot: Ballot, value: DecisionValue | None, answer: AcceptorReply, now: int
    ) -> list[ProposerRequest]:
        if value is None:
            answer = answer._replace(accepted=(0, ""), value=None)
        return super().receive_reply(voter, ballot, value, answer, now)


def vote_requests(steps: list[MigrationStep]) -> list[ProposerRequest]:
    """The vote requests of steps, all of which must have one."""
    requests = [step.vote_request for step in steps if step.vote_request is not None]
    assert len(requests) == len(steps)
    return requests


class MigrationModelTest(unittest.TestCase):
    def test_every_reachable_state_is_safe_and_every_move_ends(self) -> None:
        for after, depth, restarts, adoptions, state_count in (
            ((), 12, 0, 0, 34283),
            ((), 9, 1, 2, 19948),
            (STAGED, 6, 1, 1, 93072),
        ):
            with self.subTest(depth=depth, restarts=restarts, adoptions=adoptions):
                self.assertEqual(Explorer().explore(depth, restarts, adoptions, 499, after), state_count)

    def test_the_model_check_detects_faulty_implementations(self) -> None:
        for table_class, acceptor, after, depth in (
            (DiscardsBeforeDecision, Acceptor, STAGED, 6),
            (ActivatesBeforeDecision, Acceptor, (), 8),
            (StoresOfferTwice, Acceptor, STAGED, 6),
            (CallsOffWithoutDecision, Acceptor, STAGED, 5),
            (MigrationTable, ForgetsPromises, STAGED, 8),
        ):
            with self.subTest(table_class=table_class, acceptor=acceptor), self.assertRaises(UnsafeMoveError):
                Explorer(table_class, acceptor).explore(depth, 1, 0, 0, after)
        with (
            unittest.mock.patch.object(migration_table_module, "Proposer", IgnoresAcceptedValues),
            self.assertRaises(UnsafeMoveError),
        ):
            Explorer().explore(8, 0, 0, 0, STAGED)

    def test_retries_and_timeouts_of_a_source(self) -> None:
        member = Member("A", MigrationTable, Acceptor)
        member.apply(("begin",))
        migrations = member.migrations
        self.assertEqual((migrations.next_due_at(), migrations.routing_state(KEY)), (FREEZE_TIMEOUT_US, ("wait", "")))
        self.assertEqual([step.action for step in migrations.due_steps(FREEZE_TIMEOUT_US)], [MigrationAction.MARK])
        self.assertEqual(
            [step.action for step in migrations.on_marked(MOVE, FREEZE_TIMEOUT_US)], [MigrationAction.STAGE]
        )
        self.assertEqual(migrations.action_near_deadline(MOVE), "failed")
        self.assertEqual(
            [step.action for step in migrations.due_steps(FREEZE_TIMEOUT_US + migration_table_module.MIN_RETRY_US)],
            [MigrationAction.STAGE],
        )
        self.assertEqual(
            [request.value for request in vote_requests(migrations.due_steps(CALL_OFF_AFTER_US))], [None] * 3
        )
        migrations.on_decision(MOVE, "taker", False, CALL_OFF_AFTER_US)
        self.assertEqual(
            [step.action for step in migrations.due_steps(CALL_OFF_AFTER_US + migration_table_module.MIN_RETRY_US)],
            [MigrationAction.SEND_DECISION],
        )
        self.assertEqual(
            (migrations.routing_state(KEY), migrations.action_near_deadline(MOVE)), (("pass", "B"), "over")
        )
        self.assertEqual(
            [step.action for step in migrations.due_steps(CALL_OFF_AFTER_US + FORWARDING_US)],
            [MigrationAction.DISCARD_AT_SOURCE, MigrationAction.CLOSE],
        )
        migrations.due_steps(CALL_OFF_AFTER_US + FORWARDING_US + migration_table_module.FINISHED_RETENTION_US)
        self.assertEqual((migrations.by_name, migrations.by_key, migrations.routing_state(KEY)), ({}, {}, ("here", "")))

    def test_a_move_found_again_is_settled_with_new_ballots(self) -> None:
        migrations = Member("C", MigrationTable, Acceptor).migrations
        first = {request.ballot for request in vote_requests(migrations.on_marks_found(MOVE, KEY, True, 0))}
        migrations.forget_side(MOVE, True)
        self.assertFalse(
            first & {request.ballot for request in vote_requests(migrations.on_marks_found(MOVE, KEY, True, 0))}
        )


class MigrationPlannerTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(st.integers(0, 300), st.integers(0, 300), st.integers(1, 1 << 40))
    def test_sessions_of_a_leaving_sender_are_spread_by_load_within_limits(
        self, first: int, second: int, seed: int
    ) -> None:
        planner, held, remaining = MigrationPlanner("north"), {"E": first, "W": second}, set(range(seed, seed + 200))
        for now in range(0, 100 * MS * 60, 100 * MS):
            neighbours = [Neighbour(name, "south", count, 500) for name, count in held.items()]
            chosen = planner.plan(
                [MigrationRequest(key, MigrationReason.LEAVING) for key in sorted(remaining)], neighbours, now
            )
            self.assertLessEqual(len(planner.targets), MAX_OUTGOING_MOVES)
            self.assertLessEqual(max(Counter(planner.targets.values()).values(), default=0), MAX_INCOMING_MOVES)
            for key, target in chosen:
                planner.note_end(key, True, now)
                held[target] += 1
                remaining.remove(key)
        self.assertFalse(remaining)
        self.assertLessEqual(max(held.values()), MAX_LOAD_SHARE * 500)
        self.assertLessEqual(abs(held["E"] - held["W"]), max(50 + MAX_OUTGOING_MOVES, abs(first - second)))

    def test_a_session_stays_for_a_while_after_a_move_or_a_call_off(self) -> None:
        planner, neighbours = MigrationPlanner("north"), [Neighbour("E", "south", 0, 9)]
        planner.note_arrival(KEY, 0)
        client, operator = (
            MigrationRequest(KEY, MigrationReason.CLIENT, "E"),
            MigrationRequest(KEY, MigrationReason.OPERATOR, "E"),
        )
        self.assertEqual(planner.plan([client], neighbours, MIN_STAY_US - 1), [])
        self.assertEqual(planner.plan([operator], neighbours, MIN_STAY_US - 1), [(KEY, "E")])
        planner.note_end(KEY, False, MIN_STAY_US)
        self.assertEqual(planner.plan([client], neighbours, MIN_STAY_US + CALL_OFF_PAUSE_US - 1), [])
        self.assertEqual(planner.plan([client], neighbours, MIN_STAY_US + CALL_OFF_PAUSE_US), [(KEY, "E")])
        self.assertEqual(
            planner.plan(
                [MigrationRequest(8, MigrationReason.CLIENT, "W")], neighbours, MIN_STAY_US + CALL_OFF_PAUSE_US
            ),
            [],
        )


def opened_claim(directory: SessionDirectory) -> ClaimRequest:
    request = directory.begin_claim(KEY, 0)
    assert request is not None
    return request


class SessionDirectoryTest(unittest.TestCase):
    entries = st.lists(
        st.builds(
            SessionEntry,
            st.integers(0, 2),
            st.sampled_from(["A", "B", "me"]),
            st.integers(0, 3),
            st.sampled_from([0, 5, ENTRY_TTL_US, ENTRY_TTL_US + 1]),
        ),
        max_size=12,
    )

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(entries, st.randoms(use_true_random=False))
    def test_entries_merge_alike_in_any_order_and_when_repeated(
        self, entries: list[SessionEntry], order: random.Random
    ) -> None:
        one, two = SessionDirectory("me", 3, 0), SessionDirectory("me", 3, 0)
        one.merge_entries(entries, ENTRY_TTL_US)
        shuffled = entries + entries[:3]
        order.shuffle(shuffled)
        two.merge_entries(shuffled, ENTRY_TTL_US)
        self.assertEqual(one.entries, two.entries)
        self.assertNotIn(0, one.entries)

    def test_entries_and_sessions_are_bounded_and_expire(self) -> None:
        one = SessionDirectory("me", 1, 0, has_no_history=True)
        one.begin_claim(KEY, 0)
        one.merge_entries(
            [SessionEntry(key, "A", 1, MAX_ENTRIES + 9 - key) for key in range(8, MAX_ENTRIES + 9)], MAX_ENTRIES
        )
        one.merge_entries([SessionEntry(5, "A", 1, ENTRY_TTL_US + 1)], MAX_ENTRIES)
        self.assertIsNone(one.holder_of(5))
        self.assertEqual((len(one.entries), one.holder_of(8), one.holder_of(KEY)), (MAX_ENTRIES, None, "me"))
        self.assertEqual(one.next_locations(9, 0)[0].key, KEY)
        one.clean_up(ENTRY_TTL_US + MAX_ENTRIES + 1)
        self.assertEqual((one.entries, one.sessions), ({}, {}))

    def test_an_id_is_accepted_once_at_whichever_member_its_client_submits_it(self) -> None:
        for seed in range(400):
            with self.subTest(seed=seed):
                self.run_random_events(random.Random(seed))

    def run_random_events(self, rng: random.Random) -> None:
        names, now, accepted_at = "ABC", 0, -ENTRY_TTL_US
        peer_messages: list[tuple[int, int, ClaimRequest, ClaimAnswer | None]] = []
        directories = [SessionDirectory(name, 3, now, has_no_history=True) for name in names]
        for _ in range(150):
            action = rng.choice(["submit"] * 5 + ["deliver"] * 9 + ["restart"] + ["move"] * 2)
            at, other, index = rng.randrange(3), rng.randrange(3), rng.randrange(10)
            elapsed = rng.choice([0] * 25 + [1_000_000, ID_RETENTION_US + 1, SESSION_TTL_US + 1, ENTRY_TTL_US + 1])
            now += elapsed
            for each in directories:
                each.clean_up(now)
            one, two, session = directories[at], directories[other], directories[at].sessions.get(KEY)
            if action == "restart":
                directories[at] = SessionDirectory(names[at], 3, now)
            elif action == "deliver" and peer_messages:  # any claim or answer sent so far
                to, by, request, answer = peer_messages[-1 - index % len(peer_messages)]
                if answer is None:
                    peer_messages.append((by, to, request, directories[to].answer_claim(request, names[by], now)))
                else:
                    directories[to].record_claim_answer(request, names[by], answer, now)
            elif action == "move" and session is not None and at != other:
                two.hold(KEY, session.sequence + 1, one.recent_ids(KEY, now), now)
                one.record_new_holder(KEY, names[other], session.sequence + 1, now)
            elif action == "submit" and at != other:  # a client at `at`, which reaches only `other`
                ruling, holder = one.rule_on_submission(KEY, "id", 1, False, now), at
                if ruling is SubmissionRuling.FORWARD and one.holder_of(KEY) == names[other]:
                    ruling, holder = two.rule_on_submission(KEY, "id", 1, True, now), other
                    if ruling is SubmissionRuling.NOT_HELD:
                        ruling = one.forward_refused(KEY, names[other], two.answer_not_held(KEY, now), now)
                claim_request = one.begin_claim(KEY, now) if ruling is SubmissionRuling.CLAIM else None
                if claim_request is not None:
                    peer_messages += [(to, at, claim_request, None) for to in range(3) if to != at]
                if ruling is SubmissionRuling.ACCEPT:
                    self.assertGreater(now - accepted_at, ID_RETENTION_US)
                    accepted_at = now
                    directories[holder].record_accepted(KEY, "id", 1, now)
                    # The majority that has renewed the holder's lease gets these entries too.
                    entries = directories[holder].next_locations(9, now)
                    directories[at + other - holder].merge_entries(entries, now)

    def test_a_member_that_does_not_hold_a_session_neither_accepts_for_it_nor_opens_it(self) -> None:
        one, two = SessionDirectory("A", 3, 0, has_no_history=True), SessionDirectory("B", 3, 0, has_no_history=True)
        self.assertIs(one.rule_on_submission(KEY, "id", 1, True, 0), SubmissionRuling.NOT_HELD)
        request = opened_claim(one)
        self.assertEqual(
            (one.rule_on_submission(KEY, "id", 1, False, 0), one.answer_not_held(KEY, 0).granted),
            (SubmissionRuling.BUSY, False),
        )
        self.assertIs(one.rule_on_submission(KEY, "id", 1, False, CLAIM_TIMEOUT_US), SubmissionRuling.CLAIM)
        self.assertTrue(one.record_claim_answer(request, "B", two.answer_claim(request, "A", 0), 0))
        self.assertFalse(one.answer_claim(ClaimRequest(KEY, 9, (8, "A"), 0), "C", 0).granted)
        one.record_accepted(KEY, "id", 1, 0)
        two.hold(KEY, 2, one.recent_ids(KEY, 5), 5)
        one.record_new_holder(KEY, "B", 2, 5)
        self.assertEqual(
            [two.rule_on_submission(KEY, "id", hashed, True, ID_RETENTION_US) for hashed in (1, 2)],
            [SubmissionRuling.DUPLICATE, SubmissionRuling.CONFLICT],
        )
        self.assertIs(two.rule_on_submission(KEY, "id", 2, True, ID_RETENTION_US + 1), SubmissionRuling.ACCEPT)
        self.assertIs(one.rule_on_submission(KEY, "id", 1, False, 6), SubmissionRuling.FORWARD)
        two.expire_entries_of("A", 6)
        one.expire_entries_of("B", 6)
        one.clean_up(7 + ID_RETENTION_US)
        self.assertEqual((one.holder_of(KEY), two.holder_of(KEY)), (None, "B"))

    def test_a_member_does_not_trust_its_own_state_after_a_start_or_a_pause(self) -> None:
        new, old = SessionDirectory("A", 3, 0), SessionDirectory("B", 3, 0, has_no_history=True)
        self.assertFalse(
            new.answer_not_held(KEY, ID_RETENTION_US - 1).granted or new.begin_claim(KEY, ID_RETENTION_US - 1)
        )
        self.assertFalse(new.answer_claim(opened_claim(old), "B", ID_RETENTION_US - 1).granted)
        self.assertTrue(new.answer_not_held(KEY, ID_RETENTION_US).granted)
        old.hold(KEY, 4, {}, 0)
        self.assertIs(old.rule_on_submission(KEY, "id", 1, False, SESSION_TTL_US), SubmissionRuling.ACCEPT)
        self.assertIs(old.rule_on_submission(KEY, "id", 1, False, SESSION_TTL_US + 1), SubmissionRuling.CLAIM)
        old.merge_entries([SessionEntry(KEY, "A", 5, 0)], 1)
        self.assertIs(old.rule_on_submission(KEY, "id", 1, False, 1), SubmissionRuling.FORWARD)

    def test_only_one_of_two_concurrent_claims_is_granted(self) -> None:
        one, two, third = (SessionDirectory(name, 3, 0, has_no_history=True) for name in "ABC")
        first, second = opened_claim(one), opened_claim(two)
        self.assertFalse(two.answer_claim(first, "A", 0).granted)
        for request, now in ((second._replace(claimed_at=-1), 0), (second, CLAIM_TIMEOUT_US)):
            self.assertFalse(two.record_claim_answer(request, "C", ClaimAnswer(True, None), now))
        self.assertTrue(two.record_claim_answer(second, "A", one.answer_claim(second, "B", 0), 0))
        self.assertTrue(third.answer_claim(first, "A", 0).granted)
        self.assertFalse(one.record_claim_answer(first, "C", third.answer_claim(first, "A", 0), 0))

    def test_the_contents_hash_separates_its_parts(self) -> None:
        self.assertNotEqual(hash_contents("ab", b"c"), hash_contents("a", b"bc"))
