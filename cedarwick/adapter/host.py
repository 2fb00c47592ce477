"""Hosts many independent instances of the decisions for the simulator; times are in microseconds.

Started by `python -m cedarwick.adapter`.
"""

from collections.abc import Iterator
from typing import Any, BinaryIO

from cedarwick.adapter import codec
from cedarwick.decisions import setting_rules
from cedarwick.decisions.interface import Decisions, ListedEndpoint, Outcome
from cedarwick.decisions.message_handle import Handle
from cedarwick.decisions.policy import Sender

MAX_SLEEP_US = 70 * 60 * 1_000_000  # 70 minutes; the wire protocol allows 71


class Instance:
    """One simulated sender: its decisions, the handles of its open messages and its requested wake-up."""

    def __init__(self, sender: Sender) -> None:
        self.sender = sender
        self.handles: dict[int, Handle] = {}
        self.wake_at: int | None = None
        self.wake_up_id = 0
        self.datagrams_dropped = 0  # datagrams of other senders; all are dropped, since the decisions use none
        self.datagrams_logged = 0  # `datagrams_dropped` at the last log line


class Host:
    """Applies the records of each batch to the instances and encodes their decisions."""

    def __init__(self) -> None:
        self.instances: dict[int, Instance] = {}
        self.endpoint_lists: dict[int, list[ListedEndpoint]] = {}

    def answer(self, now: int, count: int, body: bytes) -> bytes:
        """Apply `count` records at `now` microseconds and return the reply frame.

        An instance that raises an exception is ended with `bail_out`; `WireError` and `SettingError` are raised to the
        caller and end the process.
        """
        affected: dict[int, None] = {}
        errors_by_instance: dict[int, str] = {}
        for code, fixed_fields, variable_part in codec.decode_records(count, body):
            if code == codec.REGISTER_CODE:
                self.endpoint_lists[fixed_fields[0]] = variable_part
                continue
            instance_id = fixed_fields[0]
            if instance_id in errors_by_instance:
                continue
            affected[instance_id] = None
            try:
                self._apply_record(now, code, fixed_fields, variable_part)
            except (codec.WireError, setting_rules.SettingError):
                raise
            except Exception as error:
                errors_by_instance[instance_id] = f"{type(error).__name__}: {error}"
        actions: list[bytes] = []
        for instance_id in affected:
            try:
                if instance_id not in errors_by_instance:
                    actions.extend(self._decide(now, instance_id))
            except Exception as error:
                errors_by_instance[instance_id] = f"{type(error).__name__}: {error}"
            if instance_id in errors_by_instance:
                actions.append(codec.encode_bail_out(instance_id, errors_by_instance[instance_id]))
        return codec.encode_reply(actions)

    def _apply_record(self, now: int, code: int, fixed_fields: tuple[Any, ...], variable_part: Any) -> None:
        instance_id = fixed_fields[0]
        if code == codec.POWER_ON_CODE:
            settings = codec.decode_settings(variable_part)
            setting_rules.check(settings)
            self.instances[instance_id] = Instance(Sender(settings, fixed_fields[1], now))
            return
        instance = self.instances.get(instance_id)
        if instance is None:
            return
        sender = instance.sender
        if code == codec.DOWN_CODE:
            del self.instances[instance_id]
        elif code == codec.DATAGRAM_CODE:
            instance.datagrams_dropped += 1
        elif code == codec.ORDER_CODE:
            _, message, tenant, _, deadline_ms, _, key, destination, priority_class = fixed_fields
            instance.handles[message] = sender.accept(
                now, message, int(destination), priority_class, codec.to_microseconds(deadline_ms), tenant, key
            )
        elif code == codec.FINISHED_CODE:
            _, message, outcome_code, attempt, outcome_detail, receiver, is_last, duration_ms, _ = fixed_fields
            outcome = codec.decode_outcome(outcome_code)
            handle = instance.handles.get(message)
            if handle is not None:
                retry_after = codec.to_microseconds(outcome_detail) if outcome is Outcome.FULL else 0
                handle.attempt_ended(
                    now,
                    outcome,
                    attempt,
                    receiver,
                    codec.to_microseconds(duration_ms),
                    retry_after,
                    bool(is_last),
                    variable_part,
                )
                if handle.ended and not handle.in_flight:
                    del instance.handles[message]
        elif code == codec.LEFT_CODE:
            handle = instance.handles.get(fixed_fields[1])
            if handle is not None:
                handle.withdrawn(now)
                if not handle.in_flight:
                    del instance.handles[fixed_fields[1]]
        elif code == codec.SYNC_CODE:
            _, update_code, _, list_slot = fixed_fields
            if update_code not in codec.LIST_CHANGES:
                raise codec.WireError(f"unknown list update code {update_code}")
            change = codec.LIST_CHANGES[update_code]
            if change is None:
                sender.list_poll_failed(now)
            elif list_slot not in self.endpoint_lists:
                raise codec.WireError(f"list {list_slot} was never declared")
            else:
                sender.apply_endpoint_list(now, change, self.endpoint_lists[list_slot])
        elif code == codec.WAKE_CODE and fixed_fields[1] == instance.wake_up_id:
            instance.wake_at = None

    def _decide(self, now: int, instance_id: int) -> Iterator[bytes]:
        instance = self.instances.get(instance_id)
        if instance is None:
            return
        decided: Decisions = instance.sender.decide(now)
        for message, wait in decided.nacks:
            instance.handles.pop(message, None)
            yield codec.encode_deny(instance_id, message, wait)
        for message in decided.abandoned:
            instance.handles.pop(message, None)
            yield codec.encode_report_failure(instance_id, message)
        for receiver in decided.released_connections:
            yield codec.encode_free_links(instance_id, receiver)
        for message, receiver, time_out in decided.attempts:
            yield codec.encode_hand_off(instance_id, message, receiver, time_out)
        for line in decided.log_lines:
            yield codec.encode_write_log(instance_id, line)
        if instance.datagrams_dropped >= max(
            1, 2 * instance.datagrams_logged
        ):  # one line per doubling, since a line per datagram would flood the log
            instance.datagrams_logged = instance.datagrams_dropped
            yield codec.encode_write_log(instance_id, f"datagrams dropped: {instance.datagrams_dropped}")
        if decided.subscribe:
            yield codec.encode_subscribe(instance_id)
        wake_at = decided.wake_at
        if wake_at is not None and (instance.wake_at is None or wake_at < instance.wake_at):
            instance.wake_at = wake_at
            instance.wake_up_id = (instance.wake_up_id + 1) & 0xFFFFFFFF
            yield codec.encode_sleep(instance_id, min(max(wake_at - now, 0), MAX_SLEEP_US), instance.wake_up_id)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer each batch with one flushed reply until the input ends."""
    host = Host()
    while (batch := codec.read_batch(source)) is not None:
        sink.write(host.answer(*batch))
        sink.flush()
