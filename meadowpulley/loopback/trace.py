"""Rules on sockets: merges the traces of the services and of the driver, and checks them.

A server cannot tell which gateway an attempt came from, and a client cannot see attempts. Both know the
request's id and use one clock, so records are joined by id and ordered by time.
"""

from __future__ import annotations

import dataclasses
from collections import Counter
from collections.abc import Iterable, Sequence
from pathlib import Path

from msgspec.structs import replace

from meadowpulley.fleet import Fleet, gateway_settings
from meadowpulley.rules import (
    AttemptEnded,
    AttemptSent,
    GatewayStarted,
    KeyAnswered,
    Record,
    RequestReceived,
    ResponseSent,
    RuleParameters,
    TraceChecker,
    Violation,
    read_trace,
    trace_line,
)

UNKNOWN = -1  # gateway not known before the merge; as a request: one that no client sent
# The protocol's tolerances on sockets: longer times, slightly more exposure, and a key that was
# answered counts some time after the response was written.
SLACK_MS = 50.0
EXTRA_ATTEMPTS = 2.0
EXTRA_SHARE = 0.04
KEY_DELAY_MS = 150.0


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


def merge_traces(
    servers: Iterable[Record], clients: Iterable[Record], starts: Sequence[GatewayStarted] = ()
) -> list[Record]:
    """Merge two traces by time; attempts get their request's gateway and their number.

    A key that was answered through a gateway's earlier incarnation is nothing that the present one knows.
    """
    client_records = list(clients)
    received = {r.request: r for r in client_records if isinstance(r, RequestReceived)}
    gateways = {number: record.gateway for number, record in received.items()}
    attempt_counts: Counter[int] = Counter()
    attempt_numbers: dict[tuple[int, int], int] = {}  # latest attempt number by request and server
    records: list[Record] = list(client_records)
    for record in servers:
        if isinstance(record, AttemptSent):
            attempt = attempt_counts[record.request]
            attempt_counts[record.request] = attempt_counts[record.request] + 1
            attempt_numbers[record.request, record.server] = attempt
            record = replace(record, gateway=gateways.get(record.request, UNKNOWN), attempt=attempt)
        elif isinstance(record, AttemptEnded):
            attempt = attempt_numbers.get(
                (record.request, record.attempt), 0
            )  # the services put the server there
            record = replace(record, gateway=gateways.get(record.request, UNKNOWN), attempt=attempt)
        elif isinstance(record, KeyAnswered):
            request = received.get(record.gateway)  # the services put the request there
            gateway = request.gateway if request is not None else UNKNOWN
            at = record.at + KEY_DELAY_MS
            if request is not None and any(s.gateway == gateway and request.at < s.at <= at for s in starts):
                continue
            record = replace(record, at=at, gateway=gateway)
        records.append(record)
    records.sort(key=lambda record: record.at)
    return records


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessEvents:
    """What happened to the gateways' processes, for the merge of the traces."""

    records: tuple[Record, ...] = ()  # crashes, starts, and what counts as notified
    kills: tuple[tuple[int, float], ...] = ()  # gateway, time
    dropped_requests: frozenset[int] = frozenset()  # requests that no gateway has read


def _without_lost(records: Iterable[Record], events: ProcessEvents) -> list[Record]:
    """Leave out requests that nobody has read, and what was under way when its gateway was killed.

    A request that was attempted has been read, whatever became of its connection.
    """
    records = list(records)
    attempted = {record.request for record in records if isinstance(record, AttemptSent)}
    dropped = events.dropped_requests - attempted
    remaining: list[Record] = []
    received: dict[int, RequestReceived] = {}
    for record in records:
        if isinstance(record, RequestReceived):
            if record.request in dropped:
                continue
            received[record.request] = record
        under_way = isinstance(record, AttemptSent | ResponseSent)
        request = received.get(record.request) if under_way else None  # type: ignore[union-attr]
        if request is not None and any(
            number == request.gateway and request.at <= killed_at <= record.at
            for number, killed_at in events.kills
        ):
            continue
        remaining.append(record)
    return remaining


def check_traces(
    fleet: Fleet, servers: Path, clients: Path, end_ms: float, events: ProcessEvents | None = None
) -> tuple[dict[str, int], list[Violation]]:
    """Return counts of violations and the violations in the two traces of a run."""
    events = events or ProcessEvents()
    parameters = RuleParameters.from_settings(gateway_settings(fleet, 0), SLACK_MS)
    checker = TraceChecker(
        dataclasses.replace(parameters, extra_attempts=EXTRA_ATTEMPTS, extra_share=EXTRA_SHARE)
    )
    server_records, client_records = (
        list(read_trace(p.read_bytes().splitlines(), p.name)) for p in (servers, clients)
    )
    starts = [record for record in events.records if isinstance(record, GatewayStarted)]
    merged = sorted(
        [*merge_traces(server_records, client_records, starts), *events.records], key=lambda record: record.at
    )
    for record in _without_lost(merged, events):
        checker.observe(record)
    checker.finish(end_ms)
    return dict(checker.counts), checker.violations
