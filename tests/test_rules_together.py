"""What must hold across gateways: each planted breach is found, each lawful neighbour of it passes."""

from __future__ import annotations

from dataclasses import replace

import pytest

from meadowpulley.rules import (
    Admitted,
    Adopted,
    Answered,
    Claimed,
    Closed,
    Counted,
    Died,
    Given,
    Left,
    Listed,
    Outcome,
    Record,
    Sealed,
    Sent,
    SharedFigures,
    Started,
    Taken,
    Written,
)
from tests.test_rules_checker import FIGURES, KEYED, SAFE, UNSAFE, check as check_one

FIGURES_SHARED = SharedFigures(end_ms=1000.0, most_lives=3, admit_per_s=10.0, admit_burst=5.0)
SHARED = replace(FIGURES, shared=FIGURES_SHARED)
LISTED: list[Record] = [Listed(0.0, 1, server, "ready", 41, cell=server) for server in (1, 2)]
OTHER: list[Record] = [Started(0.0, 1), *LISTED, Started(0.0, 2)]


def check(records: list[Record], end: float = 1e6) -> dict[str, int]:
    return check_one([*OTHER, *records], SHARED, end)


def taken(cls: int = SAFE, at: float = 1.0, gateway: int = 0, request: int = 1) -> list[Record]:
    first: list[Record] = [Written(at, gateway, "a", 3000.0)] if gateway == 0 else []
    return [Taken(at, gateway, request, cls, 0, 3000.0, "a"), *first]


def tried(at: float, gateway: int, request: int, n: int = 0, server: int = 1) -> Sent:
    return Sent(at, gateway, request, n, server, 41)


LOST: list[Record] = [Died(100, 0), Sealed(900, 0)]
LEFT, ANEW = Left(9, 0, 1), Written(99, 1, "a", 3000.0)
CLAIM, CLAIMED_TWICE = Claimed(950, 1, "a", 2), Claimed(960, 2, "a", 3)


def begun(cls: int = SAFE, at: float = 960.0, gateway: int = 1) -> Adopted:
    return Adopted(at, gateway, 7, cls, 0, 3000.0, "a")


def ends(how: str = "served", at: float = 1500.0, gateway: int = 1) -> Closed:
    return Closed(at, gateway, "a", how)  # type: ignore[arg-type]


def told(how: str, at: float, gateway: int = 0, request: int = 1, content: str = "x") -> Answered:
    return Answered(at, gateway, request, how, content if how == "served" else "")  # type: ignore[arg-type]


SERVED: list[Record] = [*taken(), ends(at=20, gateway=0), told("served", 21)]
CASES: list[tuple[str, list[Record], dict[str, int]]] = [
    ("taken over and ended", [*taken(), *LOST, CLAIM, begun(), tried(970, 1, 7), ends()], {}),
    ("claimed from one that lives", [*taken(), LEFT, CLAIM, begun(), ends()], {"takeover": 1}),
    ("claimed once it was given away", [*taken(), LEFT, Given(90, 0, "a"), CLAIM, begun(), ends()], {}),
    (
        "claimed twice at a time",
        [*taken(), *LOST, CLAIM, CLAIMED_TWICE, begun(gateway=2), ends()],
        {"takeover": 1},
    ),
    (
        "claimed again once that one is lost too",
        [*taken(), *LOST, CLAIM, Sealed(955, 1), CLAIMED_TWICE, begun(gateway=2), ends()],
        {},
    ),
    ("begun without a claim", [*taken(), *LOST, begun(), ends()], {"takeover": 1}),
    ("begun by another than claimed it", [*taken(), *LOST, CLAIM, begun(gateway=2), ends()], {"takeover": 1}),
    ("claimed too often", [*taken(), *LOST, Claimed(950, 1, "a", 4), ends()], {"takeover": 1}),
    ("claimed after its end", [*taken(), ends(at=90, gateway=0), *LOST, CLAIM], {"takeover": 1}),
    ("begun anew after its end", [*taken(), LEFT, ends(at=90, gateway=0), ANEW, ends()], {"takeover": 1}),
    ("begun anew after it was refused", [*taken(), LEFT, ends("refused", 90, 0), ANEW, ends()], {}),
    ("never ended", [*taken(), *LOST], {"written": 1}),
    ("ended too late", [*taken(), *LOST, CLAIM, begun(), ends(at=4100)], {"written": 1}),
    ("nobody lives to end it", [*taken(), Died(100, 0), Died(110, 1), Died(120, 2)], {}),
    (
        "nobody lived, then one did",
        [
            *taken(),
            Died(100, 0),
            Died(110, 1),
            Died(120, 2),
            Started(9000, 1),
            Sealed(9100, 0),
            Claimed(9200, 1, "a", 2),
            ends(at=9300),
        ],
        {},
    ),
    (
        "unsafe, by two gateways",
        [*taken(UNSAFE), tried(5, 0, 1), *LOST, CLAIM, begun(UNSAFE), tried(970, 1, 7), ends()],
        {"effects": 1},
    ),
    (
        "unsafe, by two gateways, and the first never ran",
        [
            *taken(UNSAFE),
            tried(5, 0, 1),
            Outcome(9, 0, 1, 0, False),
            *LOST,
            CLAIM,
            begun(UNSAFE),
            tried(970, 1, 7),
            ends(),
        ],
        {},
    ),
    (
        "unsafe, the one that woke sends late",
        [
            *taken(UNSAFE),
            Sealed(900, 0),
            CLAIM,
            begun(UNSAFE),
            tried(970, 1, 7),
            tried(980, 0, 1),
            told("failed", 990),
            ends(),
        ],
        {"effects": 1},
    ),
    (
        "keyed, by two gateways within its window and cell",
        [*taken(KEYED), tried(5, 0, 1), *LOST, CLAIM, begun(KEYED), tried(970, 1, 7), ends()],
        {},
    ),
    (
        "keyed, by two gateways in two cells",
        [*taken(KEYED), tried(5, 0, 1), *LOST, CLAIM, begun(KEYED), tried(970, 1, 7, server=2), ends()],
        {"effects": 1},
    ),
    ("one answer, asked twice", [*SERVED, *taken(SAFE, 30, 1, 2), told("served", 40, 1, 2)], {}),
    (
        "two answers, asked twice",
        [*SERVED, *taken(SAFE, 30, 1, 2), told("served", 40, 1, 2, "y")],
        {"answers": 1},
    ),
    ("served, recorded as failed", [*taken(), ends("failed", 20, 0), told("served", 21)], {"answers": 1}),
    (
        "told and then changed",
        [*taken(), ends(at=20, gateway=0), told("served", 21), ends("failed", 30, 0)],
        {"answers": 1},
    ),
    (
        "changed before anybody was told",
        [*taken(), ends(at=20, gateway=0), ends("failed", 30, 0), told("failed", 31)],
        {},
    ),
    (
        "two answers, but nobody was there for one",
        [
            *taken(),
            LEFT,
            told("served", 20),
            *taken(SAFE, 30, 1, 2),
            told("served", 40, 1, 2, "y"),
            ends(at=41),
        ],
        {},
    ),
    ("its client left, and the work goes on", [*taken(), Left(9, 0, 1), tried(10, 0, 1), ends()], {}),
    ("within the capacity", [Admitted(n * 100.0, n % 3, 1.0) for n in range(60)], {}),
    ("a burst within it", [Admitted(5.0, n % 3, 1.0) for n in range(5)], {}),
    ("one more", [Admitted(5.0, n % 3, 1.0) for n in range(6)], {"admissions": 1}),
    ("counted once each", [Counted(9, n, e, "a", 0) for n, e in enumerate("ef")], {}),
    ("counted by two gateways", [Counted(9, 0, "e", "a", 0), Counted(10, 1, "e", "a", 0)], {"counts": 1}),
]


@pytest.mark.parametrize(("what", "records", "found"), CASES, ids=[c[0] for c in CASES])
def test_breaches_across_gateways_are_found(what: str, records: list[Record], found: dict[str, int]) -> None:
    assert check(records) == found
