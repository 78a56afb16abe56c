"""Tests of placement estimates, against direct sums and where the true difference is known."""

from __future__ import annotations

from random import Random

import numpy as np
import pytest

from meadowpulley.placement import Arm, EndCondition, Experiment
from meadowpulley.placement.calibration import (
    CalibrationCase,
    calibrate,
    estimator_quality,
    mean_sojourn_time,
)
from meadowpulley.placement.confidence import NO_ESTIMATE, sequence_half_width
from meadowpulley.placement.counter_records import BlockCosts, CostMoments
from meadowpulley.placement.differences_in_q import WARMUP_BINS, q_residuals
from meadowpulley.placement.estimate import (
    estimate_mixed,
    estimate_naive,
    estimate_switchback,
)
from meadowpulley.placement.guard import harm_reason
from meadowpulley.placement.merged_counters import MergedCounters
from meadowpulley.placement.supermarket_model import (
    LEAST_OUTSTANDING,
    RANDOM,
    TWO_CHOICES,
    ModelSetting,
    SimulationPlan,
    simulate,
)
from meadowpulley.placement.time_bins import (
    BINS_PER_SEGMENT,
    LOOKAHEAD_BINS,
    BinRecorder,
    BinSegment,
    BinTotals,
    TimeBin,
    decode_segment,
    encode_segment,
)


def simulated_counters(
    seed: int, direct: float, carried: float, bins: int = 3000, groups: int = 1
) -> MergedCounters:
    """Return counters of a fleet whose requests of arm 1 cost `direct` ms more than those of arm 0.

    Each also adds about `carried` ms in total to the costs of requests in the next `LOOKAHEAD_BINS` bins.
    """
    rng, merged = np.random.default_rng(seed), MergedCounters()
    new, old = rng.poisson(5, bins), rng.poisson(5, bins)
    accepted = new + old
    burden = np.zeros(bins)
    for back in range(1, LOOKAHEAD_BINS + 1):
        burden[back:] += new[:-back] * carried / (10 * LOOKAHEAD_BINS)
    for n in range(bins):
        cost = float(rng.gamma(4.0, 10.0, accepted[n]).sum() + direct * new[n] + burden[n] * accepted[n])
        mean = 40.0 + burden[n]
        for arm, count, extra_ms in ((1, new[n], direct), (0, old[n], 0.0)):
            m = merged.moments.setdefault((0, arm, 0), CostMoments(0, arm, 0))
            m.add(int(count), float(count * (mean + extra_ms)), float(count * ((mean + extra_ms) ** 2 + 400)))
        arms = {(0, 1): int(new[n]), (0, 0): int(old[n])}
        merged.bins.append(
            TimeBin(n, arms, [int(accepted[n])] * 2 + [0], [cost, cost, 0.0], [cost, cost, 0.0], [0] * 3, [])
        )
    return merged


def test_the_mixed_estimate_includes_what_an_arm_costs_others() -> None:
    found = [simulated_counters(seed, 2.0, 12.0) for seed in range(30)]
    mixed = [estimate_mixed(m, 1, 0, 0.05, 0.5) for m in found]
    assert np.mean([e.value for e in mixed]) == pytest.approx(14.0, abs=4 * mixed[0].standard_error / 30**0.5)
    assert sum(e.low <= 14.0 <= e.high for e in mixed) >= 26
    naive = [estimate_naive(m, 1, 0, 0.05).value for m in found]
    assert np.mean(naive) == pytest.approx(2.0, abs=0.3)


def test_residuals_are_q_less_a_plane_fitted_to_earlier_bins_only() -> None:
    rng = np.random.default_rng(3)
    accepted, at_start = rng.poisson(9, 60).astype(float), rng.poisson(20, 60).astype(float)
    cost, outstanding_ms = rng.gamma(3, 30, 60), rng.gamma(3, 30, 60)
    r = q_residuals(accepted, cost, outstanding_ms, at_start)
    for b in range(60):
        if b < WARMUP_BINS + LOOKAHEAD_BINS + 1 or b + LOOKAHEAD_BINS >= 60:
            assert np.isnan(r.by_cost[b])
            assert np.isnan(r.by_outstanding[b])
            continue
        rows = np.array(
            [[1, at_start[j], accepted[j : j + LOOKAHEAD_BINS + 1].sum()] for j in range(b - LOOKAHEAD_BINS)]
        )
        for x, got in ((cost, r.by_cost), (outstanding_ms, r.by_outstanding)):
            q = np.array([x[j : j + LOOKAHEAD_BINS + 1].sum() for j in range(b - LOOKAHEAD_BINS)])
            plane = np.linalg.lstsq(rows, q, rcond=None)[0]
            expected = plane @ [1, at_start[b], accepted[b : b + LOOKAHEAD_BINS + 1].sum()]
            assert got[b] == pytest.approx(x[b : b + LOOKAHEAD_BINS + 1].sum() - expected, abs=0.05)
    later = cost.copy()
    later[50] += 1e6  # a later bin must not change an earlier expectation
    assert np.allclose(
        q_residuals(accepted, later, outstanding_ms, at_start).by_cost[: 50 - LOOKAHEAD_BINS],
        r.by_cost[: 50 - LOOKAHEAD_BINS],
        equal_nan=True,
    )


def test_the_estimate_of_a_class_is_per_request_of_that_class() -> None:
    merged = simulated_counters(1, 2.0, 12.0)
    merged.moments[0, 0, 1] = CostMoments(0, 0, 1, 0)
    assert estimate_mixed(merged, 1, 1, 0.05, 0.5).value == pytest.approx(
        estimate_mixed(merged, 1, 0, 0.05, 0.5).value
    )
    assert estimate_mixed(merged, 1, 2, 0.05, 0.5) == NO_ESTIMATE  # a class without requests


# Bins


def random_segments(seed: int, incarnation: str = "a.1") -> tuple[list[BinSegment], float, float]:
    """Return the segments of an incarnation with random requests.

    The other values are the total time (ms) for which its requests were outstanding, and the sum of the costs
    in its bins.
    """
    rng, bins, now, outstanding_ms = Random(seed), BinRecorder(incarnation, 2, 500.0), 1000.0, 0.0
    out: list[tuple[float, float, int]] = []
    found: list[BinSegment] = []
    for _ in range(1500):
        now += rng.expovariate(1 / 10)
        for end in sorted(e for e in out if e[0] <= now):
            bins.record_ended(end[0], end[2], 0, end[0] - end[1])
            outstanding_ms += end[0] - end[1]
        out = [e for e in out if e[0] > now]
        out.append((now + rng.expovariate(1 / 200), now, bins.record_accepted(now, rng.randrange(2), 0, 0)))
        while (segment := bins.next_segment()) is not None:
            found.append(segment)
            bins.discard_segment()
    for end in sorted(out):
        bins.record_ended(end[0], end[2], 0, end[0] - end[1])
        outstanding_ms += end[0] - end[1]
    bins.advance(max(out)[0] + 100.0 * (BINS_PER_SEGMENT + 1))
    while (segment := bins.next_segment()) is not None:
        found.append(segment)
        bins.discard_segment()
    return found, outstanding_ms, sum(sum(b.cost_ms[0] for b in s.bins) for s in found)


def test_bins_are_complete_and_obey_littles_law() -> None:
    segments, outstanding_ms, cost = random_segments(1)
    assert cost == pytest.approx(outstanding_ms)  # a request's cost is in the bin of its acceptance
    assert sum(b.outstanding_ms[0] for s in segments for b in s.bins) == pytest.approx(
        outstanding_ms
    )  # and its time is in the bins in which it was outstanding
    numbers = [b.number for s in segments for b in s.bins]
    assert numbers == list(range(numbers[0], numbers[0] + len(numbers)))
    assert sum(sum(b.arm_counts.values()) for s in segments for b in s.bins) == 1500
    assert all(decode_segment(encode_segment(s)) == s for s in segments)
    assert decode_segment(b"\xc1") is None


def total_bins(segments: list[BinSegment], ended: set[str]) -> list[TimeBin]:
    total = BinTotals()
    for segment in segments:
        total.add(segment)
    return total.complete_bins(ended)


def test_bins_add_up_in_any_order_as_far_as_every_live_incarnation_has_written() -> None:
    a, b = random_segments(1)[0], random_segments(2, "b.1")[0][:3]
    one = total_bins([*a, *b], set())
    shuffled = [*a, *b] * 2
    Random(3).shuffle(shuffled)
    assert total_bins(shuffled, set()) == one
    assert one[-1].number == b[-1].bins[-1].number
    whole = total_bins([*a, *b], {"b.1"})
    assert whole[-1].number == a[-1].bins[-1].number
    assert whole[: len(one)] == one
    assert one[5].accepted[0] == a[0].bins[5].accepted[0] + b[0].bins[5].accepted[0]


def test_a_clock_that_is_set_back_has_no_effect() -> None:
    bins = BinRecorder("a.1", 2, 500.0)
    number = bins.record_accepted(1000.0, 0, 0, 0)
    bins.advance(5000.0)
    assert bins.record_accepted(2000.0, 1, 0, 0) == 50
    bins.record_ended(1500.0, number, 0, 10.0)
    assert sum(b.outstanding_ms[0] for b in bins.bins) == pytest.approx(4000.0)


# Standard errors and confidence sequences


def test_confidence_sequences_cover_at_every_analysis_and_intervals_do_not() -> None:
    rng = np.random.default_rng(5)
    n = np.arange(400, 20_001, 200)
    outside_interval = outside_sequence = 0
    for _ in range(300):
        means = np.cumsum(rng.exponential(1.0, 20_000) - 1.0)[n - 1] / n
        error = 1 / np.sqrt(n)
        outside_interval += bool((np.abs(means) > 1.96 * error).any())
        halves = [sequence_half_width(e, m, 0.05, 20_000.0) for e, m in zip(error, n.tolist(), strict=True)]
        outside_sequence += bool((np.abs(means) > halves).any())
    assert outside_interval > 60
    assert outside_sequence <= 15


def test_units_that_share_an_arm_widen_the_error() -> None:
    """Keys differ in cost and all requests of a key share an arm, so that requests are not independent.

    Treated as independent, they would give too small a standard error.
    """
    rng, shared, single = np.random.default_rng(4), MergedCounters(), MergedCounters()
    for key in range(320):
        usual, arm, group = float(rng.normal(100, 30)), key % 2, key % 16
        costs = rng.normal(usual, 5, 50)
        sums = 50, float(costs.sum()), float(costs @ costs)
        shared.moments.setdefault((group, arm, 0), CostMoments(group, arm, 0)).add(*sums)
        shared.moments.setdefault((group, 1 - arm, 0), CostMoments(group, 1 - arm, 0)).add(0, 0.0, 0.0)
        single.moments.setdefault((0, arm, 0), CostMoments(0, arm, 0)).add(*sums)
    for group in range(16):  # gives each group requests of both arms
        for arm in (0, 1):
            level = float(rng.normal(100, 30))
            shared.moments[group, arm, 0].add(50, 50 * level, 50 * level**2)
    wide, narrow = estimate_naive(shared, 1, 0, 0.05), estimate_naive(single, 1, 0, 0.05)
    assert wide.standard_error > 4 * narrow.standard_error
    assert (
        1.5 < wide.standard_error < 8.0
    )  # the error of two means of about 160 keys is 30 * (2 / 168) ** 0.5 = 3.3


def test_a_switchback_compares_blocks() -> None:
    rng, merged = np.random.default_rng(6), MergedCounters()
    for block in range(60):
        arm, level = block % 2, rng.normal(100, 4)
        merged.blocks[block, 0] = BlockCosts(block, arm, 0, 200, 200 * (level + 10 * arm))
    found = estimate_switchback(merged, 1, 0, 0.05)
    assert found.low < 10.0 < found.high
    assert found.sample_size == 60
    assert found.standard_error == pytest.approx(4 * (2 / 30) ** 0.5, rel=0.3)
    assert found.sequence_low < found.low
    few = MergedCounters(blocks={k: v for k, v in merged.blocks.items() if k[0] < 10})
    assert estimate_switchback(few, 1, 0, 0.05) == NO_ESTIMATE


# The guard, and bias against the known true difference


def test_the_guard_detects_harm_to_other_requests() -> None:
    arms = (Arm("now", "own", 0.5), Arm("selfish", "least", 0.5))
    e = Experiment(1, "try", arms, EndCondition(requests=10**9))
    assert "with what it costs others" in harm_reason(e, simulated_counters(1, -2.0, 60.0), 1)
    assert "as measured" in harm_reason(e, simulated_counters(1, 9.0, 0.0), 1)
    assert not harm_reason(e, simulated_counters(1, 0.0, 0.0), 1)
    assert not harm_reason(e, simulated_counters(1, -9.0, 0.0), 1)


def test_the_mixed_estimate_has_less_bias_where_the_truth_is_known() -> None:
    case = CalibrationCase(ModelSetting(10, 1, 0.85), (TWO_CHOICES, LEAST_OUTSTANDING), arrivals=8000)
    found = calibrate(case, 50, 1, (15.0,))[0]
    naive, mixed = estimator_quality(found, "naive"), estimator_quality(found, "mixed")
    assert found.truth < 0
    assert naive.bias > 0.1
    assert abs(mixed.bias) < naive.bias + mixed.bias_uncertainty
    assert mixed.coverage >= 0.9
    assert mixed.spread == pytest.approx(mixed.mean_standard_error, rel=0.3)


@pytest.mark.parametrize("load", [0.3, 0.6])
def test_random_placement_in_the_model_is_an_mm1_queue(load: float) -> None:
    plan = SimulationPlan(ModelSetting(10, 2, load), (RANDOM, RANDOM), 0.5, 40, 4000, 1)
    runs = simulate(plan)
    assert mean_sojourn_time(runs).mean() == pytest.approx(
        1 / (1 - load), rel=0.04
    )  # mean sojourn time of an M/M/1 queue
