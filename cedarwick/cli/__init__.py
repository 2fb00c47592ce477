"""The command line: one file a sub-command, each loaded only when it is asked for."""

import importlib

import click

COMMANDS = {
    "run": ("run", "Run a sender with what RELAY_CONFIG and RELAY_STATE tell."),
    "sim": ("sim", "The decisions on the simulator's wire, over standard input and output."),
    "load": ("load", "Drive any sender with an open-loop load and measure its answers."),
    "lab": ("lab", "Play days against senders in the laboratory, and report on them."),
    "store": ("store", "Look at, copy and compact the folder that lasts."),
    "config": ("config", "Check, show and explain configuration files."),
}


class LazyGroup(click.Group):
    """A group whose commands are imported when one of them is used."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return list(COMMANDS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        if cmd_name not in COMMANDS:
            return None
        module = importlib.import_module(f"cedarwick.cli.{COMMANDS[cmd_name][0]}")
        found: click.Command = module.command
        return found

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        with formatter.section("Commands"):  # without importing any of them
            formatter.write_dl([(name, sentence) for name, (_, sentence) in COMMANDS.items()])


@click.group(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="cedarwick")
def command() -> None:
    """cedarwick delivers outbound messages to other firms' systems.

    Without a sub-command it runs a sender. Exit status: 0 good, 2 unusable arguments or files, 3 a rule broken or
    a message unaccounted for, 4 a day that is void since the emulator itself ran late.
    """
