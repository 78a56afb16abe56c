"""All commands, each with every option as a variable: MEADOWPULLEY_COMMAND_OPTION."""

from __future__ import annotations

import copy
from typing import Any

import click

from meadowpulley.cli.capacity import capacity
from meadowpulley.cli.check import check
from meadowpulley.cli.demo import demo
from meadowpulley.cli.emulate import emulate
from meadowpulley.cli.experiment import experiment
from meadowpulley.cli.fleet_metrics import fleet_metrics
from meadowpulley.cli.load import load
from meadowpulley.cli.trace_requests import trace_requests
from meadowpulley.cli.verify import verify

COMMANDS = (capacity, check, demo, emulate, experiment, fleet_metrics, load, trace_requests)
DEPRECATED_NAMES = {"fleet-log": fleet_metrics, "story": trace_requests}


@click.group(context_settings={"auto_envvar_prefix": "MEADOWPULLEY", "help_option_names": ["-h", "--help"]})
@click.version_option(package_name="meadowpulley")
def main() -> None:
    """Trial builds on live traffic: the tools around the gateway.

    Exit codes: 0 good, 1 the goal is missed or a rule was broken, 2 bad input, 3 the test bed itself was the
    limit.
    """


def deprecated_alias(old_name: str, command: click.Command) -> click.Command:
    """Return a hidden command of an old name, which prints a line of deprecation and does the same."""
    run_command = command.callback
    assert run_command is not None

    def run(*args: Any, **options: Any) -> None:
        """Show the deprecation notice and run the renamed command."""
        click.echo(f"meadowpulley: '{old_name}' is deprecated: use '{command.name}'", err=True)
        run_command(*args, **options)

    alias = copy.copy(command)
    alias.name = old_name
    alias.hidden = True
    alias.callback = run
    return alias


capacity.add_command(verify)
for command in COMMANDS:
    main.add_command(command)
for old_name, command in DEPRECATED_NAMES.items():
    main.add_command(deprecated_alias(old_name, command))
