"""Charts, drawn without a screen (Agg) and the same for the same figures."""

from __future__ import annotations

import io
from collections.abc import Sequence
from dataclasses import dataclass, field

import matplotlib

matplotlib.use("Agg")
from matplotlib.figure import Figure

from meadowpulley.emulator import EmulationResult

FIGURE_INCHES = (8.0, 3.2)  # inches
DPI = 100


@dataclass(frozen=True, slots=True)
class Chart:
    """A picture (PNG bytes) with its title, which also names its file."""

    title: str
    png: bytes


@dataclass(frozen=True, slots=True)
class Line:
    """One line of a chart. `low` and `high` shade its interval where they are set; `style` as matplotlib
    has it."""

    label: str
    x: Sequence[float]
    y: Sequence[float]
    style: str = "-"
    low: Sequence[float] = field(default=())
    high: Sequence[float] = field(default=())


def _png(figure: Figure) -> bytes:
    out = io.BytesIO()
    figure.savefig(out, format="png", dpi=DPI, metadata={"Software": None})
    return out.getvalue()


def line_chart(
    title: str,
    x_label: str,
    y_label: str,
    lines: Sequence[Line],
    vertical_lines: Sequence[tuple[float, str]] = (),
    bands: Sequence[tuple[float, float, str]] = (),
) -> Chart:
    """Lines over one axis; `vertical_lines` and `bands` (shaded spans) each have a label."""
    figure = Figure(figsize=FIGURE_INCHES, layout="constrained")
    axes = figure.add_subplot()
    for line in lines:
        [drawn] = axes.plot(line.x, line.y, line.style, label=line.label, linewidth=1.4, markersize=4)
        if line.low and line.high:
            axes.fill_between(line.x, line.low, line.high, alpha=0.2, color=drawn.get_color(), linewidth=0)
    for start, end, text in bands:
        axes.axvspan(start, end, alpha=0.12, color="grey", linewidth=0)
        axes.annotate(
            text,
            ((start + end) / 2, 1.0),
            xycoords=("data", "axes fraction"),
            fontsize=7,
            ha="center",
            va="bottom",
        )
    for x, text in vertical_lines:
        axes.axvline(x, color="grey", linestyle=":", linewidth=1)
        axes.annotate(
            text, (x, 0.98), xycoords=("data", "axes fraction"), fontsize=7, rotation=90, va="top", ha="right"
        )
    axes.set_xlabel(x_label)
    axes.set_ylabel(y_label)
    axes.set_title(title, fontsize=10, loc="left", pad=14)
    axes.set_ylim(bottom=0)
    axes.grid(alpha=0.3)
    if len(lines) > 1:
        axes.legend(fontsize=7, loc="best")
    return Chart(title, _png(figure))


def run_charts(result: EmulationResult) -> list[Chart]:
    """What a run was like, second by second."""
    x = [float(n) for n in range(len(result.seconds))]
    if not x:
        return []
    vertical_lines = [
        (at / 1000, what) for at, what in result.events if "offered" in what or what.startswith("fault")
    ]
    counts = [
        Line("asked", x, [float(second.calls) for second in result.seconds]),
        Line("in aim", x, [float(second.within_objective) for second in result.seconds]),
        Line("late", x, [float(second.late) for second in result.seconds]),
        Line("refused", x, [float(second.rejected) for second in result.seconds]),
        Line("failed", x, [float(second.failed) for second in result.seconds]),
    ]
    stages = [Line("stage", x, [float(s.stage + 1) for s in result.seconds], "-")]
    kept_value = [s.weight_served / s.weight_offered if s.weight_offered else 1.0 for s in result.seconds]
    return [
        line_chart("Requests by how they ended", "second of the run", "a second", counts, vertical_lines),
        line_chart(
            "Share of worth kept",
            "second of the run",
            "share",
            [Line("worth", x, kept_value)],
            vertical_lines,
        ),
        line_chart("Stage of the newest build", "second of the run", "stage", stages, vertical_lines),
    ]
