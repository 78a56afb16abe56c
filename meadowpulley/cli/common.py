"""What all commands share: reading files of intent, one-line errors, and results for people or for
programs."""

from __future__ import annotations

import functools
import json
import os
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any, ParamSpec, TypeVar

import click
from rich.console import Console
from rich.table import Table

from meadowpulley.emulator import Scenario, parse_scenario
from meadowpulley.fleet import Fleet, FleetError, parse_fleet
from meadowpulley.load import LoadError

DEFAULT_WIDTH = 150  # characters a line, where no terminal says
SUCCESS, GOAL_MISSED, BAD_INPUT, TEST_BED_LIMITED = 0, 1, 2, 3
P = ParamSpec("P")
T = TypeVar("T")

FILE = click.Path(dir_okay=False, path_type=Path)


class InputError(Exception):
    """What was given can't be used; the text is one line: what, where, and what to do."""


def console() -> Console:
    """For results: as wide as the terminal, and wide enough for every table where there is none."""
    return Console(highlight=False) if sys.stdout.isatty() else Console(highlight=False, width=DEFAULT_WIDTH)


def exits_with_code(command: Callable[P, int | None]) -> Callable[P, None]:
    """Bad input is one plain line on standard error and exit code 2; else the command's own code."""

    @functools.wraps(command)
    def run_command(*args: P.args, **kwargs: P.kwargs) -> None:
        try:
            code = command(*args, **kwargs)
        except (FleetError, LoadError, InputError) as error:
            click.echo(f"meadowpulley: {error}", err=True)
            sys.exit(BAD_INPUT)
        except BrokenPipeError:
            os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
            sys.exit(SUCCESS)
        sys.exit(code or SUCCESS)

    return run_command


def read_bytes(path: Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as error:
        raise InputError(f"{path}: {error.strerror or error}; give a file that can be read") from None


def read_fleet(path: Path) -> Fleet:
    return parse_fleet(read_bytes(path), str(path))


def read_scenario(path: Path | None, fleet: Fleet) -> Scenario:
    return Scenario() if path is None else parse_scenario(read_bytes(path), str(path), fleet)


def require_writable(path: Path) -> Path:
    """A place for results, before hours are spent on them. Raises InputError."""
    folder = path.parent
    if not folder.is_dir() or not os.access(folder, os.W_OK):
        raise InputError(f"{path}: no folder that can be written; make '{folder}' first")
    return path


def show_json(value: Any) -> None:
    click.echo(json.dumps(value, indent=2, sort_keys=False, allow_nan=False))


def make_table(title: str, columns: list[str], rows: list[list[str]]) -> Table:
    table = Table(title=title, title_justify="left", pad_edge=False)
    for index, column in enumerate(columns):
        table.add_column(column, justify="left" if index == 0 else "right")
    for row in rows:
        table.add_row(*row)
    return table


def percent(share: float, digits: int = 1) -> str:
    return f"{100 * share:.{digits}f}%"


fleet_option = click.option("--fleet", type=FILE, required=True, help="The description of the fleet (TOML).")
seed_option = click.option("--seed", type=click.IntRange(0, 2**63 - 1), default=1, show_default=True)
json_option = click.option("--json", "as_json", is_flag=True, help="Print the results as JSON.")
