"""Priority classes for days that mix all kinds of messages.

One class for each setting of `repeat`, and one whose messages are ordered by order keys.
"""

from cedarwick.lab.scenario import PriorityClass

REISSUABLE = PriorityClass(name="free", outer_ms=6000, expected_ms=1500)
IDEMPOTENT = PriorityClass(name="marked", repeat="numbered", outer_ms=6000, expected_ms=1500, window_ms=4000)
AT_MOST_ONCE = PriorityClass(name="once", repeat="at-most-once", outer_ms=6000, expected_ms=1500)
ORDERED = PriorityClass(name="line", repeat="numbered", in_turn=True, keys=6, outer_ms=6000, expected_ms=1500)
MIXED_CLASSES = [REISSUABLE, IDEMPOTENT, AT_MOST_ONCE, ORDERED]
