"""JSON objects from a stream of bytes, with any white space in or between them; used by the endpoint list."""

import json
import re
from collections.abc import Iterator
from typing import Any

SOLID = re.compile(rb"[^ \t\r\n]")
PLAIN = re.compile(rb'["{}]')  # what matters outside a string
QUOTED = re.compile(rb'"|\\(?s:.)?|[\x00-\x1f]')  # and inside one


class JsonObjectReader:
    """Buffers the incomplete object and finds its end, scanning each byte once; `json` parses it."""

    def __init__(self, longest: int) -> None:
        self.longest = longest  # bytes of an object
        self.held = bytearray()
        self.seen = 0  # bytes of it that were looked at
        self.depth = 0  # braces that are open outside strings
        self.quoted = False  # whether a string is open

    def read(self, more: bytes) -> Iterator[dict[str, Any]]:
        """Yield the objects that end in these bytes; raises `ValueError` where the text is no JSON or too long."""
        self.held += more
        while end := self._end():
            text = bytes(self.held[:end])
            del self.held[:end]
            self.seen = 0
            try:
                yield json.loads(text)
            except RecursionError:
                raise ValueError("an object nested too deeply") from None
        if len(self.held) > self.longest:
            raise ValueError("an object without an end")

    def _end(self) -> int:
        """Where the first object ends; 0 where its end has not come."""
        if not self.depth:
            begin = SOLID.search(self.held)
            if begin is None:
                self.held.clear()
                return 0
            del self.held[: begin.start()]
            if not self.held.startswith(b"{"):
                raise ValueError(f"no object begins with {bytes(self.held[:20])!r}")
        while found := (QUOTED if self.quoted else PLAIN).search(self.held, self.seen):
            mark = found[0]
            if mark == b"\\":  # what it stands before has not come
                self.seen = found.start()
                return 0
            self.seen = found.end()
            if mark == b'"':
                self.quoted = not self.quoted
            elif self.quoted and len(mark) == 1:
                # A truncated string would swallow all that follows, and no later update would be read.
                raise ValueError("a line that ends in a string")
            elif not self.quoted:
                self.depth += 1 if mark == b"{" else -1
                if not self.depth:
                    return self.seen
        self.seen = len(self.held)
        return 0
