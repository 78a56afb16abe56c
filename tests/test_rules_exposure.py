"""Exposure of trial builds, and what is odd but legal."""

from __future__ import annotations

from dataclasses import replace

import pytest

from meadowpulley.balance import KEYS
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
from meadowpulley.records import FRINGE_MS
from tests.driver import ROLLOUT, SAFE, UNSAFE, Driver, entry, fleet, sends, settings

ONE_MORE = (Result.REJECTED, Result.CONNECT_FAILED)


# Exposure stays within the cap


def exposed(d: Driver, count: int, build: int, cls: int = SAFE) -> list[float]:
    """When attempts went to servers of the build, of the requests that come at an even pace."""
    at = []
    for _ in range(count):
        d.now += 20.0
        for send in sends(d.ask(cls)):
            if d.b.servers[send.server].build == build:
                at.append(d.now)
            d.end(send)
    return at


def mixed(d: Driver, build: int = 42) -> None:
    d.listed([*(entry(n) for n in range(4)), *(entry(10 + n, build) for n in range(4))])


@pytest.mark.parametrize(("stage", "cap"), [(0, 0.1), (1, 0.5)])
def test_attempts_at_a_trial_build_stay_within_free_plus_cap(stage: int, cap: float) -> None:
    d = Driver()
    mixed(d)
    d.news(42, stage, cap)
    at = exposed(d, 1000, 42)
    assert len(at) > 1000 * cap * 0.3
    for start in at:
        assert sum(start <= t < start + 6000.0 for t in at) <= 2 + cap * 300


def test_an_unannounced_build_counts_as_the_first_stage() -> None:
    d = Driver()
    mixed(d, 43)
    d.news(42, 2, 1.0, Phase.RELEASED)
    at = exposed(d, 600, 43)
    assert 0 < len(at) <= 2 * 2 + 0.1 * 600


def test_no_news_at_all_means_that_every_build_is_on_trial() -> None:
    d = Driver(told=False)
    fleet(d)
    assert len(exposed(d, 100, 41)) <= 2 + 0.1 * 100


def test_cap_zero_and_a_lowered_cap_hold_at_once() -> None:
    d = Driver()
    mixed(d)
    d.news(42, 1, 0.5)
    assert exposed(d, 100, 42)
    d.news(42, 1, 0.0, Phase.ROLLING_BACK)
    assert not exposed(d, 100, 42)


def test_late_news_of_an_earlier_stage_binds_the_cap_but_not_the_judge() -> None:
    d = Driver()
    mixed(d)
    d.news(42, 1, 0.5)
    d.news(42, 0, 0.1)
    assert d.b.best is not None and d.b.best.stage == 1
    at = exposed(d, 300, 42)
    assert len(at) <= 2 + 0.1 * 300


def test_guarded_stages_and_counts_by_class() -> None:
    d = Driver(settings(rollout=replace(ROLLOUT, guarded_stages=1, exposure_per_class=True)))
    mixed(d)
    d.news(42, 0, 0.5)
    assert exposed(d, 100, 42, cls=SAFE)
    assert not exposed(d, 100, 42, cls=UNSAFE)
    d.news(42, 1, 0.5)
    assert exposed(d, 100, 42, cls=UNSAFE)


def test_a_key_answered_by_the_trial_build_goes_to_no_earlier_one_until_it_goes_back() -> None:
    d = Driver(settings(rollout=replace(ROLLOUT, monotonic_keys=True)))
    mixed(d)
    d.news(42, 1, 0.5)
    key = 0
    while not key:
        d.now += 20.0
        [send] = sends(d.ask(SAFE, key=1000 + d.last))
        if d.b.servers[send.server].build == 42:
            key = 1000 + d.last - 1
        d.end(send)
    for _ in range(30):
        d.now += 200.0
        for send in sends(d.ask(SAFE, key=key)):
            assert d.b.servers[send.server].build == 42
            d.end(send)
    d.news(42, 1, 0.0, Phase.ROLLING_BACK)
    [send] = sends(d.ask(SAFE, key=key))
    assert d.b.servers[send.server].build == 41


def test_a_key_answered_by_a_released_build_is_bound_too() -> None:
    # Found on a busy day: the key was noted only while the build was on trial.
    d = Driver(settings(rollout=replace(ROLLOUT, monotonic_keys=True)))
    d.listed([entry(10, 42)])
    d.news(42, 2, 1.0, Phase.RELEASED)
    [send] = sends(d.ask(SAFE, key=5))
    d.end(send)
    d.listed([entry(1, 41)])
    assert not sends(d.ask(SAFE, key=5))
    assert sends(d.ask(SAFE, key=6))


@pytest.mark.parametrize("result", [Result.RESET, Result.TIMEOUT, Result.CANCELLED])
def test_a_key_that_the_trial_build_may_have_answered_is_bound_too(result: Result) -> None:
    # Found on a day of spoilt answers: one that can't be read, or comes late, counts as an answer.
    d = Driver(settings(rollout=replace(ROLLOUT, monotonic_keys=True)))
    d.listed([entry(10, 42)])
    d.news(42, 1, 1.0)
    [send] = sends(d.ask(SAFE, key=5))
    d.end(send, result, over=True)
    d.listed([entry(1, 41)])
    assert not sends(d.ask(SAFE, key=5))
    [send] = sends(d.ask(SAFE, key=6))


@pytest.mark.parametrize("result", [Result.ERROR, Result.REJECTED, Result.CONNECT_FAILED])
def test_a_key_that_the_trial_build_did_not_answer_is_free(result: Result) -> None:
    d = Driver(settings(rollout=replace(ROLLOUT, monotonic_keys=True)))
    d.listed([entry(10, 42)])
    d.news(42, 1, 1.0)
    [send] = sends(d.ask(SAFE, key=5))
    d.end(send, result, over=True)
    d.listed([entry(1, 41)])
    assert sends(d.ask(SAFE, key=5))


def test_keys_of_a_build_that_was_taken_off_are_free_when_the_next_comes() -> None:
    # They stayed bound to later builds than the one in service: nothing but the next trial could serve them.
    d = Driver(settings(rollout=replace(ROLLOUT, monotonic_keys=True)))
    d.listed([entry(10, 42)])
    d.news(42, 1, 1.0)
    [send] = sends(d.ask(SAFE, key=5))
    d.end(send)
    d.listed([entry(1, 41)])
    assert not sends(d.ask(SAFE, key=5))
    d.news(42, 1, 0.0, Phase.ROLLED_BACK)
    assert sends(d.ask(SAFE, key=5))
    d.news(43, 0, 0.0)
    assert sends(d.ask(SAFE, key=5))


def test_a_key_whose_request_is_out_at_the_trial_build_is_bound_already() -> None:
    # Found on a day of silent networks: the answer was written but never came: no note was made yet.
    d = Driver(settings(rollout=replace(ROLLOUT, monotonic_keys=True)))
    d.listed([entry(10, 42)])
    d.news(42, 1, 1.0)
    [send] = sends(d.ask(SAFE, key=5))
    d.listed([entry(10, 42, state=ServerState.DRAINING), entry(1, 41)])
    assert not sends(d.ask(SAFE, key=5)) and sends(d.ask(SAFE, key=6)) and sends(d.ask(SAFE))
    d.end(send, Result.CONNECT_FAILED, over=True)
    assert sends(d.ask(SAFE, key=5))


def test_what_a_build_answered_before_its_first_news_stays_noted() -> None:
    # Found on a long day with late news: the list names a build first, and the news of it cleared its keys.
    d = Driver(settings(rollout=replace(ROLLOUT, monotonic_keys=True)))
    d.news(42, 0, 0.1)
    d.listed([entry(10, 43)])
    [send] = sends(d.ask(SAFE, key=5))
    d.end(send)
    d.news(43, 0, 0.1)
    d.listed([entry(1, 41)])
    assert not sends(d.ask(SAFE, key=5)) and d.b.builds[43].sent[-1].times


def test_notes_of_keys_windows_and_builds_are_bounded_whatever_comes() -> None:
    # Keys are always new: the notes of a released build grew with every request, for good.
    d = Driver(settings(rollout=replace(ROLLOUT, monotonic_keys=True)))
    for build in range(42, 47):
        d.listed([entry(10, build, d.now + 1)])
        d.news(build, 2, 1.0)
        for key in range(KEYS // 2 + 100):
            d.now += 5.0
            for send in sends([*d.ask(SAFE, key=1_000_000 * build + key + 1), *d.tick()]):
                d.end(send, Result.ERROR if key % 50 == 0 else Result.OK, over=True)
        d.news(build, 2, 1.0, Phase.RELEASED)
        d.now += 10.0
        d.listed([entry(10, build, d.now)])
    d.now += 5_000.0
    d.tick()
    assert len(d.b.key_build) <= KEYS and len(d.b.builds) <= 3 and not d.b.held and not d.b.attempts
    most = (ROLLOUT.exposure_window_ms + FRINGE_MS) / 5 + 2
    assert all(len(window.times) <= most for window in d.b.window_taken.values())
    assert d.b.floor > 42
    d.listed([entry(1, 41)])  # what the notes said of each key, the lowest build in service says of all
    assert not sends(d.ask(SAFE, key=5)) and sends(d.ask(SAFE))


# Odd but legal


def test_news_and_tallies_of_strange_builds_and_votes_never_sent() -> None:
    d = Driver(told=False)
    d.give(BuildStatistics(99, 0, 0, 0, 0.0, 0.0))
    d.give(BuildStatistics(42, 0, 10, 10, 50.0, 0.0))
    d.give(RolloutUpdate(42, 0, Phase.TRIAL, 0.1, 0.0, Result.NOT_SENT, True))
    assert d.b.told is None
    d.news(42)
    d.news(40, 2, 1.0, Phase.RELEASED)
    assert d.b.best is not None and d.b.best.build == 42
    d.give(GossipReceived(3, b"?"))
    d.give(IncorrectResponse(77, 0, 5.0))
    d.give(ProbeResult(77, Result.OK, 1.0))
    d.give(Timer(12345))
    d.tick()


def test_no_traffic_one_server_and_an_empty_list() -> None:
    d = Driver()
    d.listed([])
    d.news(42)
    for _ in range(200):
        d.now += 50.0
        assert not sends(d.tick())
    d.listed([entry(1)])
    assert len(sends(d.ask(SAFE))) == 1


def test_no_classes_and_no_caps_do_not_stop_the_balancer() -> None:
    d = Driver(settings(classes=(), rollout=Rollout()))
    d.listed([entry(1)])
    d.news(42)
    d.tick()
