"""`python -m cedarwick`: the sender where no sub-command is given, else the command line."""

import signal
import sys


def main() -> int:
    """The exit status. Danger: the sender runs on part of a core; the command line is loaded for others only."""
    if sys.argv[1:2] in ([], ["run"]):
        # Danger: told of a new configuration or asked for its counters, a process that still loads would end.
        for early in (signal.SIGHUP, signal.SIGUSR1):
            signal.signal(early, signal.SIG_IGN)
    if sys.argv[1:] in ([], ["run"]):
        from cedarwick.program import main as run

        return run()
    from cedarwick.cli import command

    command.main(prog_name="cedarwick")  # click ends the process with its own status
    return 0


if __name__ == "__main__":
    sys.exit(main())
