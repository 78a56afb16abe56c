"""Traces of services and driver merged into one: violations planted on either side are found."""

from __future__ import annotations

from pathlib import Path

import pytest

from meadowpulley.cli.demo import demo_fleet
from meadowpulley.loopback.trace import UNKNOWN, check_traces
from meadowpulley.rules import (
    AttemptEnded,
    AttemptSent,
    EndpointListed,
    GatewayStarted,
    KeyAnswered,
    Record,
    RequestReceived,
    ResponseSent,
    RolloutUpdated,
    trace_line,
)

SAFE_CLASS, UNSAFE_CLASS = 0, 1
START: list[Record] = [
    GatewayStarted(-9.0, 1),
    EndpointListed(-9.0, 1, 4, "ready", 1),
    EndpointListed(-9.0, 1, 5, "ready", 1),
    EndpointListed(-9.0, 1, 9, "ready", 2),
    RolloutUpdated(-9.0, 1, 2, 0, "trial", 0.17),
]


def attempt(at: float, request: int, server: int = 4, build: int = 1) -> AttemptSent:
    return AttemptSent(
        at, UNKNOWN, request, 0, server, build
    )  # as an instance sees it: no gateway, no number


def rejected(at: float, request: int, server: int = 4) -> AttemptEnded:
    return AttemptEnded(at, UNKNOWN, request, server, False)


def received(at: float, request: int, class_index: int = SAFE_CLASS, key: int = 0) -> list[Record]:
    return [
        RequestReceived(at, 1, request, class_index, key, at + 2000.0),
        ResponseSent(at + 500.0, 1, request, "served"),
    ]


DRAIN = EndpointListed(1.0, 1, 4, "draining", 1)
CASES: list[tuple[str, list[Record], list[Record], dict[str, int]]] = [
    ("a plain request", [attempt(10, 7)], received(5, 7), {}),
    ("no answer", [attempt(10, 7)], received(5, 7)[:1], {"answers": 1}),
    ("an attempt for a request that no client sent", [attempt(10, 8)], received(5, 7), {"answers": 1}),
    ("unsafe, twice", [attempt(10, 7), attempt(20, 7, 5)], received(5, 7, UNSAFE_CLASS), {"effects": 1}),
    (
        "unsafe, again once it was turned away",
        [attempt(10, 7), rejected(15, 7), attempt(20, 7, 5)],
        received(5, 7, UNSAFE_CLASS),
        {},
    ),
    ("a server that drains", [DRAIN, attempt(2060, 7)], received(2055, 7), {"drains": 1}),
    ("within the grace and what sockets are allowed", [DRAIN, attempt(2040, 7)], received(2035, 7), {}),
    (
        "a key that the trial has answered",
        [KeyAnswered(10, 7, 33, 2), attempt(170, 8)],
        [*received(5, 7, key=33), *received(165, 8, key=33)],
        {"one-way": 1},
    ),
    (
        "a key that it answered just now",
        [KeyAnswered(10, 7, 33, 2), attempt(150, 8)],
        [*received(5, 7, key=33), *received(145, 8, key=33)],
        {},
    ),
    (
        "more of the trial than its cap",
        [attempt(10.0 + n, n, 9, 2) for n in range(8)],
        [r for n in range(8) for r in received(9.0 + n, n)],
        {"exposure": 1},
    ),
]


@pytest.mark.parametrize(("expected", "servers", "clients", "found"), CASES, ids=[c[0] for c in CASES])
def test_violations_on_sockets_are_reported(
    tmp_path: Path, expected: str, servers: list[Record], clients: list[Record], found: dict[str, int]
) -> None:
    paths = tmp_path / "servers", tmp_path / "clients"
    for path, records in zip(paths, ([*START, *servers], clients), strict=True):
        path.write_bytes(b"".join(trace_line(r) + b"\n" for r in records))
    counts, breaches = check_traces(demo_fleet(), *paths, 10_000.0)
    assert set(counts) == set(found), breaches
