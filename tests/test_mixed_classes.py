"""Tests that classes of tens of ms and classes of seconds are each held to their own objective."""

from __future__ import annotations

from dataclasses import replace

import pytest

from meadowpulley.interface import Effect, Fail, Probe, ProbeResult, Reject, RequestClass, Result, SetTimer
from tests.driver import LIMITS, Driver, list_servers, sends, settings

BRIEF = RequestClass("pos-1hz", 45.0, 90.0, Effect.IDEMPOTENT)
LONG = RequestClass("shift", 4000.0, 8000.0, Effect.IDEMPOTENT)
BOTH = (BRIEF, LONG)


@pytest.mark.parametrize(("class_index", "probes"), [(0, True), (1, True), (0, False), (1, False)])
def test_a_class_of_tens_of_ms_is_sent_where_servers_are_probed(class_index: int, probes: bool) -> None:
    # A request that waited for the probes of two servers was given up at once, as its deadline less two polls
    # of 50 ms had already passed on arrival. Of a class with a deadline of 90 ms, only a quarter of the
    # requests were served.
    driver = Driver(settings(limits=replace(LIMITS, probes=probes), classes=BOTH))
    list_servers(driver)
    actions = driver.request(class_index, time_left_ms=BOTH[class_index].deadline_ms)
    if probes:
        assert not [a for a in actions if isinstance(a, Reject | Fail)]
        [asked, _] = [a.server for a in actions if isinstance(a, Probe)]
        driver.now += 1.0
        actions = driver.handle(ProbeResult(asked, Result.OK, 1.0))
    assert len(sends(actions)) == 1


@pytest.mark.parametrize(("class_index", "ejected"), [(0, True), (1, False)])
def test_a_server_is_unresponsive_by_the_objective_of_its_request(class_index: int, ejected: bool) -> None:
    # With the smallest latency objective of all classes as the limit, the server of any request that takes
    # seconds was ejected after tens of ms.
    driver = Driver(settings(classes=BOTH))
    list_servers(driver, count=1)
    assert sends(driver.request(class_index, time_left_ms=BOTH[class_index].deadline_ms))
    driver.now += 2 * BRIEF.latency_objective_ms
    driver.fire_timer()
    assert bool(sends(driver.request(0, time_left_ms=BRIEF.deadline_ms))) is not ejected


def test_a_request_of_tens_of_ms_is_polled_before_its_objective_is_missed() -> None:
    driver = Driver(settings(limits=replace(LIMITS, probes=True), classes=BOTH))
    list_servers(driver)
    driver.fire_timer()
    [timer] = [a for a in driver.request(0, time_left_ms=BRIEF.deadline_ms) if isinstance(a, SetTimer)]
    driver.now += timer.delay_ms
    # The request is sent although no probe was answered.
    assert driver.now < BRIEF.latency_objective_ms / 2 and len(sends(driver.fire_timer())) == 1


@pytest.mark.parametrize("time_left_ms", [30.0, 64.0])
def test_a_request_with_less_time_than_two_polls_waits_for_its_probes(time_left_ms: float) -> None:
    driver = Driver(settings(limits=replace(LIMITS, probes=True), classes=BOTH))
    list_servers(driver)
    [asked, _] = [a.server for a in driver.request(0, time_left_ms=time_left_ms) if isinstance(a, Probe)]
    assert [s.server for s in sends(driver.handle(ProbeResult(asked, Result.OK, 1.0)))] == [asked]
