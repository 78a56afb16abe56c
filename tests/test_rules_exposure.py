"""Tests of the exposure of trial builds, and of unusual but valid input."""

from __future__ import annotations

from dataclasses import replace

import pytest

from meadowpulley.interface import (
    BuildStatistics,
    GossipReceived,
    IncorrectResponse,
    Phase,
    ProbeResult,
    Result,
    Rollout,
    RolloutUpdate,
    ServerState,
    Timer,
)
from meadowpulley.policy.rollout_stage import MAX_STICKY_KEYS
from meadowpulley.state import WINDOW_MARGIN_MS
from tests.driver import ROLLOUT, SAFE, UNSAFE, Driver, list_servers, sends, server_entry, settings

# Exposure of trial builds and keys bound to builds


def trial_send_times(driver: Driver, count: int, build: int, class_index: int = SAFE) -> list[float]:
    """Send `count` requests, one every 20 ms, and return the times in ms of attempts at the build."""
    at = []
    for _ in range(count):
        driver.now += 20.0
        for send in sends(driver.request(class_index)):
            if driver.policy.servers[send.server].build == build:
                at.append(driver.now)
            driver.finish(send)
    return at


def list_both_builds(driver: Driver, build: int = 42) -> None:
    driver.update_endpoints(
        [*(server_entry(n) for n in range(4)), *(server_entry(10 + n, build) for n in range(4))]
    )


@pytest.mark.parametrize(("stage", "cap"), [(0, 0.1), (1, 0.5)])
def test_attempts_at_a_trial_build_stay_within_exposure_allowance_plus_cap(stage: int, cap: float) -> None:
    driver = Driver()
    list_both_builds(driver)
    driver.update_rollout(42, stage, cap)
    at = trial_send_times(driver, 1000, 42)
    assert len(at) > 1000 * cap * 0.3
    for start in at:
        assert sum(start <= t < start + 6000.0 for t in at) <= 2 + cap * 300


def test_an_unannounced_build_counts_as_the_first_stage() -> None:
    driver = Driver()
    list_both_builds(driver, 43)
    driver.update_rollout(42, 2, 1.0, Phase.RELEASED)
    at = trial_send_times(driver, 600, 43)
    assert 0 < len(at) <= 2 * 2 + 0.1 * 600


def test_without_any_rollout_update_every_build_is_on_trial() -> None:
    driver = Driver(released=False)
    list_servers(driver)
    assert len(trial_send_times(driver, 100, 41)) <= 2 + 0.1 * 100


def test_a_cap_that_is_lowered_to_zero_takes_effect_at_once() -> None:
    driver = Driver()
    list_both_builds(driver)
    driver.update_rollout(42, 1, 0.5)
    assert trial_send_times(driver, 100, 42)
    driver.update_rollout(42, 1, 0.0, Phase.ROLLING_BACK)
    assert not trial_send_times(driver, 100, 42)


def test_a_late_update_of_an_earlier_stage_binds_the_cap_but_not_the_evaluation() -> None:
    driver = Driver()
    list_both_builds(driver)
    driver.update_rollout(42, 1, 0.5)
    driver.update_rollout(42, 0, 0.1)
    assert driver.policy.furthest_rollout is not None
    assert driver.policy.furthest_rollout.stage == 1
    at = trial_send_times(driver, 300, 42)
    assert len(at) <= 2 + 0.1 * 300


def test_guarded_stages_and_counts_by_class() -> None:
    driver = Driver(settings(rollout=replace(ROLLOUT, guarded_stages=1, exposure_per_class=True)))
    list_both_builds(driver)
    driver.update_rollout(42, 0, 0.5)
    assert trial_send_times(driver, 100, 42, class_index=SAFE)
    assert not trial_send_times(driver, 100, 42, class_index=UNSAFE)
    driver.update_rollout(42, 1, 0.5)
    assert trial_send_times(driver, 100, 42, class_index=UNSAFE)


def test_a_key_answered_by_the_trial_build_stays_there_until_the_rollback() -> None:
    driver = Driver(settings(rollout=replace(ROLLOUT, monotonic_keys=True)))
    list_both_builds(driver)
    driver.update_rollout(42, 1, 0.5)
    key = 0
    while not key:
        driver.now += 20.0
        [send] = sends(driver.request(SAFE, key=1000 + driver.last_request))
        if driver.policy.servers[send.server].build == 42:
            key = 1000 + driver.last_request - 1
        driver.finish(send)
    for _ in range(30):
        driver.now += 200.0
        for send in sends(driver.request(SAFE, key=key)):
            assert driver.policy.servers[send.server].build == 42
            driver.finish(send)
    driver.update_rollout(42, 1, 0.0, Phase.ROLLING_BACK)
    [send] = sends(driver.request(SAFE, key=key))
    assert driver.policy.servers[send.server].build == 41


def test_a_key_answered_by_a_released_build_is_bound_too() -> None:
    # A key was bound to a build only if the build answered it while on trial, and not after the release.
    driver = Driver(settings(rollout=replace(ROLLOUT, monotonic_keys=True)))
    driver.update_endpoints([server_entry(10, 42)])
    driver.update_rollout(42, 2, 1.0, Phase.RELEASED)
    [send] = sends(driver.request(SAFE, key=5))
    driver.finish(send)
    driver.update_endpoints([server_entry(1, 41)])
    assert not sends(driver.request(SAFE, key=5))
    assert sends(driver.request(SAFE, key=6))


@pytest.mark.parametrize("result", [Result.RESET, Result.TIMEOUT, Result.CANCELLED])
def test_a_key_that_the_trial_build_may_have_answered_is_bound_too(result: Result) -> None:
    # A response that can't be read or that arrives late still counts as an answer of the build. The key was
    # not bound in that case.
    driver = Driver(settings(rollout=replace(ROLLOUT, monotonic_keys=True)))
    driver.update_endpoints([server_entry(10, 42)])
    driver.update_rollout(42, 1, 1.0)
    [send] = sends(driver.request(SAFE, key=5))
    driver.finish(send, result, final=True)
    driver.update_endpoints([server_entry(1, 41)])
    assert not sends(driver.request(SAFE, key=5))
    [send] = sends(driver.request(SAFE, key=6))


@pytest.mark.parametrize("result", [Result.ERROR, Result.REJECTED, Result.CONNECT_FAILED])
def test_a_key_that_the_trial_build_did_not_answer_is_free(result: Result) -> None:
    driver = Driver(settings(rollout=replace(ROLLOUT, monotonic_keys=True)))
    driver.update_endpoints([server_entry(10, 42)])
    driver.update_rollout(42, 1, 1.0)
    [send] = sends(driver.request(SAFE, key=5))
    driver.finish(send, result, final=True)
    driver.update_endpoints([server_entry(1, 41)])
    assert sends(driver.request(SAFE, key=5))


def test_keys_of_a_rolled_back_build_are_free_when_the_next_comes() -> None:
    # After a rollback, keys stayed bound to a build later than the one in service, so that only the next
    # trial build could serve them.
    driver = Driver(settings(rollout=replace(ROLLOUT, monotonic_keys=True)))
    driver.update_endpoints([server_entry(10, 42)])
    driver.update_rollout(42, 1, 1.0)
    [send] = sends(driver.request(SAFE, key=5))
    driver.finish(send)
    driver.update_endpoints([server_entry(1, 41)])
    assert not sends(driver.request(SAFE, key=5))
    driver.update_rollout(42, 1, 0.0, Phase.ROLLED_BACK)
    assert sends(driver.request(SAFE, key=5))
    driver.update_rollout(43, 0, 0.0)
    assert sends(driver.request(SAFE, key=5))


def test_a_key_with_an_outstanding_attempt_at_the_trial_build_is_bound() -> None:
    # The server wrote a response that the network lost. The key was not yet bound, as it was bound only when
    # a response arrived.
    driver = Driver(settings(rollout=replace(ROLLOUT, monotonic_keys=True)))
    driver.update_endpoints([server_entry(10, 42)])
    driver.update_rollout(42, 1, 1.0)
    [send] = sends(driver.request(SAFE, key=5))
    driver.update_endpoints([server_entry(10, 42, state=ServerState.DRAINING), server_entry(1, 41)])
    assert not sends(driver.request(SAFE, key=5))
    assert sends(driver.request(SAFE, key=6))
    assert sends(driver.request(SAFE))
    driver.finish(send, Result.CONNECT_FAILED, final=True)
    assert sends(driver.request(SAFE, key=5))


def test_keys_answered_before_the_first_update_of_a_build_stay_bound() -> None:
    # With delayed rollout updates, the endpoint list names a build before its first update arrives. That
    # update cleared the keys that the build had already answered.
    driver = Driver(settings(rollout=replace(ROLLOUT, monotonic_keys=True)))
    driver.update_rollout(42, 0, 0.1)
    driver.update_endpoints([server_entry(10, 43)])
    [send] = sends(driver.request(SAFE, key=5))
    driver.finish(send)
    driver.update_rollout(43, 0, 0.1)
    driver.update_endpoints([server_entry(1, 41)])
    assert not sends(driver.request(SAFE, key=5))
    assert driver.policy.build_evidence[43].sent_windows[-1].times


def test_state_of_keys_windows_and_builds_is_bounded() -> None:
    # When every request had a new key, the table of keys bound to a released build grew with each request and
    # was never reduced.
    driver = Driver(settings(rollout=replace(ROLLOUT, monotonic_keys=True)))
    for build in range(42, 47):
        driver.update_endpoints([server_entry(10, build, driver.now + 1)])
        driver.update_rollout(build, 2, 1.0)
        for key in range(MAX_STICKY_KEYS // 2 + 100):
            driver.now += 5.0
            for send in sends([*driver.request(SAFE, key=1_000_000 * build + key + 1), *driver.fire_timer()]):
                driver.finish(send, Result.ERROR if key % 50 == 0 else Result.OK, final=True)
        driver.update_rollout(build, 2, 1.0, Phase.RELEASED)
        driver.now += 10.0
        driver.update_endpoints([server_entry(10, build, driver.now)])
    driver.now += 5_000.0
    driver.fire_timer()
    assert len(driver.policy.sticky_builds) <= MAX_STICKY_KEYS
    assert len(driver.policy.build_evidence) <= 3
    assert not driver.policy.in_flight
    assert not driver.policy.attempts
    maximum = (ROLLOUT.exposure_window_ms + WINDOW_MARGIN_MS) / 5 + 2
    assert all(len(window.times) <= maximum for window in driver.policy.request_windows.values())
    assert driver.policy.oldest_sticky_build > 42
    # Keys that were forgotten still get no server of a build before the oldest one that keys may go to.
    driver.update_endpoints([server_entry(1, 41)])
    assert not sends(driver.request(SAFE, key=5))
    assert sends(driver.request(SAFE))


# Unusual but valid input


def test_updates_and_statistics_of_unknown_builds_and_of_votes_never_sent() -> None:
    driver = Driver(released=False)
    driver.handle(BuildStatistics(99, 0, 0, 0, 0.0, 0.0))
    driver.handle(BuildStatistics(42, 0, 10, 10, 50.0, 0.0))
    driver.handle(RolloutUpdate(42, 0, Phase.TRIAL, 0.1, 0.0, Result.NOT_SENT, True))
    assert driver.policy.latest_rollout is None
    driver.update_rollout(42)
    driver.update_rollout(40, 2, 1.0, Phase.RELEASED)
    assert driver.policy.furthest_rollout is not None
    assert driver.policy.furthest_rollout.build == 42
    driver.handle(GossipReceived(3, b"?"))
    driver.handle(IncorrectResponse(77, 0, 5.0))
    driver.handle(ProbeResult(77, Result.OK, 1.0))
    driver.handle(Timer(12345))
    driver.fire_timer()


def test_no_traffic_one_server_and_an_empty_list() -> None:
    driver = Driver()
    driver.update_endpoints([])
    driver.update_rollout(42)
    for _ in range(200):
        driver.now += 50.0
        assert not sends(driver.fire_timer())
    driver.update_endpoints([server_entry(1)])
    assert len(sends(driver.request(SAFE))) == 1


def test_no_classes_and_no_caps_raise_no_error() -> None:
    driver = Driver(settings(classes=(), rollout=Rollout()))
    driver.update_endpoints([server_entry(1)])
    driver.update_rollout(42)
    driver.fire_timer()


def test_a_long_trial_binds_a_bounded_number_of_keys(monkeypatch: pytest.MonkeyPatch) -> None:
    # While servers of both builds were ready, each new key that was answered was stored, without end.
    monkeypatch.setattr("meadowpulley.policy.rollout_stage.MAX_TRIAL_KEYS", 20)
    monkeypatch.setattr("meadowpulley.policy.rollout_stage.MAX_STICKY_KEYS", 10)
    driver = Driver(settings(rollout=replace(ROLLOUT, monotonic_keys=True)))
    list_both_builds(driver)
    driver.update_rollout(42, 1, 0.5)
    for key in range(1, 400):
        driver.now += 20.0
        [send] = sends(driver.request(SAFE, key=key))
        driver.finish(send)
    bound_keys = driver.policy.sticky_builds
    assert 0 < len(bound_keys) <= 20
    driver.now += 10_000.0
    for send in sends(driver.request(SAFE, key=next(iter(bound_keys)))):
        assert driver.policy.servers[send.server].build == 42


def test_keys_of_released_builds_are_bounded_beside_servers_of_an_older_build(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("meadowpulley.state.state.MAX_STORED_KEYS", 20)
    driver = Driver(settings(rollout=replace(ROLLOUT, monotonic_keys=True)))
    list_both_builds(driver)
    driver.update_rollout(42, 2, 1.0, Phase.RELEASED)
    for key in range(1, 200):
        driver.now += 20.0
        for send in sends(driver.request(SAFE, key=key)):
            driver.finish(send)
        assert len(driver.policy.sticky_builds) <= 20
    [send] = sends(driver.request(SAFE, key=1))
    assert driver.policy.servers[send.server].build == 42
