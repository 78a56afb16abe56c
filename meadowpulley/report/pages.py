"""Pages: HTML in one file with its charts inside, or Markdown with the charts beside it."""

from __future__ import annotations

import base64
import os
import re
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path

from jinja2 import Environment, PackageLoader, StrictUndefined

from meadowpulley.emulator import Result
from meadowpulley.report.charts import Chart, run_charts


@dataclass(frozen=True, slots=True)
class TableOf:
    columns: Sequence[str]
    rows: Sequence[Sequence[str]]


@dataclass(frozen=True, slots=True)
class Section:
    """A heading with paragraphs, tables and charts under it, in that order."""

    title: str
    text: Sequence[str] = ()
    tables: Sequence[TableOf] = ()
    charts: Sequence[Chart] = ()


@dataclass(frozen=True, slots=True)
class Page:
    title: str
    summary: Sequence[str] = ()
    sections: Sequence[Section] = field(default_factory=tuple)


def _environment() -> Environment:
    env = Environment(
        loader=PackageLoader("meadowpulley.report"),
        autoescape=lambda name: name is not None and name.endswith(".html.j2"),
        undefined=StrictUndefined,
        trim_blocks=True,
        lstrip_blocks=True,
    )
    env.filters["data_uri"] = lambda png: "data:image/png;base64," + base64.b64encode(png).decode()
    env.filters["cell"] = lambda text: str(text).replace("|", "\\|").replace("\n", " ")
    return env


def chart_name(page: Path, chart: Chart) -> str:
    words = re.sub(r"[^a-z0-9]+", "-", chart.title.lower()).strip("-")
    return f"{page.stem}-{words}.png"


def _replace(path: Path, data: bytes) -> None:
    fresh = path.with_name(f".{path.name}.new")
    fresh.write_bytes(data)
    os.replace(fresh, path)


def write_page(page: Page, path: Path) -> None:
    """Writes `.html` or `.md` by the path's ending; raises ValueError for any other, OSError as files do."""
    if path.suffix not in (".html", ".md"):
        raise ValueError(f"{path}: reports end in .html or .md")
    names = {chart.title: chart_name(path, chart) for s in page.sections for chart in s.charts}
    template = _environment().get_template(f"page{path.suffix}.j2")
    if path.suffix == ".md":
        for section in page.sections:
            for chart in section.charts:
                _replace(path.with_name(names[chart.title]), chart.png)
    _replace(path, template.render(page=page, names=names).encode())


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


def run_page(result: Result, title: str) -> Page:
    """The page of one run."""
    columns = ["class", "asked", "in aim", "late", "refused", "failed", "worth kept", "p50 ms", "p99 ms"]
    rows = [
        [
            c.name,
            str(c.asked),
            str(c.in_aim),
            str(c.late),
            str(c.refused),
            str(c.failed),
            f"{100 * c.worth_share:.2f}%",
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
            f"{100 * s.busy:.1f}%",
            str(s.served),
            str(s.turned_away),
            str(s.most_waiting),
        ]
        for s in result.servers
    ]
    told = [f"{at / 1000:.1f} s: {what}" for at, what in result.events if "votes none" not in what]
    rules = "All five rules were kept." if not result.broken else f"Rules broken: {dict(result.broken)}."
    return Page(
        title,
        [
            f"{result.asks} requests in {result.lasted_ms / 1000:.0f} s, "
            f"{100 * result.worth_share:.2f}% of their worth kept.",
            rules,
        ],
        [
            Section("Answers", tables=[TableOf(columns, rows)], charts=run_charts(result)),
            Section("Servers", tables=[TableOf(SERVER_COLUMNS, servers)]),
            Section("What happened", text=told[:200]),
            *([Section("Breaches", text=result.breaches[:50])] if result.breaches else []),
        ],
    )


def write_run_report(result: Result, path: Path, title: str) -> None:
    """The report of one run, with its charts. Raises as `write_page`."""
    write_page(run_page(result, title), path)
