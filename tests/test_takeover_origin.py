"""The origin of a request that takeover keeps, and the experiment counters that depend on it."""

from __future__ import annotations

from typing import Any

import pytest
from msgspec.structs import replace

from meadowpulley.interface import Request
from meadowpulley.placement import Arm, EndCondition, Experiment, PlacementStage, Summary, read_summary
from meadowpulley.placement.gateway import TakeoverOrigins
from meadowpulley.takeover import ShutdownNotice
from meadowpulley.takeover.records import Origin, RecordError, decode_request_record, encode_record
from tests.takeover_fleet import CLASSES, READ, SETTINGS, Fleet, Gateway

CHECKPOINT_INTERVAL_MS = 2000.0  # between two writes of the counters of a placement stage


class ExperimentFleet(Fleet):
    """A fleet with a placement stage between takeover and the policy of each gateway.

    Request handles decrease here, which is also possible with the handles of real slots.
    """

    def __init__(self, **settings: Any) -> None:
        super().__init__(**settings)
        arms = (Arm("now", "own", 0.5), Arm("other", "own", 0.5))
        self.experiment = Experiment(1, "try", arms, EndCondition(requests=10**6))
        self.stages: dict[str, PlacementStage] = {}
        for name, gateway in self.gateways.items():
            stage = PlacementStage(
                gateway.decisions,
                self.experiment,
                SETTINGS,
                gateway.incarnation,
                -gateway.clock_offset_ms,
            )
            stage.origins = TakeoverOrigins(gateway.stage)
            gateway.stage.journal.inner = stage
            self.stages[name] = stage
        self.advance(100.0)
        self.next_handle = 1000

    def submit_many(self, prefix: str, count: int, gateway: str = "a", **options: Any) -> None:
        for n in range(count):
            self.next_handle -= 2
            self[gateway].last_request = self.next_handle
            self[gateway].submit(f"{prefix}{n}", READ, **options)

    def summary(self) -> Summary:
        """Wait until every live gateway has written its counters, and return the summary."""
        self.advance(2 * CHECKPOINT_INTERVAL_MS)
        return read_summary(self.experiment, CLASSES, self.store.scan("placement/"), self.store.members())


def total_of(summary: Summary, field: str) -> int:
    return sum(getattr(arm, field) for arm in summary.arms if not arm.class_name)


def test_the_origin_stays_through_any_number_of_adoptions() -> None:
    """A request's owners are killed in turn; counters depend on who first received it and when."""
    fleet = Fleet(max_owners=5)
    fleet.execution_ms = 1500.0
    fleet["a"].submit("n", READ, remaining_ms=30_000.0)
    fleet.advance(100.0)
    submitted_at_ms = fleet.now
    found = fleet["a"].stage.origin_of(1)
    assert found is not None
    origin, _ = found
    assert origin == Origin("a.1", 1)
    for gateway in "ab":  # kill the first owner, then the adopter
        fleet.kill(fleet.adopted[-1][0] if fleet.adopted else gateway)
        fleet.advance(1500.0)
    adopter = fleet[fleet.adopted[-1][0]]
    assert len(fleet.adopted) == 2
    found = adopter.stage.origin_of(adopter.last_request)
    assert found is not None
    origin, received_at_ms = found
    assert origin == Origin("a.1", 1)
    # The receive time is a lower bound.
    assert submitted_at_ms - 500.0 < received_at_ms - adopter.clock_offset_ms <= submitted_at_ms


def test_a_record_of_the_previous_format_is_rejected() -> None:
    """Records of format 1, which had no origin, and records with an empty origin are rejected."""
    fleet = Fleet()
    fleet["a"].submit("n", READ)
    fleet.advance(10.0)
    (record,) = fleet.store.scan("takeover/work/")
    request_record = decode_request_record(record.value)
    for value in (
        encode_record(replace(request_record, format_version=1)),
        encode_record(replace(request_record, origin=Origin("", 1))),
    ):
        with pytest.raises(RecordError, match=r"^not a RequestRecord of format 2: ") as raised:
            decode_request_record(value)
        assert raised.value.record_type == "RequestRecord"


def test_each_request_counts_once_when_its_gateway_is_lost() -> None:
    """A gateway is killed between two writes of its counters, with requests in all states."""
    fleet = ExperimentFleet()
    fleet.submit_many("early", 20)
    fleet.advance(CHECKPOINT_INTERVAL_MS - 150.0)
    fleet.execution_ms = 400.0
    fleet.submit_many("open", 10)
    fleet.advance(200.0)  # after the counters were written, with those requests as open
    fleet.submit_many("late", 10)  # these are not in the written counters
    fleet.advance(50.0)
    arms_by_request = {request.request: request.arm for request in fleet["a"].decisions.received}
    fleet.kill("a")
    fleet.advance(3000.0)
    summary = fleet.summary()
    assert (summary.requests, summary.adopted) == (40, 20)
    counts = tuple(total_of(summary, field) for field in ("served", "still_open", "lost"))
    assert counts == (40, 0, 0)
    assert {gateway for gateway, _ in fleet.adopted} == {"b", "c"}
    received = [*fleet["b"].decisions.received, *fleet["c"].decisions.received]
    arms = [request.arm for request in received]
    assert sorted(arms) == sorted(list(arms_by_request.values())[20:])  # each request keeps its arm


@pytest.mark.parametrize("shuts_down", [False, True], ids=["repeated", "shutdown"])
def test_a_moved_or_known_request_is_not_counted_as_disconnected(shuts_down: bool) -> None:
    """A gateway releases its requests, or another gateway finds that their ids are already in flight.

    The policy of that gateway sees the requests as disconnected, but the counters must not count them so.
    """
    fleet = ExperimentFleet()
    fleet.execution_ms = 900.0
    fleet["a"].decisions.has_no_server = shuts_down
    fleet.submit_many("n", 10)
    fleet.advance(50.0)
    if shuts_down:
        fleet["a"].dispatch(ShutdownNotice(3000.0))
        fleet.advance(500.0)
    else:
        fleet.submit_many("n", 10, gateway="b")
    summary = fleet.summary()
    assert summary.requests == 10
    assert total_of(summary, "served") == 10
    assert total_of(summary, "disconnected") == 0
    assert summary.adopted == (10 if shuts_down else 0)


def test_the_origin_is_known_when_the_request_is_forwarded() -> None:
    fleet = Fleet("a")
    gateway: Gateway = fleet["a"]
    origins: list[Any] = []

    class InnerStage:
        def handle(self, now: float, event: Any) -> list[Any]:
            if isinstance(event, Request):
                origins.append(gateway.stage.origin_of(event.request))
            return []

    gateway.stage.journal.inner = InnerStage()
    gateway.submit("n", READ)
    assert origins == [(Origin("a.1", 1), gateway.now)]
