"""A request's course through a fleet, out of the gateways' `story` lines; `cli/story.py` reads the files."""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime

_SHOWN_APART = ("event", "level", "timestamp", "gateway", "id", "step", "passed_over")


@dataclass(frozen=True, slots=True, order=True)
class Step:
    """`at`: seconds since the epoch by the gateway; `line`: where it stood, for steps of one moment."""

    at: float
    line: int
    gateway: str
    request: str
    step: str
    more: str = ""  # name=value, as the gateway wrote them


def read_steps(lines: Iterable[str], wanted: str = "") -> tuple[list[Step], int]:
    """The steps of all ids that begin with `wanted`, by time, and how many lines could not be read.

    Whatever a collector wrote before a line's first brace is passed over, as are lines of other events."""
    steps: list[Step] = []
    unread = 0
    for n, line in enumerate(lines):
        brace = line.find("{")
        if brace >= 0 and '"story"' not in line:
            continue
        try:
            event = json.loads(line[brace:])
            if event["event"] != "story" or not event["id"].startswith(wanted):
                continue
            more = " ".join(f"{k}={v}" for k, v in event.items() if k not in _SHOWN_APART)
            at = datetime.fromisoformat(event["timestamp"]).timestamp()
            steps.append(Step(at, n, str(event["gateway"]), event["id"], str(event["step"]), more))
        except (ValueError, KeyError, TypeError, AttributeError, RecursionError):
            unread += 1
    return sorted(steps), unread


def unended(steps: Iterable[Step]) -> list[str]:
    """Ids that were taken and neither answered nor gone, in the order in which they came."""
    open_ids: dict[str, None] = {}
    for step in steps:
        if step.step == "taken":
            open_ids[step.request] = None
        elif step.step in ("answered", "gone"):
            open_ids.pop(step.request, None)
    return list(open_ids)
