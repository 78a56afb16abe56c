"""`meadowpulley fleet-metrics`: what a fleet did second by second, from its gateways' logs."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from typing import Any

import click

from meadowpulley.cli.common import (
    FILE,
    InputError,
    console,
    exits_with_code,
    json_option,
    make_table,
    read_log_lines,
    show_json,
)
from meadowpulley.report.fleet_metrics import FleetInterval, aggregate_intervals

COUNTERS_BY_COLUMN = {
    "asked": ("in.requests",),
    "served": ("out.200",),
    "refused": ("out.429", "out.503"),
    "failed": ("out.502", "out.504"),
    "attempts": ("up.attempts",),
    "errors": ("up.error",),
    "silent": ("up.timeout",),
    "no conn.": ("up.connect_failed", "up.reset"),
    "opened": ("up.connections",),
    "list calls": ("discovery.watches", "discovery.fetches"),
    "failed calls": ("discovery.failed_calls",),
    "entries": ("discovery.entries",),
    "votes": ("platform.votes",),
    "datagrams": ("gossip.sent",),
}
HEADINGS = ["s", "gateways", *COUNTERS_BY_COLUMN, "at servers", "ejected", "rollout of most"]


def metric_columns(interval: FleetInterval) -> dict[str, int]:
    """Return the columns of one interval that are sums of counters."""
    return {
        column: sum(interval.counters[counter] for counter in counters)
        for column, counters in COUNTERS_BY_COLUMN.items()
    }


@click.command("fleet-metrics")
@click.argument("logs", nargs=-1, required=True, type=FILE)
@json_option
@exits_with_code
def fleet_metrics(logs: tuple[Path, ...], as_json: bool) -> None:
    """Add up the metrics in LOGS, one file a gateway, written with MEADOWPULLEY_SECONDS=1."""
    intervals, unreadable = aggregate_intervals(read_log_lines(logs))
    seconds = {at: interval for at, interval in intervals.items() if interval.gateways}
    if not seconds:
        raise InputError(
            f"{logs[0]}: no 'interval_metrics' event; start the gateways with MEADOWPULLEY_SECONDS=1"
        )
    decisions = [line for interval in intervals.values() for line in interval.decisions]
    if as_json:
        rows = _json_rows(seconds)
        show_json({"seconds": rows, "decisions": decisions, "unread": unreadable})
        return
    output = console()
    output.print(make_table("The fleet by the second", HEADINGS, _table_rows(seconds)))
    for line in decisions:
        output.print(line, soft_wrap=True, markup=False)
    if unreadable:
        output.print(f"{unreadable} lines could not be read")


def _json_rows(seconds: Mapping[int, FleetInterval]) -> list[dict[str, Any]]:
    first = min(seconds)
    return [
        {
            "second": at - first,
            "gateways": interval.gateways,
            **metric_columns(interval),
            "at servers": interval.outstanding_requests,
            "resting": interval.ejected_servers,
            "servers": interval.servers,
            "news": interval.rollouts,
        }
        for at, interval in seconds.items()
    ]


def _table_rows(seconds: Mapping[int, FleetInterval]) -> list[list[str]]:
    first = min(seconds)
    return [
        [
            str(at - first),
            str(interval.gateways),
            *map(str, metric_columns(interval).values()),
            str(interval.outstanding_requests),
            str(interval.ejected_servers),
            interval.rollouts.most_common(1)[0][0],
        ]
        for at, interval in seconds.items()
    ]
