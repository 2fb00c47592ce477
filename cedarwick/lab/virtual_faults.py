"""Carries out the faults that `schedule.py` draws for a virtual day: on its network, its senders and their folders."""

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
from cedarwick.lab.virtual_network import Network
from cedarwick.lab.virtual_senders import Sender
from cedarwick.lab.virtual_state import LOOK, DayState, Pair, usual_disk

FULL = 10_000  # bytes of a folder whose disk is full


class FaultRunner:
    """Begins and ends each fault at its time, and writes it to the history."""

    def __init__(self, day: DayState, network: Network, senders: Sequence[Sender]) -> None:
        self.day = day
        self.network = network
        self.senders = senders

    def carry_out(self, drawn: DrawnFault, begun: int) -> None:
        """One of them, to its end; `begun`: when the load began, microseconds of virtual time."""
        self.day.sleep_until(begun + drawn.begin)
        logger.info("{}", drawn.format())
        end = begun + drawn.end
        if drawn.kind in LINK_KINDS and drawn.fault is not None:
            with self._spoilt(drawn, drawn.fault, drawn.pairs):
                self.day.sleep_until(end)
        elif drawn.kind == "split":
            fault = Fault(kind="silent" if drawn.draw & 1 else "cut")
            everybody = range(self.day.fleet_size)
            parted = [
                (one, other) for one in everybody for other in everybody if (one in drawn.on) != (other in drawn.on)
            ]
            with self._spoilt(drawn, fault, parted):
                self.day.sleep_until(end)
        else:
            self._at_sender(drawn, self.senders[drawn.on[0]], end)

    @contextmanager
    def _spoilt(self, drawn: DrawnFault, fault: Fault, pairs: Sequence[Pair]) -> Iterator[None]:
        """Apply a fault to some links while it lasts."""
        began = self.day.now()
        faults = [(pair, msgspec.structs.replace(fault)) for pair in pairs]
        self.network.faults += faults
        yield
        self.network.faults = [each for each in self.network.faults if all(each is not other for other in faults)]
        self.day.history.add(Gone(drawn.number, drawn.kind, began, self.day.now(), drawn.names(), 0.0))

    def _at_sender(self, drawn: DrawnFault, sender: Sender, end: int) -> None:
        if drawn.kind == "disk-full":
            sender.set_disk(FULL)
            self.day.sleep_until(end)
            sender.set_disk(usual_disk())
        elif drawn.kind == "stop":
            if sender.running:
                owner = sender.owner
                sender.stop()
                self.day.sleep_until(end)
                if sender.owner is owner and sender.running:
                    sender.go_on()
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
            corrupt(sender.folder, drawn.draw)
        if drawn.kind in ("folder-lost", "folder-spoilt"):
            self.day.history.add(Gone(drawn.number, drawn.kind, self.day.now(), self.day.now(), drawn.names(), 0.0))
        self.day.sleep_until(end)
        while sender.running:
            self.day.kernel.sleep(LOOK)
        sender.start()
        while sender.running and sender.node is None:
            self.day.kernel.sleep(LOOK)


def corrupt(folder: str, draw: int) -> None:
    """Flip some bytes of one of the files, both drawn."""
    held = sorted(os.path.join(at, name) for at, _, names in os.walk(folder) for name in names)
    found = [path for path in held if os.path.getsize(path)]
    if not found:
        return
    chance = random.Random(draw)
    path = chance.choice(found)
    begin = chance.randrange(os.path.getsize(path))
    with open(path, "r+b") as file:
        file.seek(begin)
        spoilt = bytes(byte ^ 0xA5 for byte in file.read(64))
        file.seek(begin)
        file.write(spoilt)
