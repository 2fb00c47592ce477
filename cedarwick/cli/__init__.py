"""The command line: one module per sub-command, imported only when the sub-command is used."""

import importlib

import click

COMMANDS = {
    "run": ("run", "Run a sender, configured by RELAY_CONFIG and RELAY_STATE."),
    "sim": ("sim", "Serve the decisions to the simulator over standard input and output."),
    "load": ("load", "Put an open-loop load on senders and measure their answers."),
    "lab": ("lab", "Run scenarios against senders in the lab and report the results."),
    "store": ("store", "Inspect, copy and compact a state folder."),
    "config": ("config", "Check, show and document configuration files."),
}


class LazyGroup(click.Group):
    """A click group that imports a command only when it is used."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return list(COMMANDS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        if cmd_name not in COMMANDS:
            return None
        module = importlib.import_module(f"cedarwick.cli.{COMMANDS[cmd_name][0]}")
        subcommand: click.Command = module.command
        return subcommand

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        with formatter.section("Commands"):  # from `COMMANDS`, without importing the modules
            formatter.write_dl([(name, description) for name, (_, description) in COMMANDS.items()])


@click.group(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="cedarwick")
def command() -> None:
    """cedarwick delivers outbound messages to partners' endpoints.

    Without a sub-command it runs a sender. Exit status: 0 success, 2 invalid arguments or files, 3 a rule was
    violated or a message is unaccounted for, 4 the run is void, since the emulator itself was too slow.
    """
