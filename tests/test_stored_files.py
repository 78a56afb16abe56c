"""Files that an earlier version wrote are read as before.

`stored/` holds a load and the store of an experiment, byte for byte as commit 103f41b wrote them. Formats of
single records (ledger, takeover, lending, placement, traces, captures, counterexamples) have their own tests
with literal bytes: test_stored_names.py and the files named `*_formats.py` and `*_format.py`.
"""

from __future__ import annotations

import json
import shutil
from pathlib import Path

from click.testing import CliRunner

from meadowpulley.cli import main
from meadowpulley.load.arrivals import Arrival, read_load

STORED = Path(__file__).parent / "stored"
STORED_FIGURES = {
    "worth",
    "in_aim",
    "asked",
    "refused",
    "failed",
    "gateway_busy",
    "most_held",
    "most_waiting",
}


def test_a_stored_load_is_read() -> None:
    arrivals = list(read_load(STORED / "load.jsonl"))
    assert len(arrivals) == 44
    assert arrivals[0] == Arrival(84.675, "change", "devonport", 23, 103.571)


def test_a_stored_experiment_is_compared_under_its_own_figure_names() -> None:
    done = CliRunner().invoke(
        main, ["experiment", "compare", str(STORED / "experiment"), "half", "full", "--all", "--json"]
    )
    assert done.exit_code == 0, done.output
    compared = {change["metric"] for change in json.loads(done.output)}
    assert compared >= STORED_FIGURES


def test_a_stored_experiment_goes_on_without_running_its_cells_again(tmp_path: Path) -> None:
    folder = shutil.copytree(STORED / "experiment", tmp_path / "experiment")
    stored = (folder / "runs.jsonl").read_bytes()
    experiment = STORED / "half.toml"
    done = CliRunner().invoke(main, ["experiment", "run", str(experiment), "--out", str(folder), "--json"])
    assert done.exit_code == 0, done.output
    assert (folder / "runs.jsonl").read_bytes() == stored
