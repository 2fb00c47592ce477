"""The folder's tools, and the folder of a running program."""

import json
import os
import random
import shutil
import subprocess
import sys
import tempfile
import time
import unittest
from typing import Any

from click.testing import CliRunner

from cedarwick.cli import command
from cedarwick.store import tools
from cedarwick.store.files import Folder
from cedarwick.store.journal import Store
from tests.build import Program, Receiver, free_port, reply, submit, until
from tests.store.test_store import History, store


class ToolsTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = os.path.join(folder.name, "state")
        os.mkdir(self.path)
        self.made = store(Folder(self.path), limit=200_000, segment_bytes=2000)
        self.addCleanup(self.made.close)
        self.history = History(self.made, random.Random(5))
        for _ in range(600):
            self.history.step()

    def run_(self, *words: str) -> Any:
        return CliRunner().invoke(command, ["store", *words])

    def test_verify_finds_nothing_wrong_with_a_good_folder_and_names_what_is_wrong_with_a_bad_one(self) -> None:
        good = self.run_("verify", self.path, "--json")
        summary = json.loads(good.output)
        self.assertEqual((good.exit_code, summary["messages"], summary["findings"]), (0, len(self.made.messages), []))
        name = sorted(each for each in os.listdir(self.path) if each.endswith(".seg"))[0]
        with open(os.path.join(self.path, name), "r+b") as file:
            file.seek(150)
            file.write(b"\0\0\0")
        bad = self.run_("verify", self.path)
        self.assertEqual((bad.exit_code, f"{name}: bytes" in bad.output), (3, True))

    def test_dump_tells_every_message(self) -> None:
        rows = [json.loads(line) for line in self.run_("dump", self.path).output.splitlines()]
        self.assertEqual([row["number"] for row in rows], sorted(self.made.messages))
        self.assertEqual([row["shots"] for row in rows], [self.made.messages[row["number"]].attempts for row in rows])

    def test_compact_needs_the_folder_for_itself_and_leaves_what_lives(self) -> None:
        held = self.run_("compact", self.path)
        self.assertEqual((held.exit_code, "in use by another process" in held.stderr), (2, True))
        self.made.close()
        self.assertEqual(self.run_("compact", self.path).exit_code, 0)
        again = store(Folder(self.path))
        self.addCleanup(again.close)
        self.history.compare(self, again)

    def test_a_backup_is_of_one_moment_while_the_folder_is_written_and_compacted(self) -> None:
        for turn in range(25):
            for _ in range(40):
                self.history.step()
            copy = f"{self.path}-{turn}"
            tools.backup(self.path, copy)
            again = Store(Folder(copy), 200_000, now=lambda: 1, segment_bytes=2000)
            again.load()
            self.history.compare(self, again)
            again.close()
            shutil.rmtree(copy)

    def test_a_backup_beside_a_writing_process(self) -> None:
        code = (
            "import sys, random; from tests.store.test_store import *\n"
            "made = store(Folder(sys.argv[1]), limit=60_000, segment_bytes=2000); print('ready', flush=True)\n"
            "history = History(made, random.Random(9))\n"
            "while True: history.step()"
        )
        folder = self.path + "-live"
        os.mkdir(folder)
        with subprocess.Popen([sys.executable, "-c", code, folder], stdout=subprocess.PIPE) as process:
            try:
                assert process.stdout is not None
                process.stdout.readline()
                done = 0
                for turn in range(20):
                    time.sleep(0.05)
                    try:
                        summary = tools.backup(folder, f"{self.path}-b{turn}")
                    except OSError:
                        continue  # it changed too fast this time, and said so
                    done += 1
                    self.assertEqual((summary.findings, summary.doubtful), ([], 0))
                self.assertGreater(done, 0)
            finally:
                process.kill()

    def test_a_backup_never_writes_over_anything(self) -> None:
        self.assertEqual(self.run_("backup", self.path, self.path).exit_code, 2)


class RunningProgramTest(unittest.TestCase):
    def begin(self, operator: str = "") -> Program:
        program = Program([Receiver(lambda _: reply(503))])
        self.addCleanup(program.close)
        if operator:
            with open(program.path("operator.toml"), "w", encoding="utf-8") as file:
                file.write(operator)
            program.start(CEDARWICK_OPERATOR=program.path("operator.toml"))
        else:
            program.start()
        return program

    def hand_in(self, program: Program, count: int, size: int) -> int:
        taken = 0
        with program.connect() as sock:
            for number in range(count):
                sock.sendall(submit(f"e{number}", d=15000, body=b"b" * size))
                taken += sock.recv(100) == b"+OK\r\n"
        return taken

    def test_a_second_process_on_the_folder_is_one_line_and_status_2(self) -> None:
        program = self.begin()
        told = {
            "RELAY_CONFIG": program.path("config.json"),
            "RELAY_STATE": program.path("state"),
            "RELAY_LISTEN": f"127.0.0.1:{free_port()}",
        }
        ended = subprocess.run(
            [sys.executable, "-m", "cedarwick"], env={**os.environ, **told}, capture_output=True, text=True
        )
        self.assertEqual((ended.returncode, ended.stderr.count("\n")), (2, 1), ended.stderr)
        self.assertIn("in use by another process", ended.stderr)

    def test_bodies_on_disk_and_a_durable_folder_deliver_what_was_taken(self) -> None:
        told = '[store]\nbodies_mb = 0.01\ndurability = "group"\nsegment_kb = 16\n'
        program = self.begin(told)
        self.assertEqual(self.hand_in(program, 20, 4000), 20)
        program.receivers[0].answer = reply(200)
        until(lambda: len({head for _, head, body in program.receivers[0].calls if body == b"b" * 4000}) >= 20, 14)
        program.kill()
        summary = tools.verify(program.path("state"))
        self.assertEqual(summary.findings, [])

    def test_a_folder_that_is_full_of_large_bodies_uses_most_of_its_limit(self) -> None:
        program = self.begin()
        taken = self.hand_in(program, 90, 60_000)
        used = sum(os.path.getsize(program.path("state/" + name)) for name in os.listdir(program.path("state")))
        self.assertGreater(taken * 60_000, 0.8 * (3 << 20))
        self.assertLessEqual(used, 3 << 20)


if __name__ == "__main__":
    unittest.main()
