"""Random histories of five members and one partition: the lease rules under faults, with their invariants.

`Histories` is a state machine for Hypothesis; `tests/fleet/lease_soak.py` drives it by a plain seed.
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
STEP_US = 100_000


class Member:
    """One member as its node would run it: the contents of its folder, and the state that a restart loses."""

    def __init__(self, name: str, clock_rate: int) -> None:
        self.name = name
        self.clock_rate = clock_rate  # microseconds of its clock for each 1,000 true ones
        self.rows: tuple[Grant, ...] | None = ()
        self.complete = name == "a"
        self.term = 0 if name == "a" else -1  # the newest term that it held; -1: it has a replica
        self.up = True
        self.running = True
        self.boot(0)

    def boot(self, now: int) -> None:
        self.grantor = LeaseGrantor(self.name, MEMBERS, now, self.rows)
        held = self.term >= 0
        self.takeover = Takeover(PARTITION, self.name, MEMBERS, max(0, self.term), resume=held)


class Histories(RuleBasedStateMachine):
    """Five members with clocks up to 5% apart, and messages that are lost, late, duplicated and reordered."""

    @initialize(seed=st.integers(0, 1 << 32))
    def begin(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.now = 0  # true time
        self.faults_active = True
        self.folder_lost = False
        self.members = {name: Member(name, self.random.choice((950, 975, 1000))) for name in MEMBERS}
        self.in_transit: list[tuple[int, str, str, int, object]] = []  # when, to, from, sent at, body
        # The member that may have made attempts last with its term, and the successors that it has named.
        self.last_attempt, self.last_named = ("", 0), frozenset(MEMBERS[:1])
        # Members that have received everything since, from a new holder that has made no attempt yet.
        self.newly_complete: frozenset[str] = frozenset()
        self.allowed_successors = self.last_named
        self.recovered_at = 0  # when the partition was first held after the last fault; 0: it has not been

    @rule(steps=st.integers(1, 30))
    def pass_time(self, steps: int) -> None:
        for _ in range(steps):
            self.now += STEP_US
            arriving = [
                message for message in self.in_transit if message[0] <= self.now and self.members[message[1]].running
            ]
            self.in_transit = [message for message in self.in_transit if message not in arriving]
            for one in self.random.sample(arriving, len(arriving)):
                self.deliver(*one[1:])
            for member in self.random.sample(list(self.members.values()), len(self.members)):
                if member.up and member.running:
                    self.run_member(member)
            self.check()

    @rule(name=st.sampled_from(MEMBERS), kind=st.sampled_from(("crash", "stop", "crash", "stop", "forget")))
    def fault(self, name: str, kind: str) -> None:
        member = self.members[name]
        if kind == "stop":
            member.running = not member.running
        elif member.up:
            member.up = False
            self.in_transit = [message for message in self.in_transit if message[1] != name]
            if kind == "forget" and not self.folder_lost:
                self.folder_lost, member.rows, member.complete, member.term = True, None, False, -1
        else:
            self.restart(member)

    def restart(self, member: Member) -> None:
        member.up = member.running = True
        member.boot(self.clock(member))

    def clock(self, member: Member) -> int:
        return self.now * member.clock_rate // 1000

    def status_of(self, name: str) -> MemberStatus:
        return MemberStatus.ALIVE if self.members[name].up and self.members[name].running else MemberStatus.DEAD

    def send(self, to: str, member: Member, sent: int, body: object) -> None:
        if not self.faults_active or to == member.name:
            return self.deliver(to, member.name, sent, body)
        for _ in range(self.random.choice((0, 1, 1, 1, 2))):
            wait = self.random.choice((0, 0, 20_000, 200_000, 1_500_000, 4_000_000))
            self.in_transit.append((self.now + wait, to, member.name, sent, body))

    def deliver(self, to: str, sender: str, sent: int, body: object) -> None:
        member, now = self.members[to], self.clock(self.members[to])
        if not (member.up and member.running):
            return
        if isinstance(body, LeaseRequest):
            reply = member.grantor.handle_request(now, body)
            if member.grantor.dirty:
                member.rows, member.grantor.dirty = member.grantor.table().grants, False
            self.send(sender, member, sent, reply)
        elif isinstance(body, LeaseReply):
            member.takeover.holder.receive_reply(now, sent, sender, body)
        elif isinstance(body, GrantTable):
            member.grantor.learn_from(sent, sender, body)
            if member.grantor.dirty:
                member.rows, member.grantor.dirty = member.grantor.table().grants, False
        else:
            self.send(sender, member, sent, member.grantor.table())

    def run_member(self, member: Member) -> None:
        now, grantor, takeover = self.clock(member), member.grantor, member.takeover
        for other in grantor.members_to_learn_from(now):
            self.send(other, member, now, "tables")
        step = takeover.step(
            now, grantor.grant(LEASE), grantor.promised_until(LEASE), self.status_of, member.complete, 1
        )
        if step.action is TakeoverAction.IMPORT or (
            takeover.stage is TakeoverStage.HOLDING and self.random.random() < 0.02
        ):
            others = [one for one in self.members.values() if one.up and one is not member]
            successors = self.random.sample(others, min(2, len(others)))
            takeover.note_imported(now, [one.name for one in successors])
            for one in successors:
                one.complete = True
        elif step.action is TakeoverAction.OFFER and self.members[step.target].takeover.stage is TakeoverStage.HOLDING:
            takeover.note_offer_accepted()
        elif step.action is TakeoverAction.DROP:
            member.takeover, member.complete, member.term = Takeover(PARTITION, member.name, MEMBERS), False, -1
        if takeover.holder.state is LeaseState.HELD:
            member.term = takeover.holder.term
        request = member.takeover.holder.due_request(now)
        if request is not None:
            for to in (member.name, *(name for name in MEMBERS if name != member.name)):
                self.send(to, member, now, request)

    def check(self) -> None:
        holders = {name: one.takeover.holder for name, one in self.members.items() if one.up}
        attempting = [name for name, holder in holders.items() if holder.is_valid(self.clock(self.members[name]))]
        assert len(attempting) <= 1, f"{attempting} may make attempts at once"
        if attempting and not self.faults_active:
            self.recovered_at = self.recovered_at or self.now
        for name in attempting:
            if (name, holders[name].term) != self.last_attempt:
                assert (
                    not self.last_attempt[1] or name in self.allowed_successors
                ), f"{name} takes over from {self.last_attempt} and is no successor"
                assert holders[name].term > self.last_attempt[1], f"{name} makes attempts in an older term"
                self.last_attempt = (name, holders[name].term)
        if attempting:
            self.newly_complete = frozenset()  # they have only the attempts from before
        last = holders.get(self.last_attempt[0])
        # A restarted holder has not named successors yet; the set that it named before remains in force.
        if last is not None and last.term == self.last_attempt[1] and (successors := named_successors(last)):
            self.last_named = successors
        self.allowed_successors = self.last_named | self.newly_complete
        # An allowed successor that holds the lease and has made no attempt yet may replicate everything to others.
        for name, holder in holders.items():
            if (
                holder.state is LeaseState.HELD
                and holder.term > self.last_attempt[1]
                and name in self.allowed_successors
            ):
                self.newly_complete |= named_successors(holder)
                self.allowed_successors |= named_successors(holder)

    def teardown(self) -> None:
        """Once all faults have ended, a successor or the owner holds the partition again."""
        if not hasattr(self, "random"):
            return
        self.faults_active, self.in_transit = False, []
        for member in self.members.values():
            member.running = True
            if not member.up:
                self.restart(member)
        candidates = [name for name in self.allowed_successors if self.members[name].complete]
        for _ in range(10):
            self.pass_time(24)
            if any(one.takeover.holder.is_valid(self.clock(one)) for one in self.members.values()):
                return
        successors = [name for name in candidates if self.could_take_over(name)]
        assert not successors, f"no member holds the partition, though {successors} could"

    def could_take_over(self, name: str) -> bool:
        """Whether a member is in a set that is at least as new as the newest one that a majority of grantors knows.

        No member needs to be: if the last holder had named only itself, a majority knows that, and it has lost its
        folder, it may have made attempts that no other member knows, so no member may take over.
        """
        rows = sorted((each.grantor.grant(LEASE) for each in self.members.values()), key=lambda row: -row.set_number)
        majority_set = rows[majority_of(len(MEMBERS)) - 1].set_number
        return not majority_set or any(name in row.successors for row in rows if row.set_number >= majority_set)
