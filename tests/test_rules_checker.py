"""The checker of the five rules: each planted breach is found, each lawful neighbour of it passes."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

import pytest

from meadowpulley.interface import DeduplicationScope, Effect
from meadowpulley.rules import (
    AttemptEnded,
    AttemptSent,
    EndpointListed,
    GatewayCrashed,
    GatewayPaused,
    GatewayResumed,
    GatewayStarted,
    InstanceOverloaded,
    KeyAnswered,
    Record,
    RequestAbandoned,
    RequestReceived,
    ResponseSent,
    RolloutUpdated,
    RuleParameters,
    TraceChecker,
    read_trace,
    trace_line,
)
from meadowpulley.rules.parameters import ClassRules

SAFE_CLASS, UNSAFE_CLASS, KEYED_CLASS = 0, 1, 2
PARAMETERS = RuleParameters(
    classes=(
        ClassRules(Effect.IDEMPOTENT, DeduplicationScope.ALL, 0.0),
        ClassRules(Effect.NON_IDEMPOTENT, DeduplicationScope.ALL, 0.0),
        ClassRules(Effect.IDEMPOTENT_WITH_KEY, DeduplicationScope.CELL, 1000.0),
    ),
    drain_grace_ms=2000.0,
    answer_slack_ms=20.0,
    window_ms=6000.0,
    free_attempts=2.0,
    first_cap=0.1,
    per_class=False,
    guarded_stages=0,
    one_way=True,
)
START: list[Record] = [
    GatewayStarted(0.0, 0),
    EndpointListed(0.0, 0, 1, "ready", 41, cell=1),
    EndpointListed(0.0, 0, 2, "ready", 41, cell=2),
    EndpointListed(0.0, 0, 9, "ready", 42, cell=9),
    RolloutUpdated(0.0, 0, 42, 0, "trial", 0.1),
]


def received(at: float, request: int, class_index: int = SAFE_CLASS, key: int = 0) -> RequestReceived:
    return RequestReceived(at, 0, request, class_index, key, at + 3000.0)


def attempt(at: float, request: int, number: int = 0, server: int = 1, build: int = 41) -> AttemptSent:
    return AttemptSent(at, 0, request, number, server, build)


def served_response(at: float, request: int) -> ResponseSent:
    return ResponseSent(at, 0, request, "served")


def rejected_response(at: float, request: int) -> ResponseSent:
    return ResponseSent(at, 0, request, "refused")


def violated_rules(
    records: Iterable[Record], parameters: RuleParameters = PARAMETERS, end_ms: float = 1e6
) -> dict[str, int]:
    checker = TraceChecker(parameters)
    for record in [*START, *records]:
        checker.observe(record)
    checker.finish(end_ms)
    return dict(checker.counts)


def trial_attempts(count: int, at: float = 100.0, build: int = 42) -> list[Record]:
    found: list[Record] = []
    for n in range(count):
        found += [received(at, n), attempt(at, n, 0, 9, build), served_response(at, n)]
    return found


def plain_attempts(count: int, start: int = 1000, at: float = 50.0) -> list[Record]:
    return [
        r
        for n in range(count)
        for r in (received(at, start + n), attempt(at, start + n), served_response(at, start + n))
    ]


DRAIN = EndpointListed(10.0, 0, 1, "draining", 41)
ROLLED_BACK = RolloutUpdated(60.0, 0, 42, 0, "going_back", 0.0)
CASES: list[tuple[str, list[Record], dict[str, int]]] = [
    ("a plain request", [received(1, 1), attempt(1, 1), served_response(9, 1)], {}),
    ("no answer", [received(1, 1), attempt(1, 1)], {"answers": 1}),
    ("no answer, but the client left", [received(1, 1), attempt(1, 1), RequestAbandoned(5, 0, 1)], {}),
    ("no answer, but the gateway was killed", [received(1, 1), attempt(1, 1), GatewayCrashed(5, 0)], {}),
    ("two answers", [received(1, 1), served_response(9, 1), ResponseSent(9, 0, 1, "failed")], {"answers": 1}),
    ("an answer to nothing", [served_response(9, 1)], {"answers": 1}),
    ("an answer after the client's time", [received(1, 1), served_response(3022, 1)], {"answers": 1}),
    ("an answer within the slack", [received(1, 1), served_response(3020, 1)], {}),
    ("sent after its answer", [received(1, 1), served_response(9, 1), attempt(10, 1)], {"answers": 1}),
    ("taken twice", [received(1, 1), served_response(2, 1), received(3, 1)], {"answers": 1}),
    ("safe, twice at once", [received(1, 1), attempt(1, 1), attempt(2, 1, 1, 2), served_response(9, 1)], {}),
    (
        "unsafe, twice",
        [received(1, 1, UNSAFE_CLASS), attempt(1, 1), attempt(2, 1, 1, 2), served_response(9, 1)],
        {"effects": 1},
    ),
    (
        "unsafe, again after a reset",
        [
            received(1, 1, UNSAFE_CLASS),
            attempt(1, 1),
            AttemptEnded(2, 0, 1, 0, True),
            attempt(3, 1, 1, 2),
            served_response(9, 1),
        ],
        {"effects": 1},
    ),
    (
        "unsafe, again after it never ran",
        [
            received(1, 1, UNSAFE_CLASS),
            attempt(1, 1),
            AttemptEnded(2, 0, 1, 0, False),
            attempt(3, 1, 1, 2),
            served_response(9, 1),
        ],
        {},
    ),
    (
        "unsafe, refused while out",
        [received(1, 1, UNSAFE_CLASS), attempt(1, 1), rejected_response(2, 1)],
        {"effects": 1},
    ),
    (
        "unsafe, failed while out",
        [received(1, 1, UNSAFE_CLASS), attempt(1, 1), ResponseSent(2, 0, 1, "failed")],
        {},
    ),
    ("safe, refused while out", [received(1, 1), attempt(1, 1), rejected_response(2, 1)], {}),
    (
        "keyed, again in its cell",
        [received(1, 1, KEYED_CLASS, 5), attempt(1, 1), attempt(500, 1, 1), served_response(900, 1)],
        {},
    ),
    (
        "keyed, again in another cell",
        [received(1, 1, KEYED_CLASS, 5), attempt(1, 1), attempt(500, 1, 1, 2), served_response(900, 1)],
        {"effects": 1},
    ),
    (
        "keyed, again after it is forgotten",
        [received(1, 1, KEYED_CLASS, 5), attempt(1, 1), attempt(1200, 1, 1), served_response(1300, 1)],
        {"effects": 1},
    ),
    (
        "draining, within the grace",
        [DRAIN, received(2000, 1), attempt(2000, 1), served_response(2001, 1)],
        {},
    ),
    (
        "draining, after the grace",
        [DRAIN, received(2011, 1), attempt(2011, 1), served_response(2012, 1)],
        {"drains": 1},
    ),
    (
        "draining, then gone: the grace runs from the first",
        [
            DRAIN,
            EndpointListed(1500, 0, 1, "gone", 41),
            received(2500, 1),
            attempt(2500, 1),
            served_response(2600, 1),
        ],
        {"drains": 1},
    ),
    ("never listed", [received(1, 1), attempt(1, 1, 0, 77), served_response(2, 1)], {"drains": 1}),
    ("pushed over", [InstanceOverloaded(5, 9)], {"cold": 1}),
    ("exposure, the free ones", trial_attempts(2), {}),
    ("exposure, one too many", trial_attempts(3), {"exposure": 1}),
    ("exposure, a tenth of what was taken", [*plain_attempts(20), *trial_attempts(4)], {}),
    (
        "exposure, what was taken too long ago",
        [*plain_attempts(20), *trial_attempts(3, 6100.0)],
        {"exposure": 1},
    ),
    ("exposure, released", [RolloutUpdated(20, 0, 42, 0, "released", 1.0), *trial_attempts(30)], {}),
    ("exposure, a build not yet announced", trial_attempts(3, build=43), {"exposure": 1}),
    ("exposure, a lower cap within the grace", [ROLLED_BACK, *plain_attempts(20), *trial_attempts(4)], {}),
    (
        "exposure, a lower cap after it",
        [ROLLED_BACK, *plain_attempts(20, at=2100.0), *trial_attempts(3, 2101.0)],
        {"exposure": 1},
    ),
    (
        "one-way: a key that the trial has answered",
        [
            *plain_attempts(9),
            KeyAnswered(5, 0, 7, 42),
            received(60, 1, key=7),
            attempt(60, 1),
            served_response(61, 1),
        ],
        {"one-way": 1},
    ),
    (
        "one-way: free once the build is called back",
        [
            KeyAnswered(5, 0, 7, 42),
            ROLLED_BACK,
            received(60, 1, key=7),
            attempt(60, 1),
            served_response(61, 1),
        ],
        {},
    ),
    (
        "one-way: another gateway's key",
        [KeyAnswered(5, 3, 7, 42), received(60, 1, key=7), attempt(60, 1), served_response(61, 1)],
        {},
    ),
]


@pytest.mark.parametrize(("expected", "records", "found"), CASES, ids=[c[0] for c in CASES])
def test_violations_are_reported_and_nothing_else(
    expected: str, records: list[Record], found: dict[str, int]
) -> None:
    assert violated_rules(records) == found


def test_guarded_stages_reject_requests_with_effects() -> None:
    guarded = replace(PARAMETERS, guarded_stages=1)
    effect: list[Record] = [received(1, 1, UNSAFE_CLASS), attempt(1, 1, 0, 9, 42), served_response(2, 1)]
    assert violated_rules(effect, guarded) == {"exposure": 1}
    assert violated_rules(effect) == {}
    assert violated_rules([RolloutUpdated(0.5, 0, 42, 1, "trial", 0.5), *effect], guarded) == {}


def test_exposure_can_be_counted_per_class() -> None:
    alone = replace(PARAMETERS, per_class=True)
    mixed: list[Record] = [received(1, 1), received(1, 2), received(1, 3, UNSAFE_CLASS)]
    tries: list[Record] = [attempt(2, n, 0, 9, 42) for n in (1, 2, 3)]
    ends: list[Record] = [served_response(3, n) for n in (1, 2, 3)]
    assert violated_rules([*mixed, *tries, *ends], alone) == {}
    assert violated_rules([*mixed, *tries, *ends]) == {"exposure": 1}


def test_trace_round_trip_and_bad_line_number() -> None:
    records = [
        *START,
        *CASES[0][1],
        InstanceOverloaded(5, 9),
        GatewayCrashed(6, 0),
        KeyAnswered(7, 0, 2**63, 42),
    ]
    lines = [trace_line(record) for record in records]
    assert list(read_trace(lines, "run.jsonl")) == records
    with pytest.raises(ValueError, match=r"^run.jsonl: line 2: "):
        list(read_trace([lines[0], b'{"type": "sent", "at": 1}'], "run.jsonl"))


@pytest.mark.parametrize(
    ("expected", "records", "found"),
    [
        (
            "stopped over its deadline",
            [received(1, 1), GatewayPaused(5, 0), GatewayResumed(9000, 0), served_response(9001, 1)],
            {},
        ),
        ("stopped and never woken", [received(1, 1), GatewayPaused(5, 0)], {}),
        (
            "stopped, but woken in time",
            [received(1, 1), GatewayPaused(5, 0), GatewayResumed(900, 0)],
            {"answers": 1},
        ),
        ("stopped after it was owed", [received(1, 1), GatewayPaused(3500, 0)], {"answers": 1}),
        (
            "woken, and an effect twice",
            [
                received(1, 1, UNSAFE_CLASS),
                attempt(1, 1),
                GatewayPaused(5, 0),
                GatewayResumed(900, 0),
                attempt(901, 1),
                served_response(902, 1),
            ],
            {"effects": 1},
        ),
    ],
)
def test_paused_gateway_owes_no_response(expected: str, records: list[Record], found: dict[str, int]) -> None:
    assert violated_rules(records) == found
