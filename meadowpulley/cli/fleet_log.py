"""`meadowpulley fleet-log`: what a fleet did second by second, from its gateways' logs."""

from __future__ import annotations

from pathlib import Path

import click

from meadowpulley.cli.common import (
    FILE,
    InputError,
    console,
    guarded,
    json_option,
    make_table,
    read_bytes,
    show_json,
)
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
@click.argument("logs", nargs=-1, required=True, type=FILE)
@json_option
@guarded
def fleet_log(logs: tuple[Path, ...], as_json: bool) -> None:
    """Adds up the `second` lines of LOGS, one file a gateway, written with MEADOWPULLEY_SECONDS=1."""
    lines = [line for path in logs for line in read_bytes(path).decode(errors="replace").splitlines()]
    found, unread = add_up(lines)
    seconds = {at: s for at, s in found.items() if s.gateways}
    if not seconds:
        raise InputError(f"{logs[0]}: no 'second' line; start the gateways with MEADOWPULLEY_SECONDS=1")
    first = min(seconds)
    said = [line for s in found.values() for line in s.lines]
    if as_json:
        rows = [
            {
                **{"second": at - first, "gateways": s.gateways, **row(s)},
                **{"at servers": s.out, "resting": s.resting, "servers": s.servers, "news": s.news},
            }
            for at, s in seconds.items()
        ]
        show_json({"seconds": rows, "decisions": said, "unread": unread})
        return
    shown = [
        [
            str(at - first),
            str(s.gateways),
            *map(str, row(s).values()),
            str(s.out),
            str(s.resting),
            s.news.most_common(1)[0][0],
        ]
        for at, s in seconds.items()
    ]
    headings = ["s", "gateways", *(name for name, _ in COLUMNS), "at servers", "resting", "news of most"]
    out = console()
    out.print(make_table("The fleet by the second", headings, shown))
    for line in said:
        out.print(line, soft_wrap=True, markup=False)
    if unread:
        out.print(f"{unread} lines could not be read")
