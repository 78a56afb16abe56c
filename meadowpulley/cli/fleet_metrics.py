"""`meadowpulley fleet-log`: what a fleet did second by second, from its gateways' logs."""

from __future__ import annotations

from pathlib import Path

import click

from meadowpulley.cli.common import (
    FILE,
    InputError,
    console,
    exits_with_code,
    json_option,
    make_table,
    read_bytes,
    show_json,
)
from meadowpulley.report.fleet_metrics import FleetInterval, aggregate_intervals

METRIC_COLUMNS = (  # heading, counters
    ("asked", ("in.requests",)),
    ("served", ("out.200",)),
    ("refused", ("out.429", "out.503")),
    ("failed", ("out.502", "out.504")),
    ("attempts", ("up.attempts",)),
    ("errors", ("up.error",)),
    ("silent", ("up.timeout",)),
    ("no conn.", ("up.connect_failed", "up.reset")),
    ("opened", ("up.connections",)),
    ("list calls", ("discovery.watches", "discovery.fetches")),
    ("failed calls", ("discovery.failed_calls",)),
    ("entries", ("discovery.entries",)),
    ("votes", ("platform.votes",)),
    ("datagrams", ("gossip.sent",)),
)


def metric_row(second: FleetInterval) -> dict[str, int]:
    """The table's figures of one second, by heading."""
    return {name: sum(second.counters[c] for c in counters) for name, counters in METRIC_COLUMNS}


@click.command("fleet-log")
@click.argument("logs", nargs=-1, required=True, type=FILE)
@json_option
@exits_with_code
def fleet_log(logs: tuple[Path, ...], as_json: bool) -> None:
    """Adds up the `second` lines of LOGS, one file a gateway, written with MEADOWPULLEY_SECONDS=1."""
    lines = [line for path in logs for line in read_bytes(path).decode(errors="replace").splitlines()]
    intervals, unreadable = aggregate_intervals(lines)
    seconds = {at: s for at, s in intervals.items() if s.gateways}
    if not seconds:
        raise InputError(f"{logs[0]}: no 'second' line; start the gateways with MEADOWPULLEY_SECONDS=1")
    first = min(seconds)
    decisions = [line for s in intervals.values() for line in s.decisions]
    if as_json:
        rows = [
            {
                **{"second": at - first, "gateways": s.gateways, **metric_row(s)},
                **{
                    "at servers": s.outstanding_requests,
                    "resting": s.ejected_servers,
                    "servers": s.servers,
                    "news": s.rollouts,
                },
            }
            for at, s in seconds.items()
        ]
        show_json({"seconds": rows, "decisions": decisions, "unread": unreadable})
        return
    table_rows = [
        [
            str(at - first),
            str(s.gateways),
            *map(str, metric_row(s).values()),
            str(s.outstanding_requests),
            str(s.ejected_servers),
            s.rollouts.most_common(1)[0][0],
        ]
        for at, s in seconds.items()
    ]
    headings = [
        "s",
        "gateways",
        *(name for name, _ in METRIC_COLUMNS),
        "at servers",
        "resting",
        "news of most",
    ]
    output = console()
    output.print(make_table("The fleet by the second", headings, table_rows))
    for line in decisions:
        output.print(line, soft_wrap=True, markup=False)
    if unreadable:
        output.print(f"{unreadable} lines could not be read")
