"""The story of a message joins what was seen from outside with what all senders have traced."""

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


class StoryTest(unittest.TestCase):
    def test_lines_of_the_message_stand_in_the_order_of_the_day(self) -> None:
        case = Case()
        case.handed, case.calls = handed(), [called(at=10 * MS, took=60 * MS)]
        lines = message_timeline(case, "a", [("n0", ""), ("n1", LOG)], OFFSET)
        self.assertEqual(
            [(line.source, line.text.split()[0]) for line in lines],
            [("", "handed"), ("n1", "attempt"), ("", "called"), ("n1", "end")],
        )
        self.assertEqual(lines[1].at, 60 * MS)
        self.assertIn(f"sent_at={10 * MS}", lines[1].text)


if __name__ == "__main__":
    unittest.main()
