"""All decisions; the calls are in `interface.py`, the records in `state.py`, reasons in `docs/design.md`."""

from collections import deque
from collections.abc import Mapping, Sequence

from cedarwick.decisions.interface import (
    Decisions,
    EndpointState,
    EndpointUpdate,
    ListedEndpoint,
    Outcome,
    UnfinishedMessage,
    duration_setting,
    flag_setting,
    float_setting,
    list_setting,
)
from cedarwick.decisions.state import (
    NEVER,
    Destination,
    KeyOrder,
    Message,
    PriorityClass,
    RandomSource,
    RateControl,
    Receiver,
    TokenBucket,
    WakeSchedule,
    record_recent,
)

SECOND = 1_000_000

WINDOW_BASE = SECOND // 2
WINDOW_CAP = 60 * SECOND
LIST_GAP = SECOND // 4  # of a window for the next call for the list, for each sender
LIST_WAIT = 4 * SECOND  # and the longest: with 1 s for a call that hangs, news comes before it counts as told
CANCELLED_CAP = 2  # attempts with an unclassified end
SPAN = 2 * SECOND  # the share of refusals is measured over this
THROTTLED = 0.15  # a larger share of refusals as full halves the pace: one in seven is more than chance
STEP = 0.05  # of the reference rate, for each half second that stays clean
STEP_EVERY = SECOND // 2
GATHER = 4  # attempts at least that tell the recent send rate
SPENT = 0.05  # of the limit left, or less: it is used up by all senders together
ROOM = 0.5  # where reports tell that more than this share of the limit is left, others do not use it
MOST_STEPS = 4  # and so many are taken at once; or those of the clean time, where no limit is known
IDLE_DROP = 60 * SECOND
HEADROOM = 1.2  # a sender starts at this multiple of its even part of a listed rate

FEW = 8  # outcomes that judge a receiver
CHANCE = 2  # calls more than a cold destination bears within `rules.fall-ms`
MANY = 16  # where senders are more, each sees too few outcomes of a receiver to gather them
STALE = 5 * SECOND  # completions older than this say little of a receiver's health
TRUST_HALVES = 5 * SECOND  # distrust fades by half in this time
SILENCE = SECOND  # no answer for this long, and longer than usual, counts as silence
UNLINKED = 0.05  # a larger share of completions right after a failed connection: tables are full
SHUT_AFTER = 2_500_000  # fulls alone for longer than any limit's span of a second or two: it is shut
SHUT_FULLS = 6  # and so many at least: at a crowded limit a few in a row are others' doing
CANARY_SOONEST = 800_000  # between two canaries of this sender to one destination, where it is large
CANARY_AGE = 2.5  # gaps between canaries grow to this multiple of the outage's age where senders are many
CANARY_LATEST = 6 * SECOND  # and where it is small or the senders are many
FIRST_CALLS = 2  # calls out at a destination from which nothing has been completed yet
RAMP_PART = 0.8  # of what the fail-back rule allows
STALE_LINKS = 0.04  # a larger share of kept links that break under a call
FORGET = 20 * SECOND  # after a receiver has left the list; its outage is told to a replacement until then
LONGEST_WAIT = 3600 * SECOND  # a longer Retry-After wait is looked into after this; no deadline comes near it
RESTED = 300_000  # for so long a key rests that is owed elsewhere, unless it is told again
LAST_CHANCE = SECOND  # of an message's time a rest for others leaves so much
LONE = 0.5  # calls a second: an even part below this makes a lone message wait longer than it lives
TRICKLE = 1.0  # calls a second of all senders together: no pace and no ramp is slower
WARMING_UP_BATCH = 4  # messages in one call during a ramp, and from a refusal to the next completion
LINK_PART = 0.9  # of the time after which a receiver closes an idle link: an attempt must not cross its close
PART = 0.6  # of this sender's even part of a listed rate, which may be listed too high


def priority_class_of(settings: Mapping[str, str], index: int) -> PriorityClass:
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
        window=duration_setting(settings, head + "dedup-window-ms"),
        single_zone=settings.get(head + "group", "all") != "all",
        ordered=flag_setting(settings, head + "in-turn"),
    )


class Handle(Message):
    """An message in a sender's care."""

    __slots__ = ("sender",)
    sender: "Sender"

    def attempt_ended(
        self,
        now: int,
        outcome: Outcome,
        attempt: int,
        receiver: int,
        took: int,
        retry_after: int,
        last: bool,
        report: Sequence[float],
        reused_connection: bool = False,
    ) -> None:
        """Record the outcome of the attempt that was out and settle what may follow it."""
        sender = self.sender
        if not self.out:
            return
        self.out = False
        record = sender.receivers[receiver]
        stale = reused_connection and outcome is Outcome.RESET
        sender.stale_links += (stale - sender.stale_links) / MANY if reused_connection else 0.0
        sender.learn(now, self, record, Outcome.MOOT if stale else outcome, took, retry_after, report)
        if outcome in (Outcome.TIME_OUT, Outcome.RESET, Outcome.CANCELLED):
            self.doubtful_at = now
        if not outcome.never_ran and outcome is not Outcome.COMPLETED and not self.ran_at:
            self.ran_at, self.ran_zone = self.sent_at, record.zone
        self.cancelled += outcome is Outcome.CANCELLED
        if last or self.ended or outcome is Outcome.COMPLETED:
            sender.close(now, self)
            return
        window = min(WINDOW_CAP, WINDOW_BASE << min(self.attempts - 1, 16))
        # Danger: a receiver closes an idle link and the next call breaks: no evidence, so no backing off.
        wait = retry_after if retry_after and not sender.many else retry_after + sender.chance.below(window)
        self.due = now + (1 if outcome is Outcome.MOOT or stale else wait)
        # Danger: past its last useful start it is given up at once, with tries and most of its time left.
        useful = self.deadline - round(sender.destinations[self.destination].quickest or SECOND / 2)
        self.due = max(now, min(self.due, min(self.repeat_until(), useful) - sender.tick * 4))
        sender.hold(now, self)

    def withdrawn(self, now: int) -> None:
        """Nobody wants it any more; an attempt that is out still ends."""
        if not (self.ended or self.out):
            self.sender.close(now, self)
        self.ended = True

    def attempt_not_sent(self) -> None:
        """The attempt whose ending was told was held back on the way out: it was none of the tries."""
        self.attempts -= 1

    def may_start(self, now: int, receiver: int) -> bool:
        """Asked before the first byte: while a link came up a wait, a drain or an end may have been heard."""
        record = self.sender.receivers[receiver]
        return record.ready and record.pace.wait_until <= now < self.send_by() and not self.ended

    def needs_new_connection(self) -> bool:
        """Danger: an at-most-once message is lost when the kept link breaks on which it went."""
        return self.priority_class.at_most_once and self.sender.stale_links > STALE_LINKS

    def send_by(self) -> int:
        """Danger: a receiver counts a call from its last byte, and forgets its number in time."""
        return min(self.deadline, self.repeat_until())

    def repeat_until(self) -> int:
        return NEVER if self.priority_class.idempotent or not self.ran_at else self.ran_at + self.priority_class.window


class Sender:
    """One instance: it decides from its settings and from what it has seen itself."""

    def __init__(self, settings: Mapping[str, str], seed: int, now: int) -> None:
        self.settings = settings
        self.chance = RandomSource(seed)
        self.priority_classes = [
            priority_class_of(settings, index) for index in range(int(float_setting(settings, "classes.count")))
        ]
        self.senders = max(1, int(float_setting(settings, "balancers", 1)))
        self.many = self.senders > MANY
        self.slowest = TRICKLE / self.senders
        self.tick = max(1000, duration_setting(settings, "resolution-ms", 5.0))
        self.slots = int(float_setting(settings, "family-info.max-calls", 1 << 30))
        self.most_attempts = int(float_setting(settings, "policy-limits.most-tries", 1 << 30))
        self.most_open = int(float_setting(settings, "policy-limits.max-open", 1 << 30))
        self.per_call = [int(part) for part in list_setting(settings, "family-info.per-call")]
        self.ramp_time = max(SECOND, duration_setting(settings, "rules.ramp-time-ms", 10_000))
        self.fall_time = duration_setting(settings, "rules.fall-ms")
        # Danger: a single call counts as one in this time; with each of many senders that is mostly chance.
        self.seen_over = 2 * SPAN * (1 + self.many)
        self.locality = int(float_setting(settings, "locality"))
        self.far_fee = float_setting(settings, "tariffs.cross-zone")
        self.apart = {n for n, part in enumerate(list_setting(settings, "family-info.kind-apart")) if part == "true"}
        self.columns = list_setting(settings, "report.columns")
        self.fees = dict(enumerate(list_setting(settings, "family-info.fee-by-zone")))
        self.links_last = duration_setting(settings, "policy-limits.conn-idle-ms", 15_000)
        self.connection_lifetime = round(self.links_last * LINK_PART)
        self.receivers: dict[int, Receiver] = {}
        self.destinations: dict[int, Destination] = {}
        self.turns = KeyOrder()
        self.shares: dict[int, TokenBucket] = {}  # what a tenant has left of its share
        self.started = now
        self.open = 0
        self.room = NEVER  # messages that may still be kept, as the protocol tells
        self.taken = 0
        self.calls_out = 0
        self.changed: set[int] = set()  # destinations that need a look in this round
        self.stale_links = 0.0  # how often a call on a kept link broke of late
        self.unlinked: dict[int, float] = {}  # by kind: how often one failed just before a completion
        self.idle: set[int] = set()  # receivers at which a call has ended in this round
        self.starved: set[int] = set()  # destinations that found no slot free
        self.looks = WakeSchedule()
        self.subscribe_at = now if settings.get("discovery") == "ask" else NEVER
        self.asked_at, self.asked_in_vain = now, 0  # for the list: when last, how often of late
        self.max_poll_backoff = (
            duration_setting(settings, "rules.ask-within-ms") or LIST_WAIT
        )  # on sockets no longer than that
        self.verdicts = Decisions()

    def take(
        self, now: int, message_id: int, destination: int, priority_class: int, deadline: int, tenant: int, key: int
    ) -> Handle:
        kept = self.priority_classes[priority_class]
        objective_by = deadline - kept.deadline + kept.latency_objective
        self.taken += 1
        handle = Handle(message_id, destination, kept, deadline, objective_by, tenant, key, self.taken)
        handle.sender = self
        handle.over_share = self._over_share(now, tenant)
        if kept.ordered and key:
            self.turns.join(key, handle)
        self.open += 1
        self.hold(now, handle)
        return handle

    def resume(self, now: int, owed: Sequence[UnfinishedMessage]) -> list[Handle]:
        """After a restart: what is owed from before it. An attempt without an outcome may have run."""
        # Danger: an attempt that was out when the process ended may still run, of an ended message's key too.
        self.turns.all_rest = now + duration_setting(self.settings, "rules.turn-gap-ms")
        handles = [self.take(now, *each[:-1]) for each in owed]
        # Danger: under settings that hold less, all that is beyond them would be given up without a call.
        self.most_open = max(self.most_open, self.open + 2)
        for handle, each in zip(handles, owed, strict=True):
            handle.attempts = len(each.attempts)
            for attempt in reversed(each.attempts):
                if attempt.outcome is None or not attempt.outcome.never_ran:
                    handle.ran_at, handle.ran_zone, handle.doubtful_at = attempt.sent_at, attempt.zone, now
        return handles

    def retry_after_waits(self, now: int) -> list[tuple[int, int]]:
        """Receivers whose Retry-After wait is not over, and its end: for a process that replaces this one."""
        return [(known.id, known.pace.wait_until) for known in self.receivers.values() if known.pace.wait_until > now]

    def heed(self, now: int, receiver: int, until: int) -> None:
        """A wait told ahead of its attempt's ending, or after it, or to the process that this one replaces."""
        if receiver in self.receivers and until > now:
            known = self.receivers[receiver]
            known.pace.wait_until = max(known.pace.wait_until, min(until, now + LONGEST_WAIT))
            self.changed.add(known.destination)

    def rest(self, now: int, key: int) -> list[Handle]:
        """Another sender owes earlier messages of a key: those here rest until it is told again, or for a
        moment. Gives those that had no attempt yet."""
        line = self.turns.lines.get(key) or ()
        if line:
            # Danger: what the other has may never end; the last of the first one's time is its own.
            self.turns.rest(key, min(now + RESTED, line[0].deadline - LAST_CHANCE))
        return [each for each in line if not each.attempts]

    def listed(self, now: int, change: EndpointUpdate, listings: Sequence[ListedEndpoint]) -> None:
        if change is not EndpointUpdate.DELTA:
            named = {listing.receiver for listing in listings}
            for receiver in self.receivers.values():
                receiver.ready &= receiver.id in named  # a whole list replaces: what it leaves out is gone
        for listing in listings:
            place = self._destination(listing.destination)
            if listing.receiver not in self.receivers:
                pace = RateControl() if listing.kind in self.apart else place.pace
                new = Receiver(
                    listing.receiver, listing.zone, listing.kind, listing.destination, pace, recent=deque(maxlen=FEW)
                )
                self.receivers[new.id] = new
                mates = self._mates(place, pace)
                out = [mate for mate in mates if mate.out_since]
                if out and not any(mate.ready and not mate.out_since for mate in mates):
                    # Danger: what was held through an outage goes all at once to a replacement machine.
                    new.out_since, new.failed, new.provable = out[0].out_since, True, out[0].provable
                    new.canary_at = max(now, pace.canary_at)
                place.members.append(listing.receiver)
            known = self.receivers[listing.receiver]
            back = listing.phase is EndpointState.READY and not known.ready and known.left_at
            known.ready = listing.phase is EndpointState.READY
            if back and now - known.left_at > self.fall_time:
                # Danger: a receiver that was taken out for a while has been restarted, and returns cold.
                known.back_at, known.ramp = now, TokenBucket(0.0, now)
            if self.settings.get("weight-source", "off") != "off" and listing.rate > 0:
                self._list_rate(known.pace, listing.rate)
        # Danger: each piece of news would cost a look at every destination; only what is held needs one.
        self.changed.update(place.id for place in self.destinations.values() if place.held)
        # Danger: where receivers are replaced all day, the records of those that have gone add up.
        for record in list(self.receivers.values()):
            record.left_at = 0 if record.ready else record.left_at or now
            # Danger: one that comes back before its Retry-After wait is over is still to be spared.
            kept = record.calls or record.pace.wait_until > now
            if record.left_at and now - record.left_at > FORGET and not kept:
                self.destinations[record.destination].members.remove(record.id)
                del self.receivers[record.id]

    def list_poll_failed(self, now: int) -> None:
        """Danger: all senders lose the list at once; a call that discovery turns away has cost it work too,
        and as long as all together ask faster than it answers, it answers nobody."""
        recent = now - self.asked_at < self.max_poll_backoff
        self.asked_in_vain = min(self.asked_in_vain, 16) if recent else 0
        window = max(WINDOW_BASE << self.asked_in_vain, self.senders * LIST_GAP)
        # Danger: in a window that is cut short more come than are answered; so its lower half is left out.
        least = min(LIST_WAIT, self.max_poll_backoff) // 2 if window > self.max_poll_backoff else 0
        self.subscribe_at = now + 1 + least + self.chance.below(max(1, min(self.max_poll_backoff, window) - least))
        self.asked_in_vain += 1

    def decide(self, now: int) -> Decisions:
        """Look at every destination that something happened to, the most urgent messages first."""
        self.changed.update(self.looks.due(now))
        places = [self.destinations[each] for each in sorted(self.changed)]
        self.changed.clear()
        for place in places:
            place.ready = [self.receivers[each] for each in place.members if self.receivers[each].ready]
            place.quickest = min((member.mean for member in place.ready), default=0.0)
            place.waits_until = min((member.pace.wait_until for member in place.ready), default=0)
            place.room.clear()
        next_look: dict[int, int] = {}
        alone = max(self.per_call, default=1) == 1
        waiting = [held for place in places for held in place.held if not (held.out or held.ended)]
        for message in sorted(waiting, key=lambda held: self._urgency(now, held)):
            place = self.destinations[message.destination]
            known = now < message.look_at and place.room.get(message.asks)
            if known and (alone or not known[0]):  # no room, or no slot
                place.turn(message.asks)
                look_at = message.look_at if known[0] else min(known[1], message.look_at)
            else:
                look_at = self.advance(now, message)
            next_look[place.id] = min(look_at, next_look.get(place.id, NEVER))
        self._shed(now)
        for place in places:
            place.held = [held for held in place.held if not (held.out or held.ended)]
            self.looks.plan(place.id, max(next_look.get(place.id, NEVER), now + self.tick))
        for each in sorted(self.idle & self.receivers.keys()):
            record = self.receivers[each]
            crowded = self.unlinked.get(record.kind, 0.0) > UNLINKED
            if not record.calls and (crowded or self.many and record.gap > self.links_last):
                self.verdicts.released_connections.append(each)
        self.idle.clear()
        verdicts, self.verdicts = self.verdicts, Decisions()
        if now >= self.subscribe_at:
            verdicts.subscribe, self.subscribe_at, self.asked_at = True, NEVER, now
        wake_at = min(self.looks.soonest(), self.subscribe_at, now + self.tick if self.changed else NEVER)
        verdicts.wake_at = wake_at if wake_at < NEVER else None
        return verdicts

    def advance(self, now: int, message: Handle) -> int:
        """Take a held message as far as it goes now; the time of its next look, NEVER when it needs none."""
        priority_class = message.priority_class
        place = self.destinations[message.destination]
        last_start = message.deadline - max(self.tick * 4, round(place.quickest / 2))
        last_start = min(last_start, message.repeat_until() - 1)
        start = max(now, message.due, place.waits_until)
        # Terminal: out of attempts, or a further one could take effect twice, or cannot finish in time.
        if (
            message.attempts >= self.most_attempts
            or message.cancelled >= CANCELLED_CAP
            or (priority_class.at_most_once and message.ran_at)
            or start > last_start
        ):
            self.give_up(now, message)
            return NEVER
        if start > now:
            return min(start, last_start + 1)
        if priority_class.ordered and message.key:
            turn_at = self.turns.turn_at(message.key, message)
            if turn_at > now:
                return min(turn_at, last_start + 1)
        zone = (
            message.ran_zone
            if message.ran_at and priority_class.single_zone and not priority_class.idempotent
            else None
        )
        asking = zone, priority_class.at_most_once
        if asking not in place.room:  # Danger: each event would cost a full look for everything that is held
            members = [member for member in place.ready if zone is None or member.zone == zone]
            place.room[asking] = self._with_room(now, message, members)
        message.look_at, message.asks = last_start + 1, asking
        receiver = next((member for member, _ in place.room[asking][0] if self._joins(now, member)), None)
        receiver = receiver or place.turn(asking)
        if receiver is None:
            return min(place.room[asking][1], last_start + 1)
        joins = self._joins(now, receiver)
        if not joins and self.calls_out >= self.slots:
            self.starved.add(place.id)
            return last_start + 1
        place.room.clear()
        self._spend(now, receiver, joins)
        message.out, message.sent_at = True, now
        message.attempts += 1
        patience = self._patience(now, message, receiver)
        self.verdicts.attempts.append((message.id, receiver.id, patience))
        return NEVER

    def give_up(self, now: int, message: Handle) -> None:
        """The final answer, at once: a nack only when every attempt provably never ran."""
        if message.ran_at:
            self.verdicts.abandoned.append(message.id)
        else:
            longest = duration_setting(self.settings, "policy-limits.max-retry-after-ms")
            longest *= flag_setting(self.settings, "policy-limits.retry-after")
            wait = min(longest, max(0, self.destinations[message.destination].pace.wait_until - now))
            self.verdicts.nacks.append((message.id, wait))
        self.close(now, message)

    def hold(self, now: int, message: Handle) -> None:
        self._destination(message.destination).held.append(message)
        self.changed.add(message.destination)
        message.look_at = message.rank_until = 0

    def close(self, now: int, message: Handle) -> None:
        """The message has ended and none of its attempts is out: let its key go on."""
        message.ended = True
        self.open -= 1
        self.changed.add(message.destination)
        if message.priority_class.ordered and message.key:
            # Danger: the attempt that timed out may still run and be overtaken by the next of its key.
            rest = (message.doubtful_at or -NEVER) + duration_setting(self.settings, "rules.turn-gap-ms")
            after = self.turns.leave(message.key, message, now, rest)
            self.changed.update(each.destination for each in after)  # its next one may wait at another

    def learn(
        self,
        now: int,
        message: Message,
        receiver: Receiver,
        outcome: Outcome,
        took: int,
        retry_after: int,
        report: Sequence[float],
    ) -> None:
        pace = receiver.pace
        self.changed |= {receiver.destination} | self.starved
        self.starved.clear()
        over = receiver.attempt_over(message.sent_at) % self._batch(receiver) == 0
        self.calls_out -= over
        pace.calls_out -= over
        self.idle.add(receiver.id)
        receiver.canary_out = False
        if outcome in (Outcome.MOOT, Outcome.CANCELLED):
            return
        told = dict(zip(self.columns, report, strict=False))
        if told.get("x1", 0.0) > 0:
            self._list_rate(pace, told["x1"])
            pace.left = told.get("x0", 0.0)
        # Danger: idle links of many senders fill a receiver's table; unlike a dead machine it lets some pass.
        place = self.destinations[receiver.destination]
        if outcome is Outcome.CONNECT_FAILED:
            place.unlinked_at = now
        elif outcome is Outcome.COMPLETED:
            share = self.unlinked.get(receiver.kind, 0.0)
            self.unlinked[receiver.kind] = share + ((now - place.unlinked_at < 2 * STALE) - share) / 12
            place.unlinked_at = 0
        if outcome is not Outcome.TIME_OUT:
            receiver.answered_at = now
        if outcome is Outcome.COMPLETED:
            self._completed(now, message, receiver, took)
        elif outcome is Outcome.FULL:
            pace.wait_until = max(pace.wait_until, now + min(retry_after, LONGEST_WAIT))
            receiver.fulls += 1
            receiver.full_since = receiver.full_since or now
            # Danger: what is shut tells a long wait or refuses everything; all push it as it opens, cold.
            sparse = self.many and self._stale(now, receiver)
            shut = receiver.fulls >= SHUT_FULLS // (1 + sparse) and now - receiver.full_since > SHUT_AFTER
            shut |= sparse and told.get("x0", 0.0) > ROOM  # it has room, so its queue is full: it hangs
            mates = self._mates(place, pace) if retry_after > SHUT_AFTER else [receiver]
            for mate in mates if retry_after > SHUT_AFTER or receiver.out_since or shut else []:
                self._out(now, mate, provable=True)
            if not receiver.out_since:
                self._throttle(now, pace, receiver.fulls > 1)
        else:
            receiver.recent.append(False)
            receiver.distrust = self._distrust(now, receiver) + 1
            receiver.distrust_at = now
            # Danger: one lost call among good ones is no outage; a ramp after each would cost more.
            judged = list(receiver.recent)
            ill = (
                outcome is Outcome.CONNECT_FAILED
                and len(judged) > 1
                and not any(judged[-2:])
                and receiver.completed_sent_at < message.sent_at
            )
            if receiver.back_at and sum(judged) * 3 <= len(judged) * 2:
                receiver.back_at = now  # Danger: some calls pass in an outage, and a ramp would run on in it
            # Danger: at a few calls a minute outcomes never gather, and each message spends its attempts alone.
            ill = ill or self.many and self._stale(message.sent_at, receiver)
            if ill or receiver.out_since or (len(judged) >= 3 and sum(judged) * 5 <= len(judged) * 2):
                self._out(now, receiver, provable=outcome is Outcome.CONNECT_FAILED)
                self._out_with(now, receiver)

    def _completed(self, now: int, message: Message, receiver: Receiver, took: int) -> None:
        pace = receiver.pace
        record_recent(pace.answers, now, SPAN)
        pace.proven = True
        receiver.recent.append(True)
        receiver.fulls = receiver.full_since = 0
        stray = abs(took - receiver.mean) if receiver.mean else took / 2
        receiver.stray += (stray - receiver.stray) / (4 if receiver.stray else 1)
        receiver.mean += (took - receiver.mean) / (8 if receiver.mean else 1)
        if receiver.out_since:
            # Danger: a destination that returns cold falls over under its old traffic.
            if receiver.failed or now - receiver.out_since > self.fall_time:
                # Where many look seldom, it has returned somewhere between the last two looks.
                looked = min(receiver.gap, now - receiver.out_since) if self.many else 0
                receiver.back_at, receiver.warm_at = now - looked // 2, now + self.ramp_time
                receiver.ramp = TokenBucket(0.0, now)
                if pace.rate is not None:  # its refusals while it was shut say nothing of its limit
                    pace.rate = max(pace.rate, receiver.managed, pace.reference)
            receiver.out_since, receiver.failed = 0, False
            receiver.recent = deque([True], FEW)
        if receiver.completed_sent_at != message.sent_at:  # the attempts of one call count once
            record_recent(receiver.completions, now, self.seen_over)
        receiver.completed_sent_at = max(receiver.completed_sent_at, message.sent_at)
        receiver.managed = max(receiver.managed * 0.98, len(receiver.completions) * SECOND / self.seen_over)
        steps = (now - max(pace.raised_at, pace.cut_at)) // STEP_EVERY
        if pace.rate is not None and steps:
            if pace.short or pace.rate < pace.reference:
                if pace.limit:  # the reports tell whether others use it
                    steps = MOST_STEPS if pace.left > ROOM else 1
                pace.rate += max(pace.reference, self.slowest) * STEP * min(MOST_STEPS, steps)
                pace.rate = min(pace.rate, pace.limit or pace.rate)
            pace.short, pace.raised_at = False, now

    def _throttle(self, now: int, pace: RateControl, repeated: bool) -> None:
        """Halve the pace when the share of refusals over the span is past the threshold."""
        record_recent(pace.answers, now, SPAN)
        record_recent(pace.fulls, now, SPAN)
        pace.bucket.tokens = 0.0  # what was saved up before the refusal is not there any more
        # Danger: with a few calls a second one refusal is chance, or another sender's doing.
        lone = len(pace.fulls) < 2 and not repeated and (pace.rate or 0.0) * self.senders < pace.limit
        if len(pace.fulls) > THROTTLED * len(pace.answers) and not lone and now - pace.cut_at >= SPAN:
            recent = sum(sent >= now - SPAN for sent in pace.sends) * SECOND / SPAN
            held_to = recent if pace.rate is None else pace.rate
            if self.many:
                # Danger: a pace above what this sender sends binds nothing: refused calls use up the limit.
                since = max(SPAN, now - (pace.sends[0] if len(pace.sends) > GATHER else self.started))
                recent = len(pace.sends) * SECOND / since
                held_to = min(held_to, max(recent, pace.reference))
                if pace.limit and pace.left <= SPENT:
                    # Danger: where refused calls use up the limit, all senders' next ones keep it used up.
                    held_to = 0.0
            pace.rate = max(self.slowest, pace.limit * PART / self.senders, held_to / 2)
            pace.reference = pace.reference or recent
            pace.cut_at = now
            pace.answers.clear()
            pace.fulls.clear()

    def _stale(self, now: int, receiver: Receiver) -> bool:
        return not receiver.completions or receiver.completions[-1] < now - STALE

    def _out(self, now: int, receiver: Receiver, provable: bool) -> None:
        receiver.out_since = receiver.out_since or now
        receiver.failed, receiver.provable, receiver.back_at = True, provable, 0
        receiver.canary_at = self._next_canary(now, receiver)
        # Danger: idle connections to a dead machine swallow attempts; a new one fails and so proves it.
        self.verdicts.released_connections.append(receiver.id)

    def _out_with(self, now: int, receiver: Receiver) -> None:
        """Danger: an outage mostly takes all receivers of a destination. Each of many senders would try them
        in turn, knowing of it, and all together push over what returns."""
        mates = self._mates(self.destinations[receiver.destination], receiver.pace)
        if self.many and sum(mate.out_since > 0 for mate in mates) > 1:
            for mate in mates:
                if not mate.out_since and self._stale(now, mate):
                    self._out(now, mate, receiver.provable)

    def _next_canary(self, now: int, receiver: Receiver) -> int:
        """Danger: the canaries of many senders add up and push over what comes back; gaps grow with age."""
        # Nothing weighs on what takes no connection, until the moment of its return: then all of many do.
        dead = receiver.provable and not receiver.fulls and not self.many
        aged = round((now - receiver.out_since) * (0.0 if dead else CANARY_AGE))
        gap = max(CANARY_SOONEST, round(SECOND / self._returning_rate(receiver, 0)))
        gap = min(gap, max(CANARY_LATEST * (1 + self.many), aged))
        receiver.pace.canary_at = max(receiver.pace.canary_at, now + gap * 3 // 4)
        borne = self._returning_rate(receiver, 0) * self.senders * self.fall_time / SECOND
        if (self.many or self.senders > borne + CHANCE) and receiver.pace.wait_until > now:
            # Danger: all were told the same end of the wait and would come back in the same instant.
            return receiver.pace.wait_until + self.chance.below(gap)
        return now + gap * 3 // 4 + self.chance.below(gap // 2)

    def _returning_rate(self, receiver: Receiver, since: int) -> float:
        """Calls a second that this sender may send so long after the receiver's return."""
        cold = float_setting(self.settings, "rules.cold-share", 0.25)
        share = cold + (1 - cold) * min(1.0, since / self.ramp_time)
        managed = max(receiver.managed, receiver.pace.limit * PART / self.senders)
        share *= RAMP_PART * float_setting(self.settings, "rules.fall-multiple", 1.5)
        return max(self.slowest, share * managed)

    def _distrust(self, now: int, receiver: Receiver) -> float:
        return float(receiver.distrust * 2.0 ** (-(now - receiver.distrust_at) / TRUST_HALVES))

    def _list_rate(self, pace: RateControl, rate: float) -> None:
        if pace.limit:  # Danger: a single absurd figure would free this sender, or stop it for long.
            rate = min(max(rate, pace.limit / 4), pace.limit * 2)
        part = max(rate * HEADROOM / self.senders, min(rate, LONE))
        if pace.rate is None or (not pace.cut_at and not pace.raised_at):
            pace.rate = max(part, min(rate, 2 * LONE))  # whether it is crowded shows in refusals
        elif pace.limit:
            # Danger: at a lowered limit every sender goes on as before until it has been refused by itself.
            least = min(pace.rate, rate * PART / self.senders)
            pace.rate = min(rate, max(least, pace.rate * rate / pace.limit))
        pace.reference, pace.limit = part, rate

    def _with_room(
        self, now: int, message: Message, members: list[Receiver]
    ) -> tuple[list[tuple[Receiver, float]], int]:
        """Who takes turns now, by weight (a canary alone), and the time at which one has or may have room."""
        open_now: list[tuple[Receiver, float]] = []
        canary: list[tuple[Receiver, float]] = []
        soonest = NEVER
        for member in members:
            if not member.out_since and self._silent(now, member):
                # Danger: a hanging destination fills the slots with calls that nobody answers.
                member.out_since, member.provable = now, False
                member.canary_at = self._next_canary(now, member)
            if member.out_since:
                room_at = self._canary_room(now, message, member)
                if room_at <= now:
                    canary = canary or [(member, 0.0)]
            else:
                room_at = self._room(now, member)
                if room_at <= now:
                    open_now.append((member, self._weight(now, member)))
            soonest = min(soonest, room_at)
        return canary or open_now, soonest

    def _weight(self, now: int, receiver: Receiver) -> float:
        """A receiver's share of the turns: what it has been seen to manage, less what it costs."""
        success = (sum(receiver.recent) + 1) / (len(receiver.recent) + 1)
        pace = SECOND / (receiver.mean or SECOND / 2)
        fee = float(self.fees.get(receiver.zone, 0.0)) if receiver.kind in self.apart else 0.0
        fee += self.far_fee if receiver.zone != self.locality else 0.0
        return float(pace * success * 2.0 ** -self._distrust(now, receiver) / (1 + fee * 50))

    def _batch(self, receiver: Receiver) -> int:
        return self.per_call[receiver.kind] if receiver.kind < len(self.per_call) else 1

    def _joins(self, now: int, receiver: Receiver) -> bool:
        """An attempt of this round to the same receiver shares a call that is not full."""
        joined = receiver.calls.get(now, 0) % self._batch(receiver)
        # Danger: a full call weighs as several and would push over a route that is still cold.
        return 0 < joined < (WARMING_UP_BATCH if receiver.back_at or receiver.fulls else NEVER)

    def _room(self, now: int, receiver: Receiver) -> int:
        pace = receiver.pace
        if pace.wait_until > now:
            return pace.wait_until
        if self._joins(now, receiver):
            return now
        # Danger: a restarted sender has forgotten its pace and would hit a throttled destination full on.
        if pace.calls_out >= max(FIRST_CALLS, self.slots // 3 if pace.proven else 0):
            return now + SECOND
        if pace.sends and now - pace.sends[-1] > IDLE_DROP and not pace.limit:
            pace.rate, pace.reference = None, 0.0
        room_at = now
        if pace.rate is not None:
            room_at = now + pace.bucket.fill(now, pace.rate, max(1.0, pace.rate))
            pace.short |= room_at > now
        # Danger: half of many senders take the return for earlier than it was, and would let go early.
        if now >= max(receiver.warm_at, receiver.back_at + self.ramp_time):
            receiver.back_at = 0
        if receiver.back_at:
            rate = self._returning_rate(receiver, now - receiver.back_at)
            room_at = max(room_at, now + receiver.ramp.fill(now, rate, 1.0))
        return room_at

    def _canary_room(self, now: int, message: Message, receiver: Receiver) -> int:
        # An at-most-once canary could be lost without a second try.
        lost = message.priority_class.at_most_once and not receiver.provable
        soonest = max(now, receiver.canary_at, receiver.pace.canary_at, receiver.pace.wait_until)
        return NEVER if receiver.canary_out or lost else soonest

    def _spend(self, now: int, receiver: Receiver, joins: bool) -> None:
        receiver.attempt_sent(now, joins)
        if receiver.out_since:
            receiver.canary_out = True
            receiver.canary_at = self._next_canary(now, receiver)
        if not joins:
            self.calls_out += 1
            record_recent(receiver.pace.sends, now, SPAN, GATHER + 1)

    def _silent(self, now: int, receiver: Receiver) -> bool:
        since = max(next(iter(receiver.calls), now), receiver.answered_at)
        usual = 2 * receiver.mean + 4 * receiver.stray if receiver.mean else 2 * SECOND
        return len(receiver.calls) > 1 and now - since > max(SILENCE, usual)  # one lost call says too little

    def _patience(self, now: int, message: Message, receiver: Receiver) -> int:
        """How long an attempt may take. Danger: a dead destination holds all slots, a window closes unused."""
        left = message.deadline - now - 2 * self.tick
        usual = receiver.mean + 4 * receiver.stray if receiver.mean else 2 * SECOND
        soon = max(SECOND, round(2 * usual)) << min(message.attempts - 1, 4)
        crowded = 2 * self.calls_out >= self.slots
        if message.priority_class.at_most_once or message.priority_class.idempotent:
            return min(left, soon if message.priority_class.idempotent else 3 * soon if crowded else NEVER)
        window = (
            message.priority_class.window
            if not message.ran_at
            else message.ran_at + message.priority_class.window - now
        )
        patience = min(window - SECOND // 2, soon if receiver.out_since or crowded else 2 * soon)
        # Danger: in a short window a hang would hold its slot to the end, and never be repeated.
        enough = patience >= min(SECOND, usual)
        return min(left, patience) if enough and message.attempts < self.most_attempts else left

    def _urgency(self, now: int, message: Message) -> tuple[float, int, int]:
        """Sorts the message first that loses most by waiting; over-share tenants go last."""
        if now < message.rank_until:
            return message.rank
        priority_class = message.priority_class
        left, loses = priority_class.delivery_value(now - message.objective_by)
        if message.deadline - now < 3 * SECOND:
            loses += (
                left if priority_class.halves_in else priority_class.priority_weight * priority_class.late_share
            ) / 3
        if now < message.objective_by - SECOND:
            loses /= 2
        if message.ran_at and not priority_class.idempotent:
            loses += priority_class.priority_weight  # its window of repeats is running out
        if message.over_share:
            loses *= float_setting(self.settings, "over-share-worth", 1.0)
        times = message.objective_by - SECOND, message.deadline - 3 * SECOND + 1  # else only an attempt tells
        message.rank_until = min((time for time in times if time > now), default=NEVER)
        if priority_class.halves_in:
            message.rank_until = min(message.rank_until, now + priority_class.halves_in // 4)
        if self.many:  # Danger: a sender's part is two or three slots, and one slow call takes them from many
            if priority_class.ordered and message.key:
                loses *= len(self.turns.lines[message.key])  # all that wait for their turn wait with it
            loses /= self.destinations[message.destination].quickest or SECOND / 2
        message.rank = -loses, message.objective_by, message.order
        return message.rank

    def _over_share(self, now: int, tenant: int) -> bool:
        allowance = float_setting(self.settings, f"realms.{tenant}.allowance-per-s") / self.senders
        if allowance <= 0:
            return False
        unused = self.shares.setdefault(tenant, TokenBucket(allowance * 2, now))
        unused.fill(now, allowance, allowance * 2)
        return not unused.take()

    def _shed(self, now: int) -> None:
        """Danger: a backlog for one lost destination fills the sender and turns all others away."""
        bound = max(2, min(self.most_open - 1, self.open + self.room))  # a full folder turns all away as well
        while self.open >= bound:
            holding = [place for place in self.destinations.values() if place.held]
            places = sorted(holding, key=lambda each: (-self._drain(now, each), each.id))
            lines = ([held for held in place.held if not (held.out or held.ended)] for place in places)
            spare = next((line for line in lines if line), None)
            if spare is None:
                return
            # Danger: once the least important have had an attempt, nacks alone would cost the most important.
            self.give_up(
                now,
                max(
                    spare,
                    key=lambda held: (-held.priority_class.priority_weight, not held.ran_at, self._urgency(now, held)),
                ),
            )

    def _drain(self, now: int, place: Destination) -> float:
        """About how many seconds the backlog of a destination takes to leave."""
        ready = place.ready
        lost = max((now - member.out_since for member in ready if member.out_since), default=10 * SECOND)
        if any(not member.out_since for member in ready):
            return len(place.held) / max(member.pace.rate or 1.0 for member in ready)
        return len(place.held) * (3.0 + lost / SECOND)  # an outage may last as long again as it has

    def _mates(self, place: Destination, pace: RateControl) -> list[Receiver]:
        return [self.receivers[mate] for mate in place.members if self.receivers[mate].pace is pace]

    def _destination(self, place: int) -> Destination:
        if place not in self.destinations:
            self.destinations[place] = Destination(place, RateControl())
        return self.destinations[place]
