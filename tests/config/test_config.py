"""Tests of configuration files: errors that name file, key and expected value, and texts generated from the types."""

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

MINIMAL_SCENARIO = """
name = "x"
[[band]]
name = "b"
[[partner]]
name = "p"
"""


class ConfigFileTestCase(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = os.path.join(folder.name, "f.toml")

    def write(self, text: str | bytes) -> str:
        with open(self.path, "wb") as file:
            file.write(text if isinstance(text, bytes) else text.encode())
        return self.path

    def run_command(self, *arguments: str) -> Any:
        return CliRunner().invoke(command, list(arguments))


class OperatorFileTest(ConfigFileTestCase):
    def assert_invalid(self, text: str | bytes, *parts: str) -> None:
        with self.assertRaises(ConfigFileError) as caught:
            load(self.write(text))
        message = str(caught.exception)
        self.assertNotIn("\n", message)
        for part in (self.path, *parts):
            self.assertIn(part, message)

    def test_errors_name_the_file_the_key_and_the_expected_value(self) -> None:
        self.assert_invalid("[log]\nlevel = 3\n", "log.level", "Expected `str`")
        self.assert_invalid('[log]\nlevel = "LOUD"\n', "log.level", "LOUD")
        self.assert_invalid("[log]\nquiet_s = -1\n", "log.quiet_s", ">= 0")
        self.assert_invalid("[log]\nquiet = 1\n", "log", "quiet")
        self.assert_invalid("[lag]\n", "lag")
        self.assert_invalid("log = 1\n", "log", "Expected `object`")
        self.assert_invalid("[log\n", "invalid TOML")
        self.assert_invalid(b"\xff\xfe", "invalid TOML")
        self.assert_invalid("# " + "x" * (1 << 20), "larger than")

    def test_missing_file(self) -> None:
        with self.assertRaisesRegex(ConfigFileError, "No such file"):
            load(self.path)

    def test_an_empty_file_and_the_example_equal_the_defaults(self) -> None:
        self.assertEqual(load(self.write("")), Operator())
        self.assertEqual(load(self.write(texts.example(Operator))), Operator())

    def test_every_key_of_the_example_is_valid(self) -> None:
        lines = [line.removeprefix("# ") if " = " in line else line for line in texts.example(Operator).split("\n")]
        self.assertEqual(load(self.write("\n".join(lines))), Operator())

    def test_the_fleet_example_is_valid_and_show_prints_an_equal_file(self) -> None:
        self.write(re.sub("^## ", "", texts.example(Operator), flags=re.M))
        operator = load(self.path)
        assert operator.fleet is not None
        self.assertEqual(operator, Operator(fleet=Fleet(group="halls", member=operator.fleet.member)))
        self.assertEqual([member.hall for member in operator.fleet.member], ["north", "south"])
        printed = self.run_command("config", "show", self.path).output
        self.assertIn('address = "10.0.1.1:6400"  # file', printed)
        self.assertEqual(load(self.write(printed)), operator)

    def test_errors_of_a_fleet_name_the_key(self) -> None:
        def fleet_file(*rows: tuple[str, str], more: str = "") -> str:
            return f'[fleet]\ngroup = "g"\n{more}\n' + "".join(
                f'[[fleet.member]]\nname = "{name}"\naddress = "{at}"\nhall = "h"\n' for name, at in rows
            )

        a, b = ("a", "h:1"), ("b", "h:2")
        load(self.write(fleet_file(a, b)))
        self.assert_invalid(fleet_file(a), "fleet.member", "length >= 2")
        self.assert_invalid(fleet_file(*((f"n{n}", f"h:{n + 1}") for n in range(65))), "fleet.member", "length <= 64")
        self.assert_invalid(fleet_file(a, b).replace('group = "g"', ""), "fleet", "`group`")
        self.assert_invalid(fleet_file(a, b).replace('hall = "h"', ""), "fleet.member[0]", "`hall`")
        self.assert_invalid(fleet_file(a, ("b c", "h:2")), "fleet.member[1].name", "matching regex")
        self.assert_invalid(fleet_file(a, ("a", "h:2")), "fleet.member[1].name", "twice")
        self.assert_invalid(fleet_file(a, ("b", "h:1")), "fleet.member[1].address", "twice")
        for at in ("h", "h:", ":1", "h:0", "h:65536", "h:-1"):
            self.assert_invalid(fleet_file(a, ("b", at)), "fleet.member[1].address", "host:port")
        self.assert_invalid(fleet_file(("n156", "h:1"), ("n1054", "h:2")), "fleet.member[1].name", "slot of 'n156'")
        self.assert_invalid(fleet_file(a, b, more="copies = 2"), "fleet.copies", "3 members")
        self.assert_invalid(fleet_file(a, b, more='ack = "copy"\ncopies = 0'), "fleet.copies", "at least 1")
        self.assert_invalid(fleet_file(a, b, more='alone = "lost"'), "fleet.alone", "lost")
        self.assert_invalid(fleet_file(a, b, more="ack_within_ms = 401"), "fleet.ack_within_ms", "<= 400")
        self.assert_invalid(fleet_file(a, b, more="follow_s = 59"), "fleet.follow_s", ">= 60")
        self.assert_invalid(fleet_file(a, b, more="follow_s = 43201"), "fleet.follow_s", "<= 43200")

    def test_show_prints_the_origin_of_each_value(self) -> None:
        printed = self.run_command("config", "show", self.write('[log]\nlevel = "DEBUG"\n')).output
        self.assertIn('level = "DEBUG"  # file', printed)
        self.assertIn('format = "text"  # default', printed)

    def test_the_pages_in_docs_contain_the_generated_reference(self) -> None:
        with open("docs/configuration.md", encoding="utf-8") as file:
            page = file.read()
        self.assertIn(texts.reference(Operator), page)
        with open("docs/scenarios.md", encoding="utf-8") as file:
            page = file.read()
        self.assertIn(texts.reference(Scenario), page)

    def test_the_schema_covers_all_tables(self) -> None:
        schema = msgspec.json.decode(self.run_command("config", "schema").output)
        self.assertEqual(sorted(schema["$defs"]["Operator"]["properties"]), ["counters", "fleet", "log", "store"])


class ScenariosTest(ConfigFileTestCase):
    def assert_invalid(self, toml: str, *parts: str) -> None:
        with self.assertRaises(ConfigFileError) as caught:
            scenarios.load_scenario(self.write(MINIMAL_SCENARIO + toml))
        for part in (self.path, *parts):
            self.assertIn(part, str(caught.exception))

    def test_errors_name_the_path_of_the_key(self) -> None:
        self.assert_invalid("rate = 1\n", "partner[0]", "rate")
        self.assert_invalid('[[trouble]]\nkind = "flood"\n', "trouble[0].kind", "flood")
        self.assert_invalid("[load]\nrate = 0\n", "load.rate")
        self.assert_invalid("service = { mean_ms = 0 }\n", "partner[0].service.mean_ms")
        self.assert_invalid('[[band]]\nname = "b"\n', "band[1].name", "twice")
        self.assert_invalid('[[band]]\nname = "c"\nexpected_ms = 9000\n', "band[1].expected_ms")
        self.assert_invalid('[[band]]\nname = "c"\nin_turn = true\n', "band[1].keys")
        self.assert_invalid('[[band]]\nname = "c"\nbytes = [5, 70000]\n', "band[1].bytes")
        self.assert_invalid('[[trouble]]\nkind = "hang"\nbegin_s = [9, 3]\n', "trouble[0].begin_s")
        self.assert_invalid('[drawn]\ncount = 2\nkinds = ["hang"]\n', "drawn.count")

    def test_an_unknown_scenario_lists_the_shipped_ones(self) -> None:
        with self.assertRaisesRegex(ConfigFileError, "calm"):
            scenarios.load_scenario("no-such-day")

    def test_shipped_scenarios_and_their_sender_settings_are_valid(self) -> None:
        self.assertGreaterEqual(len(scenarios.shipped_scenarios()), 12)
        for name in scenarios.shipped_scenarios():
            scenario = scenarios.load_scenario(name)
            self.assertEqual((scenario.name, bool(scenario.about)), (name, True))
            sender = Sender(flatten_settings(sender_settings(scenario, 2)), 1, 0)
            self.assertEqual(
                [priority_class.at_most_once for priority_class in sender.priority_classes],
                [priority_class.repeat == "at-most-once" for priority_class in scenario.priority_classes],
            )


class CommandLineTest(ConfigFileTestCase):
    def test_invalid_arguments_and_files_exit_with_2_and_one_line(self) -> None:
        for arguments in (
            ["config", "check", self.write("[log]\nlevel = 3")],
            ["config", "check", "/nowhere.toml"],
            ["config", "check", "/nowhere.json"],
            ["lab", "run", "no-such-day"],
            ["load", "nowhere"],
            ["lab", "report", "/nowhere"],
            ["load", "127.0.0.1:1"],
        ):
            with self.subTest(arguments=arguments):
                result = self.run_command(*arguments)
                self.assertEqual((result.exit_code, result.stderr.count("\n")), (2, 1), result.stderr)
        self.assertEqual(self.run_command("no-such").exit_code, 2)

    def test_check_recognises_the_three_kinds_of_files(self) -> None:
        self.assertIn("operator file", self.run_command("config", "check", self.write("[log]\n")).output)
        self.assertIn("scenario", self.run_command("config", "check", self.write(MINIMAL_SCENARIO)).output)
        path = self.path + ".json"
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.run_command("config", "example", "--of", "sender").output)
        result = self.run_command("config", "check", path)
        self.assertEqual((result.exit_code, "sender" in result.output), (0, True), result.output)

    def test_help_lists_every_command_without_importing_it(self) -> None:
        completed = subprocess.run(
            [sys.executable, "-X", "importtime", "-m", "cedarwick", "--help"], capture_output=True, text=True
        )
        for name in ("run", "sim", "load", "lab", "config"):
            self.assertIn(f"\n  {name} ", completed.stdout)
        self.assertNotIn("cedarwick.lab", completed.stderr)

    def test_a_sender_imports_neither_the_command_line_nor_the_lab(self) -> None:
        code = (
            "import sys, cedarwick.__main__, cedarwick.program\n"
            "print(sorted({name.split('.')[0] for name in sys.modules} & {'click', 'rich', 'numpy', 'msgspec', "
            "'matplotlib', 'psutil', 'tomllib', 'jinja2'}), [n for n in sys.modules if n.startswith("
            "('cedarwick.lab', 'cedarwick.cli', 'cedarwick.config'))])"
        )
        output = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True).stdout
        self.assertEqual(output, "[] []\n")


class RunningSenderTest(ConfigFileTestCase):
    """The operator file of a sender process: startup, and reload on SIGHUP."""

    def start_sender(self, text: str) -> Program:
        program = Program([Receiver(lambda _: reply(200))])
        self.addCleanup(program.close)
        program.start(CEDARWICK_OPERATOR=self.write(text))
        return program

    def log(self, program: Program) -> list[str]:
        return program.terminate()[1].splitlines()

    def test_an_invalid_file_at_startup_is_one_line_and_status_2(self) -> None:
        program = Program([Receiver(lambda _: reply(200))])
        self.addCleanup(program.close)
        environment = {
            "RELAY_CONFIG": program.path("config.json"),
            "RELAY_STATE": program.path("state"),
            "CEDARWICK_OPERATOR": self.write("[log]\nlevel = 1\n"),
        }
        completed = subprocess.run(
            [sys.executable, "-m", "cedarwick"], env={**os.environ, **environment}, capture_output=True, text=True
        )
        self.assertEqual((completed.returncode, completed.stderr.count("\n")), (2, 1))
        self.assertIn("log.level", completed.stderr)

    def test_json_log_lines_and_periodic_counters(self) -> None:
        program = self.start_sender('[log]\nformat = "json"\n[counters]\nevery_s = 0.5\n')
        time.sleep(2.2)
        lines = [msgspec.json.decode(line) for line in self.log(program)]
        messages = [line["record"]["message"] for line in lines]
        self.assertGreaterEqual(sum(text.startswith("counters ") for text in messages), 2)

    def test_sighup_applies_a_valid_file_and_keeps_the_old_one_if_invalid(self) -> None:
        program = self.start_sender('[log]\nlevel = "ERROR"\n')
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


class DecodeErrorTest(unittest.TestCase):
    def test_errors_in_a_list_name_the_index(self) -> None:
        class FileType(msgspec.Struct, forbid_unknown_fields=True):
            at: list[int]

        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, "x.toml")
            with open(path, "w", encoding="utf-8") as file:
                file.write('at = [1, "two"]\n')
            with self.assertRaisesRegex(ConfigFileError, r"x\.toml: at\[1\]: Expected `int`"):
                load_toml(path, FileType)


if __name__ == "__main__":
    unittest.main()
