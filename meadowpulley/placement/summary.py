"""Summarize an experiment from the ledger's records, as objects and as a mapping of named figures.

    records = store.scan(f"placement/{experiment.name}/")
    summary = read_summary(experiment, settings.classes, records, store.members())

`summary.comparisons` has an entry for each arm but the baseline, for all classes together (`class_name` "")
and for each class; `summary.figures()` returns the figures under the names that the tables of `meadowpulley
experiment` use.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass
from types import MappingProxyType
from typing import TypeVar

from hdrh.histogram import HdrHistogram
from scipy import stats

from meadowpulley.interface import RequestClass
from meadowpulley.ledger.model import Member, Record
from meadowpulley.placement.arm_counters import US_PER_MS, new_histogram
from meadowpulley.placement.confidence import Estimate
from meadowpulley.placement.counter_records import CountersRecord, RequestEnding, decode_counters
from meadowpulley.placement.definition import Experiment
from meadowpulley.placement.estimate import (
    estimate_mixed,
    estimate_naive,
    estimate_switchback,
    mean_cost_ms,
)
from meadowpulley.placement.merged_counters import MergedCounters, merge_counters
from meadowpulley.placement.metrics import BASELINE_ARM, metrics_of
from meadowpulley.placement.record_names import COUNTERS, ENDED_ARMS, SEGMENTS
from meadowpulley.placement.time_bins import BinSegment, BinTotals, TimeBin, decode_segment

DEFAULT_ALPHA = 0.05
QUANTILES = (50.0, 90.0, 99.0)  # in percent
ALL_CLASSES = ""  # `class_name` of results over all classes

Decoded = TypeVar("Decoded")


@dataclass(frozen=True, slots=True)
class ArmResult:
    """Results of one arm, for one class or all (`ALL_CLASSES`).

    The mean and `completion_quantiles_ms` are over all ended and lost requests, with the class's deadline for
    those that were not served; `served_quantiles_ms` are over the served ones alone. `lost` requests were
    open at incarnations that have ended, and no other incarnation completed them.
    """

    arm: str
    class_name: str
    requests: int
    served: int
    rejected: int
    failed: int
    disconnected: int
    lost: int
    still_open: int
    mean_ms: float
    completion_quantiles_ms: tuple[float, ...]
    served_quantiles_ms: tuple[float, ...]

    def figures(self) -> dict[str, float]:
        """Return every figure, under the names of stored tables."""
        path = _figure_path(self.arm, self.class_name)
        figures = {
            "mean_ms": self.mean_ms,
            "served": self.served,
            "refused": self.rejected,
            "failed": self.failed,
            "gone": self.disconnected,
            "lost": self.lost,
            "open": self.still_open,
        }
        named = {path + name: float(value) for name, value in figures.items()}
        for quantile, value_ms in zip(QUANTILES, self.completion_quantiles_ms, strict=True):
            named[f"{path}p{quantile:g}_ms"] = value_ms
        return named


@dataclass(frozen=True, slots=True)
class Comparison:
    """Estimates of an arm less the baseline; `primary_measure` names the one to decide by."""

    arm: str
    class_name: str
    naive: Estimate
    mixed: Estimate
    switchback: Estimate
    primary_measure: str

    def figures(self) -> dict[str, float]:
        """Return every figure, under the names of stored tables."""
        path = _figure_path(self.arm, self.class_name)
        named: dict[str, float] = {}
        for name, estimate in (
            ("naive", self.naive),
            ("mixed", self.mixed),
            ("switchback", self.switchback),
        ):
            if estimate.sample_size:
                named[f"{path}{name}_ms"] = estimate.value
                named[f"{path}{name}_error_ms"] = estimate.standard_error
        return named


def _figure_path(arm: str, class_name: str) -> str:
    return f"{arm}.{class_name}." if class_name else f"{arm}."


@dataclass(frozen=True, slots=True)
class Summary:
    """Results of an experiment.

    `sample_ratio_p_value` is the probability of a split at least as uneven as the one found, if requests are
    assigned by the arms' parts: below 0.001 no figure of the summary can be trusted. `ended_arms` are the
    names of the arms that the guard ended, each with the reason.
    """

    name: str
    version: str
    incarnations: int
    requests: int
    unassigned: int
    withheld: int
    adopted: int
    sample_ratio_p_value: float
    arms: tuple[ArmResult, ...]
    comparisons: tuple[Comparison, ...]
    ended_arms: tuple[tuple[str, str], ...]

    def figures(self) -> dict[str, float]:
        """Return every figure by name, in the form that an experiment's table stores."""
        named: dict[str, float] = {
            "requests": float(self.requests),
            "split_p": self.sample_ratio_p_value,
        }
        for arm in self.arms:
            named |= arm.figures()
        for comparison in self.comparisons:
            named |= comparison.figures()
        return named


def read_summary(
    experiment: Experiment,
    classes: Sequence[RequestClass],
    records: Sequence[Record],
    members: Sequence[Member],
) -> Summary:
    """Summarize a ledger's records (`Store.scan("placement/")`) and members.

    Records of other versions of the experiment are left out; `incarnations_by_version` counts them.
    """
    counters = _decode_below(records, experiment.record_key(COUNTERS), decode_counters)
    segments = _decode_below(records, experiment.record_key(SEGMENTS), decode_segment)
    live = {str(member.incarnation) for member in members if not member.fenced}
    known = {counters_record.incarnation for counters_record in counters}
    known |= {segment.incarnation for segment in segments}
    end_reasons = _end_reasons(records, experiment.record_key(ENDED_ARMS))
    return summarize(experiment, classes, counters, known - live, end_reasons, segments=segments)


def _records_below(records: Iterable[Record], prefix: str) -> list[Record]:
    return [record for record in records if record.key.startswith(prefix)]


def _decode_below(
    records: Iterable[Record], prefix: str, decode: Callable[[bytes], Decoded | None]
) -> list[Decoded]:
    """Decode the records whose keys have a prefix, leaving out those that can't be decoded."""
    decoded = [decode(record.value) for record in _records_below(records, prefix)]
    return [value for value in decoded if value is not None]


def _end_reasons(records: Iterable[Record], prefix: str) -> dict[int, str]:
    """Return the reasons why arms were ended, by the arm's index."""
    reasons = {}
    for record in _records_below(records, prefix):
        arm = int(record.key.removeprefix(prefix))
        reasons[arm] = record.value.decode(errors="replace")
    return reasons


def incarnations_by_version(experiment: Experiment, records: Sequence[Record]) -> dict[str, int]:
    """Return how many incarnations have counters under each version of this experiment's name."""
    counts: dict[str, int] = {}
    for record in records:
        match record.key.split("/"):
            case ["placement", experiment.name, version, "count", _]:
                counts[version] = counts.get(version, 0) + 1
    return counts


def summarize(
    experiment: Experiment,
    classes: Sequence[RequestClass],
    records: Sequence[CountersRecord],
    ended: Collection[str] = (),
    end_reasons: Mapping[int, str] = MappingProxyType({}),
    alpha: float = DEFAULT_ALPHA,
    segments: Sequence[BinSegment] = (),
) -> Summary:
    """Summarize the records of any number of incarnations, in any order.

    `ended` are incarnations that no longer run; `end_reasons` are the reasons why the guard ended arms, by
    the arm's index.
    """
    by_name = {request_class.name: request_class.deadline_ms for request_class in classes}
    class_names = experiment.classes or tuple(by_name)
    deadlines_ms = [by_name[name] for name in class_names]
    bins = _total_bins(segments, ended)
    merged = merge_counters(records, ended, dict(enumerate(deadlines_ms)), bins)
    subjects = _subjects(experiment, class_names)
    arms = tuple(_arm_result(merged, subject, deadlines_ms) for subject in subjects)
    compared = [subject for subject in subjects if subject.arm != BASELINE_ARM]
    return Summary(
        name=experiment.name,
        version=experiment.digest,
        incarnations=merged.incarnations,
        requests=merged.requests,
        unassigned=merged.unassigned,
        withheld=merged.withheld,
        adopted=merged.adopted,
        sample_ratio_p_value=_sample_ratio_p_value(experiment, arms),
        arms=arms,
        comparisons=tuple(_compare(experiment, merged, subject, alpha) for subject in compared),
        ended_arms=tuple((experiment.arms[arm].name, reason) for arm, reason in sorted(end_reasons.items())),
    )


@dataclass(frozen=True, slots=True)
class _Subject:
    """The arm and class that a result is about; `metric` is 0 for all classes, else class index + 1."""

    arm: int
    arm_name: str
    metric: int
    class_name: str


def _subjects(experiment: Experiment, class_names: Sequence[str]) -> list[_Subject]:
    """Return a subject for each arm over all classes, and for each arm and class."""
    subjects = []
    for index, arm in enumerate(experiment.arms):
        for metric, class_name in enumerate((ALL_CLASSES, *class_names)):
            subjects.append(_Subject(index, arm.name, metric, class_name))
    return subjects


def _total_bins(segments: Iterable[BinSegment], ended: Collection[str]) -> list[TimeBin]:
    totals = BinTotals()
    for segment in segments:
        totals.add(segment)
    return totals.complete_bins(ended)


def _arm_result(merged: MergedCounters, subject: _Subject, deadlines_ms: Sequence[float]) -> ArmResult:
    arm = subject.arm
    classes = [index for index in range(len(deadlines_ms)) if subject.metric in metrics_of(index)]
    counts = _ending_counts(merged, arm, classes)
    lost = sum(merged.lost[arm, index] for index in classes)
    outstanding = sum(merged.open_requests[arm, index] for index in classes)
    served = _served_histogram(merged, arm, classes)
    completed = _unserved_histogram(merged, arm, classes, deadlines_ms)
    completed.add(served)
    return ArmResult(
        arm=subject.arm_name,
        class_name=subject.class_name,
        requests=sum(counts.values()) + lost + outstanding,
        served=counts[RequestEnding.SERVED],
        rejected=counts[RequestEnding.REJECTED],
        failed=counts[RequestEnding.FAILED],
        disconnected=counts[RequestEnding.DISCONNECTED],
        lost=lost,
        still_open=outstanding,
        mean_ms=mean_cost_ms(merged, arm, subject.metric),
        completion_quantiles_ms=_quantiles_ms(completed),
        served_quantiles_ms=_quantiles_ms(served),
    )


def _ending_counts(merged: MergedCounters, arm: int, classes: Sequence[int]) -> dict[RequestEnding, int]:
    """Return the number of an arm's requests by ending, summed over these classes."""
    cells = [merged.cells[arm, index] for index in classes if (arm, index) in merged.cells]
    counts = {}
    for ending in RequestEnding:
        counts[ending] = sum(cell.count_of(ending) for cell in cells)
    return counts


def _served_histogram(merged: MergedCounters, arm: int, classes: Sequence[int]) -> HdrHistogram:
    histogram = new_histogram()
    for index in classes:
        if (arm, index) in merged.histograms:
            histogram.add(merged.histograms[arm, index])
    return histogram


def _unserved_histogram(
    merged: MergedCounters, arm: int, classes: Sequence[int], deadlines_ms: Sequence[float]
) -> HdrHistogram:
    """Return a histogram of ended or lost requests that were not served, at their class's deadline."""
    histogram = new_histogram()
    for index in classes:
        cell = merged.cells.get((arm, index))
        unserved = (cell.ended - cell.served if cell else 0) + merged.lost[arm, index]
        if unserved:
            histogram.record_value(int(deadlines_ms[index] * US_PER_MS), unserved)
    return histogram


def _quantiles_ms(histogram: HdrHistogram) -> tuple[float, ...]:
    if not histogram.get_total_count():
        return (math.nan,) * len(QUANTILES)
    return tuple(histogram.get_value_at_percentile(quantile) / US_PER_MS for quantile in QUANTILES)


def _compare(experiment: Experiment, merged: MergedCounters, subject: _Subject, alpha: float) -> Comparison:
    arm = subject.arm
    metric = subject.metric
    probability = experiment.relative_probability(arm)
    return Comparison(
        arm=subject.arm_name,
        class_name=subject.class_name,
        naive=estimate_naive(merged, arm, metric, alpha),
        mixed=estimate_mixed(merged, arm, metric, alpha, probability),
        switchback=estimate_switchback(merged, arm, metric, alpha),
        primary_measure="switchback" if experiment.unit == "time" else "mixed",
    )


def _sample_ratio_p_value(experiment: Experiment, arms: Sequence[ArmResult]) -> float:
    """Return the p-value of a chi-square test that requests are split by the arms' parts.

    Return 1 if an arm has no requests, or if units are not single requests: requests of one unit share an
    arm, so that the counts vary by more than the test assumes.
    """
    counts = [arm.requests for arm in arms if arm.class_name == ALL_CLASSES]
    if experiment.unit != "request" or min(counts) == 0:
        return 1.0
    parts = [arm.part for arm in experiment.arms]
    expected = [sum(counts) * part / math.fsum(parts) for part in parts]
    return float(stats.chisquare(counts, expected).pvalue)
