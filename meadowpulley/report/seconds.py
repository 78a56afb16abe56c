"""A fleet second by second: the gateways' own `second` lines added up. `cli/fleet_log.py` reads the files."""

from __future__ import annotations

import json
from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime
from typing import Any


@dataclass(slots=True)
class Second:
    """One second of the fleet: how many gateways wrote a line, counters summed, what they held."""

    gateways: int = 0
    counts: Counter[str] = field(default_factory=Counter)
    servers: Counter[str] = field(default_factory=Counter)  # by build and state, summed over gateways
    out: int = 0  # requests at servers
    resting: int = 0  # servers left alone, summed over gateways
    news: Counter[str] = field(default_factory=Counter)
    lines: list[str] = field(default_factory=list)  # what the decisions said


def _at(event: dict[str, Any]) -> int:
    return int(datetime.fromisoformat(event["timestamp"]).timestamp())


def _read(event: dict[str, Any]) -> Second:
    """What one gateway's line says; raises ValueError, KeyError, TypeError, AttributeError or IndexError."""
    held = event["held"]
    news = held["news"]
    return Second(
        gateways=1,
        counts=Counter({str(k): int(n) for k, n in event["counts"].items()}),
        servers=Counter({str(k): int(n) for k, n in held["servers"].items()}),
        out=int(held["out"]),
        resting=int(held["resting"]),
        news=Counter(["none" if news is None else f"{news[0]} stage {news[1]} {news[2]}"]),
    )


def _add(second: Second, one: Second) -> None:
    second.gateways += one.gateways
    second.counts.update(one.counts)
    second.servers.update(one.servers)
    second.out += one.out
    second.resting += one.resting
    second.news.update(one.news)


def add_up(lines: Iterable[str]) -> tuple[dict[int, Second], int]:
    """Seconds since the epoch to what the fleet did in them, and how many lines could not be read.

    Each line is one of the gateway's log, whatever a collector wrote before its first brace. Lines of other
    events count as read; those that are no JSON, or lack what a `second` line has, do not.
    """
    found: dict[int, Second] = defaultdict(Second)
    unread = 0
    for line in lines:
        brace = line.find("{")
        try:
            event = json.loads(line[brace:]) if brace >= 0 else None
            if not isinstance(event, dict):
                raise ValueError("no object")
            if event["event"] == "second":
                one = _read(event)
                _add(found[_at(event)], one)
            elif event["event"] == "decision":
                said = f"{event['timestamp']} {event['gateway']}: {event['line']}"
                found[_at(event)].lines.append(said)
        except (ValueError, KeyError, TypeError, IndexError, AttributeError, RecursionError):
            unread += 1
    return dict(sorted(found.items())), unread
