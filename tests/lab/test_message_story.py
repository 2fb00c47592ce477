"""The timeline of a message merges observations from outside with the traces of all senders."""

import unittest

from cedarwick.lab.audit_cases import Case
from cedarwick.lab.message_story import message_timeline
from tests.lab.test_audit import MS, called, handed

OFFSET = 7_000_000_000
LOG = (
    "INFO n1 listens on 127.0.0.1:1\n"
    f'INFO message trace {{"event": "attempt", "id": "a", "number": 3, "sent_at": {OFFSET + 10 * MS}, '
    f'"ended_at": {OFFSET + 60 * MS}, "outcome": "time-out"}}\n'
    f'INFO message trace {{"event": "end", "id": "b", "number": 4, "state": "failed", "at": {OFFSET}}}\n'
    f'INFO message trace {{"event": "end", "id": "a", "number": 3, "state": "failed", "at": {OFFSET + 80 * MS}}}\n'
)


class MessageTimelineTest(unittest.TestCase):
    def test_entries_of_the_message_are_sorted_by_time_of_the_day(self) -> None:
        case = Case()
        case.handed, case.calls = handed(), [called(at=10 * MS, took=60 * MS)]
        entries = message_timeline(case, "a", [("n0", ""), ("n1", LOG)], OFFSET)
        self.assertEqual(
            [(entry.source, entry.text.split()[0]) for entry in entries],
            [("", "handed"), ("n1", "attempt"), ("", "called"), ("n1", "end")],
        )
        self.assertEqual(entries[1].at, 60 * MS)
        self.assertIn(f"sent_at={10 * MS}", entries[1].text)


if __name__ == "__main__":
    unittest.main()
