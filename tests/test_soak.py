"""The soak over gateway processes: its plans, what it counts as notified or lost, and one short run."""

from __future__ import annotations

import math
import subprocess
import sys
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest

from benchmarks.fault_soak import parse_seeds
from meadowpulley.fleet import gateway_settings
from meadowpulley.loopback import run_loopback
from meadowpulley.loopback.messages import BrokenRequest
from meadowpulley.loopback.notifications import (
    NOTIFICATION_MS,
    ListedChange,
    ListWritten,
    Outage,
    cached_lists,
    presumed_notifications,
)
from meadowpulley.loopback.process_faults import ProcessFaultInjector, judge_broken_requests
from meadowpulley.loopback.soak import soak_fleet, soak_plan
from meadowpulley.loopback.trace import ProcessEvents, TraceWriter, check_traces, merge_traces
from meadowpulley.rules import (
    AttemptSent,
    EndpointListed,
    GatewayStarted,
    KeyAnswered,
    RequestReceived,
    RuleParameters,
    TraceChecker,
)

ROOT = Path(__file__).parent.parent
GONE = ListedChange(1000.0, 4, 7, "gone", 1)


def notified_at(
    written: list[ListWritten] | None = None, outages: list[Outage] | None = None, *starts: float
) -> list[float]:
    """When the removal of a server at 1,000 ms counts as notified to the only gateway."""
    records = presumed_notifications(
        1, [GONE], written or [], outages or [], [GatewayStarted(at, 0) for at in starts]
    )
    return [record.at for record in records]


def test_a_change_counts_as_notified_some_time_after_discovery_could_be_reached() -> None:
    assert notified_at() == [1000.0 + NOTIFICATION_MS]
    assert notified_at([ListWritten(1200.0, 0, 4)]) == []
    assert notified_at([ListWritten(1200.0, 0, 3)]) == [1000.0 + NOTIFICATION_MS]
    assert notified_at(None, [Outage(500.0, 2000.0)]) == [2000.0 + NOTIFICATION_MS]
    assert notified_at(None, [Outage(1500.0, 9000.0)]) == [1000.0 + NOTIFICATION_MS]


def test_a_change_counts_as_notified_to_each_incarnation_from_its_start() -> None:
    end = 1000.0 + NOTIFICATION_MS
    assert notified_at(None, None, 3000.0) == [end]
    assert notified_at(None, None, end + 500.0) == [end, end + 500.0]
    assert notified_at([ListWritten(1200.0, 0, 4)], None, 3000.0) == [end]  # what the killed one knew is gone


def test_a_send_after_the_grace_of_a_presumed_notification_is_a_violation() -> None:
    # The planted bug: a gateway that goes on with the list of its configuration.
    parameters = RuleParameters.from_settings(gateway_settings(soak_fleet(2), 0), 50.0)
    for delay_ms, broken in ((-10.0, {}), (10.0, {"drains": 1})):
        checker = TraceChecker(parameters)
        starts = [GatewayStarted(3000.0, 0)]
        at = 1000.0 + NOTIFICATION_MS + parameters.drain_grace_ms + parameters.slack_ms + delay_ms
        records = [
            *starts,
            *cached_lists([ListedChange(0.0, 1, 7, "ready", 1)], starts),
            *presumed_notifications(1, [GONE], [], [], starts),
            RequestReceived(at, 0, 1, 0, 0, at + 1000.0),
            AttemptSent(at, 0, 1, 0, 7, 1),
        ]
        for record in records:
            checker.observe(record)
        assert dict(checker.counts) == broken


@pytest.mark.parametrize(
    ("request_", "judged"),
    [
        (BrokenRequest(5000.0, 0, 1, 4000.0, True), "killed"),
        (BrokenRequest(5000.0, 1, 1, 4000.0, True), "lost"),  # another gateway's kill
        (BrokenRequest(4000.0, 0, 1, 3000.0, True), "lost"),  # before the kill
        (BrokenRequest(4000.0, 0, 1, 3990.0, True), "crossed"),
        (BrokenRequest(4000.0, 0, 1, 3990.0, False), "lost"),  # a new connection crosses nothing
    ],
)
def test_a_request_without_a_response_is_lost_unless_its_gateway_was_killed_or_it_crossed_a_close(
    request_: BrokenRequest, judged: str
) -> None:
    injector: Any = SimpleNamespace(kills=[(0, 5000.0)])
    found = judge_broken_requests([request_], injector)
    assert (1 in found.killed, 1 in found.crossed) == (judged == "killed", judged == "crossed")


def test_a_gateway_that_ended_by_itself_is_an_error() -> None:
    ended = subprocess.Popen([sys.executable, "-c", "raise SystemExit(3)"])
    ended.wait()
    gateways: list[Any] = [SimpleNamespace(process=ended)]
    injector = ProcessFaultInjector(gateways, lambda number: gateways[number], 0.0, 1500.0, 1.0)
    injector.note_ended()
    assert injector.errors == ["gateway 0: ended by itself, status 3"]


@pytest.mark.parametrize(("attempted", "violations"), [(False, {}), (True, {"answers": 1})])
def test_a_request_that_crossed_a_close_was_not_read_unless_it_was_attempted(
    tmp_path: Path, attempted: bool, violations: dict[str, int]
) -> None:
    servers, clients = TraceWriter(), TraceWriter()
    servers.record(EndpointListed(0.0, 0, 7, "ready", 1))
    if attempted:
        servers.record(AttemptSent(110.0, -1, 1, 0, 7, 1))
    clients.record(RequestReceived(100.0, 0, 1, 0, 0, 1000.0))
    servers.write(tmp_path / "servers")
    clients.write(tmp_path / "clients")
    events = ProcessEvents(dropped_requests=frozenset({1}))
    counts, _ = check_traces(soak_fleet(2), tmp_path / "servers", tmp_path / "clients", 9000.0, events)
    assert counts == violations


def test_a_key_answered_through_an_earlier_incarnation_binds_no_later_one() -> None:
    request, answered = RequestReceived(100.0, 0, 5, 0, 9, 2000.0), KeyAnswered(200.0, 5, 9, 2)
    for starts, kept in (([], 1), ([GatewayStarted(400.0, 0)], 1), ([GatewayStarted(150.0, 0)], 0)):
        merged = merge_traces([answered], [request], starts)
        assert sum(isinstance(record, KeyAnswered) for record in merged) == kept


def test_a_plan_follows_from_its_seed_and_its_faults_overlap() -> None:
    assert soak_plan(3, 24, 25.0) == soak_plan(3, 24, 25.0) != soak_plan(4, 24, 25.0)
    plans = [soak_plan(seed, 24, 25.0) for seed in range(30)]
    kinds = {str(f.kind) for plan in plans for f in plan.process_faults}
    kinds |= {str(f.kind) for plan in plans for f in plan.discovery_faults}
    assert kinds == {"kill", "terminate", "stall", "reload", "crowd", "down", "crowded", "silent", "cut"}
    overlapping = [
        plan
        for plan in plans
        for down in plan.discovery_faults
        if down.kind == "down"
        and any(
            down.at_ms < f.at_ms < down.at_ms + down.duration_ms
            for f in plan.process_faults
            if f.kind in ("kill", "terminate")
        )
    ]
    assert len(overlapping) >= 5


def test_seeds_are_read_from_the_command_line() -> None:
    assert parse_seeds("1-3,7") == [1, 2, 3, 7]
    with pytest.raises(ValueError):
        parse_seeds("one")


@pytest.mark.parametrize("seed", [2, 3], ids=["kills", "crowd"])
def test_a_short_soak_keeps_the_rules(seed: int) -> None:
    subprocess.run([sys.executable, str(ROOT / "deploy" / "compile.py")], check=True)
    plan = soak_plan(seed, 6, 8.0)
    assert (seed == 3) == any(fault.kind == "crowd" for fault in plan.process_faults)
    result = run_loopback(plan)
    assert max(result.memory_mb) <= plan.memory_mb
    assert not result.violation_counts, result.violations[:5]
    assert result.restart_ms and math.isfinite(max(result.restart_ms))
    bad = {n for c in result.counters for n in c if n.startswith(("fault.", "violation."))}
    assert not bad
