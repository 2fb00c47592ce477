"""Collects the fields of events from the parts of a sender, without changing them.

Used by `exchange.py`, only while somebody follows. Times are microseconds.
"""

from dataclasses import dataclass

from cedarwick.decisions.interface import Outcome
from cedarwick.events.kinds import LONGEST_TEXT, Value
from cedarwick.net.attempts import AttemptCall, AttemptResult
from cedarwick.net.dispatcher import Dispatcher
from cedarwick.net.endpoint_list import EndpointList
from cedarwick.store.records import StoredMessage

Happened = tuple[str, dict[str, Value]]
FINAL_KINDS = ("completed", "nacked", "written-off")
SPARE_HISTORIES = 1000  # histories beyond twice the stored messages, before those of ended messages are dropped


@dataclass(slots=True)
class MessageHistory:
    """What events need of a message beyond its stored record. Times and waits are microseconds."""

    taken_at: int = 0  # 0: it was accepted before anybody followed
    receiver: int = -1  # of its last attempt; -1: unknown
    wait: int = 0  # the Retry-After of this attempt


class EventObserver:
    """Observes one sender. Times are microseconds of the sender's clock."""

    def __init__(self, name: str, site: str, dispatcher: Dispatcher, endpoint_list: EndpointList) -> None:
        self.here: dict[str, Value] = {"sender": name, "hall": site}
        self.dispatcher = dispatcher
        self.endpoint_list = endpoint_list
        self.histories: dict[int, MessageHistory] = {}
        self.uids: dict[int, str] = {}
        self.avoided: dict[str, tuple[int, int]] = {}  # by uid: destination, and since when
        self.suspended: set[str] = set()
        self.observing = False

    # ---- messages ----

    def attempt_begins(self, call: AttemptCall) -> None:
        """Note the receiver of an attempt that is about to be sent."""
        history = self._history(call.message.number)
        history.receiver, history.wait = call.receiver, 0

    def attempt_ended(self, call: AttemptCall, ending: AttemptResult) -> None:
        """Note the result of an attempt; the event of its outcome follows shortly."""
        if call.message.number in self.histories:
            self.histories[call.message.number].wait = ending.retry_after

    def message(self, kind: str, stored: StoredMessage, figure: int) -> dict[str, Value]:
        """The fields of a message event; `figure` is that of `Shared.seen`."""
        now, history = self.dispatcher.clock.now(), self._history(stored.number)
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
            history.taken_at = now
            return fields
        fields["shots"] = stored.attempts
        if history.taken_at:
            fields["age"] = max(0, now - history.taken_at)
        if kind in ("shot", "outcome") and (uid := self._uid(history.receiver)):
            fields["receiver"] = uid
        if kind == "outcome":
            fields["outcome"] = list(Outcome)[figure].value
            if history.wait:
                fields["wait"] = history.wait
        if kind == "nacked" and figure:
            fields["wait"] = figure * 1000
        if kind in FINAL_KINDS:
            del self.histories[stored.number]
        return fields

    def _history(self, number: int) -> MessageHistory:
        history = self.histories.get(number)
        if history is None:
            history = self.histories[number] = MessageHistory()
            # Messages that end at another member have no final event here; without this their histories would never
            # be dropped.
            if len(self.histories) > 2 * len(self.dispatcher.store.messages) + SPARE_HISTORIES:
                self.histories = {
                    each: history for each, history in self.histories.items() if each in self.dispatcher.store.messages
                }
                self.histories[number] = history
        return history

    # ---- receivers ----

    def receiver_changes(self) -> list[Happened]:
        """Events of receivers avoided or used again, suspended or restored since the last call."""
        now = self.dispatcher.clock.now()
        self.uids = {number: uid for uid, number in self.endpoint_list.receiver_numbers.items()}
        avoided = {
            self._uid(each.id): (each.destination, each.ejected_since)
            for each in self.dispatcher.sender.receivers.values()
            if each.ejected_since
        }
        suspended = set(self.endpoint_list.suspended)
        events: list[Happened] = []
        if self.observing:
            waits = {self._uid(receiver): until for receiver, until in self.dispatcher.sender.retry_after_waits(now)}
            for uid in sorted((avoided.keys() - self.avoided.keys()) - {""}):
                fields = self._receiver(uid, avoided[uid][0])
                events.append(
                    ("receiver-out", fields | ({"wait": waits[uid] - now} if waits.get(uid, 0) > now else {}))
                )
            for uid in sorted((self.avoided.keys() - avoided.keys()) - {""}):
                destination, since = self.avoided[uid]
                events.append(("receiver-back", self._receiver(uid, destination) | {"age": max(0, now - since)}))
            events += [("suspended", self._receiver(uid)) for uid in sorted(suspended - self.suspended)]
            events += [("restored", self._receiver(uid)) for uid in sorted(self.suspended - suspended)]
        self.avoided, self.suspended, self.observing = avoided, suspended, True
        return events

    def pause(self) -> None:
        """Stop observing, as nobody follows: changes until somebody does are no events."""
        self.observing = False
        self.histories.clear()

    def member(self, name: str) -> dict[str, Value]:
        """The fields of an event of another member."""
        return {**self.here, "member": name[:LONGEST_TEXT]}

    def _receiver(self, uid: str, destination: int | None = None) -> dict[str, Value]:
        if destination is None:
            receiver = self.dispatcher.sender.receivers.get(self.endpoint_list.receiver_numbers.get(uid, -1))
            destination = receiver.destination if receiver is not None else None
        known: dict[str, Value] = {} if destination is None else {"destination": destination}
        return {**self.here, "receiver": uid[:LONGEST_TEXT], **known}

    def _uid(self, receiver: int) -> str:
        if receiver not in self.uids and receiver in self.dispatcher.sender.receivers:
            self.uids = {number: uid for uid, number in self.endpoint_list.receiver_numbers.items()}
        return self.uids.get(receiver, "")[:LONGEST_TEXT]
