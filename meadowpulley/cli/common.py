"""What all commands share: reading of input files, one-line errors, results for people and programs."""

from __future__ import annotations

import functools
import json
import os
import sys
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any, ParamSpec, TypeVar

import click
from rich.console import Console
from rich.table import Table

from meadowpulley.emulator import Scenario, parse_scenario
from meadowpulley.fleet import Fleet, FleetError, parse_fleet
from meadowpulley.load import LoadError

DEFAULT_WIDTH = 150  # characters a line, where there is no terminal
REPORT_SUFFIXES = (".html", ".md")
SUCCESS = 0
GOAL_MISSED = 1
BAD_INPUT = 2
TEST_BED_LIMITED = 3
P = ParamSpec("P")
T = TypeVar("T")

DEFAULT_LOAD_FRACTION = 0.5  # of the capacity of all servers, where no rate is set
FILE = click.Path(dir_okay=False, path_type=Path)


class InputError(Exception):
    """The input of a command cannot be used; the text says in one line what, where, and what to do."""


def console() -> Console:
    """Return the console for results: as wide as the terminal, or wide enough for every table without one."""
    return Console(highlight=False) if sys.stdout.isatty() else Console(highlight=False, width=DEFAULT_WIDTH)


def exits_with_code(command: Callable[P, int | None]) -> Callable[P, None]:
    """Make a command exit with the code that it returns; for bad input with 2, and one line on stderr."""

    @functools.wraps(command)
    def run_command(*args: P.args, **kwargs: P.kwargs) -> None:
        """Run the command and exit with its code, or with a one-line input error."""
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
    """Read a file. Raises InputError."""
    try:
        return path.read_bytes()
    except OSError as error:
        raise InputError(f"{path}: {error.strerror or error}; give a file that can be read") from None


def read_log_lines(paths: Iterable[Path]) -> list[str]:
    """Return the lines of log files, one file after another. Raises InputError."""
    return [line for path in paths for line in read_bytes(path).decode(errors="replace").splitlines()]


def read_fleet(path: Path) -> Fleet:
    """Read the description of a fleet. Raises InputError or FleetError."""
    return parse_fleet(read_bytes(path), str(path))


def read_scenario(path: Path | None, fleet: Fleet) -> Scenario:
    """Read a scenario; an empty one without a file. Raises InputError or FleetError."""
    return Scenario() if path is None else parse_scenario(read_bytes(path), str(path), fleet)


def require_writable(path: Path) -> Path:
    """Return the path of a result that can be written. Raises InputError, before hours are spent on it."""
    folder = path.parent
    if not folder.is_dir() or not os.access(folder, os.W_OK):
        raise InputError(f"{path}: no folder that can be written; make '{folder}' first")
    return path


def check_report_format(path: Path) -> None:
    """Raise InputError for a path whose ending names no format of reports."""
    if path.suffix not in REPORT_SUFFIXES:
        raise InputError(f"{path}: reports end in .html or .md; name one so")


def check_report_path(report: Path | None) -> None:
    """Raise InputError for a report that could not be written in the end."""
    if report is not None:
        check_report_format(report)
        require_writable(report)


def show_json(value: Any) -> None:
    """Print a result for programs."""
    click.echo(json.dumps(value, indent=2, sort_keys=False, allow_nan=False))


def make_table(title: str, columns: list[str], rows: list[list[str]]) -> Table:
    """Return a table; all columns but the first are aligned to the right."""
    table = Table(title=title, title_justify="left", pad_edge=False)
    for index, column in enumerate(columns):
        table.add_column(column, justify="left" if index == 0 else "right")
    for row in rows:
        table.add_row(*row)
    return table


def percent(share: float, digits: int = 1) -> str:
    """Return a share from 0 to 1 in percent."""
    return f"{100 * share:.{digits}f}%"


fleet_option = click.option("--fleet", type=FILE, required=True, help="The description of the fleet (TOML).")
seed_option = click.option("--seed", type=click.IntRange(0, 2**63 - 1), default=1, show_default=True)
json_option = click.option("--json", "as_json", is_flag=True, help="Print the results as JSON.")
report_option = click.option("--report", type=FILE, help="Write a report there (.html or .md, with charts).")
