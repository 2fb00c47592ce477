"""Checks that `deploy/balancer.toml` lists the decision modules under `policy`, and that each is within its limits."""

import pathlib
import tomllib
import unittest

PACKAGE = pathlib.Path("cedarwick/decisions")
NOT_DECISIONS = {"__init__.py", "interface.py", "setting_rules.py"}  # the interface, and the checks of settings
MAX_LINES = 500
MAX_LINE_LENGTH = 120


class DecisionModulesTest(unittest.TestCase):
    def setUp(self) -> None:
        with open("deploy/balancer.toml", "rb") as file:
            self.listed = [pathlib.Path(name) for name in tomllib.load(file)["policy"]]

    def test_every_decision_module_is_listed_once(self) -> None:
        found = [path for path in PACKAGE.rglob("*.py") if path.name not in NOT_DECISIONS]
        self.assertIn(PACKAGE / "policy.py", found)
        self.assertEqual(sorted(self.listed), sorted(found))

    def test_each_listed_file_holds_500_lines_of_120_characters_at_most(self) -> None:
        for path in self.listed:
            with self.subTest(path=str(path)):
                self.assertTrue(path.is_file())
                lines = path.read_text(encoding="utf-8").splitlines()
                self.assertLessEqual(len(lines), MAX_LINES)
                self.assertLessEqual(max(map(len, lines)), MAX_LINE_LENGTH)


if __name__ == "__main__":
    unittest.main()
