"""The server model: against theory where theory is exact, and its edges."""

from __future__ import annotations

import math

import numpy as np
import pytest
from hypothesis import given, settings, strategies as st
from scipy import stats

from meadowpulley.emulator import Job, Machine
from meadowpulley.emulator.machine import OfferResult
from meadowpulley.fleet import KeyModel, MachineKind, RuleModel

RULES = RuleModel()
SEEDS = 12


def make_machine(cores: int = 1, slots: int = 1, queue: int = 10**9, **more: float) -> Machine:
    kind = MachineKind(
        name="m",
        cores=cores,
        slots=slots,
        queue=queue,
        thrash_at=1e9,
        drops_expired=False,
        **more,  # type: ignore[arg-type]
    )
    return Machine(kind, RULES, KeyModel(), 0.0, warmed_up=not more.get("slow_start_ms"))


def mean_response(machine: Machine, interarrival_ms: np.ndarray, work_ms: np.ndarray) -> float:
    """Mean time in the system, without the first tenth, of a run of arrivals."""
    now = 0.0
    began: dict[int, float] = {}
    took: dict[int, float] = {}
    for n, (gap, work) in enumerate(zip(interarrival_ms, work_ms, strict=True)):
        now += gap
        for ended in machine.advance(now):
            took[ended.job.number] = ended.at - began[ended.job.number]
        began[n] = now
        assert machine.offer(now, Job(n, float(work))) is OfferResult.ACCEPTED
    for ended in machine.advance(math.inf if machine.next_event_at() == math.inf else 1e12):
        took[ended.job.number] = ended.at - began[ended.job.number]
    assert len(took) == len(interarrival_ms)
    return float(np.mean([t for n, t in took.items() if n > len(interarrival_ms) // 10]))


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
        means.append(mean_response(make_machine(cores, slots), rng.exponential(1 / (rho * cores), n), works))
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
def test_slow_start_integral_is_exact_and_invertible(
    start: float, cold: float, at: float, gain: float
) -> None:
    m = make_machine(slow_start_from=start, slow_start_ms=cold)
    when = m._time_of_warm_equivalent(at, gain)
    assert m._warm_equivalent_ms(at, when) == pytest.approx(gain, rel=1e-6, abs=1e-6)
    assert when - at >= gain * 0.999999


@settings(derandomize=True, max_examples=40, deadline=None)
@given(
    st.lists(st.tuples(st.floats(0, 300), st.floats(0.1, 500)), min_size=1, max_size=40),
    st.integers(1, 4),
    st.integers(1, 12),
    st.integers(0, 10),
    st.floats(0.3, 1.0),
)
def test_work_is_conserved(
    jobs: list[tuple[float, float]], cores: int, slots: int, queue: int, cold: float
) -> None:
    m = make_machine(cores, slots, queue, slow_start_from=cold, slow_start_ms=2000.0)
    m.rules = RuleModel(overload_multiple=1e9)
    now, taken, ended = 0.0, 0.0, 0
    for n, (gap, work) in enumerate(jobs):
        now += gap
        ended += len(m.advance(now))
        if m.offer(now, Job(n, work)) is OfferResult.ACCEPTED:
            taken += work
        assert len(m.running) <= slots and len(m.queued) <= queue
    m.advance(now + 1e7)
    assert m.completed_work_ms == pytest.approx(taken, rel=1e-6)
    assert not m.running and not m.queued


def test_full_server_rejects_and_expired_request_is_not_started() -> None:
    kind = MachineKind(name="m", cores=1, slots=1, queue=1)
    machine = Machine(kind, RULES, KeyModel(), 0.0, warmed_up=True)
    offers = [machine.offer(0.0, Job(n, 100.0, deadline=50.0)) for n in range(3)]
    assert offers == [OfferResult.ACCEPTED, OfferResult.ACCEPTED, OfferResult.REJECTED]
    first, second = machine.advance(1000.0)
    assert (first.at, first.executed, second.executed) == (100.0, True, False)


def test_remembered_key_saves_work_until_it_expires() -> None:
    keys = KeyModel(count=10, memory_ms=1000.0, work_saved=0.4, max_remembered=2)
    machine = Machine(MachineKind(name="m", cores=1, slots=1), RULES, keys, 0.0, warmed_up=True)
    took = []
    for n, (at, key) in enumerate([(0.0, 7), (200.0, 7), (2000.0, 7), (2200.0, 1), (2400.0, 2), (2600.0, 7)]):
        machine.advance(at)
        machine.offer(at, Job(n, 100.0, key))
        took += [ended.at - at for ended in machine.advance(at + 150.0)]
    assert took == pytest.approx([100.0, 60.0, 100.0, 100.0, 100.0, 100.0])


def test_cold_server_overloads_and_stays_down() -> None:
    kind = MachineKind(name="m", cores=2, slots=64, queue=64, slow_start_from=0.5, slow_start_ms=4000.0)
    machine = Machine(kind, RULES, KeyModel(), 1000.0)
    # Half of two cores for 1.5 s is 1,500 ms of work; twice as much may be sent.
    assert [machine.offer(1000.0, Job(n, 1000.0)) for n in range(3)] == [OfferResult.ACCEPTED] * 3
    assert machine.offer(1000.0, Job(4, 1000.0)) is OfferResult.DOWN and machine.overloaded
    assert machine.offer(9000.0, Job(5, 1.0)) is OfferResult.DOWN
    warm = Machine(kind, RULES, KeyModel(), 1000.0, warmed_up=True)
    assert [warm.offer(1000.0, Job(n, 1000.0)) for n in range(20)] == [OfferResult.ACCEPTED] * 20


def test_cancel_ends_only_what_the_machine_kind_allows() -> None:
    for running, waiting in ((False, False), (True, False), (False, True), (True, True)):
        kind = MachineKind(
            name="m", cores=1, slots=1, queue=2, cancels_running=running, cancels_waiting=waiting
        )
        machine = Machine(kind, RULES, KeyModel(), 0.0, warmed_up=True)
        one, two = Job(1, 100.0), Job(2, 100.0)
        machine.offer(0.0, one)
        machine.offer(0.0, two)
        assert (machine.cancel(10.0, two), machine.cancel(10.0, one)) == (waiting, running)
        assert len(machine.advance(1000.0)) == 2 - running - waiting
