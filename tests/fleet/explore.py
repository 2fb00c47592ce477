"""Model checker of the lease rules: a breadth-first search of all histories of three members and one partition.

The members are the owner H, a successor A, and B, whose replica was complete once. An action is one of: time advances
by a quarter of a span (H's clock runs 5% slower); a member sends a request, once between two ticks, and with each other
grantor that request is answered, lost or late, or its reply is late; a late message arrives, once or twice; a holder
names successors and sends a request, or closes the lease; a member crashes and restarts, with or without its folder; a
member that lost its folder reads a table. No member is forced to act while time advances, so the histories include
members that are stopped and resume. The number of late messages and of crashes is bounded for each history.

`check` compares each state with the invariants; `InvariantBrokenError` names the one that fails, and the result has the
actions that led there.
"""

from collections.abc import Callable, Iterator
from functools import partial
from typing import Any, NamedTuple

from cedarwick.fleet.lease_grantor import LeaseGrantor
from cedarwick.fleet.lease_holder import LeaseHolder, LeaseState
from cedarwick.fleet.leases import LEASE_SPAN_US, SUCCESSOR_SET_BITS, lease_name
from cedarwick.fleet.messages import Grant, LeaseReply, LeaseRequest

PARTITION = 7 << 12
LEASE = lease_name(PARTITION)
NAMES = ("H", "A", "B")
TICK_US = {"H": 285_000, "A": 300_000, "B": 300_000}  # by member: microseconds of its clock between two ticks
OTHERS = {name: tuple(other for other in NAMES if other != name) for name in NAMES}
FIRST_TICK = 4  # the tick at which histories begin
MAX_TERM = 3
MAX_SETS = 3  # successor sets named in one term
SET_MASK = (1 << SUCCESSOR_SET_BITS) - 1


class InvariantBrokenError(Exception):
    """An invariant that does not hold in a state."""


class NodeView(NamedTuple):
    """The relevant state of a node at a time."""

    key: tuple[
        Any, ...
    ]  # equal for nodes with the same future: times are relative and capped where they stop mattering
    may_attempt: bool
    valid: bool  # granted by a majority, whether or not attempts may be made


class Node:
    """A member; immutable."""

    def __init__(self, name: str, grantor: LeaseGrantor, holder: LeaseHolder | None, complete: bool) -> None:
        self.name = name
        self.grantor = grantor
        self.holder = holder
        self.complete = complete
        self._views: dict[int, NodeView] = {}

    def with_holder(self, holder: LeaseHolder | None) -> "Node":
        return Node(self.name, self.grantor, holder, self.complete)

    def view(self, tick: int) -> NodeView:
        found = self._views.get(tick)
        if found is None:
            found = self._views[tick] = self._view(tick * TICK_US[self.name])
        return found

    def _view(self, now: int) -> NodeView:
        grantor, holder = self.grantor, self.holder
        learning_key = (
            (
                max(0, grantor.booted_at + LEASE_SPAN_US - now),
                *sorted(grantor._learned_from.items()),
                *sorted(grantor._listed_by.get(LEASE, ())),
            )
            if grantor.learning
            else None
        )
        granted = grantor.grant(LEASE)
        row = (granted.term, granted.holder, granted.successors, granted.set_number, granted.closed)
        key: tuple[Any, ...] = (self.complete, row, max(0, grantor.promised_until(LEASE) - now), learning_key)
        if holder is None:
            return NodeView(key, False, False)
        grants = sorted(holder._grants.items())
        live_grants = tuple((who, now - at, number) for who, (at, number) in grants if now - at <= LEASE_SPAN_US)
        closings = tuple(sorted((who, now - at) for who, at in holder._closings.items() if now - at <= LEASE_SPAN_US))
        requesting_for = min(now - holder._requested_at, LEASE_SPAN_US) if holder.state is LeaseState.ASKING else 0
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
            requesting_for,
        )
        key = (key, own, tuple(holder._sets.items()), live_grants, closings)
        return NodeView(key, holder.is_valid(now), holder.state is LeaseState.HELD and now < holder.valid_until)


class LateMessage(NamedTuple):
    """A message in transit between a holder and a grantor; `sent` is the holder's time."""

    holder: str
    grantor: str
    sent: int
    body: LeaseRequest | LeaseReply


class GlobalState(NamedTuple):
    """All members, the messages in transit and what has happened so far."""

    tick: int
    nodes: dict[str, Node]
    in_transit: frozenset[LateMessage]
    crashes_left: int
    lates_left: int  # the number of messages that may still be late
    has_requested: frozenset[str] = frozenset()  # the members that have sent a request since the last tick
    last_attempt: tuple[str, int] = ("", 0)  # the member that may have made attempts last, and its term
    allowed_successors: frozenset[str] = frozenset()  # the members that may take over from it
    closed: bool = False


def independent_copy(one: Any) -> Any:
    """A copy that shares no mutable state with the original."""
    new = object.__new__(type(one))
    new.__dict__.update({key: value.copy() if type(value) is dict else value for key, value in one.__dict__.items()})
    return new


def named_successors(holder: LeaseHolder) -> frozenset[str]:
    """The successors that a holder has named in its own term; they have everything it knows and may take over."""
    sets = [successors for number, successors in holder._sets.items() if number >> SUCCESSOR_SET_BITS == holder.term]
    return frozenset(name for successors in sets for name in successors)


class Model:
    """The start states and the actions, with the grantors and holders of the program or of a mutant."""

    def __init__(
        self, grantor: type[LeaseGrantor], holder: type[LeaseHolder], actions: str, crashes: int, lates_left: int
    ) -> None:
        self.grantor = grantor
        self.holder = holder
        self.allowed = actions.split()
        self.crashes = crashes
        self.lates_left = lates_left

    # ---- start states ----

    def never_held(self) -> GlobalState:
        """No member has ever held the partition; all members have an empty table."""
        nodes = {name: Node(name, self.grantor(name, NAMES, 0, ()), None, name == "H") for name in NAMES}
        return GlobalState(FIRST_TICK, nodes, frozenset(), self.crashes, self.lates_left)

    def held(self, late_replies: bool = False) -> GlobalState:
        """H holds the partition, granted by itself and A. B was its successor before A was, does not know of the change
        and has not received a request of H lately.

        `late_replies`: B has received H's last request as well, but the replies of both are late.
        """
        rows = {name: self._row("H", 1, 2, "H", "A") for name in NAMES} | {"B": self._row("H", 1, 1, "H", "B")}
        nodes = {name: Node(name, self.grantor(name, NAMES, 0, (rows[name],)), None, True) for name in NAMES}
        lease_holder = self.holder(LEASE, "H", NAMES)
        lease_holder.request_next_term(0, Grant(LEASE, 0, ""))
        lease_holder.newest_set_number, lease_holder._sets = (
            rows["H"].set_number,
            {rows["H"].set_number: rows["H"].successors},
        )
        now = FIRST_TICK * TICK_US["H"]
        answers = {name: LeaseReply(True, 1, "H", row.successors, row.set_number) for name, row in rows.items()}
        for name in NAMES:
            nodes[name].grantor._promises[LEASE] = FIRST_TICK * TICK_US[name] + LEASE_SPAN_US // (
                1 if late_replies or name != "B" else 4
            )
            lease_holder.receive_reply(now, now - (late_replies and name != "H") * TICK_US["H"], name, answers[name])
        nodes["H"] = nodes["H"].with_holder(lease_holder)
        in_transit = frozenset(LateMessage("H", name, now, answers[name]) for name in OTHERS["H"] if late_replies)
        return GlobalState(
            FIRST_TICK,
            nodes,
            in_transit,
            self.crashes,
            self.lates_left,
            last_attempt=("H", 1),
            allowed_successors=named_successors(lease_holder),
        )

    def held_with_late_replies(self) -> GlobalState:
        """As `held`, with late replies."""
        return self.held(True)

    def next_term_granted(self) -> GlobalState:
        """H is down, A and B were its successors.

        A has been granted the next term by its own grantor and B's, and has named no successors yet.
        """
        current = self.held()
        for name in NAMES:
            current.nodes[name].grantor._merge_row(self._row("H", 1, 3, "H", "A", "B"))
        current = current._replace(tick=FIRST_TICK + 4, allowed_successors=frozenset(NAMES))
        nodes = current.nodes | {"H": current.nodes["H"].with_holder(None)}
        return self.check(self._send_request(current._replace(nodes=nodes), "A", ("lost", "done"), True))

    def holder_resumes(self) -> GlobalState:
        """A has taken over while H was stopped, and has named itself; H resumes and does not know of it."""
        current = self.next_term_granted()
        current = current._replace(nodes=current.nodes | {"H": self.held().nodes["H"]})
        return self.check(self._name_successors(current, "A", ("A",), ("lost", "done")))

    @staticmethod
    def _row(holder: str, term: int, number: int, *successors: str) -> Grant:
        return Grant(LEASE, term, holder, successors, term << SUCCESSOR_SET_BITS | number)

    # ---- actions ----

    def actions(self, current: GlobalState) -> Iterator[tuple[tuple[Any, ...], Callable[[], GlobalState]]]:
        """Each action that is possible in this state, with its name."""
        yield ("tick",), lambda: current._replace(tick=current.tick + 1, has_requested=frozenset())
        for name, node in current.nodes.items():
            state = node.holder.state if node.holder else LeaseState.IDLE
            requesting = state in (LeaseState.ASKING, LeaseState.HELD, LeaseState.CLOSING)
            term = max(node.grantor.grant(LEASE).term, node.holder.term if node.holder else 0)
            begin = not requesting and state is not LeaseState.CLOSED and node.complete and term < MAX_TERM
            if (requesting or begin) and name not in current.has_requested and name in self.allowed:
                for deliveries in DELIVERY_PAIRS[current.lates_left]:
                    yield ("ask", name, deliveries), partial(self._send_request, current, name, deliveries, begin)
            if state is LeaseState.HELD and node.holder and name in self.allowed:
                yield from self._holder_actions(current, name, node.holder)
            if current.crashes_left:
                for fault in ("crash", "wipe"):
                    if fault in self.allowed:
                        yield (fault, name), partial(self._restart, current, name, fault == "wipe")
            for other in node.grantor.members_to_learn_from(current.tick * TICK_US[name]):
                yield ("learn", name, other), partial(self._learn, current, name, other)
        for message in current.in_transit:
            yield ("arrive", message), partial(self._deliver_late, current, message, False)
            if current.lates_left and isinstance(message.body, LeaseRequest):
                yield ("arrive twice", message), partial(self._deliver_late, current, message, True)

    def _holder_actions(
        self, current: GlobalState, name: str, holder: LeaseHolder
    ) -> Iterator[tuple[tuple[Any, ...], Callable[[], GlobalState]]]:
        successors = [(name, other) for other in OTHERS[name]] if "name" in self.allowed else []
        if holder.newest_set_number & SET_MASK < MAX_SETS or not holder._is_of_this_term(holder.newest_set_number):
            for chosen in ((name,), *successors):
                if (
                    not holder._is_of_this_term(holder.newest_set_number)
                    or holder._sets[holder.newest_set_number] != chosen
                ):
                    for deliveries in DELIVERY_PAIRS[current.lates_left]:
                        yield (
                            ("name", chosen, deliveries),
                            partial(self._name_successors, current, name, chosen, deliveries),
                        )
        if "close" in self.allowed and holder.known_set_number and name not in current.has_requested:
            yield ("close", name), partial(self._close, current, name)

    def _send_request(self, current: GlobalState, name: str, deliveries: tuple[str, ...], begin: bool) -> GlobalState:
        nodes = dict(current.nodes)
        now = current.tick * TICK_US[name]
        node = nodes[name]
        holder: LeaseHolder = independent_copy(node.holder) if node.holder else self.holder(LEASE, name, NAMES)
        if begin:
            holder.request_next_term(now, node.grantor.grant(LEASE), probe_first="probe" in self.allowed)
        holder._next_request_at = 0
        request = holder.due_request(now)
        nodes[name] = node.with_holder(holder)
        in_transit = list(current.in_transit)
        if request is not None:
            for grantor, delivery in ((name, "done"), *zip(OTHERS[name], deliveries, strict=True)):
                if delivery in ("done", "answer"):
                    reply = self._deliver_request(nodes, current.tick, grantor, request)
                    if delivery == "done":
                        holder.receive_reply(now, now, grantor, reply)
                    else:
                        in_transit.append(LateMessage(name, grantor, now, reply))
                elif delivery == "later":
                    in_transit.append(LateMessage(name, grantor, now, request))
        added = len(in_transit) - len(current.in_transit)
        has_requested = current.has_requested | {name}
        return current._replace(
            nodes=nodes,
            in_transit=frozenset(in_transit),
            lates_left=current.lates_left - added,
            has_requested=has_requested,
        )

    @staticmethod
    def _deliver_request(nodes: dict[str, Node], tick: int, name: str, request: LeaseRequest) -> LeaseReply:
        grantor = independent_copy(nodes[name].grantor)
        nodes[name] = Node(name, grantor, nodes[name].holder, nodes[name].complete)
        reply: LeaseReply = grantor.handle_request(tick * TICK_US[name], request)
        return reply

    def _deliver_late(self, current: GlobalState, message: LateMessage, twice: bool) -> GlobalState:
        nodes = dict(current.nodes)
        left = current.in_transit - {message}
        if isinstance(message.body, LeaseRequest):
            reply = self._deliver_request(nodes, current.tick, message.grantor, message.body)
            left |= {message} if twice else frozenset()
            return current._replace(
                nodes=nodes, in_transit=left | {message._replace(body=reply)}, lates_left=current.lates_left - twice
            )
        node = nodes[message.holder]
        if node.holder is not None:
            holder = independent_copy(node.holder)
            holder.receive_reply(current.tick * TICK_US[message.holder], message.sent, message.grantor, message.body)
            nodes[message.holder] = node.with_holder(holder)
        return current._replace(nodes=nodes, in_transit=left)

    def _name_successors(
        self, current: GlobalState, name: str, successors: tuple[str, ...], deliveries: tuple[str, ...]
    ) -> GlobalState:
        nodes = dict(current.nodes)
        holder = independent_copy(nodes[name].holder)
        holder.name_successors(current.tick * TICK_US[name], successors)
        nodes[name] = nodes[name].with_holder(holder)
        for successor in successors:  # the holder names only members to which it has replicated everything
            nodes[successor] = Node(successor, nodes[successor].grantor, nodes[successor].holder, True)
        return self._send_request(current._replace(nodes=nodes), name, deliveries, False)

    @staticmethod
    def _close(current: GlobalState, name: str) -> GlobalState:
        holder = independent_copy(current.nodes[name].holder)
        holder.close(current.tick * TICK_US[name])
        return current._replace(nodes=current.nodes | {name: current.nodes[name].with_holder(holder)})

    def _restart(self, current: GlobalState, name: str, wipe: bool) -> GlobalState:
        node = current.nodes[name]
        rows = None if wipe or node.grantor.learning else node.grantor.table().grants
        grantor = self.grantor(name, NAMES, current.tick * TICK_US[name], rows)
        nodes = current.nodes | {name: Node(name, grantor, None, node.complete and not wipe)}
        in_transit = frozenset(
            message
            for message in current.in_transit
            if message.holder != name or isinstance(message.body, LeaseRequest)
        )
        return current._replace(
            nodes=nodes,
            in_transit=in_transit,
            crashes_left=current.crashes_left - 1,
            has_requested=current.has_requested - {name},
        )

    @staticmethod
    def _learn(current: GlobalState, name: str, other: str) -> GlobalState:
        node = current.nodes[name]
        grantor = independent_copy(node.grantor)
        grantor.learn_from(current.tick * TICK_US[name], other, current.nodes[other].grantor.table())
        return current._replace(nodes=current.nodes | {name: Node(name, grantor, node.holder, node.complete)})

    # ---- invariants ----

    def check(self, current: GlobalState) -> GlobalState:
        """Return the state with its history updated; raise `InvariantBrokenError` if an invariant does not hold."""
        last_attempt, allowed_successors, closed = current.last_attempt, current.allowed_successors, current.closed
        views = {name: node.view(current.tick) for name, node in current.nodes.items()}
        attempting = [name for name, view in views.items() if view.may_attempt]
        if closed and any(view.valid for view in views.values()):
            raise InvariantBrokenError("a closed partition has a holder")
        if len(attempting) > 1:
            raise InvariantBrokenError(f"{' and '.join(attempting)} may make attempts at once")
        holders = {name: node.holder for name, node in current.nodes.items() if node.holder}
        if attempting and (attempting[0], holders[attempting[0]].term) != last_attempt:
            name, term = attempting[0], holders[attempting[0]].term
            if last_attempt[1] and name not in allowed_successors:
                raise InvariantBrokenError(f"{name} takes over from {last_attempt[0]} and is no successor")
            if term <= last_attempt[1]:
                raise InvariantBrokenError(f"{name} makes attempts in term {term} after {last_attempt}")
            last_attempt = (name, term)
        if last_attempt[0] in holders and holders[last_attempt[0]].term == last_attempt[1]:
            allowed_successors = named_successors(holders[last_attempt[0]])
        # An allowed successor that holds the lease and has made no attempt yet may replicate everything to others.
        for name, holder in holders.items():
            if holder.state is LeaseState.HELD and holder.term > last_attempt[1] and name in allowed_successors:
                allowed_successors |= named_successors(holder)
        closed = closed or any(holder.state is LeaseState.CLOSED for holder in holders.values())
        return current._replace(last_attempt=last_attempt, allowed_successors=allowed_successors, closed=closed)

    @staticmethod
    def key(current: GlobalState) -> tuple[Any, ...]:
        """Equal for two states with the same future."""
        ages = [
            (
                message.holder,
                message.grantor,
                min(LEASE_SPAN_US, current.tick * TICK_US[message.holder] - message.sent),
                message.body,
            )
            for message in current.in_transit
        ]
        return (
            frozenset(ages),
            *[node.view(current.tick).key for node in current.nodes.values()],
            *current[3:],
        )


# The ways in which a request to one grantor may go, each with the number of late messages that it adds.
DELIVERIES = {"done": 0, "lost": 0, "answer": 1, "later": 1}
DELIVERY_PAIRS = {
    lates_left: [
        (one, two) for one in DELIVERIES for two in DELIVERIES if DELIVERIES[one] + DELIVERIES[two] <= lates_left
    ]
    for lates_left in range(4)
}


class Exploration(NamedTuple):
    """The result of a search: the number of distinct states, and a broken invariant with the actions that led there."""

    states: int
    broken_invariant: str
    path: list[Any]


def explore(model: Model, start: GlobalState, depth: int) -> Exploration:
    """Search all states within `depth` actions, up to the first one that breaks an invariant."""
    seen = {hash(model.key(start))}
    layer: list[tuple[GlobalState, Any]] = [(start, None)]  # each with its last action and the path before it
    for _ in range(depth):
        after: list[tuple[GlobalState, Any]] = []
        for current, before in layer:
            for name, act in model.actions(current):
                path = (before, name)
                try:
                    new = model.check(act())
                except InvariantBrokenError as error:
                    return Exploration(len(seen), str(error), _unrolled(path))
                fingerprint = hash(model.key(new))
                if fingerprint not in seen:
                    seen.add(fingerprint)
                    after.append((new, path))
        layer = after
    return Exploration(len(seen), "", [])


def _unrolled(path: Any) -> list[Any]:
    names = []
    while path is not None:
        path, name = path
        names.append(name)
    return names[::-1]
