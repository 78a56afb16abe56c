"""A request's course through a fleet, from the `request_trace` events of its gateways' logs.

Logs that versions before wrote, with events named `story`, are read as well.
"""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime

EVENT_NAME = "request_trace"
EARLIER_EVENT_NAME = "story"
EARLIER_STEPS = {"taken": "received", "answered": "responded", "gone": "client_disconnected"}
FINAL_STEPS = ("responded", "client_disconnected")
_SEPARATE_FIELDS = ("event", "level", "timestamp", "gateway", "id", "request_id", "step", "suppressed")


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
    """Return the steps of all ids that begin with `id_prefix`, by time, and how many lines can't be read.

    Whatever a collector wrote before a line's first brace is passed over, as are lines of other events.
    """
    steps: list[TraceStep] = []
    unreadable = 0
    for line_number, line in enumerate(lines):
        brace = line.find("{")
        names_trace = f'"{EVENT_NAME}"' in line or f'"{EARLIER_EVENT_NAME}"' in line
        if brace >= 0 and not names_trace:
            continue
        try:
            step = _read_step(json.loads(line[brace:]), line_number)
        except (ValueError, KeyError, TypeError, AttributeError, RecursionError):
            unreadable += 1
            continue
        if step is not None and step.request.startswith(id_prefix):
            steps.append(step)
    return sorted(steps), unreadable


def _read_step(event: dict[str, object], line_number: int) -> TraceStep | None:
    """Return the step of an event, None for other events.

    Raises:
        ValueError, KeyError, TypeError, AttributeError: The event lacks what a step has.
    """
    if event["event"] not in (EVENT_NAME, EARLIER_EVENT_NAME):
        return None
    request = event["id"] if event["event"] == EARLIER_EVENT_NAME else event["request_id"]
    if not isinstance(request, str):
        raise TypeError(f"line {line_number}: the id of a request is no text")
    step = str(event["step"])
    fields = [f"{name}={value}" for name, value in event.items() if name not in _SEPARATE_FIELDS]
    return TraceStep(
        at=datetime.fromisoformat(str(event["timestamp"])).timestamp(),
        line_number=line_number,
        gateway=str(event["gateway"]),
        request=request,
        step=EARLIER_STEPS.get(step, step),
        fields=" ".join(fields),
    )


def unfinished_requests(steps: Iterable[TraceStep]) -> list[str]:
    """Return the ids that were received and neither responded to nor left, in the order of their arrival."""
    open_ids: dict[str, None] = {}
    for step in steps:
        if step.step == "received":
            open_ids[step.request] = None
        elif step.step in FINAL_STEPS:
            open_ids.pop(step.request, None)
    return list(open_ids)
