"""The checker of the five rules: each planted breach is found, each lawful neighbour of it passes."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

import pytest

from meadowpulley.interface import DeduplicationScope, Effect
from meadowpulley.rules import (
    Answered,
    Checker,
    Died,
    Fell,
    Figures,
    Gone,
    KeyAnswered,
    Listed,
    News,
    Outcome,
    Record,
    Sent,
    Started,
    Stopped,
    Taken,
    Woke,
    read_trace,
    trace_line,
)
from meadowpulley.rules.figures import ClassRules

SAFE, UNSAFE, KEYED = 0, 1, 2
FIGURES = Figures(
    classes=(
        ClassRules(Effect.IDEMPOTENT, DeduplicationScope.ALL, 0.0),
        ClassRules(Effect.NON_IDEMPOTENT, DeduplicationScope.ALL, 0.0),
        ClassRules(Effect.IDEMPOTENT_WITH_KEY, DeduplicationScope.CELL, 1000.0),
    ),
    drain_grace_ms=2000.0,
    answer_slack_ms=20.0,
    window_ms=6000.0,
    free=2.0,
    first_cap=0.1,
    per_class=False,
    guarded_stages=0,
    one_way=True,
)
START: list[Record] = [
    Started(0.0, 0),
    Listed(0.0, 0, 1, "ready", 41, cell=1),
    Listed(0.0, 0, 2, "ready", 41, cell=2),
    Listed(0.0, 0, 9, "ready", 42, cell=9),
    News(0.0, 0, 42, 0, "trial", 0.1),
]


def taken(at: float, request: int, cls: int = SAFE, key: int = 0) -> Taken:
    return Taken(at, 0, request, cls, key, at + 3000.0)


def sent(at: float, request: int, n: int = 0, server: int = 1, build: int = 41) -> Sent:
    return Sent(at, 0, request, n, server, build)


def served(at: float, request: int) -> Answered:
    return Answered(at, 0, request, "served")


def refused(at: float, request: int) -> Answered:
    return Answered(at, 0, request, "refused")


def check(records: Iterable[Record], figures: Figures = FIGURES, end: float = 1e6) -> dict[str, int]:
    checker = Checker(figures)
    for record in [*START, *records]:
        checker.see(record)
    checker.finish(end)
    return dict(checker.counts)


def trial(count: int, at: float = 100.0, build: int = 42) -> list[Record]:
    found: list[Record] = []
    for n in range(count):
        found += [taken(at, n), sent(at, n, 0, 9, build), served(at, n)]
    return found


def plain(count: int, start: int = 1000, at: float = 50.0) -> list[Record]:
    return [
        r for n in range(count) for r in (taken(at, start + n), sent(at, start + n), served(at, start + n))
    ]


DRAIN = Listed(10.0, 0, 1, "draining", 41)
BACK = News(60.0, 0, 42, 0, "going_back", 0.0)
CASES: list[tuple[str, list[Record], dict[str, int]]] = [
    ("a plain request", [taken(1, 1), sent(1, 1), served(9, 1)], {}),
    ("no answer", [taken(1, 1), sent(1, 1)], {"answers": 1}),
    ("no answer, but the client left", [taken(1, 1), sent(1, 1), Gone(5, 0, 1)], {}),
    ("no answer, but the gateway was killed", [taken(1, 1), sent(1, 1), Died(5, 0)], {}),
    ("two answers", [taken(1, 1), served(9, 1), Answered(9, 0, 1, "failed")], {"answers": 1}),
    ("an answer to nothing", [served(9, 1)], {"answers": 1}),
    ("an answer after the client's time", [taken(1, 1), served(3022, 1)], {"answers": 1}),
    ("an answer within the slack", [taken(1, 1), served(3020, 1)], {}),
    ("sent after its answer", [taken(1, 1), served(9, 1), sent(10, 1)], {"answers": 1}),
    ("taken twice", [taken(1, 1), served(2, 1), taken(3, 1)], {"answers": 1}),
    ("safe, twice at once", [taken(1, 1), sent(1, 1), sent(2, 1, 1, 2), served(9, 1)], {}),
    ("unsafe, twice", [taken(1, 1, UNSAFE), sent(1, 1), sent(2, 1, 1, 2), served(9, 1)], {"effects": 1}),
    (
        "unsafe, again after a reset",
        [taken(1, 1, UNSAFE), sent(1, 1), Outcome(2, 0, 1, 0, True), sent(3, 1, 1, 2), served(9, 1)],
        {"effects": 1},
    ),
    (
        "unsafe, again after it never ran",
        [taken(1, 1, UNSAFE), sent(1, 1), Outcome(2, 0, 1, 0, False), sent(3, 1, 1, 2), served(9, 1)],
        {},
    ),
    ("unsafe, refused while out", [taken(1, 1, UNSAFE), sent(1, 1), refused(2, 1)], {"effects": 1}),
    ("unsafe, failed while out", [taken(1, 1, UNSAFE), sent(1, 1), Answered(2, 0, 1, "failed")], {}),
    ("safe, refused while out", [taken(1, 1), sent(1, 1), refused(2, 1)], {}),
    ("keyed, again in its cell", [taken(1, 1, KEYED, 5), sent(1, 1), sent(500, 1, 1), served(900, 1)], {}),
    (
        "keyed, again in another cell",
        [taken(1, 1, KEYED, 5), sent(1, 1), sent(500, 1, 1, 2), served(900, 1)],
        {"effects": 1},
    ),
    (
        "keyed, again after it is forgotten",
        [taken(1, 1, KEYED, 5), sent(1, 1), sent(1200, 1, 1), served(1300, 1)],
        {"effects": 1},
    ),
    ("draining, within the grace", [DRAIN, taken(2000, 1), sent(2000, 1), served(2001, 1)], {}),
    (
        "draining, after the grace",
        [DRAIN, taken(2011, 1), sent(2011, 1), served(2012, 1)],
        {"drains": 1},
    ),
    (
        "draining, then gone: the grace runs from the first",
        [DRAIN, Listed(1500, 0, 1, "gone", 41), taken(2500, 1), sent(2500, 1), served(2600, 1)],
        {"drains": 1},
    ),
    ("never listed", [taken(1, 1), sent(1, 1, 0, 77), served(2, 1)], {"drains": 1}),
    ("pushed over", [Fell(5, 9)], {"cold": 1}),
    ("exposure, the free ones", trial(2), {}),
    ("exposure, one too many", trial(3), {"exposure": 1}),
    ("exposure, a tenth of what was taken", [*plain(20), *trial(4)], {}),
    ("exposure, what was taken too long ago", [*plain(20), *trial(3, 6100.0)], {"exposure": 1}),
    ("exposure, released", [News(20, 0, 42, 0, "released", 1.0), *trial(30)], {}),
    ("exposure, a build not yet announced", trial(3, build=43), {"exposure": 1}),
    ("exposure, a lower cap within the grace", [BACK, *plain(20), *trial(4)], {}),
    (
        "exposure, a lower cap after it",
        [BACK, *plain(20, at=2100.0), *trial(3, 2101.0)],
        {"exposure": 1},
    ),
    (
        "one-way: a key that the trial has answered",
        [*plain(9), KeyAnswered(5, 0, 7, 42), taken(60, 1, key=7), sent(60, 1), served(61, 1)],
        {"one-way": 1},
    ),
    (
        "one-way: free once the build is called back",
        [KeyAnswered(5, 0, 7, 42), BACK, taken(60, 1, key=7), sent(60, 1), served(61, 1)],
        {},
    ),
    (
        "one-way: another gateway's key",
        [KeyAnswered(5, 3, 7, 42), taken(60, 1, key=7), sent(60, 1), served(61, 1)],
        {},
    ),
]


@pytest.mark.parametrize(("what", "records", "found"), CASES, ids=[c[0] for c in CASES])
def test_breaches_are_found_and_nothing_else(what: str, records: list[Record], found: dict[str, int]) -> None:
    assert check(records) == found


def test_guarded_stages_are_shut_to_requests_with_an_effect() -> None:
    guarded = replace(FIGURES, guarded_stages=1)
    effect: list[Record] = [taken(1, 1, UNSAFE), sent(1, 1, 0, 9, 42), served(2, 1)]
    assert check(effect, guarded) == {"exposure": 1} and check(effect) == {}
    assert check([News(0.5, 0, 42, 1, "trial", 0.5), *effect], guarded) == {}


def test_a_class_alone_can_be_counted() -> None:
    alone = replace(FIGURES, per_class=True)
    mixed: list[Record] = [taken(1, 1), taken(1, 2), taken(1, 3, UNSAFE)]
    tries: list[Record] = [sent(2, n, 0, 9, 42) for n in (1, 2, 3)]
    ends: list[Record] = [served(3, n) for n in (1, 2, 3)]
    assert check([*mixed, *tries, *ends], alone) == {} and check([*mixed, *tries, *ends]) == {"exposure": 1}


def test_a_trace_reads_back_as_it_was_written_and_a_bad_line_is_named() -> None:
    records = [*START, *CASES[0][1], Fell(5, 9), Died(6, 0), KeyAnswered(7, 0, 2**63, 42)]
    lines = [trace_line(record) for record in records]
    assert list(read_trace(lines, "run.jsonl")) == records
    with pytest.raises(ValueError, match=r"^run.jsonl: line 2: "):
        list(read_trace([lines[0], b'{"type": "sent", "at": 1}'], "run.jsonl"))


@pytest.mark.parametrize(
    ("what", "records", "found"),
    [
        ("stopped over its deadline", [taken(1, 1), Stopped(5, 0), Woke(9000, 0), served(9001, 1)], {}),
        ("stopped and never woken", [taken(1, 1), Stopped(5, 0)], {}),
        ("stopped, but woken in time", [taken(1, 1), Stopped(5, 0), Woke(900, 0)], {"answers": 1}),
        ("stopped after it was owed", [taken(1, 1), Stopped(3500, 0)], {"answers": 1}),
        (
            "woken, and an effect twice",
            [taken(1, 1, UNSAFE), sent(1, 1), Stopped(5, 0), Woke(900, 0), sent(901, 1), served(902, 1)],
            {"effects": 1},
        ),
    ],
)
def test_a_gateway_that_stands_still_owes_nothing_meanwhile(
    what: str, records: list[Record], found: dict[str, int]
) -> None:
    assert check(records) == found
