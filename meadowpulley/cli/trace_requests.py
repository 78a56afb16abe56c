"""`meadowpulley trace-requests`: the course of single requests through all gateways, from their logs."""

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
    read_log_lines,
    show_json,
)
from meadowpulley.report.request_trace import read_steps, unfinished_requests

HEADINGS = ["s", "gateway", "id", "step", ""]


@click.command("trace-requests")
@click.argument("logs", nargs=-1, required=True, type=FILE)
@click.option(
    "--id",
    "id_prefix",
    default="",
    envvar="MEADOWPULLEY_STORY_WANTED",
    help="Only ids that begin so; without it, ids that never ended.",
)
@json_option
@exits_with_code
def trace_requests(logs: tuple[Path, ...], id_prefix: str, as_json: bool) -> None:
    """Merge the steps of requests in LOGS, one file a gateway, written with MEADOWPULLEY_STORY=1, by time."""
    steps, unreadable = read_steps(read_log_lines(logs), id_prefix)
    if not steps:
        problem = f"{logs[0]}: no 'request_trace' event of {id_prefix or 'any id'}"
        raise InputError(f"{problem}; set MEADOWPULLEY_STORY for the gateways")
    if not id_prefix:
        unfinished_ids = set(unfinished_requests(steps))
        steps = [step for step in steps if step.request in unfinished_ids]
    if as_json:
        step_fields = [
            {"at": s.at, "gateway": s.gateway, "request": s.request, "step": s.step, "more": s.fields}
            for s in steps
        ]
        show_json({"steps": step_fields, "unread": unreadable})
        return
    first = steps[0].at if steps else 0.0
    rows = [[f"{s.at - first:.3f}", s.gateway, s.request, s.step, s.fields] for s in steps]
    output = console()
    output.print(make_table("Requests through the fleet", HEADINGS, rows))
    if unreadable:
        output.print(f"{unreadable} lines could not be read")
