"""`python -m cedarwick`: runs the sender, or the command line if a sub-command is given."""

import signal
import sys


def main() -> int:
    """Run the sender or the command line and return the exit status.

    The sender gets only part of a core, so the command line is imported only for other sub-commands.
    """
    if sys.argv[1:2] in ([], ["run"]):
        # Until handlers are installed, a SIGHUP (reload) or SIGUSR1 (print counters) would end the starting process.
        for signal_number in (signal.SIGHUP, signal.SIGUSR1):
            signal.signal(signal_number, signal.SIG_IGN)
    if sys.argv[1:] in ([], ["run"]):
        from cedarwick.program import main as run_sender

        return run_sender()
    from cedarwick.cli import command

    command.main(prog_name="cedarwick")  # click exits with its own status
    return 0


if __name__ == "__main__":
    sys.exit(main())
