"""The rules on sockets: what the stand-ins saw and what the driver saw, put together as one trace and
checked.

An instance can't tell which gateway an attempt came from, and a client can't see attempts. Both know the
request's id and both run on one clock, so the records are joined by id and ordered by time.
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

UNKNOWN = -1  # in place of a gateway, until it is joined; as a request: one that no client sent
# What the users' protocol allows for on sockets: times are longer, exposure is a little more, a key that was
# answered counts a while after the answer was written.
SLACK_MS, EXTRA_ATTEMPTS, EXTRA_SHARE, KEY_DELAY_MS = 50.0, 2.0, 0.04, 150.0


class TraceWriter:
    """Records of one process, kept until its end."""

    def __init__(self) -> None:
        self._lines: list[bytes] = []

    def record(self, record: Record) -> None:
        self._lines.append(trace_line(record))

    def write(self, path: Path) -> None:
        path.write_bytes(b"".join(line + b"\n" for line in self._lines))


def merge_traces(servers: Iterable[Record], clients: Iterable[Record]) -> list[Record]:
    """One trace, in order of time: attempts get the gateway that their request was sent to, and their
    number."""
    client_records = list(clients)
    gateways = {r.request: r.gateway for r in client_records if isinstance(r, RequestReceived)}
    attempt_counts: Counter[int] = Counter()
    attempt_numbers: dict[
        tuple[int, int], int
    ] = {}  # the attempt that a server's record is about, by request and server
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
            )  # the stand-ins name the server there
            record = replace(record, gateway=gateways.get(record.request, UNKNOWN), attempt=attempt)
        elif isinstance(record, KeyAnswered):
            request = record.gateway  # the stand-ins name the request there
            record = replace(record, at=record.at + KEY_DELAY_MS, gateway=gateways.get(request, UNKNOWN))
        records.append(record)
    records.sort(key=lambda r: r.at)
    return records


def check_traces(
    fleet: Fleet, servers: Path, clients: Path, end_ms: float
) -> tuple[dict[str, int], list[Violation]]:
    """Counts of broken rules and the breaches, of the two files of a run that lasted until `end_ms`."""
    parameters = RuleParameters.from_settings(gateway_settings(fleet, 0), SLACK_MS)
    checker = TraceChecker(
        dataclasses.replace(parameters, extra_attempts=EXTRA_ATTEMPTS, extra_share=EXTRA_SHARE)
    )
    traces = [read_trace(p.read_bytes().splitlines(), p.name) for p in (servers, clients)]
    for record in merge_traces(*traces):
        checker.observe(record)
    checker.finish(end_ms)
    return dict(checker.counts), checker.violations
