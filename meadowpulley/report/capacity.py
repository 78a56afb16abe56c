"""The planner's pages: utilisation against load with the knee, a site's loss, a spike."""

from __future__ import annotations

import math
from collections.abc import Sequence

from meadowpulley.capacity import CapacityPlan, Demand, SiteLoss, SpikeResult
from meadowpulley.capacity.site_loss import AWAY_S, BEFORE_S
from meadowpulley.capacity.spike import BEFORE_S as SPIKE_AT_S
from meadowpulley.capacity.verify import Case, Verdict
from meadowpulley.fleet import Fleet
from meadowpulley.loopback import LoopbackResult
from meadowpulley.report.charts import Chart, Line, line_chart
from meadowpulley.report.pages import Page, PageTable, Section

DEMAND_COLUMNS = ("class", "a second", "work ms", "spread", "of all cores")
BREAKS_COLUMNS = ("resource", "where", "at times", "use now", "by", "why")
PREDICTION_COLUMNS = ("what", "value", "low", "high", "unit", "by")


def _percent(share: float, digits: int = 1) -> str:
    return f"{100 * share:.{digits}f}%" if math.isfinite(share) else "-"


def plan_charts(plan: CapacityPlan) -> list[Chart]:
    """Return the charts of a plan; latencies are in ms."""
    x = [100 * p.utilisation for p in plan.points]
    if not x:
        return []
    names = list(plan.points[0].p99_ms)
    latency = [
        Line(
            f"{name} {which}",
            x,
            [getattr(p, f"{which}_ms")[name][0] for p in plan.points],
            "o-",
            [getattr(p, f"{which}_ms")[name][1] for p in plan.points],
            [getattr(p, f"{which}_ms")[name][2] for p in plan.points],
        )
        for name in names
        for which in ("p50", "p99")
    ]
    theory = [
        (u, p.theory_mean_ms) for u, p in zip(x, plan.points, strict=True) if math.isfinite(p.theory_mean_ms)
    ]
    latency.append(Line("theory, mean at servers", [u for u, _ in theory], [t for _, t in theory], "k--"))
    vertical_lines = [(100 * plan.knee, "knee"), (100 * plan.demand.busy_utilisation, "busy rate")]
    estimates = {
        "worth kept": [point.served_weight_share for point in plan.points],
        "within aim": [point.within_objective for point in plan.points],
        "refused": [point.rejected for point in plan.points],
    }
    shares = [
        Line(label, x, [e[0] for e in values], "o-", [e[1] for e in values], [e[2] for e in values])
        for label, values in estimates.items()
    ]
    axis = "work asked, % of all that servers can do"
    return [
        line_chart("Latency against load", axis, "ms", latency, vertical_lines),
        line_chart("Shares against load", axis, "share", shares, vertical_lines),
    ]


def plan_page(plan: CapacityPlan) -> Page:
    """Return the page of a capacity plan."""
    demand = plan.demand
    breaks = [
        [
            b.resource,
            b.where,
            f"{b.multiple:.2f}" if math.isfinite(b.multiple) else "never",
            _percent(b.utilisation),
            b.theory,
            b.text,
        ]
        for b in plan.bottlenecks
    ]
    predictions = [
        [p.name, f"{p.value:.4g}", f"{p.low:.4g}", f"{p.high:.4g}", p.unit, p.by] for p in plan.predictions
    ]
    classes = [
        [c.name, f"{c.per_s:.1f}", f"{c.work_ms:.1f}", f"{c.spread:.2f}", _percent(c.core_share)]
        for c in demand.classes
    ]
    first = plan.bottlenecks[0] if plan.bottlenecks else None
    first_break = (
        f"First to break: {first.resource} ({first.where}), at {first.multiple:.2f} times the busy load."
        if first is not None and math.isfinite(first.multiple)
        else "Nothing breaks at any load looked at."
    )
    return Page(
        f"Capacity of {plan.fleet}",
        [
            f"{demand.per_s:.1f} requests a second, {demand.busy_per_s:.1f} by percentile "
            f"{demand.percentile:g}: servers "
            f"{_percent(demand.busy_utilisation)} busy then.",
            first_break,
        ],
        [
            Section("Demand", tables=[PageTable(DEMAND_COLUMNS, classes)]),
            Section("What breaks", tables=[PageTable(BREAKS_COLUMNS, breaks)]),
            Section(
                "Predictions", tables=[PageTable(PREDICTION_COLUMNS, predictions)], charts=plan_charts(plan)
            ),
        ],
    )


def _timeline(
    title: str, seconds: Sequence[Sequence[float]], bands: Sequence[tuple[float, float, str]]
) -> Chart:
    x = [float(n) for n in range(len(seconds))]
    lines = [
        Line(label, x, [s[column] for s in seconds])
        for column, label in ((0, "asked"), (1, "in aim"), (2, "late"), (3, "refused"), (4, "failed"))
    ]
    return line_chart(title, "second", "requests a second", lines, bands=bands)


def site_page(fleet: Fleet, demand: Demand, losses: Sequence[SiteLoss]) -> Page:
    """Return the page of the predicted losses of sites."""
    rows = [
        [
            f.site,
            _percent(f.capacity_share),
            _percent(f.spilled[0]),
            _percent(f.remaining_utilisation),
            _percent(f.rejected_theory),
            _percent(f.weight_before[0], 2),
            _percent(f.weight_settled[0], 2),
            _percent(f.weight_after[0], 2),
            ", ".join(f"{n} {kind}" for kind, n in f.extra_servers.items() if n) or "none",
            str(f.overloaded_servers),
        ]
        for f in losses
    ]
    columns = [
        "site",
        "spills",
        "measured",
        "rest busy",
        "too much",
        "worth before",
        "once settled",
        "at its return",
        "more servers, of either kind",
        "pushed over",
    ]
    away = (BEFORE_S, BEFORE_S + AWAY_S, "away")
    charts = [_timeline(f"Without {f.site}", f.timeline, [away]) for f in losses]
    summary = [f"{demand.busy_per_s:.1f} requests a second; a site vanishes without a word and returns cold."]
    return Page(
        f"Losing a site of {fleet.name}", summary, [Section("Sites", (), [PageTable(columns, rows)], charts)]
    )


def spike_page(fleet: Fleet, result: SpikeResult) -> Page:
    """Return the page of a load spike."""
    band = (SPIKE_AT_S, SPIKE_AT_S + result.spike.for_ms / 1000, "spike")
    rows = [
        [
            "worth kept during the spike",
            _percent(result.weight_during[0], 2),
            _percent(result.weight_during_unlimited[0], 2),
        ],
        [
            "worth kept over all",
            _percent(result.weight_overall[0], 2),
            _percent(result.weight_overall_unlimited[0], 2),
        ],
        ["as before after (s)", f"{result.clears_s:.1f}", f"{result.clears_unlimited_s:.1f}"],
    ]
    charts = [
        _timeline("With refusals", result.timeline, [band]),
        _timeline("Without refusals", result.timeline_unlimited, [band]),
    ]
    summary = [
        f"{_percent(result.spike.share)} of all requests cost {result.spike.cost:g} times the usual for "
        f"{result.spike.for_ms / 1000:g} s: {_percent(result.utilisation)} of the cores are asked."
    ]
    return Page(
        f"A spike on {fleet.name}",
        summary,
        [Section("What it does", (), [PageTable(["", "with refusals", "without"], rows)], charts)],
    )


def loopback_page(title: str, measurement: LoopbackResult) -> Page:
    """A run on loopback: what clients saw, second by second, and the state of the builds."""
    rows = [[name, f"{value:.5g}"] for name, value in sorted(measurement.figures.items())]
    stages = [[f"{at / 1000:.1f}", str(b), str(s + 1), phase] for at, b, s, phase in measurement.stages]
    rules_text = (
        f"Rules broken: {measurement.violation_counts}."
        if measurement.violation_counts
        else "All rules were kept."
    )
    return Page(
        title,
        [rules_text, *(f"The rig was the limit: {text}." for text in measurement.limiting_factors)],
        [
            Section(
                "Builds",
                (),
                [PageTable(["second", "build", "stage", "phase"], stages)],
                [_timeline("Answers", measurement.seconds, [])],
            ),
            Section("What clients saw", (), [PageTable(["figure", "value"], rows)], []),
        ],
    )


def verify_page(
    name: str,
    seed: int,
    scale: float,
    cases: Sequence[Case],
    measured: Sequence[LoopbackResult],
    verdict: Verdict,
) -> Page:
    """Predicted beside measured, with what happened on loopback second by second."""
    rows = [
        [
            c.case,
            c.figure,
            f"{c.predicted:.4g}",
            f"{c.low:.4g} to {c.high:.4g}",
            f"{c.measured:.4g}",
            _percent(c.error),
        ]
        for c in verdict.comparisons
    ]
    charts = [
        _timeline(f"Measured: {case.name}", found.seconds, [])
        for case, found in zip(cases, measured, strict=True)
    ]
    result_text = "; ".join(verdict.limiting_factors) or f"Worst error {_percent(verdict.worst)}."
    description = f"Scaled to {_percent(scale)} of its size, at loopback's distances; seed {seed}."
    columns = ["case", "figure", "predicted", "95% interval", "measured", "error"]
    return Page(
        f"Verification of {name}",
        [description, result_text],
        [Section("Predicted and measured", (), [PageTable(columns, rows)], charts)],
    )
