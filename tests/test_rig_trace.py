"""What servers and clients of the rig saw, joined into one trace: breaches planted on either side are
found."""

from __future__ import annotations

from pathlib import Path

import pytest

from meadowpulley.cli.demo import demo_fleet
from meadowpulley.rig.trace import UNKNOWN, check
from meadowpulley.rules import (
    Answered,
    KeyAnswered,
    Listed,
    News,
    Outcome,
    Record,
    Sent,
    Started,
    Taken,
    trace_line,
)

SAFE, UNSAFE = 0, 1
START: list[Record] = [
    Started(-9.0, 1),
    Listed(-9.0, 1, 4, "ready", 1),
    Listed(-9.0, 1, 5, "ready", 1),
    Listed(-9.0, 1, 9, "ready", 2),
    News(-9.0, 1, 2, 0, "trial", 0.17),
]


def sent(at: float, request: int, server: int = 4, build: int = 1) -> Sent:
    return Sent(at, UNKNOWN, request, 0, server, build)  # as an instance sees it: no gateway, no number


def turned_away(at: float, request: int, server: int = 4) -> Outcome:
    return Outcome(at, UNKNOWN, request, server, False)


def asked(at: float, request: int, cls: int = SAFE, key: int = 0) -> list[Record]:
    return [Taken(at, 1, request, cls, key, at + 2000.0), Answered(at + 500.0, 1, request, "served")]


DRAIN = Listed(1.0, 1, 4, "draining", 1)
CASES: list[tuple[str, list[Record], list[Record], dict[str, int]]] = [
    ("a plain request", [sent(10, 7)], asked(5, 7), {}),
    ("no answer", [sent(10, 7)], asked(5, 7)[:1], {"answers": 1}),
    ("an attempt for a request that no client sent", [sent(10, 8)], asked(5, 7), {"answers": 1}),
    ("unsafe, twice", [sent(10, 7), sent(20, 7, 5)], asked(5, 7, UNSAFE), {"effects": 1}),
    (
        "unsafe, again once it was turned away",
        [sent(10, 7), turned_away(15, 7), sent(20, 7, 5)],
        asked(5, 7, UNSAFE),
        {},
    ),
    ("a server that drains", [DRAIN, sent(2060, 7)], asked(2055, 7), {"drains": 1}),
    ("within the grace and what sockets are allowed", [DRAIN, sent(2040, 7)], asked(2035, 7), {}),
    (
        "a key that the trial has answered",
        [KeyAnswered(10, 7, 33, 2), sent(170, 8)],
        [*asked(5, 7, key=33), *asked(165, 8, key=33)],
        {"one-way": 1},
    ),
    (
        "a key that it answered just now",
        [KeyAnswered(10, 7, 33, 2), sent(150, 8)],
        [*asked(5, 7, key=33), *asked(145, 8, key=33)],
        {},
    ),
    (
        "more of the trial than its cap",
        [sent(10.0 + n, n, 9, 2) for n in range(8)],
        [r for n in range(8) for r in asked(9.0 + n, n)],
        {"exposure": 1},
    ),
]


@pytest.mark.parametrize(("what", "servers", "clients", "found"), CASES, ids=[c[0] for c in CASES])
def test_breaches_on_sockets_are_found(
    tmp_path: Path, what: str, servers: list[Record], clients: list[Record], found: dict[str, int]
) -> None:
    paths = tmp_path / "servers", tmp_path / "clients"
    for path, records in zip(paths, ([*START, *servers], clients), strict=True):
        path.write_bytes(b"".join(trace_line(r) + b"\n" for r in records))
    counts, breaches = check(demo_fleet(), *paths, 10_000.0)
    assert set(counts) == set(found), breaches
