"""`meadowpulley story`: one request's course through all gateways, from their logs."""

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
from meadowpulley.report.story import read_steps, unended


@click.command("story")
@click.argument("logs", nargs=-1, required=True, type=FILE)
@click.option("--id", "wanted", default="", help="Only ids that begin so; without it, ids that never ended.")
@json_option
@guarded
def story(logs: tuple[Path, ...], wanted: str, as_json: bool) -> None:
    """Merges the `story` lines of LOGS, one file a gateway, written with MEADOWPULLEY_STORY=1, by time."""
    lines = [line for path in logs for line in read_bytes(path).decode(errors="replace").splitlines()]
    steps, unread = read_steps(lines, wanted)
    if not steps:
        raise InputError(
            f"{logs[0]}: no 'story' line of {wanted or 'any id'}; set MEADOWPULLEY_STORY for the gateways"
        )
    if not wanted:
        left = set(unended(steps))
        steps = [step for step in steps if step.request in left]
    if as_json:
        names = ("at", "gateway", "request", "step", "more")
        show_json({"steps": [{name: getattr(s, name) for name in names} for s in steps], "unread": unread})
        return
    first = steps[0].at if steps else 0.0
    rows = [[f"{s.at - first:.3f}", s.gateway, s.request, s.step, s.more] for s in steps]
    out = console()
    out.print(make_table("Requests through the fleet", ["s", "gateway", "id", "step", ""], rows))
    if unread:
        out.print(f"{unread} lines could not be read")
