"""Runs many independent instances of the decisions behind the simulator's wire; times are in microseconds.

Called by `python -m cedarwick.adapter`.
"""

from collections.abc import Iterator
from typing import Any, BinaryIO

from cedarwick.adapter import codec
from cedarwick.decisions import setting_rules
from cedarwick.decisions.interface import Decisions, ListedEndpoint, Outcome
from cedarwick.decisions.message_handle import Handle
from cedarwick.decisions.policy import Sender

MAX_SLEEP = 70 * 60 * 1_000_000  # microseconds; the wire allows 71 minutes


class Instance:
    """One simulated sender: its decisions, the handles of its open messages and the wake-up it has asked for."""

    def __init__(self, sender: Sender) -> None:
        self.sender = sender
        self.handles: dict[int, Handle] = {}
        self.wake_at: int | None = None
        self.mark = 0
        self.notes_dropped = 0  # datagrams of other senders, all dropped: the decisions use none
        self.notes_logged = 0  # `notes_dropped` at the last log line


class Host:
    """Dispatches the records of each batch to the instances and encodes their decisions."""

    def __init__(self) -> None:
        self.instances: dict[int, Instance] = {}
        self.lists: dict[int, list[ListedEndpoint]] = {}

    def answer(self, now: int, count: int, body: bytes) -> bytes:
        """Apply `count` records at `now` microseconds and return the reply frame.

        An instance that raises is ended with `bail_out`; `WireError` and `SettingError` end the process.
        """
        touched: dict[int, None] = {}
        broken: dict[int, str] = {}
        for code, values, extra in codec.records(count, body):
            if code == codec.REGISTER_CODE:
                self.lists[values[0]] = extra
                continue
            number = values[0]
            if number in broken:
                continue
            touched[number] = None
            try:
                self._pass_on(now, code, values, extra)
            except (codec.WireError, setting_rules.SettingError):
                raise
            except Exception as error:
                broken[number] = f"{type(error).__name__}: {error}"
        actions: list[bytes] = []
        for number in touched:
            try:
                if number not in broken:
                    actions.extend(self._round(now, number))
            except Exception as error:
                broken[number] = f"{type(error).__name__}: {error}"
            if number in broken:
                actions.append(codec.bail_out(number, broken[number]))
        return codec.reply(actions)

    def _pass_on(self, now: int, code: int, values: tuple[Any, ...], extra: Any) -> None:
        number = values[0]
        if code == codec.POWER_ON_CODE:
            settings = codec.settings_of(extra)
            setting_rules.check(settings)
            self.instances[number] = Instance(Sender(settings, values[1], now))
            return
        instance = self.instances.get(number)
        if instance is None:
            return
        sender = instance.sender
        if code == codec.DOWN_CODE:
            del self.instances[number]
        elif code == codec.DATAGRAM_CODE:
            instance.notes_dropped += 1
        elif code == codec.ORDER_CODE:
            _, message, tenant, _, limit, _, key, destination, priority_class = values
            instance.handles[message] = sender.accept(
                now, message, int(destination), priority_class, codec.micros(limit), tenant, key
            )
        elif code == codec.FINISHED_CODE:
            _, message, rc, attempt, note, receiver, last, took, _ = values
            outcome = codec.outcome_of(rc)
            handle = instance.handles.get(message)
            if handle is not None:
                retry_after = codec.micros(note) if outcome is Outcome.FULL else 0
                handle.attempt_ended(
                    now, outcome, attempt, receiver, codec.micros(took), retry_after, bool(last), extra
                )
                if handle.ended and not handle.in_flight:
                    del instance.handles[message]
        elif code == codec.LEFT_CODE:
            handle = instance.handles.get(values[1])
            if handle is not None:
                handle.withdrawn(now)
                if not handle.in_flight:
                    del instance.handles[values[1]]
        elif code == codec.SYNC_CODE:
            _, how, _, slot = values
            if how not in codec.LIST_CHANGES:
                raise codec.WireError(f"unknown kind of list update {how}")
            change = codec.LIST_CHANGES[how]
            if change is None:
                sender.list_poll_failed(now)
            elif slot not in self.lists:
                raise codec.WireError(f"list {slot} was never declared")
            else:
                sender.apply_endpoint_list(now, change, self.lists[slot])
        elif code == codec.WAKE_CODE and values[1] == instance.mark:
            instance.wake_at = None

    def _round(self, now: int, number: int) -> Iterator[bytes]:
        instance = self.instances.get(number)
        if instance is None:
            return
        verdicts: Decisions = instance.sender.decide(now)
        for message, wait in verdicts.nacks:
            instance.handles.pop(message, None)
            yield codec.deny(number, message, wait)
        for message in verdicts.abandoned:
            instance.handles.pop(message, None)
            yield codec.report_failure(number, message)
        for receiver in verdicts.released_connections:
            yield codec.free_links(number, receiver)
        for message, receiver, time_out in verdicts.attempts:
            yield codec.hand_off(number, message, receiver, time_out)
        for line in verdicts.log_lines:
            yield codec.write_log(number, line)
        if instance.notes_dropped >= max(
            1, 2 * instance.notes_logged
        ):  # at each doubling: a line for each would flood the log
            instance.notes_logged = instance.notes_dropped
            yield codec.write_log(number, f"notes dropped: {instance.notes_dropped}")
        if verdicts.subscribe:
            yield codec.subscribe(number)
        wake_at = verdicts.wake_at
        if wake_at is not None and (instance.wake_at is None or wake_at < instance.wake_at):
            instance.wake_at = wake_at
            instance.mark = (instance.mark + 1) & 0xFFFFFFFF
            yield codec.sleep(number, min(max(wake_at - now, 0), MAX_SLEEP), instance.mark)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer each batch with one flushed reply until input ends."""
    host = Host()
    while (batch := codec.read_batch(source)) is not None:
        sink.write(host.answer(*batch))
        sink.flush()
