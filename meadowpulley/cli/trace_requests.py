"""`meadowpulley story`: one request's course through all gateways, from their logs."""

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
from meadowpulley.report.request_trace import read_steps, unfinished_requests


@click.command("story")
@click.argument("logs", nargs=-1, required=True, type=FILE)
@click.option("--id", "wanted", default="", help="Only ids that begin so; without it, ids that never ended.")
@json_option
@exits_with_code
def story(logs: tuple[Path, ...], wanted: str, as_json: bool) -> None:
    """Merges the `story` lines of LOGS, one file a gateway, written with MEADOWPULLEY_STORY=1, by time."""
    lines = [line for path in logs for line in read_bytes(path).decode(errors="replace").splitlines()]
    steps, unreadable = read_steps(lines, wanted)
    if not steps:
        raise InputError(
            f"{logs[0]}: no 'story' line of {wanted or 'any id'}; set MEADOWPULLEY_STORY for the gateways"
        )
    if not wanted:
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
    output.print(make_table("Requests through the fleet", ["s", "gateway", "id", "step", ""], rows))
    if unreadable:
        output.print(f"{unreadable} lines could not be read")
