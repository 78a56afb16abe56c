"""Rules on sockets: merges the traces of the services and of the driver, and checks them.

A server cannot tell which gateway an attempt came from, and a client cannot see attempts. Both know the
request's id and use one clock, so records are joined by id and ordered by time.
"""

from __future__ import annotations

import dataclasses
from collections import Counter
from collections.abc import Iterable
from pathlib import Path

from msgspec.structs import replace

from meadowpulley.fleet import Fleet, gateway_settings
from meadowpulley.rules import (
    AttemptEnded,
    AttemptSent,
    KeyAnswered,
    Record,
    RequestReceived,
    RuleParameters,
    TraceChecker,
    Violation,
    read_trace,
    trace_line,
)

UNKNOWN = -1  # gateway not known before the merge; as a request: one that no client sent
# The protocol's tolerances on sockets: longer times, slightly more exposure, and a key that was
# answered counts some time after the response was written.
SLACK_MS, EXTRA_ATTEMPTS, EXTRA_SHARE, KEY_DELAY_MS = 50.0, 2.0, 0.04, 150.0


class TraceWriter:
    """Trace records of one process, stored in memory until its end."""

    def __init__(self) -> None:
        self._lines: list[bytes] = []

    def record(self, record: Record) -> None:
        """Add a record."""
        self._lines.append(trace_line(record))

    def write(self, path: Path) -> None:
        """Write all records to a file."""
        path.write_bytes(b"".join(line + b"\n" for line in self._lines))


def merge_traces(servers: Iterable[Record], clients: Iterable[Record]) -> list[Record]:
    """Merge two traces by time; attempts get their request's gateway and their number."""
    client_records = list(clients)
    gateways = {r.request: r.gateway for r in client_records if isinstance(r, RequestReceived)}
    attempt_counts: Counter[int] = Counter()
    attempt_numbers: dict[tuple[int, int], int] = {}  # latest attempt number by request and server
    records: list[Record] = list(client_records)
    for record in servers:
        if isinstance(record, AttemptSent):
            attempt, attempt_counts[record.request] = (
                attempt_counts[record.request],
                attempt_counts[record.request] + 1,
            )
            attempt_numbers[record.request, record.server] = attempt
            record = replace(record, gateway=gateways.get(record.request, UNKNOWN), attempt=attempt)
        elif isinstance(record, AttemptEnded):
            attempt = attempt_numbers.get(
                (record.request, record.attempt), 0
            )  # the services put the server there
            record = replace(record, gateway=gateways.get(record.request, UNKNOWN), attempt=attempt)
        elif isinstance(record, KeyAnswered):
            request = record.gateway  # the services put the request there
            record = replace(record, at=record.at + KEY_DELAY_MS, gateway=gateways.get(request, UNKNOWN))
        records.append(record)
    records.sort(key=lambda r: r.at)
    return records


def check_traces(
    fleet: Fleet, servers: Path, clients: Path, end_ms: float
) -> tuple[dict[str, int], list[Violation]]:
    """Return counts of violations and the violations in the two traces of a run."""
    parameters = RuleParameters.from_settings(gateway_settings(fleet, 0), SLACK_MS)
    checker = TraceChecker(
        dataclasses.replace(parameters, extra_attempts=EXTRA_ATTEMPTS, extra_share=EXTRA_SHARE)
    )
    traces = [read_trace(p.read_bytes().splitlines(), p.name) for p in (servers, clients)]
    for record in merge_traces(*traces):
        checker.observe(record)
    checker.finish(end_ms)
    return dict(checker.counts), checker.violations
