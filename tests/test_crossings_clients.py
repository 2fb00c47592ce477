"""Clients' connections where two events cross: bytes and the end, a cut, a time that runs out, a client that leaves."""

import os
import signal
import tempfile
import unittest

from tests.build import Program, Receiver, reply, until


class Starting(unittest.TestCase):
    def test_a_new_configuration_told_while_the_program_loads_does_not_end_it(self) -> None:
        program = Program([Receiver(reply(200))])
        self.addCleanup(program.close)
        with tempfile.TemporaryDirectory() as folder:
            gate = os.path.join(folder, "gate")
            os.mkfifo(gate)
            lines = (f"import sys\nopen({gate!r}, 'w').close()\nopen({gate!r}).close()\nsys.path.remove({folder!r})\n"
                     "del sys.modules['loguru']\nimport loguru\nsys.modules['loguru'] = loguru\n")
            with open(os.path.join(folder, "loguru.py"), "w", encoding="utf-8") as file:
                file.write(lines)
            for number in (signal.SIGHUP, signal.SIGUSR1):
                program.process = program.spawn(PYTHONPATH=f"{folder}:{os.getcwd()}")
                open(gate, encoding="utf-8").close()  # the interpreter loads its modules now
                program.signal(number)
                held = os.open(gate, os.O_RDWR)
                until(lambda: program._ready() or program.process.poll() is not None)  # type: ignore[union-attr]
                os.close(held)
                self.assertIsNone(program.process.poll())
                program.kill()


if __name__ == "__main__":
    unittest.main()
