"""`meadowpulley fleet-log`: what a fleet did second by second, from its gateways' logs."""

from __future__ import annotations

import json
from pathlib import Path

import click
from rich.table import Table

from meadowpulley.cli.common import InputError, console, guarded
from meadowpulley.report.seconds import Second, add_up

COLUMNS = (  # heading, counters
    ("asked", ("in.requests",)),
    ("served", ("out.200",)),
    ("refused", ("out.429", "out.503")),
    ("failed", ("out.502", "out.504")),
    ("attempts", ("up.attempts",)),
    ("errors", ("up.error",)),
    ("silent", ("up.timeout",)),
    ("no conn.", ("up.connect_failed", "up.reset")),
    ("opened", ("up.connections",)),
    ("list calls", ("list.watches", "list.fetches")),
    ("failed calls", ("list.failed",)),
    ("entries", ("list.entries",)),
    ("votes", ("platform.votes",)),
    ("datagrams", ("peers.out",)),
)


def row(second: Second) -> dict[str, int]:
    """The table's figures of one second, by heading."""
    return {name: sum(second.counts[c] for c in counters) for name, counters in COLUMNS}


@click.command("fleet-log")
@click.argument("logs", nargs=-1, required=True, type=click.Path(dir_okay=False, path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="One JSON object a second.")
@guarded
def fleet_log(logs: tuple[Path, ...], as_json: bool) -> None:
    """Adds up the `second` lines of LOGS, one file a gateway, written with MEADOWPULLEY_SECONDS=1."""
    lines: list[str] = []
    for path in logs:
        try:
            lines += path.read_text(errors="replace").splitlines()
        except OSError as error:
            raise InputError(f"{path}: {error.strerror}; name the gateways' log files") from None
    seconds, unread = add_up(lines)
    if not any(s.gateways for s in seconds.values()):
        raise InputError(f"{logs[0]}: no 'second' line; start the gateways with MEADOWPULLEY_SECONDS=1")
    first = min(at for at, s in seconds.items() if s.gateways)
    out = console()
    if as_json:
        for at, s in seconds.items():
            shown = {"second": at - first, "gateways": s.gateways, **row(s), "out": s.out}
            out.print(
                json.dumps({**shown, "resting": s.resting, "servers": s.servers, "news": s.news}),
                soft_wrap=True,
            )
        return
    table = Table("s", "gateways", *(name for name, _ in COLUMNS), "at servers", "resting", "news of most")
    for at, s in seconds.items():
        if s.gateways:
            news = s.news.most_common(1)[0][0]
            table.add_row(
                str(at - first), str(s.gateways), *map(str, row(s).values()), str(s.out), str(s.resting), news
            )
    out.print(table)
    for line in [line for s in seconds.values() for line in s.lines]:
        out.print(line, soft_wrap=True)
    if unread:
        out.print(f"{unread} lines could not be read")
