"""The record of a run: what was sent, answered and run, one line for each event, in the order of time."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any


class Record:
    """Events with the seconds since the start of the run, by one monotonic clock."""

    def __init__(self) -> None:
        self.started = time.monotonic()
        self.events: list[dict[str, Any]] = []

    def now(self) -> float:
        return time.monotonic() - self.started

    def add(self, what: str, at: float | None = None, **fields: Any) -> None:
        self.events.append({"at": round(self.now() if at is None else at, 4), "what": what, **fields})

    def of(self, what: str) -> list[dict[str, Any]]:
        return [event for event in self.events if event["what"] == what]

    def write(self, path: Path, verdict: list[str]) -> None:
        lines = [json.dumps(event) for event in sorted(self.events, key=lambda event: event["at"])]
        path.write_text("\n".join([*lines, *verdict, ""]))
