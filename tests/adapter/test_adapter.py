"""Tests of the simulator adapter: encoded frames, settings, hosted instances and invalid input."""

import io
import struct
import unittest
from unittest import mock

from cedarwick.adapter import codec
from cedarwick.adapter.__main__ import main
from cedarwick.adapter.host import Host, serve
from tests.build import SETTINGS


def batch(now: float, *records: bytes) -> bytes:
    body = b"".join(records)
    return struct.pack("<dII", now, len(body), len(records)) + body


def power_on(instance: int, overrides: dict[str, str] | None = None, seed: int = 3) -> bytes:
    settings = {**SETTINGS, "unheard-of": "1", **(overrides or {})}
    text = "".join(f"{name}={value}\n" for name, value in settings.items()).encode()
    return struct.pack("<BIQI", 30, instance, seed, len(text)) + text


def register(slot: int, receiver: int) -> bytes:
    return struct.pack("<BII", 10, slot, 1) + struct.pack("<IBBHBfd", receiver, 0, 0, 7, 1, 0.0, 0.0)


def sync(instance: int, slot: int) -> bytes:
    return struct.pack("<BIBII", 100, instance, 2, 1, slot)


def order(instance: int, message: int) -> bytes:
    return struct.pack("<BIQHddBQfB", 50, instance, message, 0, 0.0, 20_000.0, 0, 0, 7.0, 0)


def replies(*frames: bytes) -> bytes:
    sink = io.BytesIO()
    serve(io.BytesIO(b"".join(frames)), sink)
    return sink.getvalue()


class CodecTest(unittest.TestCase):
    def test_an_empty_batch_gets_an_empty_reply(self) -> None:
        self.assertEqual(replies(batch(1.0)), bytes(8))

    def test_actions_are_encoded_as_specified(self) -> None:
        self.assertEqual(
            codec.encode_hand_off(258, 5, 6, 1_500).hex(),
            "64020100000500000000000000" "06000000" + struct.pack("<d", 1.5).hex(),
        )
        self.assertEqual(codec.encode_write_log(1, "hi").hex(), "280100000002006869")
        self.assertEqual(codec.encode_sleep(1, 2_000, 9).hex(), "6e010000000000000000000040" "09000000")
        self.assertEqual(codec.encode_report_failure(1, 2).hex(), "5a010000000200000000000000")

    def test_invalid_input_is_refused(self) -> None:
        record = order(1, 1)
        for frame in (
            b"abc",
            batch(1.0, b"\x07"),
            batch(1.0, record[:-1]),
            batch(float("nan")),
            struct.pack("<dII", 1.0, 9, 0),
        ):
            with self.subTest(frame=frame), self.assertRaises(codec.WireError):
                replies(frame)


class SettingsTest(unittest.TestCase):
    def test_an_invalid_setting_ends_the_adapter_with_one_line_that_names_it(self) -> None:
        for name, value in (
            ("classes.count", "many"),
            ("balancers", "0"),
            ("rules.fall-ms", "nan"),
            ("family-info.per-call", "1,x"),
            ("family-info.kind-apart", "true,perhaps"),
            ("classes.1.late-worth", "1.5"),
            ("policy-limits.max-open", "2.5"),
            ("family-info.late", "slowly"),
            ("classes.0.repeat", "often"),
        ):
            source = io.TextIOWrapper(io.BytesIO(batch(1.0, power_on(1, {name: value}))))
            lines = io.StringIO()
            with self.subTest(name=name), mock.patch("sys.stdin", source), mock.patch("sys.stderr", lines):
                self.assertEqual(main(), 2)
                self.assertEqual((lines.getvalue().count("\n"), name in lines.getvalue()), (1, True))

    def test_unknown_settings_and_datagrams_are_ignored(self) -> None:
        host = Host()
        host.answer(1_000, 1, power_on(1, {"discovery": "", "family-info.unheard-of": "-1"}))
        for payload in (b"", b"\x09" * 256):
            host.answer(2_000, 1, struct.pack("<BIIH", 20, 1, 99, len(payload)) + payload)
        self.assertEqual(host.instances[1].datagrams_dropped, 2)


class HostTest(unittest.TestCase):
    def test_a_reused_list_slot_is_resolved_in_event_order(self) -> None:
        host = Host()
        frame = batch(1.0, power_on(1), register(0, 11), sync(1, 0), power_on(2), register(0, 22), sync(2, 0))
        host.answer(1_000, 6, frame[16:])
        self.assertEqual([list(host.instances[n].sender.receivers) for n in (1, 2)], [[11], [22]])

    def test_down_and_power_on_in_one_batch_start_a_new_instance(self) -> None:
        host = Host()
        host.answer(1_000, 4, b"".join([power_on(1), register(0, 11), sync(1, 0), order(1, 5)]))
        old = host.instances[1]
        host.answer(2_000, 2, struct.pack("<BI", 60, 1) + power_on(1))
        self.assertIsNot(host.instances[1], old)
        self.assertEqual(host.instances[1].handles, {})

    def test_an_exception_in_the_decisions_becomes_a_bail_out(self) -> None:
        host = Host()
        host.answer(1_000, 1, power_on(1))
        host.instances[1].sender.receivers[1] = None  # type: ignore[assignment]
        reply = host.answer(2_000, 2, register(0, 1) + sync(1, 0))
        self.assertEqual((reply[8], b"AttributeError" in reply), (10, True))

    def test_stale_events_are_ignored(self) -> None:
        left, wake = struct.pack("<BIQ", 80, 1, 77), struct.pack("<BII", 110, 1, 500)
        reply = Host().answer(1_000, 3, power_on(1) + left + wake)
        self.assertEqual(reply, bytes(8))


if __name__ == "__main__":
    unittest.main()
