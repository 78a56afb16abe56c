"""All commands, each with every option as a variable: MEADOWPULLEY_COMMAND_OPTION."""

from __future__ import annotations

import click

from meadowpulley.cli.capacity import capacity
from meadowpulley.cli.check import check
from meadowpulley.cli.demo import demo
from meadowpulley.cli.emulate import emulate
from meadowpulley.cli.experiment import experiment
from meadowpulley.cli.fleet_metrics import fleet_log
from meadowpulley.cli.load import load
from meadowpulley.cli.trace_requests import story
from meadowpulley.cli.verify import verify


@click.group(context_settings={"auto_envvar_prefix": "MEADOWPULLEY", "help_option_names": ["-h", "--help"]})
@click.version_option(package_name="meadowpulley")
def main() -> None:
    """Trial builds on live traffic: the tools around the gateway.

    Exit codes: 0 good, 1 the goal is missed or a rule was broken, 2 bad input, 3 the rig itself was the
    limit.
    """


capacity.add_command(verify)
for command in (capacity, check, demo, emulate, experiment, fleet_log, load, story):
    main.add_command(command)
