"""The server model: against theory where theory is exact, and its edges."""

from __future__ import annotations

import math

import numpy as np
import pytest
from hypothesis import given, settings, strategies as st
from scipy import stats

from meadowpulley.emulator import Job, Machine
from meadowpulley.emulator.machine import Offer
from meadowpulley.fleet import Keys, Kind, RuleFigures

RULES = RuleFigures()
SEEDS = 12


def machine(cores: int = 1, slots: int = 1, queue: int = 10**9, **more: float) -> Machine:
    kind = Kind(name="m", cores=cores, slots=slots, queue=queue, thrash_at=1e9, drops_expired=False, **more)  # type: ignore[arg-type]
    return Machine(kind, RULES, Keys(), 0.0, long_ago=not more.get("cold_ms"))


def mean_response(m: Machine, gaps: np.ndarray, works: np.ndarray) -> float:
    """Mean time in the system, without the first tenth, of a run of arrivals."""
    now = 0.0
    began: dict[int, float] = {}
    took: dict[int, float] = {}
    for n, (gap, work) in enumerate(zip(gaps, works, strict=True)):
        now += gap
        for ended in m.advance(now):
            took[ended.job.number] = ended.at - began[ended.job.number]
        began[n] = now
        assert m.offer(now, Job(n, float(work))) is Offer.TAKEN
    for ended in m.advance(math.inf if m.next_at() == math.inf else 1e12):
        took[ended.job.number] = ended.at - began[ended.job.number]
    assert len(took) == len(gaps)
    return float(np.mean([t for n, t in took.items() if n > len(gaps) // 10]))


def responses(cores: int, slots: int, rho: float, spread: float, n: int = 12_000) -> list[float]:
    means = []
    for seed in range(SEEDS):
        rng = np.random.default_rng(seed)
        if spread == 1.0:
            works = rng.exponential(1.0, n)
        elif spread == 0.0:
            works = np.ones(n)
        else:
            works = rng.gamma(1 / spread**2, spread**2, n)
        means.append(mean_response(machine(cores, slots), rng.exponential(1 / (rho * cores), n), works))
    return means


def erlang_c(c: int, rho: float) -> float:
    a = c * rho
    below = sum(a**k / math.factorial(k) for k in range(c))
    top = a**c / math.factorial(c) / (1 - rho)
    return top / (below + top)


@pytest.mark.parametrize(
    ("what", "cores", "slots", "rho", "spread", "expected"),
    [
        ("M/M/1", 1, 1, 0.7, 1.0, 1 / 0.3),
        ("M/M/4", 4, 4, 0.8, 1.0, 1 + erlang_c(4, 0.8) / (4 * 0.2)),
        ("M/D/1, Pollaczek and Khinchine", 1, 1, 0.7, 0.0, 1 + 0.7 / (2 * 0.3)),
        ("M/G/1, Pollaczek and Khinchine", 1, 1, 0.6, 1.5, 1 + 0.6 * (1 + 1.5**2) / (2 * 0.4)),
        ("M/G/1 shared evenly: only the mean of the work counts", 1, 10**6, 0.6, 1.5, 1 / 0.4),
    ],
)
def test_theory_lies_in_the_confidence_interval(
    what: str, cores: int, slots: int, rho: float, spread: float, expected: float
) -> None:
    means = responses(cores, slots, rho, spread)
    mean, error = float(np.mean(means)), float(stats.sem(means))
    half = error * float(stats.t.ppf(0.9995, SEEDS - 1))
    assert abs(mean - expected) <= half, f"{what}: {mean:.3f} +- {half:.3f}, theory {expected:.3f}"
    assert half < 0.25 * expected


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.floats(0.05, 1.0), st.floats(1.0, 10_000.0), st.floats(0.0, 20_000.0), st.floats(0.001, 20_000.0))
def test_warm_up_is_integrated_and_inverted_exactly(
    start: float, cold: float, at: float, gain: float
) -> None:
    m = machine(cold_from=start, cold_ms=cold)
    when = m._when_warm_ms(at, gain)
    assert m._warm_ms(at, when) == pytest.approx(gain, rel=1e-6, abs=1e-6)
    assert when - at >= gain * 0.999999


@settings(derandomize=True, max_examples=40, deadline=None)
@given(
    st.lists(st.tuples(st.floats(0, 300), st.floats(0.1, 500)), min_size=1, max_size=40),
    st.integers(1, 4),
    st.integers(1, 12),
    st.integers(0, 10),
    st.floats(0.3, 1.0),
)
def test_no_work_is_lost_or_made(
    jobs: list[tuple[float, float]], cores: int, slots: int, queue: int, cold: float
) -> None:
    m = machine(cores, slots, queue, cold_from=cold, cold_ms=2000.0)
    m.rules = RuleFigures(fall_multiple=1e9)
    now, taken, ended = 0.0, 0.0, 0
    for n, (gap, work) in enumerate(jobs):
        now += gap
        ended += len(m.advance(now))
        if m.offer(now, Job(n, work)) is Offer.TAKEN:
            taken += work
        assert len(m.running) <= slots and len(m.waiting) <= queue
    m.advance(now + 1e7)
    assert m.done_work_ms == pytest.approx(taken, rel=1e-6)
    assert not m.running and not m.waiting


def test_a_full_server_turns_away_and_a_late_request_is_not_begun() -> None:
    kind = Kind(name="m", cores=1, slots=1, queue=1)
    m = Machine(kind, RULES, Keys(), 0.0, long_ago=True)
    offers = [m.offer(0.0, Job(n, 100.0, until=50.0)) for n in range(3)]
    assert offers == [Offer.TAKEN, Offer.TAKEN, Offer.FULL]
    first, second = m.advance(1000.0)
    assert (first.at, first.ran, second.ran) == (100.0, True, False)


def test_a_remembered_key_saves_work_until_it_is_forgotten() -> None:
    keys = Keys(count=10, memory_ms=1000.0, gain=0.4, most=2)
    m = Machine(Kind(name="m", cores=1, slots=1), RULES, keys, 0.0, long_ago=True)
    took = []
    for n, (at, key) in enumerate([(0.0, 7), (200.0, 7), (2000.0, 7), (2200.0, 1), (2400.0, 2), (2600.0, 7)]):
        m.advance(at)
        m.offer(at, Job(n, 100.0, key))
        took += [ended.at - at for ended in m.advance(at + 150.0)]
    assert took == pytest.approx([100.0, 60.0, 100.0, 100.0, 100.0, 100.0])


def test_a_cold_server_falls_over_when_pushed_and_stays_down() -> None:
    kind = Kind(name="m", cores=2, slots=64, queue=64, cold_from=0.5, cold_ms=4000.0)
    m = Machine(kind, RULES, Keys(), 1000.0)
    # Half of two cores for 1.5 s is 1,500 ms of work; twice as much may be sent.
    assert [m.offer(1000.0, Job(n, 1000.0)) for n in range(3)] == [Offer.TAKEN] * 3
    assert m.offer(1000.0, Job(4, 1000.0)) is Offer.DOWN and m.fell
    assert m.offer(9000.0, Job(5, 1.0)) is Offer.DOWN
    warm = Machine(kind, RULES, Keys(), 1000.0, long_ago=True)
    assert [warm.offer(1000.0, Job(n, 1000.0)) for n in range(20)] == [Offer.TAKEN] * 20


def test_a_cancel_ends_what_its_kind_lets_it_end() -> None:
    for running, waiting in ((False, False), (True, False), (False, True), (True, True)):
        kind = Kind(name="m", cores=1, slots=1, queue=2, cancels_running=running, cancels_waiting=waiting)
        m = Machine(kind, RULES, Keys(), 0.0, long_ago=True)
        one, two = Job(1, 100.0), Job(2, 100.0)
        m.offer(0.0, one)
        m.offer(0.0, two)
        assert (m.cancel(10.0, two), m.cancel(10.0, one)) == (waiting, running)
        assert len(m.advance(1000.0)) == 2 - running - waiting
