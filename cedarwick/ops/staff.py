"""What the management address answers: each call on what the parts of the sender already hold."""

from collections.abc import Callable
from typing import Protocol

from cedarwick.ops.calls import Call


class Door(Protocol):
    """The clients' intake as far as a drain concerns it."""

    paused: bool

    def pause(self) -> None: ...

    def resume(self) -> None: ...


class Staff:
    """Answers the operators' calls; STATUS reads a flag and never waits on the desk."""

    def __init__(self, ready: Callable[[], bool], door: Door) -> None:
        self.ready = ready
        self.door = door
        self.taking = False  # whether this process takes clients, or will once the folder is handed over

    def answer(self, call: Call) -> str:
        if call.name == "STATUS":
            return "YES taking clients\n" if self.taking and self.ready() else "NO not ready yet\n"
        if call.name == "PAUSE":
            if self.door.paused:
                return "YES already paused\n"
            self.door.pause()
            return "YES paused\n"
        if call.name == "RESUME":
            if not self.door.paused:
                return "YES not paused\n"
            self.door.resume()
            return "YES resumed\n"
        return f"NO {call.name} is not served by this sender\n"
