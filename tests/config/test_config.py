"""Files that people write: each error names the file, the key and what was expected; the texts follow the types."""

import os
import re
import signal
import subprocess
import sys
import tempfile
import time
import unittest
from typing import Any

import msgspec
from click.testing import CliRunner

from cedarwick.cli import command
from cedarwick.config import texts
from cedarwick.config.files import ConfigFileError, load_toml
from cedarwick.config.operator import Fleet, Operator, load
from cedarwick.decisions.policy import Sender
from cedarwick.lab import scenario as scenarios
from cedarwick.lab.scenario import Scenario, sender_settings
from cedarwick.net.assignment import flatten_settings
from tests.build import Program, Receiver, reply

GOOD = """
name = "x"
[[band]]
name = "b"
[[partner]]
name = "p"
"""


class WrittenFilesTestCase(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = os.path.join(folder.name, "f.toml")

    def write(self, text: str | bytes) -> str:
        with open(self.path, "wb") as file:
            file.write(text if isinstance(text, bytes) else text.encode())
        return self.path

    def run_(self, *words: str) -> Any:
        return CliRunner().invoke(command, list(words))


class OperatorFileTest(WrittenFilesTestCase):
    def bad(self, text: str | bytes, *parts: str) -> None:
        with self.assertRaises(ConfigFileError) as caught:
            load(self.write(text))
        said = str(caught.exception)
        self.assertNotIn("\n", said)
        for part in (self.path, *parts):
            self.assertIn(part, said)

    def test_each_error_names_file_key_and_what_was_expected(self) -> None:
        self.bad("[log]\nlevel = 3\n", "log.level", "Expected `str`")
        self.bad('[log]\nlevel = "LOUD"\n', "log.level", "LOUD")
        self.bad("[log]\nquiet_s = -1\n", "log.quiet_s", ">= 0")
        self.bad("[log]\nquiet = 1\n", "log", "quiet")
        self.bad("[lag]\n", "lag")
        self.bad("log = 1\n", "log", "Expected `object`")
        self.bad("[log\n", "no TOML")
        self.bad(b"\xff\xfe", "no TOML")
        self.bad("# " + "x" * (1 << 20), "larger than")

    def test_a_file_that_is_not_there(self) -> None:
        with self.assertRaisesRegex(ConfigFileError, "No such file"):
            load(self.path)

    def test_an_empty_file_is_the_defaults_and_so_is_the_example(self) -> None:
        self.assertEqual(load(self.write("")), Operator())
        self.assertEqual(load(self.write(texts.example(Operator))), Operator())

    def test_every_line_of_the_example_is_a_key_that_works(self) -> None:
        lines = [line.removeprefix("# ") if " = " in line else line for line in texts.example(Operator).split("\n")]
        self.assertEqual(load(self.write("\n".join(lines))), Operator())

    def test_the_example_of_a_fleet_is_a_good_one_and_show_says_the_same(self) -> None:
        self.write(re.sub("^## ", "", texts.example(Operator), flags=re.M))
        made = load(self.path)
        assert made.fleet is not None
        self.assertEqual(made, Operator(fleet=Fleet(group="halls", member=made.fleet.member)))
        self.assertEqual([member.hall for member in made.fleet.member], ["north", "south"])
        shown = self.run_("config", "show", self.path).output
        self.assertIn('address = "10.0.1.1:6400"  # file', shown)
        self.assertEqual(load(self.write(shown)), made)

    def test_a_fleet_that_cannot_be_names_the_key(self) -> None:
        def fleet(*rows: tuple[str, str], more: str = "") -> str:
            return f'[fleet]\ngroup = "g"\n{more}\n' + "".join(
                f'[[fleet.member]]\nname = "{name}"\naddress = "{at}"\nhall = "h"\n' for name, at in rows
            )

        a, b = ("a", "h:1"), ("b", "h:2")
        load(self.write(fleet(a, b)))
        self.bad(fleet(a), "fleet.member", "length >= 2")
        self.bad(fleet(*((f"n{n}", f"h:{n + 1}") for n in range(65))), "fleet.member", "length <= 64")
        self.bad(fleet(a, b).replace('group = "g"', ""), "fleet", "`group`")
        self.bad(fleet(a, b).replace('hall = "h"', ""), "fleet.member[0]", "`hall`")
        self.bad(fleet(a, ("b c", "h:2")), "fleet.member[1].name", "matching regex")
        self.bad(fleet(a, ("a", "h:2")), "fleet.member[1].name", "twice")
        self.bad(fleet(a, ("b", "h:1")), "fleet.member[1].address", "twice")
        for at in ("h", "h:", ":1", "h:0", "h:65536", "h:-1"):
            self.bad(fleet(a, ("b", at)), "fleet.member[1].address", "host:port")
        self.bad(fleet(("n156", "h:1"), ("n1054", "h:2")), "fleet.member[1].name", "slot of 'n156'")
        self.bad(fleet(a, b, more="copies = 2"), "fleet.copies", "3 members")
        self.bad(fleet(a, b, more='ack = "copy"\ncopies = 0'), "fleet.copies", "1 at least")
        self.bad(fleet(a, b, more='alone = "lost"'), "fleet.alone", "lost")
        self.bad(fleet(a, b, more="ack_within_ms = 401"), "fleet.ack_within_ms", "<= 400")
        self.bad(fleet(a, b, more="follow_s = 59"), "fleet.follow_s", ">= 60")
        self.bad(fleet(a, b, more="follow_s = 43201"), "fleet.follow_s", "<= 43200")

    def test_show_says_where_a_value_comes_from(self) -> None:
        said = self.run_("config", "show", self.write('[log]\nlevel = "DEBUG"\n')).output
        self.assertIn('level = "DEBUG"  # file', said)
        self.assertIn('format = "text"  # default', said)

    def test_the_pages_in_docs_hold_what_the_types_say(self) -> None:
        with open("docs/configuration.md", encoding="utf-8") as file:
            page = file.read()
        self.assertIn(texts.reference(Operator), page)
        with open("docs/scenarios.md", encoding="utf-8") as file:
            page = file.read()
        self.assertIn(texts.reference(Scenario), page)

    def test_the_schema_is_of_the_whole_file(self) -> None:
        made = msgspec.json.decode(self.run_("config", "schema").output)
        self.assertEqual(sorted(made["$defs"]["Operator"]["properties"]), ["counters", "fleet", "log", "store"])


class ScenariosTest(WrittenFilesTestCase):
    def bad(self, more: str, *parts: str) -> None:
        with self.assertRaises(ConfigFileError) as caught:
            scenarios.load_scenario(self.write(GOOD + more))
        for part in (self.path, *parts):
            self.assertIn(part, str(caught.exception))

    def test_each_error_names_the_path_of_its_key(self) -> None:
        self.bad("rate = 1\n", "partner[0]", "rate")
        self.bad('[[trouble]]\nkind = "flood"\n', "trouble[0].kind", "flood")
        self.bad("[load]\nrate = 0\n", "load.rate")
        self.bad("service = { mean_ms = 0 }\n", "partner[0].service.mean_ms")
        self.bad('[[band]]\nname = "b"\n', "band[1].name", "twice")
        self.bad('[[band]]\nname = "c"\nexpected_ms = 9000\n', "band[1].expected_ms")
        self.bad('[[band]]\nname = "c"\nin_turn = true\n', "band[1].keys")
        self.bad('[[band]]\nname = "c"\nbytes = [5, 70000]\n', "band[1].bytes")
        self.bad('[[trouble]]\nkind = "hang"\nbegin_s = [9, 3]\n', "trouble[0].begin_s")
        self.bad('[drawn]\ncount = 2\nkinds = ["hang"]\n', "drawn.count")

    def test_an_unknown_name_lists_those_that_ship(self) -> None:
        with self.assertRaisesRegex(ConfigFileError, "calm"):
            scenarios.load_scenario("no-such-day")

    def test_the_shipped_ones_are_good_and_senders_can_use_their_settings(self) -> None:
        self.assertGreaterEqual(len(scenarios.shipped_scenarios()), 12)
        for name in scenarios.shipped_scenarios():
            told = scenarios.load_scenario(name)
            self.assertEqual((told.name, bool(told.about)), (name, True))
            made = Sender(flatten_settings(sender_settings(told, 2)), 1, 0)
            self.assertEqual(
                [priority_class.at_most_once for priority_class in made.priority_classes],
                [priority_class.repeat == "at-most-once" for priority_class in told.priority_classes],
            )


class CommandLineTest(WrittenFilesTestCase):
    def test_unusable_arguments_and_files_end_with_2_and_one_line(self) -> None:
        for words in (
            ["config", "check", self.write("[log]\nlevel = 3")],
            ["config", "check", "/nowhere.toml"],
            ["config", "check", "/nowhere.json"],
            ["lab", "run", "no-such-day"],
            ["load", "nowhere"],
            ["lab", "report", "/nowhere"],
            ["load", "127.0.0.1:1"],
        ):
            with self.subTest(words=words):
                found = self.run_(*words)
                self.assertEqual((found.exit_code, found.stderr.count("\n")), (2, 1), found.stderr)
        self.assertEqual(self.run_("no-such").exit_code, 2)

    def test_check_knows_the_three_kinds_of_files(self) -> None:
        self.assertIn("operator file", self.run_("config", "check", self.write("[log]\n")).output)
        self.assertIn("scenario", self.run_("config", "check", self.write(GOOD)).output)
        path = self.path + ".json"
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.run_("config", "example", "--of", "sender").output)
        found = self.run_("config", "check", path)
        self.assertEqual((found.exit_code, "sender" in found.output), (0, True), found.output)

    def test_help_names_every_command_without_importing_them(self) -> None:
        ended = subprocess.run(
            [sys.executable, "-X", "importtime", "-m", "cedarwick", "--help"], capture_output=True, text=True
        )
        for name in ("run", "sim", "load", "lab", "config"):
            self.assertIn(f"\n  {name} ", ended.stdout)
        self.assertNotIn("cedarwick.lab", ended.stderr)

    def test_a_sender_imports_nothing_of_the_command_line_or_the_laboratory(self) -> None:
        code = (
            "import sys, cedarwick.__main__, cedarwick.program\n"
            "print(sorted({name.split('.')[0] for name in sys.modules} & {'click', 'rich', 'numpy', 'msgspec', "
            "'matplotlib', 'psutil', 'tomllib', 'jinja2'}), [n for n in sys.modules if n.startswith("
            "('cedarwick.lab', 'cedarwick.cli', 'cedarwick.config'))])"
        )
        said = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True).stdout
        self.assertEqual(said, "[] []\n")


class InServiceTest(WrittenFilesTestCase):
    """The operator file of a running sender."""

    def begin(self, text: str) -> Program:
        program = Program([Receiver(lambda _: reply(200))])
        self.addCleanup(program.close)
        program.start(CEDARWICK_OPERATOR=self.write(text))
        return program

    def log(self, program: Program) -> list[str]:
        return program.terminate()[1].splitlines()

    def test_a_bad_one_at_the_start_is_one_line_and_status_2(self) -> None:
        program = Program([Receiver(lambda _: reply(200))])
        self.addCleanup(program.close)
        told = {
            "RELAY_CONFIG": program.path("config.json"),
            "RELAY_STATE": program.path("state"),
            "CEDARWICK_OPERATOR": self.write("[log]\nlevel = 1\n"),
        }
        ended = subprocess.run(
            [sys.executable, "-m", "cedarwick"], env={**os.environ, **told}, capture_output=True, text=True
        )
        self.assertEqual((ended.returncode, ended.stderr.count("\n")), (2, 1))
        self.assertIn("log.level", ended.stderr)

    def test_json_lines_and_counters_now_and_then(self) -> None:
        program = self.begin('[log]\nformat = "json"\n[counters]\nevery_s = 0.5\n')
        time.sleep(2.2)
        lines = [msgspec.json.decode(line) for line in self.log(program)]
        said = [line["record"]["message"] for line in lines]
        self.assertGreaterEqual(sum(text.startswith("counters ") for text in said), 2)

    def test_sighup_takes_a_good_one_over_and_leaves_the_old_for_a_bad_one(self) -> None:
        program = self.begin('[log]\nlevel = "ERROR"\n')
        self.write("[log]\nlevel = 7\n")
        program.signal(signal.SIGHUP)
        time.sleep(0.3)
        self.write('[log]\nlevel = "INFO"\n')
        program.signal(signal.SIGHUP)
        time.sleep(0.3)
        lines = self.log(program)
        self.assertEqual(sum("the configuration stays as it was" in line for line in lines), 1)
        self.assertEqual(sum("configuration read again" in line for line in lines), 1)
        self.assertFalse(any("listens on" in line for line in lines))


class SettingTypesTest(unittest.TestCase):
    def test_a_table_that_is_no_toml_table(self) -> None:
        class Whole(msgspec.Struct, forbid_unknown_fields=True):
            at: list[int]

        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, "x.toml")
            with open(path, "w", encoding="utf-8") as file:
                file.write('at = [1, "two"]\n')
            with self.assertRaisesRegex(ConfigFileError, r"x\.toml: at\[1\]: Expected `int`"):
                load_toml(path, Whole)


if __name__ == "__main__":
    unittest.main()
