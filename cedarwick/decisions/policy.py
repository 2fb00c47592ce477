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
KEY_PAUSE = 300_000  # microseconds: the rest of a key of which another sender has earlier messages; renewable
KEY_PAUSE_RESERVE = SECOND  # such a rest ends at least this long before the first message's deadline


def priority_class_of(settings: Mapping[str, str], index: int) -> PriorityClass:
    """One priority class as the settings give it under `classes.INDEX.`."""
    head = f"classes.{index}."
    halving = settings.get("family-info.late") == "by_half"
    repeat = settings.get(head + "repeat", "single_shot")
    return PriorityClass(
        priority_weight=float_setting(settings, head + "worth", 1.0),
        latency_objective=duration_setting(settings, head + "slo-ms", 1000.0),
        deadline=duration_setting(settings, head + "deadline-ms", 10_000.0),
        late_share=float_setting(settings, head + "late-worth"),
        value_half_life=duration_setting(settings, head + "slo-ms", 1000.0) if halving else 0,
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
        self.accepted_count += 1
        handle = Handle(message_id, destination, chosen_class, deadline, objective_by, tenant, key, self.accepted_count)
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
        self.max_open_messages = max(self.max_open_messages, self.open_messages + 2)
        for handle, each in zip(handles, unfinished, strict=True):
            handle.attempts = len(each.attempts)
            for attempt in reversed(each.attempts):
                if attempt.outcome is None or not attempt.outcome.never_ran:
                    handle.ran_at, handle.ran_zone, handle.doubtful_at = attempt.sent_at, attempt.zone, now
        return handles

    def pause_key(self, now: int, key: int) -> list[Handle]:
        """Hold the messages of a key back for `KEY_PAUSE`, since another sender still has earlier ones.

        Returns those that had no attempt yet.
        """
        line = self.order_key_queues.queues.get(key) or ()
        if line:
            # The other sender may never finish: leave the first message enough time for its own attempt.
            self.order_key_queues.pause(key, min(now + KEY_PAUSE, line[0].deadline - KEY_PAUSE_RESERVE))
        return [each for each in line if not each.attempts]

    def decide(self, now: int) -> Decisions:
        """Decide for every destination that changed or is due, most urgent messages first; call once a round.

        `wake_at` of the result is when to call again (microseconds) if nothing happens before.
        """
        self.changed_destinations.update(self.wake_schedule.due(now))
        destination_states = [self.destinations[each] for each in sorted(self.changed_destinations)]
        self.changed_destinations.clear()
        for destination_state in destination_states:
            self._begin_round(destination_state)
        next_checks = self._process_held_messages(now, destination_states)
        self._shed(now)
        for destination_state in destination_states:
            destination_state.held = [held for held in destination_state.held if not (held.in_flight or held.ended)]
            self.wake_schedule.schedule(
                destination_state.id, max(next_checks.get(destination_state.id, NEVER), now + self.tick)
            )
        self._release_connections()
        decisions, self.decisions = self.decisions, Decisions()
        if now >= self.subscribe_at:
            decisions.subscribe, self.subscribe_at, self.last_poll_at = True, NEVER, now
        wake_at = min(
            self.wake_schedule.earliest(), self.subscribe_at, now + self.tick if self.changed_destinations else NEVER
        )
        decisions.wake_at = wake_at if wake_at < NEVER else None
        return decisions

    def _begin_round(self, destination_state: Destination) -> None:
        """Compute the values of a destination that stay the same through the round."""
        destination_state.ready_receivers = [
            self.receivers[each] for each in destination_state.receiver_ids if self.receivers[each].ready
        ]
        destination_state.min_latency = min(
            (candidate.mean_latency for candidate in destination_state.ready_receivers), default=0.0
        )
        destination_state.first_wait_end = min(
            (candidate.rate_control.wait_until for candidate in destination_state.ready_receivers), default=0
        )
        destination_state.candidates.clear()

    def _process_held_messages(self, now: int, destination_states: Sequence[Destination]) -> dict[int, int]:
        """Advance the held messages, most urgent first; returns the time of the next look by destination."""
        next_checks: dict[int, int] = {}
        alone = max(self.messages_per_call, default=1) == 1
        waiting = [
            held
            for destination_state in destination_states
            for held in destination_state.held
            if not (held.in_flight or held.ended)
        ]
        for message in sorted(waiting, key=lambda held: self._urgency(now, held)):
            destination_state = self.destinations[message.destination]
            known = now < message.next_check_at and destination_state.candidates.get(message.candidate_filter)
            if known and (alone or not known[0]):  # no room, or no slot
                destination_state.rotate(message.candidate_filter)
                check_at = message.next_check_at if known[0] else min(known[1], message.next_check_at)
            else:
                check_at = self.advance(now, message)
            next_checks[destination_state.id] = min(check_at, next_checks.get(destination_state.id, NEVER))
        return next_checks

    def _release_connections(self) -> None:
        """Release idle connections that fill a receiver's table, or that it will have closed before their next use."""
        for each in sorted(self.ended_call_receivers & self.receivers.keys()):
            record = self.receivers[each]
            crowded = self.connect_failure_shares.get(record.kind, 0.0) > CONNECT_FAILURE_LIMIT
            if not record.unanswered_attempts and (
                crowded or self.many_senders and record.last_attempt_gap > self.connection_idle_limit
            ):
                self.decisions.released_connections.append(each)
        self.ended_call_receivers.clear()

    def advance(self, now: int, message: Handle) -> int:
        """Order an attempt for a held message, give it up, or let it wait.

        Returns the time of its next look (microseconds); NEVER where it needs none.
        """
        priority_class = message.priority_class
        destination_state = self.destinations[message.destination]
        last_start = message.deadline - max(self.tick * START_MARGIN_TICKS, round(destination_state.min_latency / 2))
        last_start = min(last_start, message.repeat_until() - 1)
        start = max(now, message.not_before, destination_state.first_wait_end)
        # Terminal: out of attempts, or a further one could take effect twice, or cannot finish in time.
        if (
            message.attempts >= self.max_attempts
            or message.cancelled_attempts >= MAX_CANCELLED_ATTEMPTS
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
        filter_key = zone, priority_class.at_most_once
        if (
            filter_key not in destination_state.candidates
        ):  # cached: each event would otherwise scan all receivers for every held message
            eligible = [
                candidate for candidate in destination_state.ready_receivers if zone is None or candidate.zone == zone
            ]
            destination_state.candidates[filter_key] = self._find_candidates(now, message, eligible)
        message.next_check_at, message.candidate_filter = last_start + 1, filter_key
        receiver = next(
            (
                candidate
                for candidate, _ in destination_state.candidates[filter_key][0]
                if self._can_share_call(now, candidate)
            ),
            None,
        )
        receiver = receiver or destination_state.rotate(filter_key)
        if receiver is None:
            return min(destination_state.candidates[filter_key][1], last_start + 1)
        shares_call = self._can_share_call(now, receiver)
        if not shares_call and self.calls_in_flight >= self.max_calls_in_flight:
            self.destinations_without_slot.add(destination_state.id)
            return last_start + 1
        destination_state.candidates.clear()
        self._account_for_attempt(now, receiver, shares_call)
        message.in_flight, message.sent_at = True, now
        message.attempts += 1
        patience = self._attempt_time_out(now, message, receiver)
        self.decisions.attempts.append((message.id, receiver.id, patience))
        return NEVER
