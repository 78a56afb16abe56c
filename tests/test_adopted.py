"""Requests taken over from a lost gateway: what is sent again, how it is answered, what it does not earn."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace

import pytest

from meadowpulley.interface import (
    Action,
    Cancel,
    ClientDisconnected,
    DeduplicationScope,
    Fail,
    Limits,
    PriorAttempt,
    Reject,
    Request,
    Result,
    Rollout,
    Send,
    ServerState,
    SetTimer,
)
from tests.driver import CLASSES, LIMITS, ROLLOUT, SAFE, UNSAFE, Driver, entry, sends, settings

KEYED, ZONED, CELLED = 2, 3, 4
MORE = (
    *CLASSES,
    replace(CLASSES[KEYED], deduplication_scope=DeduplicationScope.ZONE),
    replace(CLASSES[KEYED], deduplication_scope=DeduplicationScope.CELL),
)
MOST = LIMITS.max_attempts
WINDOW_MS = CLASSES[KEYED].deduplication_window_ms
HERE = PriorAttempt(server=77, build=41, zone=0, cell=0, sent_ms=9_900.0)
ELSEWHERE = replace(HERE, zone=1, cell=1)
LONG_AGO = replace(HERE, sent_ms=10_000.0 - WINDOW_MS)


def gateway(count: int = 4, rollout: Rollout = ROLLOUT, limits: Limits = LIMITS) -> Driver:
    d = Driver(settings(classes=MORE, rollout=rollout, limits=limits))
    d.now = 10_000.0
    d.listed(entry(n) for n in range(count))
    return d


def adopt(
    d: Driver, cls: int, tried: Sequence[PriorAttempt] = (), tries: int = 0, key: int = 0
) -> list[Action]:
    d.last += 1
    tries = max(tries, len(tried))
    return d.give(
        Request(
            d.last,
            cls,
            0,
            key,
            d.now + 2000.0,
            adopted=True,
            prior_attempt_count=tries,
            prior_attempts=tuple(tried),
        )
    )


def became(d: Driver, actions: list[Action]) -> tuple[str, float]:
    """What was done with a request first, and how long it took."""
    began = d.now
    while d.now <= began + 2000.0:
        for a in actions:
            if isinstance(a, Send | Reject | Fail):
                return type(a).__name__, d.now - began
        d.now += 50.0
        actions = d.tick()
    return "nothing", d.now - began


@pytest.mark.parametrize(
    ("cls", "tried", "tries", "what", "at_once"),
    [
        (SAFE, [], 0, "Send", True),
        (SAFE, [HERE], 1, "Send", True),
        (SAFE, [HERE, LONG_AGO], MOST - 1, "Send", True),
        (SAFE, [HERE], MOST, "Refuse", True),
        (UNSAFE, [], 0, "Send", True),
        (UNSAFE, [], 2, "Send", True),  # two that are known never to have run
        (UNSAFE, [], MOST, "Refuse", True),
        (UNSAFE, [HERE], 1, "Fail", True),
        (UNSAFE, [LONG_AGO], 1, "Fail", True),
        (KEYED, [HERE], 1, "Send", True),
        (KEYED, [ELSEWHERE], 1, "Send", True),
        (KEYED, [LONG_AGO], 1, "Fail", False),
        (KEYED, [HERE, LONG_AGO], 2, "Fail", False),
        (KEYED, [HERE], MOST, "Fail", True),  # a refusal's repeat may come after the window
        (ZONED, [HERE], 1, "Send", True),
        (ZONED, [ELSEWHERE], 1, "Fail", False),
        (ZONED, [LONG_AGO], 1, "Fail", False),
        (CELLED, [HERE], 1, "Send", True),
        (CELLED, [replace(HERE, cell=1)], 1, "Fail", False),
        (CELLED, [HERE, ELSEWHERE], 2, "Fail", False),
    ],
)
def test_what_becomes_of_a_request_taken_over(
    cls: int, tried: list[PriorAttempt], tries: int, what: str, at_once: bool
) -> None:
    d = gateway()
    found, took = became(d, adopt(d, cls, tried, tries))
    assert (found, took == 0.0) == (what, at_once)
    assert took <= 250.0 and (found == "Send") == bool(d.b.held)


@pytest.mark.parametrize(
    ("cls", "tried", "answer"),
    [(SAFE, [HERE], Reject), (UNSAFE, [], Reject), (UNSAFE, [HERE], Fail), (KEYED, [HERE], Fail)],
)
def test_without_room_only_what_cannot_have_run_is_refused(
    cls: int, tried: list[PriorAttempt], answer: type[Action]
) -> None:
    d = gateway()
    d.b.room = -1.0
    assert [type(a) for a in adopt(d, cls, tried) if not isinstance(a, SetTimer)] == [answer]


def test_attempts_are_numbered_from_0_here_and_count_with_the_earlier_ones() -> None:
    d = gateway()
    d.b.retries_left = 10.0
    todo = sends(adopt(d, SAFE, [HERE], MOST - 2))
    numbers, answers = [], list[Action]()
    while todo:
        numbers += [n for _, n in d.b.attempts]
        answers = d.end(todo[0], Result.ERROR)
        todo = sends(answers)
    assert numbers == [0, 1] and Reject(1, 500.0) in answers


def test_a_first_attempt_here_that_never_ran_leaves_the_earlier_life_s_standing() -> None:
    d = gateway()
    [send] = sends(adopt(d, KEYED, [replace(HERE, sent_ms=d.now - WINDOW_MS + 100.0)]))
    d.now += 120.0  # the server's memory of the first is over by now
    assert Fail(1) in d.end(send, Result.CONNECT_FAILED)


def test_servers_tried_before_come_last() -> None:
    for seed in range(20):
        d = gateway(3)
        d.b.rng.seed(seed)
        [send] = sends(adopt(d, SAFE, [replace(HERE, server=0), replace(HERE, server=2)]))
        assert send.server == 1


def test_what_it_leaves_is_called_off_here_and_nowhere_else() -> None:
    d = gateway()
    [send] = sends(adopt(d, SAFE, [HERE]))
    assert [a for a in d.give(ClientDisconnected(send.request)) if isinstance(a, Cancel)] == [Cancel(1, 0)]


@pytest.mark.parametrize("adopted", [False, True])
def test_no_allowance_on_the_trial_build_and_no_share_in_what_is_learnt_of_demand(adopted: bool) -> None:
    d = gateway()
    d.listed([*(entry(n) for n in range(4)), entry(10, 42, 1.0), entry(11, 42, 1.0)])
    d.news(42, 1, 0.5)
    d.b.retries_left = 0.0
    trial = 0
    for _ in range(60):
        d.now += 10.0
        for send in sends(adopt(d, SAFE) if adopted else d.ask(SAFE)):
            trial += send.server >= 10
            d.end(send)
    assert (trial <= ROLLOUT.exposure_allowance) is adopted
    assert (d.b.taken.value(d.now) == 0.0) is adopted and (d.b.retries_left == 0.0) is adopted


def test_a_key_stays_with_the_trial_build_that_may_have_answered_it() -> None:
    rollout = replace(ROLLOUT, monotonic_keys=True)
    for tried, least in ((replace(HERE, build=42), 42), (HERE, 41)):
        builds = set()
        for seed in range(30):
            d = gateway(rollout=rollout)
            d.b.rng.seed(seed)
            d.listed([*(entry(n) for n in range(4)), entry(10, 42, 1.0), entry(11, 42, 1.0)])
            d.news(42, 1, 0.5)
            for send in (*sends(adopt(d, SAFE, [tried], key=5)), *sends(d.ask(SAFE, key=5))):
                builds.add(d.b.servers[send.server].build)
        assert min(builds) == least and max(builds) == 42
    alone = gateway(rollout=rollout)
    alone.listed([*(entry(n) for n in range(4)), entry(10, 42, 1.0, state=ServerState.DRAINING)])
    alone.news(42, 1, 0.5)
    assert became(alone, adopt(alone, SAFE, [replace(HERE, build=42)], key=5))[0] == "Refuse"
