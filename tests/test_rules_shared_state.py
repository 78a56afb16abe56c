"""The rules across gateways: each violation is reported, and similar traces without one pass."""

from __future__ import annotations

from dataclasses import replace

import pytest

from meadowpulley.rules import (
    AdoptionStarted,
    AttemptEnded,
    AttemptSent,
    CapacityUsed,
    ClientDetached,
    EndpointListed,
    GatewayCrashed,
    GatewayFenced,
    GatewayStarted,
    OutcomeCounted,
    Record,
    RequestClaimed,
    RequestClosed,
    RequestReceived,
    RequestRecorded,
    RequestReleased,
    ResponseSent,
    SharedStateParameters,
)
from tests.test_rules_checker import (
    KEYED_CLASS,
    PARAMETERS,
    SAFE_CLASS,
    UNSAFE_CLASS,
    violated_rules as violated_rules_of_trace,
)

SHARED_PARAMETERS = SharedStateParameters(
    end_ms=1000.0, max_incarnations=3, admissions_per_s=10.0, admission_burst=5.0
)
PARAMETERS = replace(PARAMETERS, shared=SHARED_PARAMETERS)
LISTED: list[Record] = [EndpointListed(0.0, 1, server, "ready", 41, cell=server) for server in (1, 2)]
OTHER_GATEWAY: list[Record] = [GatewayStarted(0.0, 1), *LISTED, GatewayStarted(0.0, 2)]


def violated_rules(records: list[Record], end: float = 1e6) -> dict[str, int]:
    return violated_rules_of_trace([*OTHER_GATEWAY, *records], PARAMETERS, end)


def received(
    class_index: int = SAFE_CLASS, at: float = 1.0, gateway: int = 0, request: int = 1
) -> list[Record]:
    recorded: list[Record] = [RequestRecorded(at, gateway, "a", 3000.0)] if gateway == 0 else []
    return [RequestReceived(at, gateway, request, class_index, 0, 3000.0, "a"), *recorded]


def attempt(at: float, gateway: int, request: int, number: int = 0, server: int = 1) -> AttemptSent:
    return AttemptSent(at, gateway, request, number, server, 41)


CRASHED: list[Record] = [GatewayCrashed(100, 0), GatewayFenced(900, 0)]
CLIENT_LEFT, RECORDED_AGAIN = ClientDetached(9, 0, 1), RequestRecorded(99, 1, "a", 3000.0)
CLAIM, CLAIMED_TWICE = RequestClaimed(950, 1, "a", 2), RequestClaimed(960, 2, "a", 3)


def adoption_started(class_index: int = SAFE_CLASS, at: float = 960.0, gateway: int = 1) -> AdoptionStarted:
    return AdoptionStarted(at, gateway, 7, class_index, 0, 3000.0, "a")


def request_closed(outcome: str = "served", at: float = 1500.0, gateway: int = 1) -> RequestClosed:
    return RequestClosed(at, gateway, "a", outcome)  # type: ignore[arg-type]


def response_sent(
    outcome: str, at: float, gateway: int = 0, request: int = 1, content: str = "x"
) -> ResponseSent:
    return ResponseSent(at, gateway, request, outcome, content if outcome == "served" else "")  # type: ignore[arg-type]


SERVED: list[Record] = [*received(), request_closed(at=20, gateway=0), response_sent("served", 21)]
CASES: list[tuple[str, list[Record], dict[str, int]]] = [
    (
        "claimed, adopted and closed",
        [*received(), *CRASHED, CLAIM, adoption_started(), attempt(970, 1, 7), request_closed()],
        {},
    ),
    (
        "claimed from a live gateway",
        [*received(), CLIENT_LEFT, CLAIM, adoption_started(), request_closed()],
        {"takeover": 1},
    ),
    (
        "claimed after its owner released it",
        [*received(), CLIENT_LEFT, RequestReleased(90, 0, "a"), CLAIM, adoption_started(), request_closed()],
        {},
    ),
    (
        "claimed from a gateway that has just claimed it",
        [*received(), *CRASHED, CLAIM, CLAIMED_TWICE, adoption_started(gateway=2), request_closed()],
        {"takeover": 1},
    ),
    (
        "claimed again after the first claimant was fenced",
        [
            *received(),
            *CRASHED,
            CLAIM,
            GatewayFenced(955, 1),
            CLAIMED_TWICE,
            adoption_started(gateway=2),
            request_closed(),
        ],
        {},
    ),
    (
        "adopted without a claim",
        [*received(), *CRASHED, adoption_started(), request_closed()],
        {"takeover": 1},
    ),
    (
        "adopted by another gateway than claimed it",
        [*received(), *CRASHED, CLAIM, adoption_started(gateway=2), request_closed()],
        {"takeover": 1},
    ),
    (
        "claimed too often",
        [*received(), *CRASHED, RequestClaimed(950, 1, "a", 4), request_closed()],
        {"takeover": 1},
    ),
    (
        "claimed after it was closed",
        [*received(), request_closed(at=90, gateway=0), *CRASHED, CLAIM],
        {"takeover": 1},
    ),
    (
        "recorded again after it was served",
        [*received(), CLIENT_LEFT, request_closed(at=90, gateway=0), RECORDED_AGAIN, request_closed()],
        {"takeover": 1},
    ),
    (
        "recorded again after it was rejected",
        [*received(), CLIENT_LEFT, request_closed("refused", 90, 0), RECORDED_AGAIN, request_closed()],
        {},
    ),
    ("never closed", [*received(), *CRASHED], {"written": 1}),
    (
        "closed too late",
        [*received(), *CRASHED, CLAIM, adoption_started(), request_closed(at=4100)],
        {"written": 1},
    ),
    (
        "never closed because all gateways crashed",
        [*received(), GatewayCrashed(100, 0), GatewayCrashed(110, 1), GatewayCrashed(120, 2)],
        {},
    ),
    (
        "closed late because all gateways had crashed",
        [
            *received(),
            GatewayCrashed(100, 0),
            GatewayCrashed(110, 1),
            GatewayCrashed(120, 2),
            GatewayStarted(9000, 1),
            GatewayFenced(9100, 0),
            RequestClaimed(9200, 1, "a", 2),
            request_closed(at=9300),
        ],
        {},
    ),
    (
        "non-idempotent, sent by two gateways",
        [
            *received(UNSAFE_CLASS),
            attempt(5, 0, 1),
            *CRASHED,
            CLAIM,
            adoption_started(UNSAFE_CLASS),
            attempt(970, 1, 7),
            request_closed(),
        ],
        {"effects": 1},
    ),
    (
        "non-idempotent, sent by two gateways, first attempt not executed",
        [
            *received(UNSAFE_CLASS),
            attempt(5, 0, 1),
            AttemptEnded(9, 0, 1, 0, False),
            *CRASHED,
            CLAIM,
            adoption_started(UNSAFE_CLASS),
            attempt(970, 1, 7),
            request_closed(),
        ],
        {},
    ),
    (
        "non-idempotent, sent again by the fenced gateway",
        [
            *received(UNSAFE_CLASS),
            GatewayFenced(900, 0),
            CLAIM,
            adoption_started(UNSAFE_CLASS),
            attempt(970, 1, 7),
            attempt(980, 0, 1),
            response_sent("failed", 990),
            request_closed(),
        ],
        {"effects": 1},
    ),
    (
        "keyed, sent by two gateways within its window and cell",
        [
            *received(KEYED_CLASS),
            attempt(5, 0, 1),
            *CRASHED,
            CLAIM,
            adoption_started(KEYED_CLASS),
            attempt(970, 1, 7),
            request_closed(),
        ],
        {},
    ),
    (
        "keyed, sent by two gateways to two cells",
        [
            *received(KEYED_CLASS),
            attempt(5, 0, 1),
            *CRASHED,
            CLAIM,
            adoption_started(KEYED_CLASS),
            attempt(970, 1, 7, server=2),
            request_closed(),
        ],
        {"effects": 1},
    ),
    (
        "client retry with the same response",
        [*SERVED, *received(SAFE_CLASS, 30, 1, 2), response_sent("served", 40, 1, 2)],
        {},
    ),
    (
        "client retry with another response",
        [*SERVED, *received(SAFE_CLASS, 30, 1, 2), response_sent("served", 40, 1, 2, "y")],
        {"answers": 1},
    ),
    (
        "served, but closed as failed",
        [*received(), request_closed("failed", 20, 0), response_sent("served", 21)],
        {"answers": 1},
    ),
    (
        "outcome changed after the response",
        [
            *received(),
            request_closed(at=20, gateway=0),
            response_sent("served", 21),
            request_closed("failed", 30, 0),
        ],
        {"answers": 1},
    ),
    (
        "outcome changed before the response",
        [
            *received(),
            request_closed(at=20, gateway=0),
            request_closed("failed", 30, 0),
            response_sent("failed", 31),
        ],
        {},
    ),
    (
        "two responses, but one after its client had left",
        [
            *received(),
            CLIENT_LEFT,
            response_sent("served", 20),
            *received(SAFE_CLASS, 30, 1, 2),
            response_sent("served", 40, 1, 2, "y"),
            request_closed(at=41),
        ],
        {},
    ),
    (
        "continues after its client left",
        [*received(), ClientDetached(9, 0, 1), attempt(10, 0, 1), request_closed()],
        {},
    ),
    ("admissions within the capacity", [CapacityUsed(n * 100.0, n % 3, 1.0) for n in range(60)], {}),
    ("a burst of admissions within the limit", [CapacityUsed(5.0, n % 3, 1.0) for n in range(5)], {}),
    (
        "a burst of admissions above the limit",
        [CapacityUsed(5.0, n % 3, 1.0) for n in range(6)],
        {"admissions": 1},
    ),
    (
        "counted once by each of two experiments",
        [OutcomeCounted(9, n, e, "a", 0) for n, e in enumerate("ef")],
        {},
    ),
    (
        "counted by two gateways in one experiment",
        [OutcomeCounted(9, 0, "e", "a", 0), OutcomeCounted(10, 1, "e", "a", 0)],
        {"counts": 1},
    ),
]


@pytest.mark.parametrize(("case", "records", "expected"), CASES, ids=[c[0] for c in CASES])
def test_violations_across_gateways_are_reported(
    case: str, records: list[Record], expected: dict[str, int]
) -> None:
    assert violated_rules(records) == expected
