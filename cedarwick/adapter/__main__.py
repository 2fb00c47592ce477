"""`python -m cedarwick.adapter`: the decisions on the simulator's wire."""

import sys

from cedarwick.adapter.host import serve
from cedarwick.errors import CedarwickError


def main() -> int:
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except CedarwickError as error:
        print(f"cedarwick.adapter: {error.line}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
