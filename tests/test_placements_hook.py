"""Tests of the placements of an experiment: their order, their limits, and the random assignment."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace

import pytest

from meadowpulley.interface import (
    Action,
    Candidate,
    EndpointUpdateKind,
    Phase,
    Placement,
    Reject,
    Request,
    Result,
    Send,
    ServerState,
    Settings,
)
from meadowpulley.policy import RolloutPolicy
from tests.driver import ROLLOUT, SAFE, Driver, sends, server_entry, settings


def highest_first(now: float, request: Request, candidates: Sequence[Candidate]) -> Sequence[int]:
    return sorted(range(len(candidates)), key=lambda n: -candidates[n].server)


def never(now: float, request: Request, candidates: Sequence[Candidate]) -> Sequence[int]:
    raise AssertionError("the placement of arm 0 must not be called")


def no_candidates(now: float, request: Request, candidates: Sequence[Candidate]) -> Sequence[int]:
    return []


def gateway(*placements: Placement, seed: int = 7, s: Settings | None = None) -> Driver:
    driver = Driver(s or settings(), seed=seed, released=False)
    driver.policy = RolloutPolicy(s or settings(), seed, placements)
    driver.now = 10_000.0
    driver.update_rollout(41, 2, 1.0, Phase.RELEASED)
    driver.update_endpoints(server_entry(n) for n in range(5))
    return driver


def request_with_arm(driver: Driver, arm: int = 1, class_index: int = SAFE, key: int = 0) -> list[Send]:
    driver.last_request += 1
    return sends(
        driver.handle(Request(driver.last_request, class_index, 0, key, driver.now + 2000.0, arm=arm))
    )


def test_arm_0_and_unknown_arms_use_the_policys_own_choice_with_the_same_random_draws() -> None:
    plain, with_arms = gateway(), gateway(never, highest_first)
    for n in range(200):
        plain.now = with_arms.now = 10_000.0 + 20.0 * n
        found = request_with_arm(plain, 0), request_with_arm(with_arms, (0, 2)[n % 2])
        assert found[0] == found[1]
        for driver, pending_sends in zip((plain, with_arms), found, strict=True):
            for send in pending_sends:
                driver.finish(send)
    assert plain.policy.rng.getstate() == with_arms.policy.rng.getstate()


def _drains(driver: Driver) -> None:
    driver.update_endpoints([server_entry(4, state=ServerState.DRAINING)], EndpointUpdateKind.INCREMENTAL)


def _is_gone(driver: Driver) -> None:
    driver.update_endpoints(server_entry(n) for n in range(4))


def _is_warming_up(driver: Driver) -> None:
    driver.update_endpoints([server_entry(4, started_ms=driver.now)], EndpointUpdateKind.INCREMENTAL)
    while sends(driver.request(SAFE)):
        if driver.policy.servers[4].slow_start_slot >= 0 and driver.policy.servers[4].slow_start_budget < 1:
            return


def _is_ejected(driver: Driver) -> None:
    for _ in range(4):
        for send in request_with_arm(driver):
            driver.finish(send, Result.ERROR, 10.0, final=True)
        driver.now += 10.0


def _is_on_trial(driver: Driver) -> None:
    # The cap of the trial build is 0, so no request may go to it.
    driver.update_endpoints([server_entry(4, 42, 1.0)], EndpointUpdateKind.INCREMENTAL)
    driver.update_rollout(42, 0, 0.0)


@pytest.mark.parametrize("make_ineligible", [_drains, _is_gone, _is_warming_up, _is_ejected, _is_on_trial])
def test_the_first_eligible_server_in_the_placements_order_is_used(make_ineligible: object) -> None:
    driver = gateway(never, highest_first)
    assert [send.server for send in request_with_arm(driver)] == [4]
    assert callable(make_ineligible)
    make_ineligible(driver)
    assert [send.server for send in request_with_arm(driver)] == [3]


def test_servers_left_out_by_the_placement_get_nothing_and_the_request_is_rejected() -> None:
    driver = gateway(never, no_candidates)
    assert not request_with_arm(driver)
    answers: list[Action] = []
    while driver.policy.in_flight:
        driver.now += 50.0
        answers += [a for a in driver.fire_timer() if isinstance(a, Reject | Send)]
    assert answers == [Reject(1, 500.0)]


def test_a_retry_goes_to_another_server() -> None:
    driver = gateway(never, highest_first)
    [first] = request_with_arm(driver)
    [second] = sends(driver.finish(first, Result.CONNECT_FAILED))
    assert (first.server, second.server) == (4, 3)


def test_a_placement_gets_the_time_the_request_and_the_candidates() -> None:
    given: list[tuple[float, Request, Sequence[Candidate]]] = []

    def first(now: float, request: Request, candidates: Sequence[Candidate]) -> Sequence[int]:
        given.append((now, request, candidates))
        return [0]

    driver = gateway(never, first)
    warming = server_entry(3, started_ms=driver.now - 2000.0, zone=1, cell=2, kind=1)
    driver.update_endpoints([server_entry(1), warming])
    [send] = request_with_arm(driver, key=9)
    driver.finish(send, elapsed_ms=80.0)
    request_with_arm(driver)
    request_with_arm(driver)
    (now, r, seen), (_, _, last) = given[0], given[2]
    assert (now, r.key, r.arm) == (driver.now, 9, 1)
    assert seen == [
        Candidate(1, 0, 0, 0, 41, 0, 1.0, 0.0, True),
        Candidate(3, 1, 2, 1, 41, 0, 0.7, 0.0, False),
    ]
    assert last[0] == replace(seen[0], outstanding=1, typical_latency_ms=80.0)
    assert last[1] == seen[1]


def test_the_randomization_does_not_depend_on_the_arm() -> None:
    part = []
    for arm in (0, 1):
        trial = 0
        driver = gateway(never, highest_first, s=settings(rollout=replace(ROLLOUT, exposure_allowance=1e9)))
        driver.update_endpoints(
            [*(server_entry(n) for n in range(5)), *(server_entry(n, 42, 1.0) for n in range(10, 15))]
        )
        driver.update_rollout(42, 1, 0.5)
        for _ in range(2000):
            driver.now += 20.0
            for send in request_with_arm(driver, arm):
                trial += send.server >= 10
                driver.finish(send, elapsed_ms=5.0)
        part.append(trial / 2000)
    assert part[0] == pytest.approx(0.4, abs=0.03)
    assert part[1] == pytest.approx(0.4, abs=0.03)


@pytest.mark.parametrize(("ejected", "asked"), [((14,), {13}), ((13, 14), set())])
def test_at_most_two_servers_of_the_trial_build_are_considered(
    ejected: tuple[int, ...], asked: set[int]
) -> None:
    driver = gateway(never, highest_first, s=settings(rollout=replace(ROLLOUT, exposure_allowance=1e9)))
    driver.update_endpoints(
        [*(server_entry(n) for n in range(5)), *(server_entry(n, 42, 1.0) for n in range(10, 15))]
    )
    driver.update_rollout(42, 1, 0.5)
    for n in ejected:
        driver.policy.servers[n].ejected_until = driver.now + 60_000.0
    found = {send.server for _ in range(60) for send in request_with_arm(driver)}
    assert {n for n in found if n >= 10} == asked
