"""Tests that errors shown to operators have a code and a remedy, on the errors page and in all outputs."""

import os
import re
import subprocess
import sys
import unittest

from loguru import logger

from cedarwick.config.remedies import exception_types, qualified_name, table_row
from cedarwick.errors import CedarwickError
from cedarwick.net.counters import Counters
from cedarwick.ops.commands import InvalidCallError, parse_call
from cedarwick.ops.management_server import refusal
from tests.build import Program, Receiver, free_port, reply
from tests.ops.test_ops import management_call

CODED_ROW = re.compile(r"\| CW\d{3} \|.*\|")
UNCODED_ROW = re.compile(r"\| `([\w.]+)` \|")


class ErrorsPageTest(unittest.TestCase):
    maxDiff = None

    def setUp(self) -> None:
        self.all_types, self.modules_left_out = exception_types()
        self.coded_types = [each for each in self.all_types if issubclass(each, CedarwickError)]
        with open("docs/errors.md", encoding="utf-8") as file:
            self.page = file.read()

    def test_every_error_type_has_a_unique_code_and_a_remedy_of_one_line(self) -> None:
        codes = [each.__dict__.get("code", "") for each in self.coded_types]
        self.assertEqual(sorted({code for code in codes if codes.count(code) > 1}), [])
        for each in self.coded_types:
            with self.subTest(type=qualified_name(each)):
                self.assertRegex(each.__dict__.get("code", ""), r"\ACW[1-9]\d\d\Z")
                self.assertRegex(each.__dict__.get("remedy", ""), r"\A[^\n|]*[^\n|\].]\Z")
                self.assertEqual(each("what and where").line, f"what and where [{each.code}: {each.remedy}]")

    def test_the_page_has_one_row_for_each_error_type(self) -> None:
        listed = CODED_ROW.findall(self.page)
        expected = sorted(table_row(each) for each in self.coded_types)
        if self.modules_left_out:  # the types of modules that cannot be imported here are unknown
            listed = [each for each in listed if each in expected]
        self.assertEqual(listed, expected, "`cedarwick config reference --of errors` prints the current rows")

    def test_the_page_names_every_exception_type_without_a_code(self) -> None:
        uncoded = sorted(qualified_name(each) for each in self.all_types if not issubclass(each, CedarwickError))
        self.assertEqual(UNCODED_ROW.findall(self.page.partition("## No operator meets these")[2]), uncoded)


class ShownErrorsTest(unittest.TestCase):
    def make_program(self) -> Program:
        program = Program([Receiver(reply(200))])
        self.addCleanup(program.close)
        return program

    def test_a_failed_start_prints_one_line_with_code_and_remedy(self) -> None:
        program, empty_file = self.make_program(), os.devnull
        used_address = f"127.0.0.1:{program.receivers[0].port}"
        for code, environment in (
            ("CW101", {"RELAY_CONFIG": empty_file}),
            ("CW102", {"CEDARWICK_OPERATOR": "/nowhere.toml"}),
            ("CW103", {"RELAY_LISTEN": used_address}),
            ("CW104", {"RELAY_SOCKET_FD": "999"}),
        ):
            with self.subTest(code=code):
                process = program.spawn((), **environment)
                log = process.communicate(timeout=20)[1]
                self.assertEqual(process.returncode, 2)
                self.assertRegex(log, rf"\Acedarwick: .+ \[{code}: [^\]\n]+\]\n\Z")
        check = subprocess.run(
            [sys.executable, "-m", "cedarwick", "config", "check", "/nowhere.toml"], capture_output=True, text=True
        )
        self.assertEqual((check.returncode, check.stderr.count("\n")), (2, 1))
        self.assertIn(" [CW102: ", check.stderr)

    def test_the_answer_to_a_refused_management_call_is_one_line(self) -> None:
        with self.assertRaises(InvalidCallError) as caught:
            parse_call(b"NONSENSE")
        self.assertEqual(refusal(caught.exception), f"NO unknown call 'NONSENSE' [CW401: {InvalidCallError.remedy}]\n")
        self.assertEqual(refusal(InvalidCallError("a\nb\r\n  c")), f"NO a b c [CW401: {InvalidCallError.remedy}]\n")
        program, management_port = self.make_program(), free_port()
        program.start(RELAY_MANAGEMENT=f"127.0.0.1:{management_port}")
        for line, code in ((b"NONSENSE\n", b"CW401"), (b"SUSPEND s-9\n", b"CW402"), (b"RESTORE s-0\n", b"CW403")):
            self.assertRegex(management_call(management_port, line), rb"\ANO [^\n]+ \[" + code + rb": [^\n]+\]\n\Z")

    def test_a_log_line_has_the_code_and_braces_in_its_text_are_kept(self) -> None:
        lines: list[str] = []
        sink = logger.add(lines.append, format="{message}")
        self.addCleanup(logger.remove, sink)
        Counters().warning("a kind", InvalidCallError("{0} {x}"))
        logger.error(InvalidCallError("{0} {x}").line)
        self.assertEqual([f"{{0}} {{x}} [CW401: {InvalidCallError.remedy}]" in line for line in lines], [True, True])


if __name__ == "__main__":
    unittest.main()
