"""Tables of an experiment: CSV and JSON with every figure of every run, and a summary with intervals."""

from __future__ import annotations

import csv
import io
import json
import math
import os
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from meadowpulley.experiment.cells import Row
from meadowpulley.experiment.compare import interval


def summary_rows(rows: Sequence[Row], wanted: Sequence[str]) -> list[list[str]]:
    """A line a configuration: each figure's mean with the half of its interval."""
    found = []
    for name in dict.fromkeys(row.name for row in rows):
        mine = [row for row in rows if row.name == name]
        line = [name, str(len(mine))]
        for figure in wanted:
            over = interval([row.figures.get(figure, math.nan) for row in mine])
            line.append(f"{over.mean:.4g}" + (f" ± {over.half:.2g}" if math.isfinite(over.half) else ""))
        found.append([*line, str(sum(sum(row.broken.values()) for row in mine))])
    return found


def _put(path: Path, text: str) -> None:
    fresh = path.with_name(f".{path.name}.new")
    fresh.write_text(text)
    os.replace(fresh, path)


def write_tables(rows: Sequence[Row], folder: Path, about: dict[str, Any]) -> list[Path]:
    """`table.csv` and `table.json` in a folder; `about` says what was run and how to run it again."""
    figures = sorted({name for row in rows for name in row.figures})
    out = io.StringIO()
    writer = csv.writer(out, lineterminator="\n")
    writer.writerow(["configuration", "seed", *figures, "rules_broken"])
    for row in rows:
        values = [repr(row.figures[f]) if f in row.figures else "" for f in figures]
        writer.writerow([row.name, row.seed, *values, sum(row.broken.values())])
    table = [{"configuration": r.name, "seed": r.seed, **r.figures, "rules_broken": r.broken} for r in rows]
    _put(folder / "table.csv", out.getvalue())
    _put(folder / "table.json", json.dumps({**about, "rows": table}, indent=1) + "\n")
    return [folder / "table.csv", folder / "table.json"]
