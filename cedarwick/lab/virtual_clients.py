"""Simulated clients of a virtual day, and an operator who moves sessions and drains senders at random times."""

from collections.abc import Sequence
from dataclasses import replace

from cedarwick.fleet.messages import digest_of
from cedarwick.lab.history import Handed
from cedarwick.lab.scenario import PriorityClass
from cedarwick.lab.units import SECOND
from cedarwick.lab.virtual import WALL_CLOCK_AT_START, AsyncResult
from cedarwick.lab.virtual_senders import Sender
from cedarwick.lab.virtual_state import SCENARIO, DayState
from cedarwick.store.records import StoredMessage

CLIENT_TIMEOUT_US = 400_000  # time that a client waits for an answer
SENDER_LOSS_NOTICED_US = SECOND // 2  # delay after which clients avoid a sender that has ended
SESSION_COUNT = 6
MEAN_STAY_S = 3.0  # mean time for which the client of a session uses one sender
RESUBMIT_PROBABILITY = 0.1  # share of the answered messages that are submitted once more
MEAN_RESUBMIT_DELAY_S = 0.5
MEAN_MOVE_INTERVAL_S = 0.4  # mean time between two session moves by the operator
MEAN_DRAIN_INTERVAL_S = 4.0  # mean time between two drains by the operator
DRAIN_DURATION_RANGE_S = (0.5, 2.5)


class SimulatedClients:
    """Submit messages in an open loop, each to a sender that the client believes to be up."""

    def __init__(self, day: DayState, senders: Sequence[Sender]) -> None:
        self.day = day
        self.senders = senders
        # By session: the sender that its client uses, and the time at which the client leaves that sender.
        self.senders_by_session: dict[int, tuple[Sender, int]] = {}

    def submit_until(self, until: int) -> None:
        """Submit messages at random intervals until a virtual time, in microseconds."""
        while self.day.now() < until:
            self.day.kernel.sleep(self.day.rng.expovariate(SCENARIO.load.rate))
            priority_class = self.day.rng.choice(SCENARIO.priority_classes)
            key_count = (
                SESSION_COUNT
                if self.day.fleet_config.sessions
                else priority_class.keys
                if priority_class.in_turn
                else 0
            )
            order_key = self.day.rng.randint(1, key_count) if key_count else 0
            self.day.kernel.spawn_in(None, self._submit_new_message, priority_class, order_key)

    def _choose_sender(self, order_key: int) -> Sender:
        """Choose the sender for a message.

        Without sessions, an order key always maps to the same sender while it runs. With sessions, the client of a key
        stays with a random sender for a while.
        """
        usable = [
            each for each in self.senders if each.running or self.day.now() - each.ended_at < SENDER_LOSS_NOTICED_US
        ]
        if not order_key or not usable:
            return self.day.rng.choice(usable or self.senders)
        if self.day.fleet_config.sessions:
            not_draining = [each for each in usable if each.node is None or not each.client_listener.paused] or usable
            chosen, until = self.senders_by_session.get(order_key, (usable[0], 0))
            if self.day.now() >= until or chosen not in not_draining:
                chosen = self.day.rng.choice(not_draining)
                self.senders_by_session[order_key] = (
                    chosen,
                    self.day.now() + round(self.day.rng.expovariate(1 / MEAN_STAY_S) * SECOND),
                )
            return chosen
        return max(usable, key=lambda each: digest_of(f"{order_key} {each.name}".encode()))

    def _submit_new_message(self, priority_class: PriorityClass, order_key: int) -> None:
        sender, destination = self._choose_sender(order_key), self.day.rng.randrange(SCENARIO.destinations())
        message_id, idempotency_key = (f"{self.day.rng.getrandbits(63):016x}" for _ in range(2))
        deadline = self.day.now() + round(priority_class.outer_ms * 1000)
        handed = Handed(
            message_id,
            message_id,
            priority_class.name,
            destination,
            idempotency_key,
            f"{order_key:016x}",
            self.day.now(),
            self.day.now(),
            deadline,
            sender.number,
        )
        self.day.history.add(handed)
        message = StoredMessage(
            0,
            message_id,
            idempotency_key,
            order_key,
            priority_class.name,
            "",
            destination,
            WALL_CLOCK_AT_START + deadline,
            bytes(self.day.rng.randint(1, 400)),
        )
        self._submit_to(handed, message, sender, withdraw_late=True)
        if self.day.fleet_config.sessions and handed.answer != "none" and self.day.rng.random() < RESUBMIT_PROBABILITY:
            # Submits the message again under the same id: it must not be accepted twice, wherever its session is by
            # then. Not if the client left without an answer: the first submission may be withdrawn just as the second
            # is answered +OK.
            self.day.kernel.sleep(self.day.rng.expovariate(1 / MEAN_RESUBMIT_DELAY_S))
            if self.day.now() < deadline:
                self._submit_to(
                    handed,
                    message,
                    self.day.rng.choice([each for each in self.senders if each.running] or [sender]),
                    withdraw_late=False,
                )

    def _submit_to(self, handed: Handed, message: StoredMessage, sender: Sender, withdraw_late: bool) -> None:
        """Submit to a sender and record its answer, unless an earlier submission was accepted.

        `withdraw_late`: the sender withdraws the message if the client has timed out when it is accepted.
        """
        submitted_at, process, result, gives_up_at = (
            self.day.now(),
            sender.process,
            AsyncResult(),
            self.day.now() + CLIENT_TIMEOUT_US,
        )
        if sender.running:
            self.day.kernel.spawn_in(
                process,
                sender.submit,
                replace(message, short_record_segments=[]),
                result,
                lambda: withdraw_late and self.day.now() >= gives_up_at,
            )
            while not result.wait_until_set(0.05) and self.day.now() < gives_up_at and not process.dead:
                continue
        if handed.answer == "ok":
            return
        answer = (
            result.value if result.flag else "down" if not sender.running and self.day.now() == submitted_at else "none"
        )
        # A sender that did not answer may have accepted the message, so a later refusal must not replace "none".
        handed.answer = answer if answer in ("ok", "none") or not handed.answer else handed.answer
        handed.answered, handed.sender = self.day.now(), sender.number
        if answer == "ok" and self.day.fleet_config.sessions:
            holders = [
                each.number
                for each in self.senders
                if each.node is not None and message.id in each.dispatcher.numbers_by_id
            ]
            handed.taker = holders[0] if len(holders) == 1 else -1


class SimulatedOperator:
    """Simulates an operator's session moves and drains, for days with sessions."""

    def __init__(self, day: DayState, senders: Sequence[Sender]) -> None:
        self.day = day
        self.senders = senders

    def move_sessions(self) -> None:
        """Move random sessions to random senders, until the day is quiescent."""
        while not self.day.quiescent:
            self.day.kernel.sleep(self.day.rng.expovariate(1 / MEAN_MOVE_INTERVAL_S))
            order_key, target = self.day.rng.randint(1, SESSION_COUNT), self.day.rng.choice(self.senders).name
            for sender in self.senders:
                session_router = sender.node.session_router if sender.node is not None else None
                if (
                    session_router is not None
                    and order_key in session_router.directory.sessions
                    and not sender.process.stopped
                ):
                    sender.call_management("MOVE", f"{order_key:x} {target}")

    def drain_senders(self) -> None:
        """Drain random senders, one at a time and for a short while, until the day is quiescent."""
        while not self.day.quiescent:
            self.day.kernel.sleep(self.day.rng.expovariate(1 / MEAN_DRAIN_INTERVAL_S))
            sender = self.day.rng.choice(self.senders)
            if sender.node is None:
                continue
            client_listener = sender.client_listener
            client_listener.paused = True
            self.day.kernel.sleep(self.day.rng.uniform(*DRAIN_DURATION_RANGE_S))
            client_listener.paused = False
