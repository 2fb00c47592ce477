"""Tests of the `cedarwick store` operations and of the state folder of a running program."""

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
from tests.build import Program, Receiver, encode_submit, free_port, reply, wait_for_condition
from tests.store.test_store import History, open_store


class ToolsTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = os.path.join(folder.name, "state")
        os.mkdir(self.path)
        self.store = open_store(Folder(self.path), limit=200_000, segment_bytes=2000)
        self.addCleanup(self.store.close)
        self.history = History(self.store, random.Random(5))
        for _ in range(600):
            self.history.step()

    def run_command(self, *arguments: str) -> Any:
        return CliRunner().invoke(command, ["store", *arguments])

    def test_verify_reports_findings_only_for_a_damaged_folder(self) -> None:
        result = self.run_command("verify", self.path, "--json")
        summary = json.loads(result.output)
        self.assertEqual(
            (result.exit_code, summary["messages"], summary["findings"]), (0, len(self.store.messages), [])
        )
        name = sorted(each for each in os.listdir(self.path) if each.endswith(".seg"))[0]
        with open(os.path.join(self.path, name), "r+b") as file:
            file.seek(150)
            file.write(b"\0\0\0")
        damaged = self.run_command("verify", self.path)
        self.assertEqual((damaged.exit_code, f"{name}: bytes" in damaged.output), (3, True))

    def test_dump_prints_every_message(self) -> None:
        rows = [json.loads(line) for line in self.run_command("dump", self.path).output.splitlines()]
        self.assertEqual([row["number"] for row in rows], sorted(self.store.messages))
        self.assertEqual([row["shots"] for row in rows], [self.store.messages[row["number"]].attempts for row in rows])

    def test_compact_requires_the_lock_and_keeps_live_messages(self) -> None:
        result = self.run_command("compact", self.path)
        self.assertEqual((result.exit_code, "in use by another process" in result.stderr), (2, True))
        self.store.close()
        self.assertEqual(self.run_command("compact", self.path).exit_code, 0)
        reopened = open_store(Folder(self.path))
        self.addCleanup(reopened.close)
        self.history.compare(self, reopened)

    def test_backup_is_a_snapshot_while_the_folder_is_written_and_compacted(self) -> None:
        for index in range(25):
            for _ in range(40):
                self.history.step()
            copy = f"{self.path}-{index}"
            tools.backup(self.path, copy)
            reopened = Store(Folder(copy), 200_000, now=lambda: 1, segment_bytes=2000)
            reopened.load()
            self.history.compare(self, reopened)
            reopened.close()
            shutil.rmtree(copy)

    def test_backup_while_another_process_writes(self) -> None:
        code = (
            "import sys, random; from tests.store.test_store import *\n"
            "store = open_store(Folder(sys.argv[1]), limit=60_000, segment_bytes=2000); print('ready', flush=True)\n"
            "history = History(store, random.Random(9))\n"
            "while True: history.step()"
        )
        folder = self.path + "-live"
        os.mkdir(folder)
        with subprocess.Popen([sys.executable, "-c", code, folder], stdout=subprocess.PIPE) as process:
            try:
                assert process.stdout is not None
                process.stdout.readline()
                backups = 0
                for index in range(20):
                    time.sleep(0.05)
                    try:
                        summary = tools.backup(folder, f"{self.path}-b{index}")
                    except OSError:
                        continue  # the folder changed during the copy, which is an allowed error
                    backups += 1
                    self.assertEqual((summary.findings, summary.doubtful), ([], 0))
                self.assertGreater(backups, 0)
            finally:
                process.kill()

    def test_backup_does_not_overwrite_an_existing_folder(self) -> None:
        self.assertEqual(self.run_command("backup", self.path, self.path).exit_code, 2)


class RunningProgramTest(unittest.TestCase):
    def start_program(self, operator: str = "") -> Program:
        program = Program([Receiver(lambda _: reply(503))])
        self.addCleanup(program.close)
        if operator:
            with open(program.path("operator.toml"), "w", encoding="utf-8") as file:
                file.write(operator)
            program.start(CEDARWICK_OPERATOR=program.path("operator.toml"))
        else:
            program.start()
        return program

    def submit_messages(self, program: Program, count: int, size: int) -> int:
        accepted = 0
        with program.connect() as sock:
            for number in range(count):
                sock.sendall(encode_submit(f"e{number}", d=15000, body=b"b" * size))
                accepted += sock.recv(100) == b"+OK\r\n"
        return accepted

    def test_second_process_on_the_folder_exits_with_one_line_and_status_2(self) -> None:
        program = self.start_program()
        settings = {
            "RELAY_CONFIG": program.path("config.json"),
            "RELAY_STATE": program.path("state"),
            "RELAY_LISTEN": f"127.0.0.1:{free_port()}",
        }
        completed_process = subprocess.run(
            [sys.executable, "-m", "cedarwick"], env={**os.environ, **settings}, capture_output=True, text=True
        )
        self.assertEqual(
            (completed_process.returncode, completed_process.stderr.count("\n")), (2, 1), completed_process.stderr
        )
        self.assertIn("in use by another process", completed_process.stderr)

    def test_messages_with_bodies_on_disk_in_a_durable_folder_are_delivered(self) -> None:
        settings = '[store]\nbodies_mb = 0.01\ndurability = "group"\nsegment_kb = 16\n'
        program = self.start_program(settings)
        self.assertEqual(self.submit_messages(program, 20, 4000), 20)
        program.receivers[0].answer = reply(200)
        wait_for_condition(
            lambda: len({head for _, head, body in program.receivers[0].calls if body == b"b" * 4000}) >= 20, 14
        )
        program.kill()
        summary = tools.verify(program.path("state"))
        self.assertEqual(summary.findings, [])

    def test_folder_full_of_large_bodies_uses_most_of_its_limit(self) -> None:
        program = self.start_program()
        accepted = self.submit_messages(program, 90, 60_000)
        used = sum(os.path.getsize(program.path("state/" + name)) for name in os.listdir(program.path("state")))
        self.assertGreater(accepted * 60_000, 0.8 * (3 << 20))
        self.assertLessEqual(used, 3 << 20)


if __name__ == "__main__":
    unittest.main()
