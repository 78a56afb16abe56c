"""Arms of an experiment: whose order is followed, what it can't get past, and that the coin knows nothing."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace

import pytest

from meadowpulley.balance import Balancer
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
from tests.driver import ROLLOUT, SAFE, Driver, entry, sends, settings


def highest(now: float, r: Request, seen: Sequence[Candidate]) -> Sequence[int]:
    return sorted(range(len(seen)), key=lambda n: -seen[n].server)


def never(now: float, r: Request, seen: Sequence[Candidate]) -> Sequence[int]:
    raise AssertionError("arm 0 is the module's own choice")


def nobody(now: float, r: Request, seen: Sequence[Candidate]) -> Sequence[int]:
    return []


def gateway(*placements: Placement, seed: int = 7, s: Settings | None = None) -> Driver:
    d = Driver(s or settings(), seed=seed, told=False)
    d.b = Balancer(s or settings(), seed, placements)
    d.now = 10_000.0
    d.news(41, 2, 1.0, Phase.RELEASED)
    d.listed(entry(n) for n in range(5))
    return d


def ask(d: Driver, arm: int = 1, cls: int = SAFE, key: int = 0) -> list[Send]:
    d.last += 1
    return sends(d.give(Request(d.last, cls, 0, key, d.now + 2000.0, arm=arm)))


def test_arm_0_and_arms_nobody_knows_are_the_module_s_own_choice_draw_for_draw() -> None:
    plain, with_arms = gateway(), gateway(never, highest)
    for n in range(200):
        plain.now = with_arms.now = 10_000.0 + 20.0 * n
        found = ask(plain, 0), ask(with_arms, (0, 2)[n % 2])
        assert found[0] == found[1]
        for d, todo in zip((plain, with_arms), found, strict=True):
            for send in todo:
                d.end(send)
    assert plain.b.rng.getstate() == with_arms.b.rng.getstate()


def _drains(d: Driver) -> None:
    d.listed([entry(4, state=ServerState.DRAINING)], EndpointUpdateKind.INCREMENTAL)


def _is_gone(d: Driver) -> None:
    d.listed(entry(n) for n in range(4))


def _is_cold(d: Driver) -> None:
    d.listed([entry(4, started=d.now)], EndpointUpdateKind.INCREMENTAL)
    while sends(d.ask(SAFE)):
        if d.b.servers[4].slot >= 0 and d.b.servers[4].left < 1:
            return


def _rests(d: Driver) -> None:
    for _ in range(4):
        for send in ask(d):
            d.end(send, Result.ERROR, 10.0, over=True)
        d.now += 10.0


def _is_on_trial(d: Driver) -> None:  # and the request's key, the cap being 0, may not go there
    d.listed([entry(4, 42, 1.0)], EndpointUpdateKind.INCREMENTAL)
    d.news(42, 0, 0.0)


@pytest.mark.parametrize("spoil", [_drains, _is_gone, _is_cold, _rests, _is_on_trial])
def test_the_first_in_order_that_may_be_sent_to(spoil: object) -> None:
    d = gateway(never, highest)
    assert [send.server for send in ask(d)] == [4]
    assert callable(spoil)
    spoil(d)
    assert [send.server for send in ask(d)] == [3]


def test_what_is_left_out_is_not_asked_and_the_request_is_answered_all_the_same() -> None:
    d = gateway(never, nobody)
    assert not ask(d)
    answers: list[Action] = []
    while d.b.held:
        d.now += 50.0
        answers += [a for a in d.tick() if isinstance(a, Reject | Send)]
    assert answers == [Reject(1, 500.0)]


def test_a_further_attempt_goes_to_a_server_that_was_not_tried() -> None:
    d = gateway(never, highest)
    [first] = ask(d)
    [second] = sends(d.end(first, Result.CONNECT_FAILED))
    assert (first.server, second.server) == (4, 3)


def test_what_a_placement_is_given() -> None:
    given: list[tuple[float, Request, Sequence[Candidate]]] = []

    def first(now: float, r: Request, seen: Sequence[Candidate]) -> Sequence[int]:
        given.append((now, r, seen))
        return [0]

    d = gateway(never, first)
    young = entry(3, started=d.now - 2000.0, zone=1, cell=2, kind=1)
    d.listed([entry(1), young])
    [send] = ask(d, key=9)
    d.end(send, took=80.0)
    ask(d)
    ask(d)
    (now, r, seen), (_, _, last) = given[0], given[2]
    assert (now, r.key, r.arm) == (d.now, 9, 1)
    assert seen == [
        Candidate(1, 0, 0, 0, 41, 0, 1.0, 0.0, True),
        Candidate(3, 1, 2, 1, 41, 0, 0.7, 0.0, False),
    ]
    assert last[0] == replace(seen[0], out=1, usual_ms=80.0) and last[1] == seen[1]


def test_the_coin_is_the_same_whatever_the_arm() -> None:
    part = []
    for arm in (0, 1):
        trial = 0
        d = gateway(never, highest, s=settings(rollout=replace(ROLLOUT, exposure_allowance=1e9)))
        d.listed([*(entry(n) for n in range(5)), *(entry(n, 42, 1.0) for n in range(10, 15))])
        d.news(42, 1, 0.5)
        for _ in range(2000):
            d.now += 20.0
            for send in ask(d, arm):
                trial += send.server >= 10
                d.end(send, took=5.0)
        part.append(trial / 2000)
    assert part[0] == pytest.approx(0.4, abs=0.03) and part[1] == pytest.approx(0.4, abs=0.03)


@pytest.mark.parametrize(("resting", "asked"), [((14,), {13}), ((13, 14), set())])
def test_of_the_trial_build_no_more_than_two_are_looked_at(resting: tuple[int, ...], asked: set[int]) -> None:
    d = gateway(never, highest, s=settings(rollout=replace(ROLLOUT, exposure_allowance=1e9)))
    d.listed([*(entry(n) for n in range(5)), *(entry(n, 42, 1.0) for n in range(10, 15))])
    d.news(42, 1, 0.5)
    for n in resting:
        d.b.servers[n].rest_until = d.now + 60_000.0
    found = {send.server for _ in range(60) for send in ask(d)}
    assert {n for n in found if n >= 10} == asked
