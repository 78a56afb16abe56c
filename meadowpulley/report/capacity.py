"""The planner's pages: utilisation against load with the knee, a site's loss, a spike."""

from __future__ import annotations

import math
from collections.abc import Sequence

from meadowpulley.capacity import Demand, Plan, SiteLoss, SpikeResult
from meadowpulley.capacity.site import AWAY_S, BEFORE_S
from meadowpulley.capacity.spike import BEFORE_S as SPIKE_AT_S
from meadowpulley.capacity.verify import Case, Verdict
from meadowpulley.fleet import Fleet
from meadowpulley.report.charts import Chart, Line, line_chart
from meadowpulley.report.pages import Page, Section, TableOf
from meadowpulley.rig import Measured

DEMAND = ("class", "a second", "work ms", "spread", "of all cores")
BREAKS = ("resource", "where", "at times", "use now", "by", "why")
PREDICTED = ("what", "value", "low", "high", "unit", "by")


def _pct(share: float, digits: int = 1) -> str:
    return f"{100 * share:.{digits}f}%" if math.isfinite(share) else "-"


def plan_charts(plan: Plan) -> list[Chart]:
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
    marks = [(100 * plan.knee, "knee"), (100 * plan.demand.busy_utilisation, "busy rate")]
    shares = [
        Line(
            label,
            x,
            [getattr(p, field)[0] for p in plan.points],
            "o-",
            [getattr(p, field)[1] for p in plan.points],
            [getattr(p, field)[2] for p in plan.points],
        )
        for label, field in (("worth kept", "worth"), ("within aim", "in_aim"), ("refused", "refused"))
    ]
    axis = "work asked, % of all that servers can do"
    return [
        line_chart("Latency against load", axis, "ms", latency, marks),
        line_chart("Shares against load", axis, "share", shares, marks),
    ]


def plan_page(plan: Plan) -> Page:
    d = plan.demand
    breaks = [
        [
            b.resource,
            b.where,
            f"{b.multiple:.2f}" if math.isfinite(b.multiple) else "never",
            _pct(b.use),
            b.theory,
            b.text,
        ]
        for b in plan.breaks
    ]
    predictions = [
        [p.name, f"{p.value:.4g}", f"{p.low:.4g}", f"{p.high:.4g}", p.unit, p.by] for p in plan.predictions
    ]
    classes = [
        [c.name, f"{c.per_s:.1f}", f"{c.work_ms:.1f}", f"{c.spread:.2f}", _pct(c.core_share)]
        for c in d.classes
    ]
    first = plan.breaks[0] if plan.breaks else None
    told = (
        f"First to break: {first.resource} ({first.where}), at {first.multiple:.2f} times the busy load."
        if first is not None and math.isfinite(first.multiple)
        else "Nothing breaks at any load looked at."
    )
    return Page(
        f"Capacity of {plan.fleet}",
        [
            f"{d.per_s:.1f} requests a second, {d.busy_per_s:.1f} by percentile {d.percentile:g}: servers "
            f"{_pct(d.busy_utilisation)} busy then.",
            told,
        ],
        [
            Section("Demand", tables=[TableOf(DEMAND, classes)]),
            Section("What breaks", tables=[TableOf(BREAKS, breaks)]),
            Section("Predictions", tables=[TableOf(PREDICTED, predictions)], charts=plan_charts(plan)),
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
    rows = [
        [
            f.site,
            _pct(f.capacity_share),
            _pct(f.spilled[0]),
            _pct(f.rest),
            _pct(f.refused_theory),
            _pct(f.worth_before[0], 2),
            _pct(f.worth_settled[0], 2),
            _pct(f.worth_after[0], 2),
            ", ".join(f"{n} {kind}" for kind, n in f.more.items() if n) or "none",
            str(f.pushed_over),
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
        f"Losing a site of {fleet.name}", summary, [Section("Sites", (), [TableOf(columns, rows)], charts)]
    )


def spike_page(fleet: Fleet, found: SpikeResult) -> Page:
    band = (SPIKE_AT_S, SPIKE_AT_S + found.spike.for_ms / 1000, "spike")
    rows = [
        [
            "worth kept during the spike",
            _pct(found.worth_during[0], 2),
            _pct(found.worth_during_unrefused[0], 2),
        ],
        ["worth kept over all", _pct(found.worth_whole[0], 2), _pct(found.worth_whole_unrefused[0], 2)],
        ["as before after (s)", f"{found.clears_s:.1f}", f"{found.clears_unrefused_s:.1f}"],
    ]
    charts = [
        _timeline("With refusals", found.timeline, [band]),
        _timeline("Without refusals", found.timeline_unrefused, [band]),
    ]
    summary = [
        f"{_pct(found.spike.share)} of all requests cost {found.spike.cost:g} times the usual for "
        f"{found.spike.for_ms / 1000:g} s: {_pct(found.utilisation)} of the cores are asked."
    ]
    return Page(
        f"A spike on {fleet.name}",
        summary,
        [Section("What it does", (), [TableOf(["", "with refusals", "without"], rows)], charts)],
    )


def rig_page(title: str, found: Measured) -> Page:
    """A run on loopback: what clients saw, second by second, and where the builds stood."""
    rows = [[name, f"{value:.5g}"] for name, value in sorted(found.figures.items())]
    stages = [[f"{at / 1000:.1f}", str(b), str(s + 1), phase] for at, b, s, phase in found.stages]
    kept = f"Rules broken: {found.broken}." if found.broken else "All rules were kept."
    return Page(
        title,
        [kept, *(f"The rig was the limit: {text}." for text in found.limits)],
        [
            Section(
                "Builds",
                (),
                [TableOf(["second", "build", "stage", "phase"], stages)],
                [_timeline("Answers", found.seconds, [])],
            ),
            Section("What clients saw", (), [TableOf(["figure", "value"], rows)], []),
        ],
    )


def verify_page(
    name: str, seed: int, part: float, cases: Sequence[Case], measured: Sequence[Measured], verdict: Verdict
) -> Page:
    """Predicted beside measured, with what happened on loopback second by second."""
    rows = [
        [
            c.case,
            c.figure,
            f"{c.predicted:.4g}",
            f"{c.low:.4g} to {c.high:.4g}",
            f"{c.measured:.4g}",
            _pct(c.error),
        ]
        for c in verdict.compared
    ]
    charts = [
        _timeline(f"Measured: {case.name}", found.seconds, [])
        for case, found in zip(cases, measured, strict=True)
    ]
    told = "; ".join(verdict.limits) or f"Worst error {_pct(verdict.worst)}."
    size = f"Scaled to {_pct(part)} of its size, at loopback's distances; seed {seed}."
    columns = ["case", "figure", "predicted", "95% interval", "measured", "error"]
    return Page(
        f"Verification of {name}",
        [size, told],
        [Section("Predicted and measured", (), [TableOf(columns, rows)], charts)],
    )
