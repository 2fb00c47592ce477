"""Drawn histories of five members and one partition: the program's lease rules under faults, and the judge of claims.

`Histories` is a state machine for hypothesis; `tests/fleet/lease_soak.py` drives it by a plain seed.
"""

import random

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from cedarwick.fleet.lease_grantor import LeaseGrantor
from cedarwick.fleet.lease_holder import LeaseState
from cedarwick.fleet.leases import majority_of
from cedarwick.fleet.membership import MemberStatus
from cedarwick.fleet.messages import Grant, GrantTable, LeaseReply, LeaseRequest
from cedarwick.fleet.takeover import Takeover, TakeoverAction, TakeoverStage
from tests.fleet.explore import LEASE, PARTITION, named_successors

MEMBERS = ("a", "b", "c", "d", "e")
STEP = 100_000  # microseconds


class Sender:
    """One member as its node would run it: what is in its folder, and what a restart forgets."""

    def __init__(self, name: str, pace: int) -> None:
        self.name = name
        self.pace = pace  # microseconds of its clock for each 1,000 true ones
        self.rows: tuple[Grant, ...] | None = ()
        self.complete = name == "a"
        self.term = 0 if name == "a" else -1  # the newest that it held; -1: it is a copy
        self.up = True
        self.runs = True
        self.boot(0)

    def boot(self, now: int) -> None:
        self.grantor = LeaseGrantor(self.name, MEMBERS, now, self.rows)
        held = self.term >= 0
        self.takeover = Takeover(PARTITION, self.name, MEMBERS, max(0, self.term), resume=held)


class Histories(RuleBasedStateMachine):
    """Five members, their clocks up to 5% apart, and messages that are lost, late, doubled, in any order."""

    @initialize(seed=st.integers(0, 1 << 32))
    def begin(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.now = 0  # true time
        self.faulty = True
        self.forgot = False
        self.senders = {name: Sender(name, self.random.choice((950, 975, 1000))) for name in MEMBERS}
        self.late: list[tuple[int, str, str, int, object]] = []  # when, to, from, sent at, body
        self.last_attempt, self.named_successors = (
            ("", 0),
            frozenset(MEMBERS[:1]),
        )  # who fired last; whom that one has named
        self.given: frozenset[str] = frozenset()  # who was given all since, by one that followed and has not fired yet
        self.allowed_successors = self.named_successors
        self.recovered_at = 0  # when somebody held it for the first time after the last fault; 0: nobody has

    @rule(steps=st.integers(1, 30))
    def goes_on(self, steps: int) -> None:
        for _ in range(steps):
            self.now += STEP
            due = [one for one in self.late if one[0] <= self.now and self.senders[one[1]].runs]
            self.late = [one for one in self.late if one not in due]
            for one in self.random.sample(due, len(due)):
                self.arrive(*one[1:])
            for sender in self.random.sample(list(self.senders.values()), len(self.senders)):
                if sender.up and sender.runs:
                    self.turn(sender)
            self.check()

    @rule(name=st.sampled_from(MEMBERS), how=st.sampled_from(("crash", "stop", "crash", "stop", "forget")))
    def fails(self, name: str, how: str) -> None:
        sender = self.senders[name]
        if how == "stop":
            sender.runs = not sender.runs
        elif sender.up:
            sender.up = False
            self.late = [one for one in self.late if one[1] != name]
            if how == "forget" and not self.forgot:
                self.forgot, sender.rows, sender.complete, sender.term = True, None, False, -1
        else:
            self.restart(sender)

    def restart(self, sender: Sender) -> None:
        sender.up = sender.runs = True
        sender.boot(self.clock(sender))

    def clock(self, sender: Sender) -> int:
        return self.now * sender.pace // 1000

    def standing(self, name: str) -> MemberStatus:
        return MemberStatus.ALIVE if self.senders[name].up and self.senders[name].runs else MemberStatus.DEAD

    def send(self, to: str, sender: Sender, sent: int, body: object) -> None:
        if not self.faulty or to == sender.name:
            return self.arrive(to, sender.name, sent, body)
        for _ in range(self.random.choice((0, 1, 1, 1, 2))):
            wait = self.random.choice((0, 0, 20_000, 200_000, 1_500_000, 4_000_000))
            self.late.append((self.now + wait, to, sender.name, sent, body))

    def arrive(self, to: str, by: str, sent: int, body: object) -> None:
        sender, now = self.senders[to], self.clock(self.senders[to])
        if not (sender.up and sender.runs):
            return
        if isinstance(body, LeaseRequest):
            told = sender.grantor.handle_request(now, body)
            if sender.grantor.dirty:
                sender.rows, sender.grantor.dirty = sender.grantor.table().grants, False
            self.send(by, sender, sent, told)
        elif isinstance(body, LeaseReply):
            sender.takeover.holder.receive_reply(now, sent, by, body)
        elif isinstance(body, GrantTable):
            sender.grantor.learn_from(sent, by, body)
            if sender.grantor.dirty:
                sender.rows, sender.grantor.dirty = sender.grantor.table().grants, False
        else:
            self.send(by, sender, sent, sender.grantor.table())

    def turn(self, sender: Sender) -> None:
        now, grantor, takeover = self.clock(sender), sender.grantor, sender.takeover
        for other in grantor.members_to_learn_from(now):
            self.send(other, sender, now, "tables")
        step = takeover.step(
            now, grantor.grant(LEASE), grantor.promised_until(LEASE), self.standing, sender.complete, 1
        )
        if step.action is TakeoverAction.IMPORT or (
            takeover.stage is TakeoverStage.HOLDING and self.random.random() < 0.02
        ):
            others = [one for one in self.senders.values() if one.up and one is not sender]
            successors = self.random.sample(others, min(2, len(others)))
            takeover.note_imported(now, [one.name for one in successors])
            for one in successors:
                one.complete = True
        elif step.action is TakeoverAction.OFFER and self.senders[step.target].takeover.stage is TakeoverStage.HOLDING:
            takeover.note_offer_accepted()
        elif step.action is TakeoverAction.DROP:
            sender.takeover, sender.complete, sender.term = Takeover(PARTITION, sender.name, MEMBERS), False, -1
        if takeover.holder.state is LeaseState.HELD:
            sender.term = takeover.holder.term
        ask = sender.takeover.holder.due_request(now)
        if ask is not None:
            for to in (sender.name, *(name for name in MEMBERS if name != sender.name)):
                self.send(to, sender, now, ask)

    def check(self) -> None:
        holders = {name: one.takeover.holder for name, one in self.senders.items() if one.up}
        attempting = [name for name, holder in holders.items() if holder.is_valid(self.clock(self.senders[name]))]
        assert len(attempting) <= 1, f"{attempting} may fire at once"
        if attempting and not self.faulty:
            self.recovered_at = self.recovered_at or self.now
        for name in attempting:
            if (name, holders[name].term) != self.last_attempt:
                assert (
                    not self.last_attempt[1] or name in self.allowed_successors
                ), f"{name} adopts from {self.last_attempt} and is no successor"
                assert holders[name].term > self.last_attempt[1], f"{name} fires in an older term"
                self.last_attempt = (name, holders[name].term)
        if attempting:
            self.given = frozenset()  # they were given what had been fired before
        last = holders.get(self.last_attempt[0])
        # A holder that was started again has named nobody yet in its new life; what it had named before stands.
        if last is not None and last.term == self.last_attempt[1] and (successors := named_successors(last)):
            self.named_successors = successors
        self.allowed_successors = self.named_successors | self.given
        for name, holder in holders.items():  # one that may follow and has not fired yet may give all to more
            if (
                holder.state is LeaseState.HELD
                and holder.term > self.last_attempt[1]
                and name in self.allowed_successors
            ):
                self.given |= named_successors(holder)
                self.allowed_successors |= named_successors(holder)

    def teardown(self) -> None:
        """Once all faults stop, a successor or the owner holds it again."""
        if not hasattr(self, "random"):
            return
        self.faulty, self.late = False, []
        for sender in self.senders.values():
            sender.runs = True
            if not sender.up:
                self.restart(sender)
        complete = [name for name in self.allowed_successors if self.senders[name].complete]
        for _ in range(10):
            self.goes_on(24)
            if any(one.takeover.holder.is_valid(self.clock(one)) for one in self.senders.values()):
                return
        successors = [name for name in complete if self.may_follow(name)]
        assert not successors, f"nobody holds the partition, though {successors} could"

    def may_follow(self, name: str) -> bool:
        """Whether a member is in a set that is as new as the one that binds a majority of the grantors.

        Allowed: the last holder had named itself alone, a majority knows that, and it has lost its folder. It may have
        fired what nobody else knows, so nobody may follow.
        """
        rows = sorted((each.grantor.grant(LEASE) for each in self.senders.values()), key=lambda row: -row.set)
        binding = rows[majority_of(len(MEMBERS)) - 1].set
        return not binding or any(name in row.successors for row in rows if row.set >= binding)
