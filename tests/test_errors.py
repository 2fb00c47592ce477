"""What operators can meet: every type has its code and remedy, the page lists all, and each place shows them."""

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

ROW = re.compile(r"\| CW\d{3} \|.*\|")
OUTSIDE = re.compile(r"\| `([\w.]+)` \|")


class ErrorsPageTest(unittest.TestCase):
    maxDiff = None

    def setUp(self) -> None:
        self.found, self.left_out = exception_types()
        self.troubles = [each for each in self.found if issubclass(each, CedarwickError)]
        with open("docs/errors.md", encoding="utf-8") as file:
            self.page = file.read()

    def test_every_type_has_a_code_of_its_own_and_a_remedy_of_one_line(self) -> None:
        codes = [each.__dict__.get("code", "") for each in self.troubles]
        self.assertEqual(sorted({code for code in codes if codes.count(code) > 1}), [])
        for each in self.troubles:
            with self.subTest(type=qualified_name(each)):
                self.assertRegex(each.__dict__.get("code", ""), r"\ACW[1-9]\d\d\Z")
                self.assertRegex(each.__dict__.get("remedy", ""), r"\A[^\n|]*[^\n|\].]\Z")
                self.assertEqual(each("what and where").line, f"what and where [{each.code}: {each.remedy}]")

    def test_the_page_has_a_row_for_each_type_and_no_other(self) -> None:
        listed = ROW.findall(self.page)
        made = sorted(table_row(each) for each in self.troubles)
        if self.left_out:  # what their types are called cannot be known here
            listed = [each for each in listed if each in made]
        self.assertEqual(listed, made, "`cedarwick config reference --of errors` prints the rows anew")

    def test_the_page_names_every_type_that_stays_outside(self) -> None:
        outside = sorted(qualified_name(each) for each in self.found if not issubclass(each, CedarwickError))
        self.assertEqual(OUTSIDE.findall(self.page.partition("## No operator meets these")[2]), outside)


class ShownErrorsTest(unittest.TestCase):
    def program(self) -> Program:
        made = Program([Receiver(reply(200))])
        self.addCleanup(made.close)
        return made

    def test_exits_end_with_code_and_remedy_on_one_line(self) -> None:
        program, bad = self.program(), os.devnull
        taken = f"127.0.0.1:{program.receivers[0].port}"
        for code, told in (
            ("CW101", {"RELAY_CONFIG": bad}),
            ("CW102", {"CEDARWICK_OPERATOR": "/nowhere.toml"}),
            ("CW103", {"RELAY_LISTEN": taken}),
            ("CW104", {"RELAY_SOCKET_FD": "999"}),
        ):
            with self.subTest(code=code):
                process = program.spawn((), **told)
                log = process.communicate(timeout=20)[1]
                self.assertEqual(process.returncode, 2)
                self.assertRegex(log, rf"\Acedarwick: .+ \[{code}: [^\]\n]+\]\n\Z")
        ended = subprocess.run(
            [sys.executable, "-m", "cedarwick", "config", "check", "/nowhere.toml"], capture_output=True, text=True
        )
        self.assertEqual((ended.returncode, ended.stderr.count("\n")), (2, 1))
        self.assertIn(" [CW102: ", ended.stderr)

    def test_a_refused_management_call_is_one_line_whatever_it_holds(self) -> None:
        with self.assertRaises(InvalidCallError) as caught:
            parse_call(b"NONSENSE")
        self.assertEqual(refusal(caught.exception), f"NO unknown call 'NONSENSE' [CW401: {InvalidCallError.remedy}]\n")
        self.assertEqual(refusal(InvalidCallError("a\nb\r\n  c")), f"NO a b c [CW401: {InvalidCallError.remedy}]\n")
        program, manage = self.program(), free_port()
        program.start(RELAY_MANAGEMENT=f"127.0.0.1:{manage}")
        for line, code in ((b"NONSENSE\n", b"CW401"), (b"SUSPEND s-9\n", b"CW402"), (b"RESTORE s-0\n", b"CW403")):
            self.assertRegex(management_call(manage, line), rb"\ANO [^\n]+ \[" + code + rb": [^\n]+\]\n\Z")

    def test_a_log_line_shows_the_code_and_braces_in_a_text_are_no_fields(self) -> None:
        lines: list[str] = []
        sink = logger.add(lines.append, format="{message}")
        self.addCleanup(logger.remove, sink)
        Counters().warning("a kind", InvalidCallError("{0} {x}"))
        logger.error(InvalidCallError("{0} {x}").line)
        self.assertEqual([f"{{0}} {{x}} [CW401: {InvalidCallError.remedy}]" in line for line in lines], [True, True])


if __name__ == "__main__":
    unittest.main()
