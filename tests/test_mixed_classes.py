"""Classes of tens of milliseconds beside classes of seconds: neither is judged by the other's measure."""

from __future__ import annotations

from dataclasses import replace

import pytest

from meadowpulley.interface import Effect, Fail, Probe, ProbeResult, Reject, RequestClass, Result, SetTimer
from tests.driver import LIMITS, Driver, fleet, sends, settings

BRIEF = RequestClass("pos-1hz", 45.0, 90.0, Effect.IDEMPOTENT)
LONG = RequestClass("shift", 4000.0, 8000.0, Effect.IDEMPOTENT)
BOTH = (BRIEF, LONG)


@pytest.mark.parametrize(("cls", "probes"), [(0, True), (1, True), (0, False), (1, False)])
def test_a_class_of_tens_of_ms_is_sent_where_servers_are_asked_first(cls: int, probes: bool) -> None:
    # A request that waits for two servers' word was given up at once: its deadline less two ticks of 50 ms
    # had passed as it came. Of a class of 90 ms a quarter was served.
    d = Driver(settings(limits=replace(LIMITS, probes=probes), classes=BOTH))
    fleet(d)
    actions = d.ask(cls, left=BOTH[cls].deadline_ms)
    if probes:
        assert not [a for a in actions if isinstance(a, Reject | Fail)]
        [asked, _] = [a.server for a in actions if isinstance(a, Probe)]
        d.now += 1.0
        actions = d.give(ProbeResult(asked, Result.OK, 1.0))
    assert len(sends(actions)) == 1


@pytest.mark.parametrize(("cls", "rests"), [(0, True), (1, False)])
def test_a_server_is_silent_by_the_aim_of_what_it_was_asked(cls: int, rests: bool) -> None:
    # By the least aim of all classes each request of seconds had its server rested after tens of ms.
    d = Driver(settings(classes=BOTH))
    fleet(d, count=1)
    assert sends(d.ask(cls, left=BOTH[cls].deadline_ms))
    d.now += 2 * BRIEF.latency_objective_ms
    d.tick()
    assert bool(sends(d.ask(0, left=BRIEF.deadline_ms))) is not rests


def test_a_request_of_tens_of_ms_is_looked_at_again_while_it_can_be_in_time() -> None:
    d = Driver(settings(limits=replace(LIMITS, probes=True), classes=BOTH))
    fleet(d)
    d.tick()
    [timer] = [a for a in d.ask(0, left=BRIEF.deadline_ms) if isinstance(a, SetTimer)]
    d.now += timer.delay_ms
    assert (
        d.now < BRIEF.latency_objective_ms / 2 and len(sends(d.tick())) == 1
    )  # without the answers to its probes


@pytest.mark.parametrize("left", [30.0, 64.0])
def test_a_request_with_less_left_than_two_ticks_waits_for_what_it_asked(left: float) -> None:
    d = Driver(settings(limits=replace(LIMITS, probes=True), classes=BOTH))
    fleet(d)
    [asked, _] = [a.server for a in d.ask(0, left=left) if isinstance(a, Probe)]
    assert [s.server for s in sends(d.give(ProbeResult(asked, Result.OK, 1.0)))] == [asked]
