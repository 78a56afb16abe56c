"""The checker of the five rules reports each violation, and accepts similar traces without one."""

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
    records: list[Record] = []
    for n in range(count):
        records += [received(at, n), attempt(at, n, 0, 9, build), served_response(at, n)]
    return records


def plain_attempts(count: int, start: int = 1000, at: float = 50.0) -> list[Record]:
    return [
        r
        for n in range(count)
        for r in (received(at, start + n), attempt(at, start + n), served_response(at, start + n))
    ]


DRAIN = EndpointListed(10.0, 0, 1, "draining", 41)
ROLLED_BACK = RolloutUpdated(60.0, 0, 42, 0, "going_back", 0.0)
CASES: list[tuple[str, list[Record], dict[str, int]]] = [
    ("one attempt and one response", [received(1, 1), attempt(1, 1), served_response(9, 1)], {}),
    ("no response", [received(1, 1), attempt(1, 1)], {"answers": 1}),
    (
        "no response, but the client disconnected",
        [received(1, 1), attempt(1, 1), RequestAbandoned(5, 0, 1)],
        {},
    ),
    ("no response, but the gateway crashed", [received(1, 1), attempt(1, 1), GatewayCrashed(5, 0)], {}),
    (
        "two responses",
        [received(1, 1), served_response(9, 1), ResponseSent(9, 0, 1, "failed")],
        {"answers": 1},
    ),
    ("a response to an unknown request", [served_response(9, 1)], {"answers": 1}),
    ("a response after the deadline", [received(1, 1), served_response(3022, 1)], {"answers": 1}),
    ("a response after the deadline, within the slack", [received(1, 1), served_response(3020, 1)], {}),
    (
        "an attempt after the response",
        [received(1, 1), served_response(9, 1), attempt(10, 1)],
        {"answers": 1},
    ),
    ("received twice", [received(1, 1), served_response(2, 1), received(3, 1)], {"answers": 1}),
    (
        "idempotent, two attempts at once",
        [received(1, 1), attempt(1, 1), attempt(2, 1, 1, 2), served_response(9, 1)],
        {},
    ),
    (
        "non-idempotent, two attempts",
        [received(1, 1, UNSAFE_CLASS), attempt(1, 1), attempt(2, 1, 1, 2), served_response(9, 1)],
        {"effects": 1},
    ),
    (
        "non-idempotent, retried after an attempt that may have executed",
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
        "non-idempotent, retried after an attempt that did not execute",
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
        "non-idempotent, rejected with an attempt outstanding",
        [received(1, 1, UNSAFE_CLASS), attempt(1, 1), rejected_response(2, 1)],
        {"effects": 1},
    ),
    (
        "non-idempotent, failed with an attempt outstanding",
        [received(1, 1, UNSAFE_CLASS), attempt(1, 1), ResponseSent(2, 0, 1, "failed")],
        {},
    ),
    (
        "idempotent, rejected with an attempt outstanding",
        [received(1, 1), attempt(1, 1), rejected_response(2, 1)],
        {},
    ),
    (
        "keyed, retried in the same cell",
        [received(1, 1, KEYED_CLASS, 5), attempt(1, 1), attempt(500, 1, 1), served_response(900, 1)],
        {},
    ),
    (
        "keyed, retried in another cell",
        [received(1, 1, KEYED_CLASS, 5), attempt(1, 1), attempt(500, 1, 1, 2), served_response(900, 1)],
        {"effects": 1},
    ),
    (
        "keyed, retried after the servers forgot the key",
        [received(1, 1, KEYED_CLASS, 5), attempt(1, 1), attempt(1200, 1, 1), served_response(1300, 1)],
        {"effects": 1},
    ),
    (
        "draining server, within the drain grace",
        [DRAIN, received(2000, 1), attempt(2000, 1), served_response(2001, 1)],
        {},
    ),
    (
        "draining server, after the drain grace",
        [DRAIN, received(2011, 1), attempt(2011, 1), served_response(2012, 1)],
        {"drains": 1},
    ),
    (
        "draining, then gone: the drain grace runs from the first listing",
        [
            DRAIN,
            EndpointListed(1500, 0, 1, "gone", 41),
            received(2500, 1),
            attempt(2500, 1),
            served_response(2600, 1),
        ],
        {"drains": 1},
    ),
    (
        "server that was never listed",
        [received(1, 1), attempt(1, 1, 0, 77), served_response(2, 1)],
        {"drains": 1},
    ),
    ("server overloaded in slow start", [InstanceOverloaded(5, 9)], {"cold": 1}),
    ("exposure, attempts within the allowance", trial_attempts(2), {}),
    ("exposure, one attempt beyond the allowance", trial_attempts(3), {"exposure": 1}),
    ("exposure, a tenth of the received requests", [*plain_attempts(20), *trial_attempts(4)], {}),
    (
        "exposure, requests received before the window",
        [*plain_attempts(20), *trial_attempts(3, 6100.0)],
        {"exposure": 1},
    ),
    ("exposure, a released build", [RolloutUpdated(20, 0, 42, 0, "released", 1.0), *trial_attempts(30)], {}),
    ("exposure, a build without a rollout update", trial_attempts(3, build=43), {"exposure": 1}),
    (
        "exposure, a lowered cap within the drain grace",
        [ROLLED_BACK, *plain_attempts(20), *trial_attempts(4)],
        {},
    ),
    (
        "exposure, a lowered cap after the drain grace",
        [ROLLED_BACK, *plain_attempts(20, at=2100.0), *trial_attempts(3, 2101.0)],
        {"exposure": 1},
    ),
    (
        "one-way: a key that the build on trial has answered",
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
        "one-way: the key is free once the build is rolled back",
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
        "one-way: a key answered through another gateway",
        [KeyAnswered(5, 3, 7, 42), received(60, 1, key=7), attempt(60, 1), served_response(61, 1)],
        {},
    ),
]


@pytest.mark.parametrize(("case", "records", "expected"), CASES, ids=[c[0] for c in CASES])
def test_only_actual_violations_are_reported(
    case: str, records: list[Record], expected: dict[str, int]
) -> None:
    assert violated_rules(records) == expected


def test_requests_with_effects_in_guarded_stages_are_violations() -> None:
    guarded = replace(PARAMETERS, guarded_stages=1)
    effect: list[Record] = [received(1, 1, UNSAFE_CLASS), attempt(1, 1, 0, 9, 42), served_response(2, 1)]
    assert violated_rules(effect, guarded) == {"exposure": 1}
    assert violated_rules(effect) == {}
    assert violated_rules([RolloutUpdated(0.5, 0, 42, 1, "trial", 0.5), *effect], guarded) == {}


def test_exposure_can_be_counted_per_class() -> None:
    counted_per_class = replace(PARAMETERS, per_class=True)
    requests: list[Record] = [received(1, 1), received(1, 2), received(1, 3, UNSAFE_CLASS)]
    attempts: list[Record] = [attempt(2, n, 0, 9, 42) for n in (1, 2, 3)]
    responses: list[Record] = [served_response(3, n) for n in (1, 2, 3)]
    assert violated_rules([*requests, *attempts, *responses], counted_per_class) == {}
    assert violated_rules([*requests, *attempts, *responses]) == {"exposure": 1}


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
    ("case", "records", "expected"),
    [
        (
            "paused when its deadline passed",
            [received(1, 1), GatewayPaused(5, 0), GatewayResumed(9000, 0), served_response(9001, 1)],
            {},
        ),
        ("paused and never resumed", [received(1, 1), GatewayPaused(5, 0)], {}),
        (
            "paused, but resumed before the deadline",
            [received(1, 1), GatewayPaused(5, 0), GatewayResumed(900, 0)],
            {"answers": 1},
        ),
        ("paused after the deadline", [received(1, 1), GatewayPaused(3500, 0)], {"answers": 1}),
        (
            "resumed, and a non-idempotent request sent again",
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
def test_a_gateway_paused_over_the_deadline_owes_no_response(
    case: str, records: list[Record], expected: dict[str, int]
) -> None:
    assert violated_rules(records) == expected
