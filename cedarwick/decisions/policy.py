"""`Sender`, the delivery policy of one instance: it accepts and recovers messages and decides in each round.

The dispatcher and the laboratory call it as `interface.py` describes. Times are microseconds, rates calls a second.
The records are in `state.py`, the reasons in `docs/design.md`. The parts of `Sender`:
`sender_state` (records), `rate_control`, `recovery`, `health`, `selection`, `urgency`, `load_shedding` and
`endpoint_updates`.
"""

from collections.abc import Mapping, Sequence

from cedarwick.decisions.endpoint_updates import EndpointUpdates
from cedarwick.decisions.interface import Decisions, UnfinishedMessage, duration_setting, flag_setting, float_setting
from cedarwick.decisions.load_shedding import LoadShedding
from cedarwick.decisions.message_handle import Handle
from cedarwick.decisions.selection import Selection
from cedarwick.decisions.sender_state import START_MARGIN_TICKS
from cedarwick.decisions.state import NEVER, SECOND, Destination, PriorityClass

__all__ = ["Handle", "Sender", "priority_class_of"]

MAX_CANCELLED_ATTEMPTS = 2  # cancelled attempts after which a message is given up
CONNECT_FAILURE_LIMIT = 0.05  # a larger share of completions right after a failed connection: tables are full
KEY_REST = 300_000  # microseconds: the rest of a key of which another sender has earlier messages; renewable
KEY_REST_RESERVE = SECOND  # such a rest ends at least this long before the first message's deadline


def priority_class_of(settings: Mapping[str, str], index: int) -> PriorityClass:
    """One priority class as the settings give it under `classes.INDEX.`."""
    head = f"classes.{index}."
    halves = settings.get("family-info.late") == "by_half"
    repeat = settings.get(head + "repeat", "single_shot")
    return PriorityClass(
        priority_weight=float_setting(settings, head + "worth", 1.0),
        latency_objective=duration_setting(settings, head + "slo-ms", 1000.0),
        deadline=duration_setting(settings, head + "deadline-ms", 10_000.0),
        late_share=float_setting(settings, head + "late-worth"),
        halves_in=duration_setting(settings, head + "slo-ms", 1000.0) if halves else 0,
        idempotent=repeat == "free",
        at_most_once=repeat not in ("free", "guarded"),
        dedup_window=duration_setting(settings, head + "dedup-window-ms"),
        single_zone=settings.get(head + "group", "all") != "all",
        ordered=flag_setting(settings, head + "in-turn"),
    )


class Sender(Selection, LoadShedding, EndpointUpdates):
    """One instance: it decides from its settings and from what it has seen itself."""

    def __init__(self, settings: Mapping[str, str], seed: int, now: int) -> None:
        self.priority_classes = [
            priority_class_of(settings, index) for index in range(int(float_setting(settings, "classes.count")))
        ]
        super().__init__(settings, seed, now)

    def accept(
        self, now: int, message_id: int, destination: int, priority_class: int, deadline: int, tenant: int, key: int
    ) -> Handle:
        """Accept a message; `deadline` is a time in microseconds, `key` 0 where order does not matter."""
        chosen_class = self.priority_classes[priority_class]
        objective_by = deadline - chosen_class.deadline + chosen_class.latency_objective
        self.taken += 1
        handle = Handle(message_id, destination, chosen_class, deadline, objective_by, tenant, key, self.taken)
        handle.sender = self
        handle.over_share = self._over_share(now, tenant)
        if chosen_class.ordered and key:
            self.order_key_queues.enqueue(key, handle)
        self.open_messages += 1
        self.hold(now, handle)
        return handle

    def restore(self, now: int, unfinished: Sequence[UnfinishedMessage]) -> list[Handle]:
        """Accept what a restart left unfinished; an attempt without an outcome may have run."""
        # An attempt from before the restart may still be running, even for a key with no unfinished message: all keys
        # rest, so that a later message of the key cannot overtake it.
        self.order_key_queues.all_paused_until = now + duration_setting(self.settings, "rules.turn-gap-ms")
        handles = [self.accept(now, *each[:-1]) for each in unfinished]
        # If the settings now allow fewer open messages, the recovered ones must not be shed without an attempt.
        self.most_open = max(self.most_open, self.open_messages + 2)
        for handle, each in zip(handles, unfinished, strict=True):
            handle.attempts = len(each.attempts)
            for attempt in reversed(each.attempts):
                if attempt.outcome is None or not attempt.outcome.never_ran:
                    handle.ran_at, handle.ran_zone, handle.doubtful_at = attempt.sent_at, attempt.zone, now
        return handles

    def pause_key(self, now: int, key: int) -> list[Handle]:
        """Hold the messages of a key back for `KEY_REST`, since another sender still has earlier ones.

        Returns those that had no attempt yet.
        """
        line = self.order_key_queues.queues.get(key) or ()
        if line:
            # The other sender may never finish: leave the first message enough time for its own attempt.
            self.order_key_queues.pause(key, min(now + KEY_REST, line[0].deadline - KEY_REST_RESERVE))
        return [each for each in line if not each.attempts]

    def decide(self, now: int) -> Decisions:
        """Decide for every destination that changed or is due, most urgent messages first; call once a round.

        `wake_at` of the result is when to call again (microseconds) if nothing happens before.
        """
        self.changed.update(self.looks.due(now))
        places = [self.destinations[each] for each in sorted(self.changed)]
        self.changed.clear()
        for place in places:
            self._begin_round(place)
        next_look = self._look_at_held(now, places)
        self._shed(now)
        for place in places:
            place.held = [held for held in place.held if not (held.in_flight or held.ended)]
            self.looks.plan(place.id, max(next_look.get(place.id, NEVER), now + self.tick))
        self._release_connections()
        verdicts, self.verdicts = self.verdicts, Decisions()
        if now >= self.subscribe_at:
            verdicts.subscribe, self.subscribe_at, self.polled_at = True, NEVER, now
        wake_at = min(self.looks.soonest(), self.subscribe_at, now + self.tick if self.changed else NEVER)
        verdicts.wake_at = wake_at if wake_at < NEVER else None
        return verdicts

    def _begin_round(self, place: Destination) -> None:
        """Compute the values of a destination that stay the same through the round."""
        place.ready = [self.receivers[each] for each in place.members if self.receivers[each].ready]
        place.quickest = min((member.mean_latency for member in place.ready), default=0.0)
        place.waits_until = min((member.rate_control.wait_until for member in place.ready), default=0)
        place.room.clear()

    def _look_at_held(self, now: int, places: Sequence[Destination]) -> dict[int, int]:
        """Advance the held messages, most urgent first; returns the time of the next look by destination."""
        next_look: dict[int, int] = {}
        alone = max(self.messages_per_call, default=1) == 1
        waiting = [held for place in places for held in place.held if not (held.in_flight or held.ended)]
        for message in sorted(waiting, key=lambda held: self._urgency(now, held)):
            place = self.destinations[message.destination]
            known = now < message.look_at and place.room.get(message.asks)
            if known and (alone or not known[0]):  # no room, or no slot
                place.turn(message.asks)
                look_at = message.look_at if known[0] else min(known[1], message.look_at)
            else:
                look_at = self.advance(now, message)
            next_look[place.id] = min(look_at, next_look.get(place.id, NEVER))
        return next_look

    def _release_connections(self) -> None:
        """Release idle connections that fill a receiver's table, or that it will have closed before their next use."""
        for each in sorted(self.idle & self.receivers.keys()):
            record = self.receivers[each]
            crowded = self.connect_failure_shares.get(record.kind, 0.0) > CONNECT_FAILURE_LIMIT
            if not record.calls and (crowded or self.many and record.gap > self.connection_idle_limit):
                self.verdicts.released_connections.append(each)
        self.idle.clear()

    def advance(self, now: int, message: Handle) -> int:
        """Order an attempt for a held message, give it up, or let it wait.

        Returns the time of its next look (microseconds); NEVER where it needs none.
        """
        priority_class = message.priority_class
        place = self.destinations[message.destination]
        last_start = message.deadline - max(self.tick * START_MARGIN_TICKS, round(place.quickest / 2))
        last_start = min(last_start, message.repeat_until() - 1)
        start = max(now, message.not_before, place.waits_until)
        # Terminal: out of attempts, or a further one could take effect twice, or cannot finish in time.
        if (
            message.attempts >= self.most_attempts
            or message.cancelled >= MAX_CANCELLED_ATTEMPTS
            or (priority_class.at_most_once and message.ran_at)
            or start > last_start
        ):
            self.give_up(now, message)
            return NEVER
        if start > now:
            return min(start, last_start + 1)
        if priority_class.ordered and message.key:
            turn_at = self.order_key_queues.ready_at(message.key, message)
            if turn_at > now:
                return min(turn_at, last_start + 1)
        zone = (
            message.ran_zone
            if message.ran_at and priority_class.single_zone and not priority_class.idempotent
            else None
        )
        asking = zone, priority_class.at_most_once
        if asking not in place.room:  # cached: each event would otherwise scan all receivers for every held message
            members = [member for member in place.ready if zone is None or member.zone == zone]
            place.room[asking] = self._with_room(now, message, members)
        message.look_at, message.asks = last_start + 1, asking
        receiver = next((member for member, _ in place.room[asking][0] if self._joins(now, member)), None)
        receiver = receiver or place.turn(asking)
        if receiver is None:
            return min(place.room[asking][1], last_start + 1)
        joins = self._joins(now, receiver)
        if not joins and self.calls_in_flight >= self.slots:
            self.starved.add(place.id)
            return last_start + 1
        place.room.clear()
        self._spend(now, receiver, joins)
        message.in_flight, message.sent_at = True, now
        message.attempts += 1
        patience = self._attempt_time_out(now, message, receiver)
        self.verdicts.attempts.append((message.id, receiver.id, patience))
        return NEVER
