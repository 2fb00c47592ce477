"""Reads JSON objects from a stream of bytes, with any white space in or between them; used by the endpoint list."""

import json
import re
from collections.abc import Iterator
from typing import Any

NON_SPACE = re.compile(rb"[^ \t\r\n]")
STRUCTURE = re.compile(rb'["{}]')  # bytes that matter outside a string
IN_STRING = re.compile(rb'"|\\(?s:.)?|[\x00-\x1f]')  # bytes that matter inside a string


class JsonObjectReader:
    """Buffers an incomplete object and finds its end, scanning each byte once; `json` parses it."""

    def __init__(self, max_object_bytes: int) -> None:
        self.max_object_bytes = max_object_bytes
        self.pending = bytearray()
        self.scanned = 0  # bytes of `pending` that were scanned
        self.depth = 0  # open braces outside strings
        self.in_string = False  # whether the scan position is inside a string

    def read(self, data: bytes) -> Iterator[dict[str, Any]]:
        """Yield the objects that are complete with these bytes; raises `ValueError` if one is invalid or too long."""
        self.pending += data
        while end := self._find_end():
            text = bytes(self.pending[:end])
            del self.pending[:end]
            self.scanned = 0
            try:
                yield json.loads(text)
            except RecursionError:
                raise ValueError("JSON object is nested too deeply") from None
        if len(self.pending) > self.max_object_bytes:
            raise ValueError("JSON object is too long")

    def _find_end(self) -> int:
        """Return the end offset of the first object; 0 while it is incomplete."""
        if not self.depth:
            first = NON_SPACE.search(self.pending)
            if first is None:
                self.pending.clear()
                return 0
            del self.pending[: first.start()]
            if not self.pending.startswith(b"{"):
                raise ValueError(f"expected a JSON object, got {bytes(self.pending[:20])!r}")
        while match := (IN_STRING if self.in_string else STRUCTURE).search(self.pending, self.scanned):
            token = match[0]
            if token == b"\\":  # the escaped character has not arrived yet
                self.scanned = match.start()
                return 0
            self.scanned = match.end()
            if token == b'"':
                self.in_string = not self.in_string
            elif self.in_string and len(token) == 1:
                # Without this check a truncated string would absorb all later updates.
                raise ValueError("control character in a JSON string")
            elif not self.in_string:
                self.depth += 1 if token == b"{" else -1
                if not self.depth:
                    return self.scanned
        self.scanned = len(self.pending)
        return 0
