"""What operators set is written for all processes of a sender, whatever the folder does in between."""

import errno
import os
import tempfile
import unittest
from types import SimpleNamespace
from typing import Any
from unittest import mock

import gevent

from cedarwick.ops import saved_state
from cedarwick.ops.commands import Call
from cedarwick.ops.management import ManagementCommands
from cedarwick.ops.operator_state import (
    LOCK_TIMEOUT_S,
    ChangeNotSavedError,
    OperatorState,
    OperatorStateBusyError,
)

NO_SPACE = OSError(errno.ENOSPC, "no space")


class OperatorStateTest(unittest.TestCase):
    def setUp(self) -> None:
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        self.folder = scratch.name

    def commands(self, holds_folder: bool = True) -> ManagementCommands:
        """The calls of one process on the folder, with fakes for its listener and its endpoint list."""
        listener: Any = SimpleNamespace(paused=False)
        listener.pause = lambda: setattr(listener, "paused", True)
        listener.resume = lambda: setattr(listener, "paused", False)
        endpoints: Any = SimpleNamespace(suspended=set(), knows=lambda uid: True)
        endpoints.set_suspended = lambda uids: setattr(endpoints, "suspended", uids)
        commands = ManagementCommands(lambda: True, listener, endpoints, self.folder, lambda: "")
        commands.holds_folder = holds_folder
        return commands

    def test_two_processes_do_not_undo_each_other(self) -> None:
        one, other = self.commands(), self.commands(holds_folder=False)
        one.answer(Call("SUSPEND", "a"))
        other.answer(Call("SUSPEND", "b"))
        one.answer(Call("SUSPEND", "c"))
        other.answer(Call("PAUSE", ""))
        one.answer(Call("RESTORE", "b"))
        other.apply_saved_state()
        for commands in (one, other):
            self.assertEqual(commands.endpoints.suspended, {"a", "c"})
            self.assertTrue(commands.listener.paused)

    def test_a_change_of_another_process_is_reported_to_the_fleet(self) -> None:
        one, other = self.commands(), self.commands(holds_folder=False)
        reported: list[tuple[str, int]] = []
        one.on_suspension_change = lambda uid, calls: reported.append((uid, calls))
        other.answer(Call("SUSPEND", "a"))
        one.answer(Call("PAUSE", ""))
        self.assertEqual(reported, [("a", 1)])

    def test_a_lock_that_another_process_does_not_release_refuses_the_call(self) -> None:
        commands = self.commands()
        with (
            OperatorState(self.folder).locked(),
            mock.patch("cedarwick.ops.operator_state.LOCK_TIMEOUT_S", LOCK_TIMEOUT_S / 10),
            self.assertRaises(OperatorStateBusyError),
        ):
            commands.answer(Call("SUSPEND", "a"))
        self.assertEqual(commands.endpoints.suspended, set())

    def test_a_greenlet_that_gives_up_waiting_leaves_the_lock_to_its_holder(self) -> None:
        """The holder, which may wait for a disk, could else not lock again, and its change would be refused."""
        state = OperatorState(self.folder)

        def give_up() -> None:
            with self.assertRaises(OperatorStateBusyError), state.locked():
                self.fail("locked twice")

        with mock.patch("cedarwick.ops.operator_state.LOCK_TIMEOUT_S", LOCK_TIMEOUT_S / 10), state.locked():
            gevent.spawn(give_up).get()
            with state.locked():
                pass

    def test_a_change_that_only_the_sending_process_could_apply_is_refused_if_it_is_not_written(self) -> None:
        commands = self.commands(holds_folder=False)
        commands.answer(Call("SUSPEND", "a"))
        for name, argument in (("SUSPEND", "b"), ("RESTORE", "a"), ("PAUSE", "")):
            with (
                self.subTest(name),
                mock.patch("cedarwick.ops.saved_state._write", side_effect=NO_SPACE),
                self.assertRaises(ChangeNotSavedError),
            ):
                commands.answer(Call(name, argument))
            self.assertEqual(commands.endpoints.suspended, {"a"})
            self.assertFalse(commands.listener.paused)

    def test_a_change_of_the_sending_process_is_in_force_and_written_once_the_disk_allows_it(self) -> None:
        commands = self.commands()
        with mock.patch("cedarwick.ops.saved_state._write", side_effect=NO_SPACE):
            self.assertEqual(commands.answer(Call("SUSPEND", "a")), "YES a suspended, 1 calls out\n")
            self.assertEqual(commands.answer(Call("SUSPEND", "b")), "YES b suspended, 1 calls out\n")
        self.assertEqual(commands.endpoints.suspended, {"a", "b"})
        self.assertTrue(commands.save_failed.is_set())
        commands.release_folder()  # the last time that this process writes
        self.assertEqual(saved_state.read_suspensions(self.folder), {"a": 1, "b": 1})

    def test_a_start_ends_a_pause_and_writes_no_suspensions(self) -> None:
        """A file without suspensions would read, to the members of a fleet, as a RESTORE of each receiver."""
        earlier, commands = self.commands(), self.commands()
        commands.apply_saved_state()
        commands.forget_pause()
        self.assertEqual([name for name in os.listdir(self.folder) if name.endswith(".json")], [])
        earlier.answer(Call("PAUSE", ""))
        commands.apply_saved_state()
        self.assertTrue(commands.listener.paused)
        commands.forget_pause()
        self.assertFalse(commands.listener.paused)
        self.assertEqual([name for name in os.listdir(self.folder) if name.endswith(".json")], [])

    def test_a_file_that_cannot_be_read_restores_no_receiver(self) -> None:
        commands = self.commands()
        commands.answer(Call("SUSPEND", "a"))
        with mock.patch("builtins.open", side_effect=OSError(errno.EIO, "input/output error")):
            commands.apply_saved_state()
        self.assertEqual(commands.endpoints.suspended, {"a"})
        with open(os.path.join(self.folder, saved_state.SUSPENSIONS_FILE), "wb") as file:
            file.write(b"{")
        commands.answer(Call("SUSPEND", "b"))
        self.assertEqual(saved_state.read_suspensions(self.folder), {"a": 1, "b": 1})


if __name__ == "__main__":
    unittest.main()
