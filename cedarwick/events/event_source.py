"""What a sender's parts do, as the fields of events. Asked only while somebody follows; looks, and changes nothing."""

from dataclasses import dataclass

from cedarwick.decisions.interface import Outcome
from cedarwick.events.kinds import LONGEST_TEXT, Value
from cedarwick.net.attempts import AttemptCall, AttemptResult
from cedarwick.net.dispatcher import Dispatcher
from cedarwick.net.endpoint_list import EndpointList
from cedarwick.store.records import StoredMessage

Happened = tuple[str, dict[str, Value]]
ENDS = ("completed", "nacked", "written-off")
SPARE = 1000  # messages that are remembered beyond those that are kept


@dataclass(slots=True)
class Life:
    """Of a message, what its record in the folder does not hold."""

    taken_at: int = 0  # 0: before anybody followed
    receiver: int = -1  # of its last attempt; -1: unknown
    wait: int = 0  # that this attempt was told


class Witness:
    """One sender's eyes. Times are microseconds of the sender's clock."""

    def __init__(self, name: str, hall: str, dispatcher: Dispatcher, endpoint_list: EndpointList) -> None:
        self.here: dict[str, Value] = {"sender": name, "hall": hall}
        self.dispatcher = dispatcher
        self.endpoint_list = endpoint_list
        self.lives: dict[int, Life] = {}
        self.uids: dict[int, str] = {}
        self.out: dict[str, tuple[int, int]] = {}  # by uid: destination, and since when
        self.suspended: set[str] = set()
        self.begun = False

    # ---- messages ----

    def cleared(self, call: AttemptCall) -> None:
        """An attempt wants to go out to its receiver."""
        life = self._life(call.message.number)
        life.receiver, life.wait = call.receiver, 0

    def told(self, call: AttemptCall, ending: AttemptResult) -> None:
        """An attempt has ended; its outcome is seen in a moment."""
        if call.message.number in self.lives:
            self.lives[call.message.number].wait = ending.retry_after

    def message(self, kind: str, stored: StoredMessage, figure: int) -> dict[str, Value]:
        """The fields of an event of a message; `figure` as `Shared.seen` has it."""
        now, life = self.dispatcher.clock.now(), self._life(stored.number)
        priority_class = (
            self.dispatcher.sender.priority_classes[self.dispatcher.priority_classes[stored.priority_class]]
            if stored.priority_class in self.dispatcher.priority_classes
            else None
        )
        fields: dict[str, Value] = {
            **self.here,
            "id": stored.id[:LONGEST_TEXT],
            "band": stored.priority_class[:LONGEST_TEXT],
            "destination": stored.destination,
        }
        if stored.tenant:
            fields["tenant"] = stored.tenant[:LONGEST_TEXT]
        if priority_class is not None:
            fields |= {"worth": float(priority_class.priority_weight), "at_most_once": priority_class.at_most_once}
        if kind == "taken":
            life.taken_at = now
            return fields
        fields["shots"] = stored.attempts
        if life.taken_at:
            fields["age"] = max(0, now - life.taken_at)
        if kind in ("shot", "outcome") and (uid := self._uid(life.receiver)):
            fields["receiver"] = uid
        if kind == "outcome":
            fields["outcome"] = list(Outcome)[figure].value
            if life.wait:
                fields["wait"] = life.wait
        if kind == "nacked" and figure:
            fields["wait"] = figure * 1000
        if kind in ENDS:
            del self.lives[stored.number]
        return fields

    def _life(self, number: int) -> Life:
        life = self.lives.get(number)
        if life is None:
            life = self.lives[number] = Life()
            # Danger: messages that end elsewhere tell no end here, and would be remembered for ever.
            if len(self.lives) > 2 * len(self.dispatcher.store.messages) + SPARE:
                self.lives = {each: life for each, life in self.lives.items() if each in self.dispatcher.store.messages}
                self.lives[number] = life
        return life

    # ---- receivers ----

    def looked(self) -> list[Happened]:
        """Receivers that went out or came back since the last look, and those taken out by hand or restored."""
        now = self.dispatcher.clock.now()
        self.uids = {number: uid for uid, number in self.endpoint_list.numbers.items()}
        out = {
            self._uid(each.id): (each.destination, each.out_since)
            for each in self.dispatcher.sender.receivers.values()
            if each.out_since
        }
        suspended = set(self.endpoint_list.suspended)
        found: list[Happened] = []
        if self.begun:
            waits = {self._uid(receiver): until for receiver, until in self.dispatcher.sender.retry_after_waits(now)}
            for uid in sorted((out.keys() - self.out.keys()) - {""}):
                fields = self._receiver(uid, out[uid][0])
                found.append(("receiver-out", fields | ({"wait": waits[uid] - now} if waits.get(uid, 0) > now else {})))
            for uid in sorted((self.out.keys() - out.keys()) - {""}):
                destination, since = self.out[uid]
                found.append(("receiver-back", self._receiver(uid, destination) | {"age": max(0, now - since)}))
            found += [("suspended", self._receiver(uid)) for uid in sorted(suspended - self.suspended)]
            found += [("restored", self._receiver(uid)) for uid in sorted(self.suspended - suspended)]
        self.out, self.suspended, self.begun = out, suspended, True
        return found

    def blind(self) -> None:
        """Nobody follows any more; what changes until somebody does is no event."""
        self.begun = False
        self.lives.clear()

    def member(self, name: str) -> dict[str, Value]:
        """The fields of an event of another member."""
        return {**self.here, "member": name[:LONGEST_TEXT]}

    def _receiver(self, uid: str, destination: int | None = None) -> dict[str, Value]:
        if destination is None:
            receiver = self.dispatcher.sender.receivers.get(self.endpoint_list.numbers.get(uid, -1))
            destination = receiver.destination if receiver is not None else None
        known: dict[str, Value] = {} if destination is None else {"destination": destination}
        return {**self.here, "receiver": uid[:LONGEST_TEXT], **known}

    def _uid(self, receiver: int) -> str:
        if receiver not in self.uids and receiver in self.dispatcher.sender.receivers:
            self.uids = {number: uid for uid, number in self.endpoint_list.numbers.items()}
        return self.uids.get(receiver, "")[:LONGEST_TEXT]
