"""The state of one sender (settings, receivers, destinations, held messages) and helpers that all its parts use.

Times are in microseconds, rates in calls per second. All base classes of `Sender` (see `policy`) derive from
`SenderState`.
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

THROTTLE_WINDOW = 2 * SECOND  # microseconds; the share of throttled answers is measured over this window
MANY_SENDERS = 16  # with more senders, each sees too few outcomes of a receiver to judge it by shares of them
# Up to this many senders, each sees enough of a destination to tell its outage from an outage of a single receiver.
FEW_SENDERS = 8
COMPLETIONS_STALE_AFTER = 5 * SECOND  # microseconds; older completions say little about a receiver's health
BACKOFF_BASE = SECOND // 2  # microseconds; the first window of a random backoff, doubled with each failure
# Microseconds; the longest delay between polls of the endpoint list. With 1 s for a call that hangs, a change still
# arrives before senders are expected to know it.
MAX_LIST_POLL_DELAY = 4 * SECOND
START_MARGIN_TICKS = 4  # ticks between the latest useful start of an attempt and the end of its time
MAX_RETRY_AFTER = 3600 * SECOND  # microseconds; longer Retry-After waits are cut to this, far beyond any deadline
MIN_TOTAL_RATE = 1.0  # calls per second of all senders together; the lower bound of every rate and ramp
# Idle connections are used for this share of the time after which a receiver closes them: an attempt must not be sent
# while the receiver closes its connection.
IDLE_CONNECTION_SHARE = 0.9
SAFE_RATE_SHARE = 0.6  # of this sender's even share of a listed rate, since the listed rate may be too high


class SenderState:
    """The settings and records of one sender; the other base classes of `Sender` derive from it."""

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
        # The observed rate counts completions in this window. Each of many senders sees few, so the window is doubled.
        self.observation_window = 2 * THROTTLE_WINDOW * (1 + self.many_senders)
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
        self.tenant_allowances: dict[int, TokenBucket] = {}  # unused allowance by tenant
        self.started_at = now
        self.open_messages = 0
        self.storable_messages = NEVER  # how many more messages the caller can store
        self.accepted_count = 0
        self.calls_in_flight = 0
        self.changed_destinations: set[int] = set()  # destinations to decide for in this round
        self.broken_reuse_share = 0.0  # moving average of the share of reused connections that broke during a call
        # Moving average, by kind, of the share of completions that came shortly after a failed connection.
        self.connect_failure_shares: dict[int, float] = {}
        self.ended_call_receivers: set[int] = set()  # receivers with a call that ended in this round
        self.destinations_without_slot: set[int] = set()  # destinations with messages that wait for a call slot
        self.wake_schedule = WakeSchedule()
        self.subscribe_at = now if settings.get("discovery") == "ask" else NEVER
        self.last_poll_at, self.failed_polls = now, 0  # last list poll; recent failures
        # In the service, `program` caps this at `MAX_LIST_POLL_DELAY`.
        self.max_poll_backoff = duration_setting(settings, "rules.ask-within-ms") or MAX_LIST_POLL_DELAY
        self.decisions = Decisions()

    def take_health_changes(self) -> list[HealthChange]:
        """Return and clear the health changes since the last call or round, in order of occurrence."""
        changes, self.decisions.health_changes = self.decisions.health_changes, []
        return changes

    def hold(self, now: int, message: Message) -> None:
        """Add a message to those held for its destination, to be decided on in the next round."""
        self._destination(message.destination).held.append(message)
        self.changed_destinations.add(message.destination)
        message.next_check_at = message.rank_valid_until = 0

    def close(self, now: int, message: Message) -> None:
        """Close an ended message that has no attempt in flight, and release the next message of its order key."""
        message.ended = True
        self.open_messages -= 1
        self.changed_destinations.add(message.destination)
        if message.priority_class.ordered and message.key:
            # A timed-out attempt may still be running: pause the key so that its next message cannot overtake it.
            pause_until = (message.doubtful_at or -NEVER) + duration_setting(self.settings, "rules.turn-gap-ms")
            after = self.order_key_queues.remove_ended(message.key, message, now, pause_until)
            # The key's next message may belong to another destination.
            self.changed_destinations.update(each.destination for each in after)

    def _destination(self, destination_id: int) -> Destination:
        """Return the record of a destination; create it if there is none yet."""
        if destination_id not in self.destinations:
            self.destinations[destination_id] = Destination(destination_id, RateControl())
        return self.destinations[destination_id]

    def _rate_group(self, destination_state: Destination, rate_control: RateControl) -> list[Receiver]:
        """Return the receivers of a destination that share the given rate control."""
        return [
            self.receivers[each]
            for each in destination_state.receiver_ids
            if self.receivers[each].rate_control is rate_control
        ]

    def _messages_per_call_to(self, receiver: Receiver) -> int:
        """Return how many messages one call to the receiver can carry."""
        return self.messages_per_call[receiver.kind] if receiver.kind < len(self.messages_per_call) else 1

    def _lacks_recent_completion(self, now: int, receiver: Receiver) -> bool:
        """Whether the receiver has completed no call within `COMPLETIONS_STALE_AFTER`."""
        return not receiver.completion_times or receiver.completion_times[-1] < now - COMPLETIONS_STALE_AFTER
