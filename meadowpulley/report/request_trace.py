"""A request's course through a fleet, from the `story` lines of its gateways' logs."""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime

_SEPARATE_FIELDS = ("event", "level", "timestamp", "gateway", "id", "step", "suppressed", "passed_over")


@dataclass(frozen=True, slots=True, order=True)
class TraceStep:
    """One step of a request at a gateway.

    `at` is in seconds since the epoch by the gateway's clock; `line_number` orders steps of one moment.
    """

    at: float
    line_number: int
    gateway: str
    request: str
    step: str
    fields: str = ""  # name=value, as the gateway wrote them


def read_steps(lines: Iterable[str], id_prefix: str = "") -> tuple[list[TraceStep], int]:
    """The steps of all ids that begin with `id_prefix`, by time, and how many lines could not be read.

    Whatever a collector wrote before a line's first brace is passed over, as are lines of other events."""
    steps: list[TraceStep] = []
    unreadable = 0
    for line_number, line in enumerate(lines):
        brace = line.find("{")
        if brace >= 0 and '"story"' not in line:
            continue
        try:
            event = json.loads(line[brace:])
            if event["event"] != "story" or not event["id"].startswith(id_prefix):
                continue
            fields = " ".join(f"{k}={v}" for k, v in event.items() if k not in _SEPARATE_FIELDS)
            at = datetime.fromisoformat(event["timestamp"]).timestamp()
            steps.append(
                TraceStep(at, line_number, str(event["gateway"]), event["id"], str(event["step"]), fields)
            )
        except (ValueError, KeyError, TypeError, AttributeError, RecursionError):
            unreadable += 1
    return sorted(steps), unreadable


def unfinished_requests(steps: Iterable[TraceStep]) -> list[str]:
    """Ids that were taken and neither answered nor gone, in the order in which they came."""
    open_ids: dict[str, None] = {}
    for step in steps:
        if step.step == "taken":
            open_ids[step.request] = None
        elif step.step in ("answered", "gone"):
            open_ids.pop(step.request, None)
    return list(open_ids)
