"""Base class of all errors that an operator can meet; this module imports no other module of the project.

A new error type is defined in the module that raises it, in four steps:

1. Derive it from `CedarwickError`. Add a second base such as OSError or ValueError only if code already catches that
   (`class ExampleError(CedarwickError, OSError)`, CedarwickError first). The first line of its docstring says what
   happened.
2. Give the class a `code` and a `remedy` of its own. The code is "CW" and the next free number of its range; a code
   is never reused, not even after its type was removed. The remedy is one line in the imperative that says what to
   check or to do, not what happened; it has no full stop or bracket at its end and no `|`.
       1xx start and configuration   2xx state folder     3xx list and connections   4xx management
       5xx simulator protocol        6xx laboratory       7xx fleet                  8xx filters and subscriptions
       9xx client connections
3. Raise it with a single argument, a text on one line: what is wrong and where (file and key, address, offset).
   Logs, `NO` answers and exit messages show `error.line`; `str(error)` is the text alone.
4. Add a row to `docs/errors.md` (`cedarwick config reference --of errors` prints all rows in order);
   `tests/test_errors.py` fails while the row, the code or the remedy is missing.

An exception that no operator can meet (one that is always caught inside the program) is a plain Exception, listed
with the reason in the second table of `docs/errors.md`.
"""

from typing import ClassVar, Self


class CedarwickError(Exception):
    """An error that an operator can meet, with a text, a stable code and a remedy."""

    code: ClassVar[str]
    remedy: ClassVar[str]

    @property
    def line(self) -> str:
        """Text, code and remedy on one line, for logs and answers."""
        return f"{' '.join(str(self).split())} [{self.code}: {self.remedy}]"

    def within(self, context: str) -> Self:
        """Return a new error of the same type whose text starts with the context."""
        return type(self)(f"{context}: {self}")


def describe(value: object) -> object:
    """Return the value for a log line: the `line` of a `CedarwickError`, anything else unchanged."""
    return value.line if isinstance(value, CedarwickError) else value
