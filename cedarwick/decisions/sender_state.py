"""The state of one sender (settings, receivers, destinations, held messages) and helpers that all parts use.

Times are microseconds, rates calls a second. Every part of `Sender` (see `policy`) derives from `SenderState`.
"""

from collections.abc import Mapping

from cedarwick.decisions.interface import Decisions, HealthChange, duration_setting, float_setting, list_setting
from cedarwick.decisions.state import (
    NEVER,
    SECOND,
    Destination,
    Message,
    OrderKeyQueues,
    RandomSource,
    RateControl,
    Receiver,
    TokenBucket,
    WakeSchedule,
)

REFUSAL_WINDOW = 2 * SECOND  # the share of refusals is measured over this
MANY_SENDERS = 16  # with more senders than this, each sees too few outcomes of a receiver to judge by shares
FEW_SENDERS = (
    8  # up to so many senders see enough of a destination to tell its outage from that of one of its receivers
)
COMPLETIONS_STALE_AFTER = 5 * SECOND  # completions older than this say little of a receiver's health
BACKOFF_BASE = SECOND // 2  # the first window that a random wait is drawn from; it doubles with each failure
# The longest wait between calls for the list: with 1 s for a call that hangs, a change arrives before it counts as
# known.
MAX_LIST_POLL_DELAY = 4 * SECOND
START_MARGIN_TICKS = 4  # ticks between the last useful start of an attempt and the end of its time
MAX_RETRY_AFTER = 3600 * SECOND  # longer Retry-After waits are cut to this; no deadline comes near it
MIN_TOTAL_RATE = 1.0  # calls a second of all senders together: no rate_control and no ramp is slower
# Of the time after which a receiver closes an idle connection: an attempt must not cross its close.
IDLE_CONNECTION_SHARE = 0.9
SAFE_RATE_SHARE = 0.6  # of this sender's even part of a listed rate, which may be listed too high


class SenderState:
    """The settings and records of one sender; every other part of `Sender` derives from it."""

    def __init__(self, settings: Mapping[str, str], seed: int, now: int) -> None:
        self.settings = settings
        self.random_source = RandomSource(seed)
        self.senders = max(1, int(float_setting(settings, "balancers", 1)))
        self.many_senders = self.senders > MANY_SENDERS
        self.few_senders = self.senders <= FEW_SENDERS
        self.min_rate = MIN_TOTAL_RATE / self.senders
        self.tick = max(1000, duration_setting(settings, "resolution-ms", 5.0))
        self.max_calls_in_flight = int(float_setting(settings, "family-info.max-calls", 1 << 30))
        self.max_attempts = int(float_setting(settings, "policy-limits.most-tries", 1 << 30))
        self.max_open_messages = int(float_setting(settings, "policy-limits.max-open", 1 << 30))
        self.messages_per_call = [int(part) for part in list_setting(settings, "family-info.per-call")]
        self.ramp_time = max(SECOND, duration_setting(settings, "rules.ramp-time-ms", 10_000))
        self.overload_window = duration_setting(settings, "rules.fall-ms")
        # The observed rate is completions over this window; many senders see few each, so theirs is twice as long.
        self.observation_window = 2 * REFUSAL_WINDOW * (1 + self.many_senders)
        self.local_zone = int(float_setting(settings, "locality"))
        self.cross_zone_fee = float_setting(settings, "tariffs.cross-zone")
        self.separate_kinds = {
            n for n, part in enumerate(list_setting(settings, "family-info.kind-apart")) if part == "true"
        }
        self.report_columns = list_setting(settings, "report.columns")
        self.zone_fees = dict(enumerate(list_setting(settings, "family-info.fee-by-zone")))
        self.connection_idle_limit = duration_setting(settings, "policy-limits.conn-idle-ms", 15_000)
        self.connection_lifetime = round(self.connection_idle_limit * IDLE_CONNECTION_SHARE)
        self.receivers: dict[int, Receiver] = {}
        self.destinations: dict[int, Destination] = {}
        self.order_key_queues = OrderKeyQueues()
        self.tenant_allowances: dict[int, TokenBucket] = {}  # what a tenant has left of its share
        self.started_at = now
        self.open_messages = 0
        self.storable_messages = NEVER  # messages that may still be stored, as the protocol says
        self.accepted_count = 0
        self.calls_in_flight = 0
        self.changed_destinations: set[int] = set()  # destinations that need a look in this round
        self.broken_reuse_share = 0.0  # moving share of calls on reused connections that broke
        self.connect_failure_shares: dict[int, float] = {}  # by kind: how often one failed just before a completion
        self.ended_call_receivers: set[int] = set()  # receivers at which a call has ended in this round
        self.destinations_without_slot: set[int] = set()  # destinations that found no slot free
        self.wake_schedule = WakeSchedule()
        self.subscribe_at = now if settings.get("discovery") == "ask" else NEVER
        self.last_poll_at, self.failed_polls = now, 0  # for the list: when last, how often of late
        # On sockets no longer than `MAX_LIST_POLL_DELAY`.
        self.max_poll_backoff = duration_setting(settings, "rules.ask-within-ms") or MAX_LIST_POLL_DELAY
        self.decisions = Decisions()

    def take_health_changes(self) -> list[HealthChange]:
        """The changes of receivers' health since the last call or round, in their order."""
        changes, self.decisions.health_changes = self.decisions.health_changes, []
        return changes

    def hold(self, now: int, message: Message) -> None:
        """Put a message among those held for its destination, for a look in the coming round."""
        self._destination(message.destination).held.append(message)
        self.changed_destinations.add(message.destination)
        message.next_check_at = message.rank_valid_until = 0

    def close(self, now: int, message: Message) -> None:
        """Close an ended message without a running attempt, and let the next message of its key go."""
        message.ended = True
        self.open_messages -= 1
        self.changed_destinations.add(message.destination)
        if message.priority_class.ordered and message.key:
            # An attempt that timed out may still run: the key rests, so that its next message cannot overtake it.
            rest = (message.doubtful_at or -NEVER) + duration_setting(self.settings, "rules.turn-gap-ms")
            after = self.order_key_queues.remove_ended(message.key, message, now, rest)
            self.changed_destinations.update(each.destination for each in after)  # its next one may wait at another

    def _destination(self, destination_id: int) -> Destination:
        """The record of a destination, new where there is none yet."""
        if destination_id not in self.destinations:
            self.destinations[destination_id] = Destination(destination_id, RateControl())
        return self.destinations[destination_id]

    def _rate_group(self, destination_state: Destination, rate_control: RateControl) -> list[Receiver]:
        """The receivers of a destination that share a rate control."""
        return [
            self.receivers[each]
            for each in destination_state.receiver_ids
            if self.receivers[each].rate_control is rate_control
        ]

    def _messages_per_call_to(self, receiver: Receiver) -> int:
        """How many messages one call to the receiver carries."""
        return self.messages_per_call[receiver.kind] if receiver.kind < len(self.messages_per_call) else 1

    def _lacks_recent_completion(self, now: int, receiver: Receiver) -> bool:
        """Whether the receiver has completed nothing of late."""
        return not receiver.completion_times or receiver.completion_times[-1] < now - COMPLETIONS_STALE_AFTER
