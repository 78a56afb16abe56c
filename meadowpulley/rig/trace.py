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

from meadowpulley.fleet import Fleet, settings_of
from meadowpulley.rules import (
    Breach,
    Checker,
    Figures,
    KeyAnswered,
    Outcome,
    Record,
    Sent,
    Taken,
    read_trace,
    trace_line,
)

UNKNOWN = -1  # in place of a gateway, until it is joined; as a request: one that no client sent
# What the users' protocol allows for on sockets: times are longer, exposure is a little more, a key that was
# answered counts a while after the answer was written.
SLACK_MS, OVER_CAP, OVER_SHARE, KEY_MS = 50.0, 2.0, 0.04, 150.0


class Tape:
    """Records of one process, kept until its end."""

    def __init__(self) -> None:
        self._lines: list[bytes] = []

    def record(self, record: Record) -> None:
        self._lines.append(trace_line(record))

    def write(self, path: Path) -> None:
        path.write_bytes(b"".join(line + b"\n" for line in self._lines))


def joined(servers: Iterable[Record], clients: Iterable[Record]) -> list[Record]:
    """One trace, in order of time: attempts get the gateway that their request was sent to, and their
    number."""
    asked = list(clients)
    gateways = {r.request: r.gateway for r in asked if isinstance(r, Taken)}
    tries: Counter[int] = Counter()
    sent: dict[
        tuple[int, int], int
    ] = {}  # the attempt that a server's record is about, by request and server
    found: list[Record] = list(asked)
    for record in servers:
        if isinstance(record, Sent):
            n, tries[record.request] = tries[record.request], tries[record.request] + 1
            sent[record.request, record.server] = n
            record = replace(record, gateway=gateways.get(record.request, UNKNOWN), attempt=n)
        elif isinstance(record, Outcome):
            n = sent.get((record.request, record.attempt), 0)  # the stand-ins name the server there
            record = replace(record, gateway=gateways.get(record.request, UNKNOWN), attempt=n)
        elif isinstance(record, KeyAnswered):
            request = record.gateway  # the stand-ins name the request there
            record = replace(record, at=record.at + KEY_MS, gateway=gateways.get(request, UNKNOWN))
        found.append(record)
    found.sort(key=lambda r: r.at)
    return found


def check(fleet: Fleet, servers: Path, clients: Path, end_ms: float) -> tuple[dict[str, int], list[Breach]]:
    """Counts of broken rules and the breaches, of the two files of a run that lasted until `end_ms`."""
    figures = Figures.of(settings_of(fleet, 0), SLACK_MS)
    checker = Checker(dataclasses.replace(figures, over_cap=OVER_CAP, over_share=OVER_SHARE))
    tapes = [read_trace(p.read_bytes().splitlines(), p.name) for p in (servers, clients)]
    for record in joined(*tapes):
        checker.see(record)
    checker.finish(end_ms)
    return dict(checker.counts), checker.breaches
