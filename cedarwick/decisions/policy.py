"""`Sender`, the delivery policy of one instance: admission and recovery of messages, and the decisions of each round.

`interface.py` describes how it is called. Times are in microseconds, rates in calls per second. The data structures are
in `state.py`, the design rationale is in `docs/design.md`. The base classes of `Sender` are in `sender_state`,
`rate_control`, `recovery`, `earlier_outages`, `health`, `selection`, `urgency`, `load_shedding` and `endpoint_updates`.
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

MAX_CANCELLED_ATTEMPTS = 2  # a message is given up after this many cancelled attempts
# Above this share of completions shortly after a failed connection, the receivers' connection tables are taken to be
# full.
CONNECT_FAILURE_LIMIT = 0.05
KEY_PAUSE = 300_000  # microseconds; pause of an order key of which another sender has earlier messages; renewable
KEY_PAUSE_RESERVE = SECOND  # microseconds; such a pause ends this long before the first message's deadline


def priority_class_of(settings: Mapping[str, str], index: int) -> PriorityClass:
    """Read one priority class from the settings under `classes.INDEX.`."""
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
    """The delivery policy of one instance; it decides only from its settings and its own observations."""

    def __init__(self, settings: Mapping[str, str], seed: int, now: int) -> None:
        self.priority_classes = [
            priority_class_of(settings, index) for index in range(int(float_setting(settings, "classes.count")))
        ]
        super().__init__(settings, seed, now)

    def accept(
        self, now: int, message_id: int, destination: int, priority_class: int, deadline: int, tenant: int, key: int
    ) -> Handle:
        """Accept a message; `deadline` is a time in microseconds, `key` its order key, 0 if order does not matter."""
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
        """Accept the messages that a restart left unfinished; an attempt without an outcome may have run."""
        # An attempt from before the restart may still be running, even for a key without an unfinished message: pause
        # all keys, so that no later message of its key can overtake it.
        self.order_key_queues.all_paused_until = now + duration_setting(self.settings, "rules.turn-gap-ms")
        handles = [self.accept(now, *each[:-1]) for each in unfinished]
        # The recovered messages must not be shed without an attempt if the settings now allow fewer open messages.
        self.max_open_messages = max(self.max_open_messages, self.open_messages + 2)
        for handle, each in zip(handles, unfinished, strict=True):
            handle.attempts = len(each.attempts)
            for attempt in reversed(each.attempts):
                if attempt.outcome is None or not attempt.outcome.never_ran:
                    handle.ran_at, handle.ran_zone, handle.doubtful_at = attempt.sent_at, attempt.zone, now
        return handles

    def pause_key(self, now: int, key: int) -> list[Handle]:
        """Hold back the messages of an order key for `KEY_PAUSE`, since another sender still has earlier ones.

        Returns those without an attempt.
        """
        queue = self.order_key_queues.queues.get(key) or ()
        if queue:
            # The other sender may never finish: leave enough time for an attempt of the first message here.
            self.order_key_queues.pause(key, min(now + KEY_PAUSE, queue[0].deadline - KEY_PAUSE_RESERVE))
        return [each for each in queue if not each.attempts]

    def decide(self, now: int) -> Decisions:
        """Decide for all destinations that changed or are due, most urgent messages first; call once per round.

        `wake_at` of the result is when to call again (microseconds) if no event occurs before.
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
        """Compute the values of a destination that stay constant during the round."""
        destination_state.ready_receivers = [
            self.receivers[each] for each in destination_state.receiver_ids if self.receivers[each].ready
        ]
        destination_state.min_latency = min(
            (receiver.mean_latency for receiver in destination_state.ready_receivers), default=0.0
        )
        destination_state.first_wait_end = min(
            (receiver.rate_control.wait_until for receiver in destination_state.ready_receivers), default=0
        )
        destination_state.candidates.clear()

    def _process_held_messages(self, now: int, destination_states: Sequence[Destination]) -> dict[int, int]:
        """Process the held messages, most urgent first; return when to check each destination next."""
        next_checks: dict[int, int] = {}
        single_message_calls = max(self.messages_per_call, default=1) == 1
        waiting = [
            held
            for destination_state in destination_states
            for held in destination_state.held
            if not (held.in_flight or held.ended)
        ]
        for message in sorted(waiting, key=lambda held: self._urgency(now, held)):
            destination_state = self.destinations[message.destination]
            cached = now < message.next_check_at and destination_state.candidates.get(message.candidate_filter)
            if cached and (single_message_calls or not cached[0]):  # no receiver or no call slot is available
                destination_state.rotate(message.candidate_filter)
                check_at = message.next_check_at if cached[0] else min(cached[1], message.next_check_at)
            else:
                check_at = self.advance(now, message)
            next_checks[destination_state.id] = min(check_at, next_checks.get(destination_state.id, NEVER))
        return next_checks

    def _release_connections(self) -> None:
        """Release idle connections that fill a receiver's connection table or that it will close before their next use.

        The limits are `CONNECT_FAILURE_LIMIT` and, with many senders, the idle limit of connections.
        """
        for each in sorted(self.ended_call_receivers & self.receivers.keys()):
            record = self.receivers[each]
            crowded = self.connect_failure_shares.get(record.kind, 0.0) > CONNECT_FAILURE_LIMIT
            if not record.unanswered_attempts and (
                crowded or self.many_senders and record.last_attempt_gap > self.connection_idle_limit
            ):
                self.decisions.released_connections.append(each)
        self.ended_call_receivers.clear()

    def advance(self, now: int, message: Handle) -> int:
        """Request an attempt for a held message, give the message up, or let it wait.

        Returns when to check the message next (microseconds); NEVER if that is not needed.
        """
        priority_class = message.priority_class
        destination_state = self.destinations[message.destination]
        last_start = message.deadline - max(self.tick * START_MARGIN_TICKS, round(destination_state.min_latency / 2))
        last_start = min(last_start, message.retry_until() - 1)
        start = max(now, message.not_before, destination_state.first_wait_end)
        # Give up: no attempts are left, or a further one could take effect twice or could not finish in time.
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
            key_ready_at = self.order_key_queues.ready_at(message.key, message)
            if key_ready_at > now:
                return min(key_ready_at, last_start + 1)
        zone = (
            message.ran_zone
            if message.ran_at and priority_class.single_zone and not priority_class.idempotent
            else None
        )
        filter_key = zone, priority_class.at_most_once
        # Cached: otherwise each event would scan all receivers for every held message.
        if filter_key not in destination_state.candidates:
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
        time_out = self._attempt_time_out(now, message, receiver)
        self.decisions.attempts.append((message.id, receiver.id, time_out))
        return NEVER
