"""Injects the faults that `schedule.py` draws for a virtual day into its network, its senders and their folders."""

import os
import random
import shutil
from collections.abc import Iterator, Sequence
from contextlib import contextmanager

import msgspec
from loguru import logger

from cedarwick.lab.history import Gone
from cedarwick.lab.relay import Fault
from cedarwick.lab.schedule import LINK_KINDS, DrawnFault
from cedarwick.lab.virtual_network import SimulatedNetwork
from cedarwick.lab.virtual_senders import Sender
from cedarwick.lab.virtual_state import STATE_POLL_S, DayState, Link, default_disk_bytes

FULL_DISK_BYTES = 10_000  # size limit of a state folder during a disk-full fault


class FaultRunner:
    """Starts and ends each fault on schedule and records it in the history."""

    def __init__(self, day: DayState, network: SimulatedNetwork, senders: Sequence[Sender]) -> None:
        self.day = day
        self.network = network
        self.senders = senders

    def run_fault(self, drawn: DrawnFault, load_begin: int) -> None:
        """Inject one fault and wait for its end; `load_begin` is the virtual start time of the load."""
        self.day.sleep_until(load_begin + drawn.begin)
        logger.info("{}", drawn.format())
        end = load_begin + drawn.end
        if drawn.kind in LINK_KINDS and drawn.fault is not None:
            with self._apply_to_links(drawn, drawn.fault, drawn.pairs):
                self.day.sleep_until(end)
        elif drawn.kind == "split":
            fault = Fault(kind="silent" if drawn.draw & 1 else "cut")
            members = range(self.day.fleet_size)
            separated = [
                (one, other) for one in members for other in members if (one in drawn.on) != (other in drawn.on)
            ]
            with self._apply_to_links(drawn, fault, separated):
                self.day.sleep_until(end)
        else:
            self._run_at_sender(drawn, self.senders[drawn.on[0]], end)

    @contextmanager
    def _apply_to_links(self, drawn: DrawnFault, fault: Fault, links: Sequence[Link]) -> Iterator[None]:
        """Apply a fault to links for the duration of the context, and record it on exit."""
        began = self.day.now()
        faults = [(link, msgspec.structs.replace(fault)) for link in links]
        self.network.faults += faults
        yield
        self.network.faults = [each for each in self.network.faults if all(each is not other for other in faults)]
        self.day.history.add(Gone(drawn.number, drawn.kind, began, self.day.now(), drawn.names(), 0.0))

    def _run_at_sender(self, drawn: DrawnFault, sender: Sender, end: int) -> None:
        if drawn.kind == "disk-full":
            sender.set_disk_limit(FULL_DISK_BYTES)
            self.day.sleep_until(end)
            sender.set_disk_limit(default_disk_bytes())
        elif drawn.kind == "stop":
            if sender.running:
                process = sender.process
                sender.stop()
                self.day.sleep_until(end)
                if sender.process is process and sender.running:
                    sender.resume()
        else:
            self._restart(drawn, sender, end)

    def _restart(self, drawn: DrawnFault, sender: Sender, end: int) -> None:
        if drawn.kind == "term":
            sender.term()
        else:
            sender.kill()
        if drawn.kind == "folder-lost":
            shutil.rmtree(sender.folder)
            os.makedirs(sender.folder)
        elif drawn.kind == "folder-spoilt":
            corrupt_file(sender.folder, drawn.draw)
        if drawn.kind in ("folder-lost", "folder-spoilt"):
            self.day.history.add(Gone(drawn.number, drawn.kind, self.day.now(), self.day.now(), drawn.names(), 0.0))
        self.day.sleep_until(end)
        while sender.running:
            self.day.kernel.sleep(STATE_POLL_S)
        sender.start()
        while sender.running and sender.node is None:
            self.day.kernel.sleep(STATE_POLL_S)


def corrupt_file(folder: str, seed: int) -> None:
    """Flip up to 64 bytes of a randomly chosen file at a random offset."""
    paths = sorted(os.path.join(directory, name) for directory, _, names in os.walk(folder) for name in names)
    not_empty = [path for path in paths if os.path.getsize(path)]
    if not not_empty:
        return
    rng = random.Random(seed)
    path = rng.choice(not_empty)
    begin = rng.randrange(os.path.getsize(path))
    with open(path, "r+b") as file:
        file.seek(begin)
        flipped = bytes(byte ^ 0xA5 for byte in file.read(64))
        file.seek(begin)
        file.write(flipped)
