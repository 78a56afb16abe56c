"""What an experiment came to, for who reads it: from the ledger's records, as values and as figures by name.

    records = store.scan(f"placement/{experiment.name}/")
    summary = read_summary(experiment, settings.classes, records, store.members())

`summary.comparisons` has an entry for each arm and class (and for all, named ""); `summary.figures()` names
them as the tables of `meadowpulley experiment` do.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass
from types import MappingProxyType

from scipy import stats

from meadowpulley.interface import RequestClass
from meadowpulley.ledger.model import Member, Record
from meadowpulley.placement.contrast import Segment, Total, read_segment
from meadowpulley.placement.counts import Count, Merged, merge, new_histogram, read_count
from meadowpulley.placement.definition import Experiment
from meadowpulley.placement.estimate import Estimate, mean_ms, mixed, naive, switchback

ALPHA = 0.05
QUANTILES = (50.0, 90.0, 99.0)
ENDINGS = ("served", "refused", "failed", "gone")


@dataclass(frozen=True, slots=True)
class ArmResult:
    """One arm, and one class or all (""). Milliseconds. Mean and quantiles are over all requests that are
    over, with the class's deadline for what was not served; `served_ms`: quantiles of the served alone."""

    arm: str
    cls: str
    requests: int
    served: int
    refused: int
    failed: int
    gone: int
    lost: int
    open: int
    mean_ms: float
    all_ms: tuple[float, ...]
    served_ms: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class Comparison:
    """One arm less the baseline. `best` names the measure that answers the experiment's question."""

    arm: str
    cls: str
    naive: Estimate
    mixed: Estimate
    switchback: Estimate
    best: str


@dataclass(frozen=True, slots=True)
class Summary:
    name: str
    version: str
    lives: int
    requests: int
    outside: int
    held: int
    adopted: int
    split_p: float  # chance of so uneven a split if parts were as defined: under 0.001 trust nothing here
    arms: tuple[ArmResult, ...]
    comparisons: tuple[Comparison, ...]
    ended: tuple[tuple[str, str], ...]  # arms that the guard ended, and why, in one line

    def figures(self) -> dict[str, float]:
        """Every figure by name, as `Row.figures` of an experiment's table has them."""
        found: dict[str, float] = {"requests": float(self.requests), "split_p": self.split_p}
        for a in self.arms:
            path = f"{a.arm}.{a.cls}." if a.cls else f"{a.arm}."
            found |= {path + name: float(getattr(a, name)) for name in ("mean_ms", *ENDINGS, "lost", "open")}
            found |= {f"{path}p{q:g}_ms": v for q, v in zip(QUANTILES, a.all_ms, strict=True)}
        for c in self.comparisons:
            path = f"{c.arm}.{c.cls}." if c.cls else f"{c.arm}."
            for name in ("naive", "mixed", "switchback"):
                e: Estimate = getattr(c, name)
                if e.n:
                    found |= {f"{path}{name}_ms": e.value, f"{path}{name}_error_ms": e.error}
        return found


def read_summary(
    experiment: Experiment,
    classes: Sequence[RequestClass],
    records: Sequence[Record],
    members: Sequence[Member],
) -> Summary:
    """Of a ledger's records (`Store.scan("placement/")`) and members; other versions' records are left out:
    `versions` names them."""
    counts = [
        count
        for r in records
        if r.key.startswith(experiment.key("count/")) and (count := read_count(r.value)) is not None
    ]
    prefix = experiment.key("bins/")
    segments = [s for r in records if r.key.startswith(prefix) and (s := read_segment(r.value)) is not None]
    living = {str(m.life) for m in members if not m.sealed}
    over = ({count.life for count in counts} | {s.life for s in segments}) - living
    prefix = experiment.key("ended/")
    ended = {
        int(r.key.removeprefix(prefix)): r.value.decode(errors="replace")
        for r in records
        if r.key.startswith(prefix)
    }
    return summarize(experiment, classes, counts, over, ended, segments=segments)


def versions(experiment: Experiment, records: Sequence[Record]) -> dict[str, int]:
    """How many lives count under each version of an experiment of this name."""
    found: dict[str, int] = {}
    for record in records:
        parts = record.key.split("/")
        if parts[:2] == ["placement", experiment.name] and len(parts) == 5 and parts[3] == "count":
            found[parts[2]] = found.get(parts[2], 0) + 1
    return found


def summarize(
    experiment: Experiment,
    classes: Sequence[RequestClass],
    counts: Sequence[Count],
    over: Collection[str] = (),
    ended: Mapping[int, str] = MappingProxyType({}),
    alpha: float = ALPHA,
    segments: Sequence[Segment] = (),
) -> Summary:
    """`counts`: records of any lives, in any order; `over`: lives that have ended."""
    wanted = experiment.classes or tuple(c.name for c in classes)
    deadline = {c.name: c.deadline_ms for c in classes}
    total = Total()
    for segment in segments:
        total.add(segment)
    deadlines = {n: deadline[name] for n, name in enumerate(wanted)}
    merged = merge(counts, over, deadlines, total.known(over))
    named = ["", *wanted]
    arms = tuple(
        _arm(experiment, merged, k, metric, named, deadline)
        for k in range(len(experiment.arms))
        for metric in range(len(named))
    )
    comparisons = tuple(
        _compare(experiment, merged, k, metric, named[metric], alpha)
        for k in range(1, len(experiment.arms))
        for metric in range(len(named))
    )
    return Summary(
        experiment.name,
        experiment.digest,
        merged.lives,
        merged.requests,
        merged.outside,
        merged.held,
        merged.adopted,
        _split(experiment, arms),
        arms,
        comparisons,
        tuple((experiment.arms[k].name, why) for k, why in sorted(ended.items())),
    )


def _arm(
    e: Experiment, merged: Merged, arm: int, metric: int, named: list[str], deadline: dict[str, float]
) -> ArmResult:
    classes = [n for n in range(len(named) - 1) if metric in (0, n + 1)]
    cells = [merged.cells[arm, n] for n in classes if (arm, n) in merged.cells]
    served_by, unserved = new_histogram(), new_histogram()
    lost = sum(merged.lost[arm, n] for n in classes)
    for n in classes:
        if (arm, n) in merged.histograms:
            served_by.add(merged.histograms[arm, n])
        cell = merged.cells.get((arm, n))
        late = (cell.ended - cell.served if cell else 0) + merged.lost[arm, n]
        if late:
            unserved.record_value(int(deadline[named[n + 1]] * 1000), late)
    everything = new_histogram()
    everything.add(served_by)
    everything.add(unserved)
    counts = {how: sum(getattr(cell, how) for cell in cells) for how in ENDINGS}
    still = sum(merged.open[arm, n] for n in classes)
    at = [
        tuple(h.get_value_at_percentile(q) / 1000 if h.get_total_count() else math.nan for q in QUANTILES)
        for h in (everything, served_by)
    ]
    return ArmResult(
        e.arms[arm].name,
        named[metric],
        sum(counts.values()) + lost + still,
        counts["served"],
        counts["refused"],
        counts["failed"],
        counts["gone"],
        lost,
        still,
        mean_ms(merged, arm, metric),
        at[0],
        at[1],
    )


def _compare(e: Experiment, merged: Merged, arm: int, metric: int, cls: str, alpha: float) -> Comparison:
    found = (
        naive(merged, arm, metric, alpha),
        mixed(merged, arm, metric, alpha, e.odds(arm)),
        switchback(merged, arm, metric, alpha),
    )
    best = "switchback" if e.unit == "time" else "mixed"
    return Comparison(e.arms[arm].name, cls, found[0], found[1], found[2], best)


def _split(e: Experiment, arms: Sequence[ArmResult]) -> float:
    """Chi-square test that requests fell on arms as their parts say; for units of one request only."""
    counts = [a.requests for a in arms if not a.cls]
    if e.unit != "request" or min(counts) == 0:
        return 1.0
    parts = [arm.part for arm in e.arms]
    expected = [sum(counts) * part / math.fsum(parts) for part in parts]
    return float(stats.chisquare(counts, expected).pvalue)
