"""Scenario, history and plan files keep their keys, whatever the names of the fields in Python."""

import os
import tempfile
import tomllib
import unittest
from typing import Any

import msgspec

from cedarwick.lab import scenario as scenarios
from cedarwick.lab.figures import Figures
from cedarwick.lab.history import Away, Handed, read_history
from cedarwick.lab.schedule import draw_plan
from cedarwick.lab.workload import Arrival, PlannedFault

# Lines from a version in which the fields had the same names as the keys.
HANDED = (
    b'{"what":"handed","id":"a","first":"b","band":"free","destination":1,"mark":"m","turn":"t","due":1,"sent":2,'
    b'"outer":3,"sender":4,"answer":"","answered":-1,"wait":0,"fresh":true,"again":false,"taker":-1}\n'
)
AWAY = b'{"what":"away","endpoint":"x","destination":1,"began":2,"ended":3,"cold":true,"fell":false}\n'
GONE = b'{"what":"gone","number":1,"kind":"k","began":2,"ended":3,"on":["n0"],"size":0.5}\n'


def changed_keys(written: Any, encoded: Any, at: str = "") -> list[str]:
    """The keys of a file that are missing or have another value in its encoded form."""
    if isinstance(written, dict):
        missing = [f"{at}.{key}" for key in written if key not in encoded]
        return missing + [
            found
            for key in written
            if key in encoded
            for found in changed_keys(written[key], encoded[key], f"{at}.{key}")
        ]
    if isinstance(written, list) and len(written) == len(encoded):
        return [each for row, other in zip(written, encoded, strict=True) for each in changed_keys(row, other, at)]
    return [] if written == encoded else [at]


class ScenarioFilesTest(unittest.TestCase):
    def test_shipped_scenarios_keep_their_keys(self) -> None:
        for name in scenarios.shipped_scenarios():
            with self.subTest(name):
                with open(os.path.join(scenarios.SHIPPED_FOLDER, f"{name}.toml"), "rb") as file:
                    written = tomllib.load(file)
                loaded = scenarios.load_scenario(name)
                self.assertEqual(changed_keys(written, msgspec.to_builtins(loaded)), [])
                again: scenarios.Scenario = msgspec.json.decode(msgspec.json.encode(loaded), type=scenarios.Scenario)
                self.assertEqual(again, loaded)

    def test_fields_with_other_python_names_keep_their_keys(self) -> None:
        written = msgspec.to_builtins(scenarios.load_scenario("drains"))
        self.assertLessEqual({"band", "partner", "trouble"}, written.keys())
        self.assertIn("cold", written["partner"][0])
        self.assertIn("cold", written["trouble"][0])

    def test_python_names_are_not_accepted_as_keys(self) -> None:
        for renamed in ("priority_classes", "faults"):
            with self.subTest(renamed), self.assertRaises(msgspec.ValidationError):
                msgspec.convert({"name": "s", "band": [], "partner": [], renamed: []}, scenarios.Scenario)


class HistoryFilesTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = os.path.join(folder.name, "history.jsonl")

    def test_an_earlier_history_is_read_and_written_unchanged(self) -> None:
        with open(self.path, "wb") as file:
            file.write(HANDED + AWAY + GONE)
        history = read_history(self.path)
        self.assertEqual(history.handed, [Handed("a", "b", "free", 1, "m", "t", 1, 2, 3, 4)])
        self.assertEqual(history.away, [Away("x", 1, 2, 3, True, False)])
        self.assertEqual((history.handed[0].priority_class, history.away[0].warming_up), ("free", True))
        history.write(self.path + ".again")
        with open(self.path + ".again", "rb") as file:
            self.assertEqual(file.read(), HANDED + AWAY + GONE)


class ScheduleFilesTest(unittest.TestCase):
    def test_rows_of_arrivals_and_faults_keep_their_keys(self) -> None:
        self.assertEqual(
            msgspec.json.encode(Arrival(1, "a", "free", 2, "k", "t", 3, (4,))),
            b'{"due":1,"id":"a","band":"free","destination":2,"key":"k","turn":"t","size":3,"waits":[4]}',
        )
        self.assertEqual(
            msgspec.json.encode(PlannedFault(1, "crash", 2, 3, 0.5, 4, True, False, (5,), ())),
            b'{"number":1,"kind":"crash","begin":2,"length":3,"size":0.5,"wait":4,"cold":true,"whole":false,'
            b'"destinations":[5],"senders":[]}',
        )

    def test_a_plan_keeps_its_keys(self) -> None:
        plan = draw_plan(3, senders=5, length_s=10)
        written = msgspec.json.decode(plan.json())
        self.assertEqual(list(written), ["seed", "senders", "length", "troubles"])
        self.assertEqual(len(written["troubles"]), len(plan.faults))

    def test_figures_keep_their_keys(self) -> None:
        names = [field.encode_name for field in msgspec.structs.fields(Figures)]
        self.assertEqual(names[:3], ["service", "bands", "answers"])


if __name__ == "__main__":
    unittest.main()
