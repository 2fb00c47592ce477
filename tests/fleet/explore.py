"""Every history of three members and one partition, to a stated number of actions: breadth first over distinct states.

The owner H, a successor A, and B, whose copy was whole once. An action is one of: the time goes on by a quarter of a
span (H's clock runs 5% slower); a member asks, once between two ticks, and with each other grantor that ask is
answered, lost, late, or its answer is late; something late arrives, once or twice; a holder names successors and asks,
or closes; a member crashes and restarts, with its folder or without; one that forgot reads a table. Nobody is
forced to act while the time goes on, so a member that is stopped and wakes is among the histories. How many messages
are late, and how many crashes there are, is bounded for each history.

`judge` holds each state against the claims; `InvariantBrokenError` names the one that fails, with the actions that led
there.
"""

from collections.abc import Callable, Iterator
from functools import partial
from typing import Any, NamedTuple

from cedarwick.fleet.lease_grantor import LeaseGrantor
from cedarwick.fleet.lease_holder import LeaseHolder, LeaseState
from cedarwick.fleet.leases import LEASE_SPAN_US, SUCCESSOR_SET_BITS, lease_name
from cedarwick.fleet.messages import Grant, LeaseReply, LeaseRequest

PARTITION = 7 << 12
RIGHT = lease_name(PARTITION)
NAMES = ("H", "A", "B")
PACE = {"H": 285_000, "A": 300_000, "B": 300_000}  # microseconds of each clock, between two ticks
OTHERS = {name: tuple(other for other in NAMES if other != name) for name in NAMES}
BEGIN = 4  # the tick at which histories begin
TERMS = 3
SETS = 3  # that one term names
SET = (1 << SUCCESSOR_SET_BITS) - 1


class InvariantBrokenError(Exception):
    """A claim that a state does not keep."""


class Look(NamedTuple):
    """What counts of a node at a time."""

    key: tuple[Any, ...]  # distinguishes two nodes for all that may follow: times as distances, cut off at their ends
    fires: bool
    valid: bool  # granted by a majority, fires or not


class Node:
    """A member; never changed once it is made."""

    def __init__(self, name: str, grantor: LeaseGrantor, holder: LeaseHolder | None, whole: bool) -> None:
        self.name = name
        self.grantor = grantor
        self.holder = holder
        self.whole = whole
        self._looks: dict[int, Look] = {}

    def but(self, holder: LeaseHolder | None) -> "Node":
        return Node(self.name, self.grantor, holder, self.whole)

    def look(self, tick: int) -> Look:
        found = self._looks.get(tick)
        if found is None:
            found = self._looks[tick] = self._look(tick * PACE[self.name])
        return found

    def _look(self, now: int) -> Look:
        grantor, holder = self.grantor, self.holder
        silence = (
            (
                max(0, grantor.booted_at + LEASE_SPAN_US - now),
                *sorted(grantor._learned_from.items()),
                *sorted(grantor._listed_by.get(RIGHT, ())),
            )
            if grantor.learning
            else None
        )
        granted = grantor.grant(RIGHT)
        row = (granted.term, granted.holder, granted.successors, granted.set, granted.closed)
        key: tuple[Any, ...] = (self.whole, row, max(0, grantor.promised_until(RIGHT) - now), silence)
        if holder is None:
            return Look(key, False, False)
        granted_at = sorted(holder._grants.items())
        live = tuple((who, now - at, number) for who, (at, number) in granted_at if now - at <= LEASE_SPAN_US)
        shut = tuple(sorted((who, now - at) for who, at in holder._closings.items() if now - at <= LEASE_SPAN_US))
        begun = min(now - holder._requested_at, LEASE_SPAN_US) if holder.state is LeaseState.ASKING else 0
        own = (
            holder.state.value,
            holder.term,
            holder._newest_term,
            holder.newest_other_holder,
            holder.probing,
            tuple((who, min(now - at, LEASE_SPAN_US)) for who, at in sorted(holder._would_grant.items())),
            holder.newest_known_set,
            max(0, holder._refused_at + LEASE_SPAN_US - now) if holder._refused_at else 0,
            holder.known_set_number,
            holder.newest_set_number,
            begun,
        )
        key = (key, own, tuple(holder._sets.items()), live, shut)
        return Look(key, holder.is_valid(now), holder.state is LeaseState.HELD and now < holder.valid_until)


class Late(NamedTuple):
    """A message on its way between a holder and a grantor, sent at the holder's time."""

    holder: str
    grantor: str
    sent: int
    body: LeaseRequest | LeaseReply


class GlobalState(NamedTuple):
    """All members, the messages on their way and what has happened so far."""

    tick: int
    nodes: dict[str, Node]
    late: frozenset[Late]
    crashes: int  # still to come
    lates: int  # messages still to be late
    asked: frozenset[str] = frozenset()  # since the last tick
    fired: tuple[str, int] = ("", 0)  # who may have fired last, in which term
    legit: frozenset[str] = frozenset()  # who may follow it
    closed: bool = False


def twin(one: Any) -> Any:
    """A copy that shares nothing that changes."""
    new = object.__new__(type(one))
    new.__dict__.update({key: value.copy() if type(value) is dict else value for key, value in one.__dict__.items()})
    return new


def named(holder: LeaseHolder) -> frozenset[str]:
    """Whom a holder has named in its own term, and so given all that it knows: they may follow it."""
    sets = [successors for number, successors in holder._sets.items() if number >> SUCCESSOR_SET_BITS == holder.term]
    return frozenset(name for successors in sets for name in successors)


class Model:
    """The actions, with the grantors and holders of the program or of a mutant."""

    def __init__(
        self, grantor: type[LeaseGrantor], holder: type[LeaseHolder], actions: str, crashes: int, lates: int
    ) -> None:
        self.grantor = grantor
        self.holder = holder
        self.allowed = actions.split()
        self.crashes = crashes
        self.lates = lates

    # ---- where histories begin ----

    def blank(self) -> GlobalState:
        """Nobody has ever held the partition; all tables are there, and empty."""
        nodes = {name: Node(name, self.grantor(name, NAMES, 0, ()), None, name == "H") for name in NAMES}
        return GlobalState(BEGIN, nodes, frozenset(), self.crashes, self.lates)

    def running(self, late: bool = False) -> GlobalState:
        """H holds it with its own grantor and A's. B was its successor before A was; it has not heard that, nor H
        lately.

        `late`: B has heard H's last ask as well, but the answers of both are late.
        """
        rows = {name: self._row("H", 1, 2, "H", "A") for name in NAMES} | {"B": self._row("H", 1, 1, "H", "B")}
        nodes = {name: Node(name, self.grantor(name, NAMES, 0, (rows[name],)), None, True) for name in NAMES}
        held = self.holder(RIGHT, "H", NAMES)
        held.request_next_term(0, Grant(RIGHT, 0, ""))
        held.newest_set_number, held._sets = rows["H"].set, {rows["H"].set: rows["H"].successors}
        now = BEGIN * PACE["H"]
        answers = {name: LeaseReply(True, 1, "H", row.successors, row.set) for name, row in rows.items()}
        for name in NAMES:
            nodes[name].grantor._promises[RIGHT] = BEGIN * PACE[name] + LEASE_SPAN_US // (
                1 if late or name != "B" else 4
            )
            held.receive_reply(now, now - (late and name != "H") * PACE["H"], name, answers[name])
        nodes["H"] = nodes["H"].but(held)
        waiting = frozenset(Late("H", name, now, answers[name]) for name in OTHERS["H"] if late)
        return GlobalState(BEGIN, nodes, waiting, self.crashes, self.lates, fired=("H", 1), legit=named(held))

    def late(self) -> GlobalState:
        """As `running`, with late answers."""
        return self.running(True)

    def granted(self) -> GlobalState:
        """H is gone, A and B were its successors.

        A is granted the next term by its own grantor and B's, names none yet.
        """
        current = self.running()
        for name in NAMES:
            current.nodes[name].grantor._merge_row(self._row("H", 1, 3, "H", "A", "B"))
        current = current._replace(tick=BEGIN + 4, legit=frozenset(NAMES))
        nodes = current.nodes | {"H": current.nodes["H"].but(None)}
        return self.judge(self._ask(current._replace(nodes=nodes), "A", ("lost", "done"), True))

    def woken(self) -> GlobalState:
        """A has adopted while H was stopped, and named itself; H wakes and knows nothing of it."""
        current = self.granted()
        current = current._replace(nodes=current.nodes | {"H": self.running().nodes["H"]})
        return self.judge(self._name(current, "A", ("A",), ("lost", "done")))

    @staticmethod
    def _row(holder: str, term: int, number: int, *successors: str) -> Grant:
        return Grant(RIGHT, term, holder, successors, term << SUCCESSOR_SET_BITS | number)

    # ---- actions ----

    def actions(self, current: GlobalState) -> Iterator[tuple[tuple[Any, ...], Callable[[], GlobalState]]]:
        """Each action that this state allows, with its name."""
        yield ("tick",), lambda: current._replace(tick=current.tick + 1, asked=frozenset())
        for name, node in current.nodes.items():
            state = node.holder.state if node.holder else LeaseState.IDLE
            asking = state in (LeaseState.ASKING, LeaseState.HELD, LeaseState.CLOSING)
            term = max(node.grantor.grant(RIGHT).term, node.holder.term if node.holder else 0)
            begin = not asking and state is not LeaseState.CLOSED and node.whole and term < TERMS
            if (asking or begin) and name not in current.asked and name in self.allowed:
                for modes in ASKED[current.lates]:
                    yield ("ask", name, modes), partial(self._ask, current, name, modes, begin)
            if state is LeaseState.HELD and node.holder and name in self.allowed:
                yield from self._holders(current, name, node.holder)
            if current.crashes:
                for fault in ("crash", "wipe"):
                    if fault in self.allowed:
                        yield (fault, name), partial(self._restart, current, name, fault == "wipe")
            for other in node.grantor.members_to_learn_from(current.tick * PACE[name]):
                yield ("learn", name, other), partial(self._learn, current, name, other)
        for late in current.late:
            yield ("arrive", late), partial(self._arrive, current, late, False)
            if current.lates and isinstance(late.body, LeaseRequest):
                yield ("arrive twice", late), partial(self._arrive, current, late, True)

    def _holders(
        self, current: GlobalState, name: str, holder: LeaseHolder
    ) -> Iterator[tuple[tuple[Any, ...], Callable[[], GlobalState]]]:
        successors = [(name, other) for other in OTHERS[name]] if "name" in self.allowed else []
        if holder.newest_set_number & SET < SETS or not holder._is_of_this_term(holder.newest_set_number):
            for chosen in ((name,), *successors):
                if (
                    not holder._is_of_this_term(holder.newest_set_number)
                    or holder._sets[holder.newest_set_number] != chosen
                ):
                    for modes in ASKED[current.lates]:
                        yield ("name", chosen, modes), partial(self._name, current, name, chosen, modes)
        if "close" in self.allowed and holder.known_set_number and name not in current.asked:
            yield ("close", name), partial(self._close, current, name)

    def _ask(self, current: GlobalState, name: str, modes: tuple[str, ...], begin: bool) -> GlobalState:
        nodes = dict(current.nodes)
        now = current.tick * PACE[name]
        node = nodes[name]
        holder: LeaseHolder = twin(node.holder) if node.holder else self.holder(RIGHT, name, NAMES)
        if begin:
            holder.request_next_term(now, node.grantor.grant(RIGHT), probe_first="probe" in self.allowed)
        holder._next_request_at = 0
        ask = holder.due_request(now)
        nodes[name] = node.but(holder)
        late = list(current.late)
        if ask is not None:
            for grantor, mode in ((name, "done"), *zip(OTHERS[name], modes, strict=True)):
                if mode in ("done", "answer"):
                    reply = self._granted(nodes, current.tick, grantor, ask)
                    if mode == "done":
                        holder.receive_reply(now, now, grantor, reply)
                    else:
                        late.append(Late(name, grantor, now, reply))
                elif mode == "later":
                    late.append(Late(name, grantor, now, ask))
        more = len(late) - len(current.late)
        asked = current.asked | {name}
        return current._replace(nodes=nodes, late=frozenset(late), lates=current.lates - more, asked=asked)

    @staticmethod
    def _granted(nodes: dict[str, Node], tick: int, name: str, ask: LeaseRequest) -> LeaseReply:
        grantor = twin(nodes[name].grantor)
        nodes[name] = Node(name, grantor, nodes[name].holder, nodes[name].whole)
        reply: LeaseReply = grantor.handle_request(tick * PACE[name], ask)
        return reply

    def _arrive(self, current: GlobalState, late: Late, twice: bool) -> GlobalState:
        nodes = dict(current.nodes)
        left = current.late - {late}
        if isinstance(late.body, LeaseRequest):
            reply = self._granted(nodes, current.tick, late.grantor, late.body)
            left |= {late} if twice else frozenset()
            return current._replace(nodes=nodes, late=left | {late._replace(body=reply)}, lates=current.lates - twice)
        node = nodes[late.holder]
        if node.holder is not None:
            holder = twin(node.holder)
            holder.receive_reply(current.tick * PACE[late.holder], late.sent, late.grantor, late.body)
            nodes[late.holder] = node.but(holder)
        return current._replace(nodes=nodes, late=left)

    def _name(
        self, current: GlobalState, name: str, successors: tuple[str, ...], modes: tuple[str, ...]
    ) -> GlobalState:
        nodes = dict(current.nodes)
        holder = twin(nodes[name].holder)
        holder.name_successors(current.tick * PACE[name], successors)
        nodes[name] = nodes[name].but(holder)
        for successor in successors:  # the holder names whom it has given all
            nodes[successor] = Node(successor, nodes[successor].grantor, nodes[successor].holder, True)
        return self._ask(current._replace(nodes=nodes), name, modes, False)

    @staticmethod
    def _close(current: GlobalState, name: str) -> GlobalState:
        holder = twin(current.nodes[name].holder)
        holder.close(current.tick * PACE[name])
        return current._replace(nodes=current.nodes | {name: current.nodes[name].but(holder)})

    def _restart(self, current: GlobalState, name: str, wipe: bool) -> GlobalState:
        node = current.nodes[name]
        rows = None if wipe or node.grantor.learning else node.grantor.table().grants
        grantor = self.grantor(name, NAMES, current.tick * PACE[name], rows)
        nodes = current.nodes | {name: Node(name, grantor, None, node.whole and not wipe)}
        late = frozenset(one for one in current.late if one.holder != name or isinstance(one.body, LeaseRequest))
        return current._replace(nodes=nodes, late=late, crashes=current.crashes - 1, asked=current.asked - {name})

    @staticmethod
    def _learn(current: GlobalState, name: str, other: str) -> GlobalState:
        node = current.nodes[name]
        grantor = twin(node.grantor)
        grantor.learn_from(current.tick * PACE[name], other, current.nodes[other].grantor.table())
        return current._replace(nodes=current.nodes | {name: Node(name, grantor, node.holder, node.whole)})

    # ---- the claims ----

    def judge(self, current: GlobalState) -> GlobalState:
        """The state with what it adds to the history; `InvariantBrokenError` where a claim does not hold."""
        fired, legit, closed = current.fired, current.legit, current.closed
        looks = {name: node.look(current.tick) for name, node in current.nodes.items()}
        firing = [name for name, look in looks.items() if look.fires]
        if closed and any(look.valid for look in looks.values()):
            raise InvariantBrokenError("a closed partition has a holder")
        if len(firing) > 1:
            raise InvariantBrokenError(f"{' and '.join(firing)} may fire at once")
        holders = {name: node.holder for name, node in current.nodes.items() if node.holder}
        if firing and (firing[0], holders[firing[0]].term) != fired:
            name, term = firing[0], holders[firing[0]].term
            if fired[1] and name not in legit:
                raise InvariantBrokenError(f"{name} adopts from {fired[0]} and is no successor")
            if term <= fired[1]:
                raise InvariantBrokenError(f"{name} fires in term {term} after {fired}")
            fired = (name, term)
        if fired[0] in holders and holders[fired[0]].term == fired[1]:
            legit = named(holders[fired[0]])
        for name, holder in holders.items():  # one that may follow and has not fired yet may give all to more
            if holder.state is LeaseState.HELD and holder.term > fired[1] and name in legit:
                legit |= named(holder)
        closed = closed or any(holder.state is LeaseState.CLOSED for holder in holders.values())
        return current._replace(fired=fired, legit=legit, closed=closed)

    @staticmethod
    def key(current: GlobalState) -> tuple[Any, ...]:
        """What distinguishes two states for all that may follow."""
        ages = [
            (m.holder, m.grantor, min(LEASE_SPAN_US, current.tick * PACE[m.holder] - m.sent), m.body)
            for m in current.late
        ]
        return (
            frozenset(ages),
            *[node.look(current.tick).key for node in current.nodes.values()],
            *current[3:],
        )


# How it goes with one grantor, and how many late messages that makes.
MODES = {"done": 0, "lost": 0, "answer": 1, "later": 1}
ASKED = {
    lates: [(one, two) for one in MODES for two in MODES if MODES[one] + MODES[two] <= lates] for lates in range(4)
}


class Found(NamedTuple):
    """What an exploration came to: the distinct states, and the claim that broke, with the way there."""

    states: int
    broken: str
    way: list[Any]


def explore(model: Model, begin: GlobalState, depth: int) -> Found:
    """All states within so many actions, up to the first that breaks a claim."""
    seen = {hash(model.key(begin))}
    layer: list[tuple[GlobalState, Any]] = [(begin, None)]  # each with its last action and the way before it
    for _ in range(depth):
        after: list[tuple[GlobalState, Any]] = []
        for current, before in layer:
            for name, act in model.actions(current):
                way = (before, name)
                try:
                    new = model.judge(act())
                except InvariantBrokenError as error:
                    return Found(len(seen), str(error), _unrolled(way))
                fingerprint = hash(model.key(new))
                if fingerprint not in seen:
                    seen.add(fingerprint)
                    after.append((new, way))
        layer = after
    return Found(len(seen), "", [])


def _unrolled(way: Any) -> list[Any]:
    names = []
    while way is not None:
        way, name = way
        names.append(name)
    return names[::-1]
