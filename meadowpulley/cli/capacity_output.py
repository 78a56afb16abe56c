"""Results of the capacity commands as tables for people."""

from __future__ import annotations

import math
from collections.abc import Sequence

from meadowpulley.capacity import CapacityPlan, SiteLoss, SizingResult, SpikeResult
from meadowpulley.capacity.predict import CurvePoint
from meadowpulley.cli.common import console, make_table, percent

DEMAND_COLUMNS = ["class", "a second", "work ms", "spread", "of all cores"]
BOTTLENECK_COLUMNS = ["resource", "where", "at", "use now", "by", "why"]
CURVE_COLUMNS = [
    "load",
    "busy",
    "worth",
    "in aim",
    "refused",
    "served/s",
    "p50 ms",
    "p99 ms",
    "theory mean ms",
]
PREDICTION_COLUMNS = ["what", "value", "low", "high", "unit", "by"]
SIZING_COLUMNS = ["servers", "worst class", "its worth", "meets the goal"]
SITE_LOSS_COLUMNS = [
    "site",
    "spills",
    "measured",
    "rest busy",
    "too much",
    "worth before",
    "once settled",
    "at its return",
    "more servers, of either",
    "pushed over",
]
SPIKE_COLUMNS = ["", "with refusals", "without"]


def show_plan(plan: CapacityPlan) -> None:
    """Show a plan: the demand, what breaks first, and the curve of latency against load."""
    _show_demand(plan)
    rows = [
        [b.resource, b.where, _multiple_text(b.multiple), percent(b.utilisation), b.theory, b.text]
        for b in plan.bottlenecks
    ]
    output = console()
    output.print(make_table("What breaks, the first first", BOTTLENECK_COLUMNS, rows))
    if not plan.points:
        return
    title = f"By load, emulator, {len(plan.seeds)} seeds; classes in order"
    output.print(make_table(title, CURVE_COLUMNS, [_curve_row(point) for point in plan.points]))
    rows = [
        [p.name, f"{p.value:.4g}", f"{p.low:.4g}", f"{p.high:.4g}", p.unit, p.by] for p in plan.predictions
    ]
    output.print(make_table("Predictions at the busy rate", PREDICTION_COLUMNS, rows))
    output.print(f"knee: {percent(plan.knee)} of the servers' cores busy")


def _show_demand(plan: CapacityPlan) -> None:
    output = console()
    demand = plan.demand
    rows = [
        [c.name, f"{c.per_s:.1f}", f"{c.work_ms:.1f}", f"{c.spread:.2f}", percent(c.core_share)]
        for c in demand.classes
    ]
    output.print(make_table("Demand", DEMAND_COLUMNS, rows))
    output.print(
        f"{demand.per_s:.1f} requests a second, {demand.busy_per_s:.1f} by percentile "
        f"{demand.percentile:g}; servers "
        f"{percent(demand.utilisation)} busy, {percent(demand.busy_utilisation)} then; "
        f"keys save {percent(demand.work_saved_share)} of the work"
    )


def _curve_row(point: CurvePoint) -> list[str]:
    return [
        f"{point.multiple:.2f} x",
        percent(point.utilisation),
        percent(point.served_weight_share[0], 2),
        percent(point.within_objective[0], 2),
        percent(point.rejected[0], 2),
        f"{point.served_per_s[0]:.1f}",
        " ".join(f"{estimate[0]:.0f}" for estimate in point.p50_ms.values()),
        " ".join(f"{estimate[0]:.0f}" for estimate in point.p99_ms.values()),
        f"{point.theory_mean_ms:.0f}" if math.isfinite(point.theory_mean_ms) else "-",
    ]


def show_sizing(result: SizingResult) -> None:
    """Show how many servers a goal needs, and the numbers that were evaluated."""
    rows = [
        [str(s.servers), s.worst_class, _span_text(s.served_weight_share), "yes" if s.meets else "no"]
        for s in result.steps
    ]
    output = console()
    output.print(make_table(f"{result.kind} at {result.site}", SIZING_COLUMNS, rows))
    summary = "no number of them meets the goal" if result.servers is None else f"{result.servers} needed"
    output.print(f"{summary}, {result.current} there, {result.minimum} at least by theory: {result.reason}")


def show_site_losses(losses: Sequence[SiteLoss]) -> None:
    """Show what the loss of each site does."""
    rows = [_site_loss_row(loss) for loss in losses]
    console().print(make_table("One site lost", SITE_LOSS_COLUMNS, rows))


def _site_loss_row(loss: SiteLoss) -> list[str]:
    remaining = loss.remaining_utilisation
    return [
        loss.site,
        percent(loss.capacity_share),
        _span_text(loss.spilled),
        percent(remaining) if math.isfinite(remaining) else "none left",
        percent(loss.rejected_theory),
        _span_text(loss.weight_before),
        _span_text(loss.weight_settled),
        _span_text(loss.weight_after),
        ", ".join(f"{count} {kind}" for kind, count in loss.extra_servers.items() if count) or "none",
        str(loss.overloaded_servers),
    ]


def show_spike(result: SpikeResult) -> None:
    """Show what a spike of costly requests does, with load shedding and without."""
    rows = [
        [
            "worth kept during the spike",
            _span_text(result.weight_during),
            _span_text(result.weight_during_unlimited),
        ],
        [
            "worth kept over all",
            _span_text(result.weight_overall),
            _span_text(result.weight_overall_unlimited),
        ],
        ["as before after", _seconds_text(result.clears_s), _seconds_text(result.clears_unlimited_s)],
    ]
    output = console()
    output.print(make_table("The spike, emulator", SPIKE_COLUMNS, rows))
    output.print(
        f"{percent(result.utilisation)} of the servers' cores asked while it lasts; "
        f"{result.backlog:.1f} core seconds too much, of which servers hold "
        f"{min(result.queued_backlog, result.backlog):.1f}; cleared "
        f"{_seconds_text(result.clears_theory_s)} after its end by theory; "
        f"refusals save {percent(result.saved, 2)} of all worth"
    )


def _multiple_text(multiple: float) -> str:
    return f"{multiple:.2f} x" if math.isfinite(multiple) else "never"


def _span_text(span: tuple[float, float, float]) -> str:
    """Return a mean share with its interval, in percent; without it where there is none."""
    mean, low, high = (100.0 * share for share in span)
    return f"{mean:.4g}% ({low:.4g} to {high:.4g})" if math.isfinite(low) else f"{mean:.4g}%"


def _seconds_text(seconds: float) -> str:
    return f"{seconds:.1f} s" if math.isfinite(seconds) else "not seen"
