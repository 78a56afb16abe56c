"""Pages: HTML in one file with its charts inside, or Markdown with the charts beside it."""

from __future__ import annotations

import base64
import os
import re
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path

from jinja2 import Environment, PackageLoader, StrictUndefined

from meadowpulley.emulator import EmulationResult
from meadowpulley.report.charts import Chart, run_charts


@dataclass(frozen=True, slots=True)
class PageTable:
    """A table of a page; every row has as many cells as there are columns."""

    columns: Sequence[str]
    rows: Sequence[Sequence[str]]


@dataclass(frozen=True, slots=True)
class Section:
    """A heading with paragraphs, tables and charts under it, in that order."""

    title: str
    text: Sequence[str] = ()
    tables: Sequence[PageTable] = ()
    charts: Sequence[Chart] = ()


@dataclass(frozen=True, slots=True)
class Page:
    """A page: its title, paragraphs of a summary, and sections."""

    title: str
    summary: Sequence[str] = ()
    sections: Sequence[Section] = field(default_factory=tuple)


def _environment() -> Environment:
    environment = Environment(
        loader=PackageLoader("meadowpulley.report"),
        autoescape=lambda name: name is not None and name.endswith(".html.j2"),
        undefined=StrictUndefined,
        trim_blocks=True,
        lstrip_blocks=True,
    )
    environment.filters["data_uri"] = lambda png: "data:image/png;base64," + base64.b64encode(png).decode()
    environment.filters["cell"] = lambda text: str(text).replace("|", "\\|").replace("\n", " ")
    return environment


def chart_name(page: Path, chart: Chart) -> str:
    """Return the name of a chart's file beside a Markdown page."""
    words = re.sub(r"[^a-z0-9]+", "-", chart.title.lower()).strip("-")
    return f"{page.stem}-{words}.png"


def _write_atomically(path: Path, data: bytes) -> None:
    temporary = path.with_name(f".{path.name}.new")
    temporary.write_bytes(data)
    os.replace(temporary, path)


def write_page(page: Page, path: Path) -> None:
    """Writes `.html` or `.md` by the path's ending; raises ValueError for any other, OSError as files do."""
    if path.suffix not in (".html", ".md"):
        raise ValueError(f"{path}: reports end in .html or .md")
    names = {chart.title: chart_name(path, chart) for s in page.sections for chart in s.charts}
    template = _environment().get_template(f"page{path.suffix}.j2")
    if path.suffix == ".md":
        for section in page.sections:
            for chart in section.charts:
                _write_atomically(path.with_name(names[chart.title]), chart.png)
    _write_atomically(path, template.render(page=page, names=names).encode())


SERVER_COLUMNS = (
    "server",
    "site",
    "kind",
    "build",
    "up s",
    "busy",
    "served",
    "turned away",
    "most waiting",
)


def run_page(result: EmulationResult, title: str) -> Page:
    """The page of one run."""
    columns = ["class", "asked", "in aim", "late", "refused", "failed", "worth kept", "p50 ms", "p99 ms"]
    rows = [
        [
            c.name,
            str(c.calls),
            str(c.within_objective),
            str(c.late),
            str(c.rejected),
            str(c.failed),
            f"{100 * c.served_weight_share:.2f}%",
            f"{c.latency_ms(50):.0f}",
            f"{c.latency_ms(99):.0f}",
        ]
        for c in result.classes
    ]
    servers = [
        [
            str(s.server),
            s.site,
            s.kind,
            str(s.build),
            f"{s.up_ms / 1000:.0f}",
            f"{100 * s.utilisation:.1f}%",
            str(s.served),
            str(s.rejected),
            str(s.max_queued),
        ]
        for s in result.servers
    ]
    events = [f"{at / 1000:.1f} s: {what}" for at, what in result.events if "votes none" not in what]
    rules_text = (
        "All five rules were kept."
        if not result.violation_counts
        else f"Rules broken: {dict(result.violation_counts)}."
    )
    return Page(
        title,
        [
            f"{result.calls} requests in {result.elapsed_ms / 1000:.0f} s, "
            f"{100 * result.served_weight_share:.2f}% of their worth kept.",
            rules_text,
        ],
        [
            Section("Answers", tables=[PageTable(columns, rows)], charts=run_charts(result)),
            Section("Servers", tables=[PageTable(SERVER_COLUMNS, servers)]),
            Section("What happened", text=events[:200]),
            *([Section("Breaches", text=result.violations[:50])] if result.violations else []),
        ],
    )


def write_run_report(result: EmulationResult, path: Path, title: str) -> None:
    """The report of one run, with its charts. Raises as `write_page`."""
    write_page(run_page(result, title), path)
