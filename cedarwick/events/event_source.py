"""Builds the fields of events from the state of a sender, which it does not modify.

`exchange.py` uses it only while there are subscriptions. Times are in microseconds.
"""

from dataclasses import dataclass

from cedarwick.decisions.interface import Outcome
from cedarwick.events.kinds import MAX_TEXT_LENGTH, Value
from cedarwick.net.attempts import AttemptCall, AttemptResult
from cedarwick.net.dispatcher import Dispatcher
from cedarwick.net.endpoint_list import EndpointList
from cedarwick.store.records import StoredMessage

EventContent = tuple[str, dict[str, Value]]  # kind and fields of an event
FINAL_KINDS = ("completed", "nacked", "written-off")
MAX_EXTRA_HISTORIES = 1000  # histories beyond twice the stored messages; above it, those of ended messages are dropped


@dataclass(slots=True)
class MessageHistory:
    """The data of a message that events need and its stored record lacks. Times and waits are in microseconds."""

    accepted_at: int = 0  # 0: it was accepted before the first subscription
    receiver: int = -1  # the receiver of the last attempt; -1: unknown
    retry_after_wait: int = 0  # the Retry-After of the last attempt


class EventObserver:
    """Observes one sender for its events. Times are in microseconds of the clock of the sender."""

    def __init__(self, name: str, site: str, dispatcher: Dispatcher, endpoint_list: EndpointList) -> None:
        self.common_fields: dict[str, Value] = {"sender": name, "hall": site}
        self.dispatcher = dispatcher
        self.endpoint_list = endpoint_list
        self.histories: dict[int, MessageHistory] = {}
        self.receiver_uids: dict[int, str] = {}
        self.ejected: dict[str, tuple[int, int]] = {}  # by uid of receiver: destination, and time of ejection
        self.suspended: set[str] = set()
        self.observing = False

    # ---- messages ----

    def attempt_started(self, call: AttemptCall) -> None:
        """Record the receiver of an attempt that is about to be sent."""
        history = self._history(call.message.number)
        history.receiver, history.retry_after_wait = call.receiver, 0

    def attempt_ended(self, call: AttemptCall, result: AttemptResult) -> None:
        """Record the Retry-After of an attempt for the event of its outcome, which follows shortly."""
        if call.message.number in self.histories:
            self.histories[call.message.number].retry_after_wait = result.retry_after

    def message_fields(self, kind: str, stored: StoredMessage, detail: int) -> dict[str, Value]:
        """Build the fields of a message event.

        `detail` depends on the kind: for `outcome` the index of the outcome, for `nacked` the wait in milliseconds.
        """
        now, history = self.dispatcher.clock.now(), self._history(stored.number)
        priority_class = (
            self.dispatcher.sender.priority_classes[self.dispatcher.priority_classes[stored.priority_class]]
            if stored.priority_class in self.dispatcher.priority_classes
            else None
        )
        fields: dict[str, Value] = {
            **self.common_fields,
            "id": stored.id[:MAX_TEXT_LENGTH],
            "band": stored.priority_class[:MAX_TEXT_LENGTH],
            "destination": stored.destination,
        }
        if stored.tenant:
            fields["tenant"] = stored.tenant[:MAX_TEXT_LENGTH]
        if priority_class is not None:
            fields |= {"worth": float(priority_class.priority_weight), "at_most_once": priority_class.at_most_once}
        if kind == "taken":
            history.accepted_at = now
            return fields
        fields["shots"] = stored.attempts
        if history.accepted_at:
            fields["age"] = max(0, now - history.accepted_at)
        if kind in ("shot", "outcome") and (uid := self._receiver_uid(history.receiver)):
            fields["receiver"] = uid
        if kind == "outcome":
            fields["outcome"] = list(Outcome)[detail].value
            if history.retry_after_wait:
                fields["wait"] = history.retry_after_wait
        if kind == "nacked" and detail:
            fields["wait"] = detail * 1000
        if kind in FINAL_KINDS:
            del self.histories[stored.number]
        return fields

    def _history(self, number: int) -> MessageHistory:
        history = self.histories.get(number)
        if history is None:
            history = self.histories[number] = MessageHistory()
            # Messages that end at another member have no final event here; without this limit their histories would
            # never be dropped.
            if len(self.histories) > 2 * len(self.dispatcher.store.messages) + MAX_EXTRA_HISTORIES:
                self.histories = {
                    each: history for each, history in self.histories.items() if each in self.dispatcher.store.messages
                }
                self.histories[number] = history
        return history

    # ---- receivers ----

    def receiver_changes(self) -> list[EventContent]:
        """Return the events of receivers that were ejected, reinstated, suspended or restored since the last call."""
        now = self.dispatcher.clock.now()
        self.receiver_uids = {number: uid for uid, number in self.endpoint_list.receiver_numbers.items()}
        ejected = {
            self._receiver_uid(each.id): (each.destination, each.ejected_since)
            for each in self.dispatcher.sender.receivers.values()
            if each.ejected_since
        }
        suspended = set(self.endpoint_list.suspended)
        events: list[EventContent] = []
        if self.observing:
            waits = {
                self._receiver_uid(receiver): until for receiver, until in self.dispatcher.sender.retry_after_waits(now)
            }
            for uid in sorted((ejected.keys() - self.ejected.keys()) - {""}):
                fields = self._receiver_fields(uid, ejected[uid][0])
                events.append(
                    ("receiver-out", fields | ({"wait": waits[uid] - now} if waits.get(uid, 0) > now else {}))
                )
            for uid in sorted((self.ejected.keys() - ejected.keys()) - {""}):
                destination, ejected_at = self.ejected[uid]
                events.append(
                    ("receiver-back", self._receiver_fields(uid, destination) | {"age": max(0, now - ejected_at)})
                )
            events += [("suspended", self._receiver_fields(uid)) for uid in sorted(suspended - self.suspended)]
            events += [("restored", self._receiver_fields(uid)) for uid in sorted(self.suspended - suspended)]
        self.ejected, self.suspended, self.observing = ejected, suspended, True
        return events

    def pause(self) -> None:
        """Stop observing while there are no subscriptions: changes in the meantime cause no events."""
        self.observing = False
        self.histories.clear()

    def member_fields(self, name: str) -> dict[str, Value]:
        """Build the fields of an event of another member."""
        return {**self.common_fields, "member": name[:MAX_TEXT_LENGTH]}

    def _receiver_fields(self, uid: str, destination: int | None = None) -> dict[str, Value]:
        if destination is None:
            receiver = self.dispatcher.sender.receivers.get(self.endpoint_list.receiver_numbers.get(uid, -1))
            destination = receiver.destination if receiver is not None else None
        known: dict[str, Value] = {} if destination is None else {"destination": destination}
        return {**self.common_fields, "receiver": uid[:MAX_TEXT_LENGTH], **known}

    def _receiver_uid(self, receiver: int) -> str:
        if receiver not in self.receiver_uids and receiver in self.dispatcher.sender.receivers:
            self.receiver_uids = {number: uid for uid, number in self.endpoint_list.receiver_numbers.items()}
        return self.receiver_uids.get(receiver, "")[:MAX_TEXT_LENGTH]
