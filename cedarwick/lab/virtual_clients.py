"""Clients of a virtual day, who submit messages, and an operator, who moves sessions and drains senders; all drawn."""

from collections.abc import Sequence
from dataclasses import replace

from cedarwick.fleet.messages import digest_of
from cedarwick.lab.history import Handed
from cedarwick.lab.scenario import PriorityClass
from cedarwick.lab.units import SECOND
from cedarwick.lab.virtual import WALL, AsyncResult
from cedarwick.lab.virtual_senders import Sender
from cedarwick.lab.virtual_state import SCENARIO, DayState
from cedarwick.store.records import StoredMessage

PATIENCE = 400_000  # microseconds that a client waits
KNOWN_GONE = SECOND // 2  # so long after a sender's end clients go to others
KEYS = 6  # sessions
AT_HOME = 3.0  # seconds that the client of a session stays with one sender, on the average
AGAIN = 0.1  # how many clients submit once more what was answered
AGAIN_AFTER = 0.5  # seconds until then, on the average
MOVES = 0.4  # seconds between two sessions that the operator moves, on the average
PAUSES = 4.0  # seconds between two drains by the operator
PAUSED = (0.5, 2.5)  # seconds


class DrawnClients:
    """Submit messages, open loop, each at a sender that it knows."""

    def __init__(self, day: DayState, senders: Sequence[Sender]) -> None:
        self.day = day
        self.senders = senders
        self.homes: dict[int, tuple[Sender, int]] = {}  # by session: where its client is, and until when

    def load(self, until: int) -> None:
        """Messages come until then, microseconds of virtual time."""
        while self.day.now() < until:
            self.day.kernel.sleep(self.day.chance.expovariate(SCENARIO.load.rate))
            priority_class = self.day.chance.choice(SCENARIO.priority_classes)
            keys = KEYS if self.day.table.sessions else priority_class.keys if priority_class.in_turn else 0
            turn = self.day.chance.randint(1, keys) if keys else 0
            self.day.kernel.spawn_as(None, self._hand_in, priority_class, turn)

    def _chosen(self, turn: int) -> Sender:
        """The sender that a client submits to: for one key always the same, as long as that one runs."""
        usable = [each for each in self.senders if each.running or self.day.now() - each.ended_at < KNOWN_GONE]
        if not turn or not usable:
            return self.day.chance.choice(usable or self.senders)
        if self.day.table.sessions:
            open_ones = [each for each in usable if each.node is None or not each.client_listener.paused] or usable
            home, until = self.homes.get(turn, (usable[0], 0))
            if self.day.now() >= until or home not in open_ones:
                home = self.day.chance.choice(open_ones)
                self.homes[turn] = home, self.day.now() + round(self.day.chance.expovariate(1 / AT_HOME) * SECOND)
            return home
        return max(usable, key=lambda each: digest_of(f"{turn} {each.name}".encode()))

    def _hand_in(self, priority_class: PriorityClass, turn: int) -> None:
        sender, destination = self._chosen(turn), self.day.chance.randrange(SCENARIO.destinations())
        number, mark = (f"{self.day.chance.getrandbits(63):016x}" for _ in range(2))
        outer = self.day.now() + round(priority_class.outer_ms * 1000)
        handed = Handed(
            number,
            number,
            priority_class.name,
            destination,
            mark,
            f"{turn:016x}",
            self.day.now(),
            self.day.now(),
            outer,
            sender.number,
        )
        self.day.history.add(handed)
        stored = StoredMessage(
            0,
            number,
            mark,
            turn,
            priority_class.name,
            "",
            destination,
            WALL + outer,
            bytes(self.day.chance.randint(1, 400)),
        )
        self._ask(handed, stored, sender, hasty=True)
        if self.day.table.sessions and handed.answer != "none" and self.day.chance.random() < AGAIN:
            # The same once more, under the same id: it must not be taken twice, wherever its session is by then.
            # Where its client has gone without an answer, it may be withdrawn just as the second one is answered +OK.
            self.day.kernel.sleep(self.day.chance.expovariate(1 / AGAIN_AFTER))
            if self.day.now() < outer:
                self._ask(
                    handed,
                    stored,
                    self.day.chance.choice([each for each in self.senders if each.running] or [sender]),
                    hasty=False,
                )

    def _ask(self, handed: Handed, stored: StoredMessage, sender: Sender, hasty: bool) -> None:
        """Submit to a sender, and record its answer, except where another one has taken it before.

        `hasty`: what is taken for a client that has gone by then is withdrawn.
        """
        sent, owner, box, end = self.day.now(), sender.owner, AsyncResult(), self.day.now() + PATIENCE
        if sender.running:
            self.day.kernel.spawn_as(
                owner,
                sender.submit,
                replace(stored, short_record_segments=[]),
                box,
                lambda: hasty and self.day.now() >= end,
            )
            while not box.came(0.05) and self.day.now() < end and not owner.dead:
                continue
        if handed.answer == "ok":
            return
        answer = box.value if box.on else "down" if not sender.running and self.day.now() == sent else "none"
        # Danger: who has not answered may have taken it, whatever the next one says.
        handed.answer = answer if answer in ("ok", "none") or not handed.answer else handed.answer
        handed.answered, handed.sender = self.day.now(), sender.number
        if answer == "ok" and self.day.table.sessions:
            has = [
                each.number
                for each in self.senders
                if each.node is not None and stored.id in each.dispatcher.numbers_by_id
            ]
            handed.taker = has[0] if len(has) == 1 else -1


class DrawnOperator:
    """Calls of the management address where sessions are on."""

    def __init__(self, day: DayState, senders: Sequence[Sender]) -> None:
        self.day = day
        self.senders = senders

    def move(self) -> None:
        """Move sessions between senders."""
        while not self.day.resting:
            self.day.kernel.sleep(self.day.chance.expovariate(1 / MOVES))
            key, to = self.day.chance.randint(1, KEYS), self.day.chance.choice(self.senders).name
            for sender in self.senders:
                session_router = sender.node.session_router if sender.node is not None else None
                if session_router is not None and key in session_router.directory.sessions and not sender.owner.stopped:
                    sender.said("MOVE", f"{key:x} {to}")

    def pause(self) -> None:
        """Drain one sender after another for a moment."""
        while not self.day.resting:
            self.day.kernel.sleep(self.day.chance.expovariate(1 / PAUSES))
            sender = self.day.chance.choice(self.senders)
            if sender.node is None:
                continue
            client_listener = sender.client_listener
            client_listener.paused = True
            self.day.kernel.sleep(self.day.chance.uniform(*PAUSED))
            client_listener.paused = False
