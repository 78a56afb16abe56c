"""Tables of an experiment: CSV and JSON with every figure, and a summary with intervals."""

from __future__ import annotations

import csv
import io
import json
import math
import os
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from meadowpulley.experiment.cells import RunResult
from meadowpulley.experiment.compare import confidence_interval


def summary_rows(rows: Sequence[RunResult], figures: Sequence[str]) -> list[list[str]]:
    """Return a row per configuration with each figure's mean and half interval."""
    found = []
    for name in dict.fromkeys(row.name for row in rows):
        mine = [row for row in rows if row.name == name]
        line = [name, str(len(mine))]
        for figure in figures:
            over = confidence_interval([row.figures.get(figure, math.nan) for row in mine])
            line.append(
                f"{over.mean:.4g}" + (f" ± {over.half_width:.2g}" if math.isfinite(over.half_width) else "")
            )
        found.append([*line, str(sum(sum(row.violation_counts.values()) for row in mine))])
    return found


def _write_atomically(path: Path, text: str) -> None:
    temporary = path.with_name(f".{path.name}.new")
    temporary.write_text(text)
    os.replace(temporary, path)


def write_tables(rows: Sequence[RunResult], folder: Path, about: dict[str, Any]) -> list[Path]:
    """Write `table.csv` and `table.json`; `about` says what was run and how to repeat it."""
    figures = sorted({name for row in rows for name in row.figures})
    out = io.StringIO()
    writer = csv.writer(out, lineterminator="\n")
    writer.writerow(["configuration", "seed", *figures, "rules_broken"])
    for row in rows:
        values = [repr(row.figures[f]) if f in row.figures else "" for f in figures]
        writer.writerow([row.name, row.seed, *values, sum(row.violation_counts.values())])
    table = [
        {"configuration": r.name, "seed": r.seed, **r.figures, "rules_broken": r.violation_counts}
        for r in rows
    ]
    _write_atomically(folder / "table.csv", out.getvalue())
    _write_atomically(folder / "table.json", json.dumps({**about, "rows": table}, indent=1) + "\n")
    return [folder / "table.csv", folder / "table.json"]
