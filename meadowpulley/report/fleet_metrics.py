"""A fleet second by second: the gateways' own lines of metrics added up.

`cli/fleet_metrics.py` reads the files.
"""

from __future__ import annotations

import json
from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime
from typing import Any

from meadowpulley.interface import LOG_EVENT_TYPES

DECISION_LINE = "decision"  # in logs of versions before the events had types
DECISION_EVENTS = {DECISION_LINE, *(kind.event_name for kind in LOG_EVENT_TYPES)}
COMMON_FIELDS = {"event", "gateway", "level", "timestamp"}  # of every line of a gateway's log


@dataclass(slots=True)
class FleetInterval:
    """One second of the fleet, summed over the gateways that wrote a line of metrics for it."""

    gateways: int = 0
    counters: Counter[str] = field(default_factory=Counter)
    servers: Counter[str] = field(default_factory=Counter)  # by build and state, summed over gateways
    outstanding_requests: int = 0  # requests at servers
    ejected_servers: int = 0  # summed over gateways
    rollouts: Counter[str] = field(default_factory=Counter)
    decisions: list[str] = field(default_factory=list)  # the policy's log lines


def _second_of(event: dict[str, Any]) -> int:
    return int(datetime.fromisoformat(event["timestamp"]).timestamp())


def _parse_interval(event: dict[str, Any]) -> FleetInterval:
    """Return what one gateway's event says.

    Raises:
        ValueError, KeyError, TypeError, AttributeError: It lacks what such an event has.
    """
    policy = event["policy"]
    rollout = policy["rollout"]
    return FleetInterval(
        gateways=1,
        counters=_counts(event["counters"]),
        servers=_counts(policy["servers"]),
        outstanding_requests=int(policy["outstanding_attempts"]),
        ejected_servers=int(policy["ejected_servers"]),
        rollouts=_rollout_count(rollout and (rollout["build"], rollout["stage"], rollout["phase"])),
    )


def _parse_earlier_interval(event: dict[str, Any]) -> FleetInterval:
    """Return what the event of an earlier version says; raises as `_parse_interval` does, or IndexError."""
    snapshot = event["held"]
    rollout = snapshot["news"]
    return FleetInterval(
        gateways=1,
        counters=_counts(event["counts"]),
        servers=_counts(snapshot["servers"]),
        outstanding_requests=int(snapshot["out"]),
        ejected_servers=int(snapshot["resting"]),
        rollouts=_rollout_count(rollout and (rollout[0], rollout[1], rollout[2])),
    )


def _counts(encoded: dict[str, Any]) -> Counter[str]:
    return Counter({str(name): int(count) for name, count in encoded.items()})


def _rollout_count(rollout: tuple[int, int, str] | None) -> Counter[str]:
    if rollout is None:
        return Counter(["none"])
    build, stage, phase = rollout
    return Counter([f"{build} stage {stage} {phase}"])


_PARSERS = {"interval_metrics": _parse_interval, "second": _parse_earlier_interval}


def _merge(total: FleetInterval, interval: FleetInterval) -> None:
    total.gateways += interval.gateways
    total.counters.update(interval.counters)
    total.servers.update(interval.servers)
    total.outstanding_requests += interval.outstanding_requests
    total.ejected_servers += interval.ejected_servers
    total.rollouts.update(interval.rollouts)


def _decision_text(event: dict[str, Any]) -> str:
    if event["event"] == DECISION_LINE:
        return f"{event['timestamp']} {event['gateway']}: {event['line']}"
    facts = [f"{name}={value}" for name, value in event.items() if name not in COMMON_FIELDS]
    return " ".join([f"{event['timestamp']} {event['gateway']}: {event['event']}", *facts])


def aggregate_intervals(lines: Iterable[str]) -> tuple[dict[int, FleetInterval], int]:
    """Return what the fleet did by seconds since the epoch, and how many lines could not be read.

    Each line is one of the gateway's log, whatever a collector wrote before its first brace. Lines of other
    events count as read; those that are no JSON, or lack what such an event has, do not.
    """
    intervals: dict[int, FleetInterval] = defaultdict(FleetInterval)
    unreadable = 0
    for line in lines:
        brace = line.find("{")
        try:
            event = json.loads(line[brace:]) if brace >= 0 else None
            if not isinstance(event, dict):
                raise ValueError("no object")
            parse = _PARSERS.get(event["event"])
            if parse is not None:
                interval = parse(event)
                _merge(intervals[_second_of(event)], interval)
            elif event["event"] in DECISION_EVENTS:
                intervals[_second_of(event)].decisions.append(_decision_text(event))
        except (ValueError, KeyError, TypeError, IndexError, AttributeError, RecursionError):
            unreadable += 1
    return dict(sorted(intervals.items())), unreadable
