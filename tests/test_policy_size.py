"""The files under `policy` keep to their bounds."""

import tomllib
import unittest


class Size(unittest.TestCase):
    def test_files_under_policy_hold_800_lines_of_120_characters_at_most(self) -> None:
        with open("deploy/balancer.toml", "rb") as file:
            names = tomllib.load(file)["policy"]
        lines: list[str] = []
        for name in names:
            with open(name, encoding="utf-8") as file:
                lines += [line.rstrip("\n") for line in file if line.strip()]
        self.assertLessEqual(len(lines), 800)
        self.assertLessEqual(max(map(len, lines)), 120)


if __name__ == "__main__":
    unittest.main()
