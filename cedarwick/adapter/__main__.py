"""`python -m cedarwick.adapter`: serves the decisions to the simulator over standard input and output."""

import sys

from cedarwick.adapter.host import serve
from cedarwick.errors import CedarwickError


def main() -> int:
    """Serve until the input ends; returns the exit status: 0, or 2 after printing an error."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except CedarwickError as error:
        print(f"cedarwick.adapter: {error.line}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
