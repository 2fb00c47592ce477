"""The base of every error that an operator can meet; it imports no other module of the project.

A new type is made in the module whose work it belongs to (not here), in four steps:

1. `class Sealed(CedarwickError)`, and a second base such as OSError or ValueError only where code already catches that
   (`class Sealed(CedarwickError, OSError)`, CedarwickError first). Its docstring's first line says what has happened.
2. A `code` and a `remedy` of its own, on the class: the code is "CW" and the next free number of its range, never
   given to another type, not even when the type has gone. The remedy is one line in the imperative, with no full
   stop or bracket at its end and no `|`: what to look at or to do, nothing about what has happened.
       1xx start and configuration   2xx folder                3xx list and links      4xx management
       5xx wire of the simulator     6xx laboratory            7xx fleet               8xx filters and subscriptions
       9xx clients' connections
3. Raised with one text, its only argument: what is wrong and where (file and key, address, offset), on one line.
   Where it is shown (log, `NO` answer, exit) `error.line` is written; `str(error)` is the text alone.
4. A row in `docs/errors.md` (`cedarwick config reference --of errors` prints them all, in order);
   `tests/test_errors.py` fails while the row, the code or the remedy is missing.

An exception that no operator can meet (a signal between two functions that is always caught) is a plain Exception,
listed with the reason in the second table of `docs/errors.md`.
"""

from typing import ClassVar, Self


class CedarwickError(Exception):
    """An error that an operator can meet: a text that says what happened and where, a stable code, and what to do."""

    code: ClassVar[str]
    remedy: ClassVar[str]

    @property
    def line(self) -> str:
        """Text, code and remedy on one line, for logs and answers."""
        return f"{' '.join(str(self).split())} [{self.code}: {self.remedy}]"

    def within(self, doing: str) -> Self:
        """A new error of the same type, with `doing` (what was being done) before its text."""
        return type(self)(f"{doing}: {self}")


def describe(found: object) -> object:
    """The value to put into a log line: the `line` of a `CedarwickError`, anything else unchanged."""
    return found.line if isinstance(found, CedarwickError) else found
