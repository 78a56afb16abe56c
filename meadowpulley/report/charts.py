"""Charts, drawn without a screen (Agg) and the same for the same figures."""

from __future__ import annotations

import io
from collections.abc import Sequence
from dataclasses import dataclass, field

import matplotlib

matplotlib.use("Agg")
from matplotlib.figure import Figure

from meadowpulley.emulator import Result

SIZE = (8.0, 3.2)  # inches
DPI = 100


@dataclass(frozen=True, slots=True)
class Chart:
    """A picture (PNG bytes) with its title, which also names its file."""

    title: str
    png: bytes


@dataclass(frozen=True, slots=True)
class Line:
    """One line of a chart. `low` and `high` shade its interval where they are given; `style` as matplotlib
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
    marks: Sequence[tuple[float, str]] = (),
    bands: Sequence[tuple[float, float, str]] = (),
) -> Chart:
    """Lines over one axis; `marks` are upright lines with a word, `bands` shaded spans with one."""
    figure = Figure(figsize=SIZE, layout="constrained")
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
    for x, text in marks:
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


def run_charts(result: Result) -> list[Chart]:
    """What a run was like, second by second."""
    x = [float(n) for n in range(len(result.seconds))]
    if not x:
        return []
    marks = [(at / 1000, what) for at, what in result.events if "offered" in what or what.startswith("fault")]
    kinds = ("asked", "in_aim", "late", "refused", "failed")
    counts = [Line(k.replace("_", " "), x, [float(getattr(s, k)) for s in result.seconds]) for k in kinds]
    stages = [Line("stage", x, [float(s.stage + 1) for s in result.seconds], "-")]
    worth = [s.worth_got / s.worth_asked if s.worth_asked else 1.0 for s in result.seconds]
    return [
        line_chart("Requests by how they ended", "second of the run", "a second", counts, marks),
        line_chart("Share of worth kept", "second of the run", "share", [Line("worth", x, worth)], marks),
        line_chart("Stage of the newest build", "second of the run", "stage", stages, marks),
    ]
