"""Placements compared: requests split between placement policies, their completion times compared honestly.

Off unless an experiment's file is named; the gateway that `run` starts imports none of it. Reading order:
`policies` (orders of the servers that a request may go to), `definition` and `config` (the file of an
experiment), `assign` (which arm a unit belongs to), `contrast` (bins behind the mixed Differences-in-Q
estimate), `counts` (what each life counts, and how it is merged), `mixed` and `estimate` (differences,
intervals, confidence sequences), `guard` (when an arm must end), `origins` (what takeover knows), `stage`
(labels and counts, around the decisions), `gateway` (at a gateway on sockets), `summary` (what it came to,
for readers), `emulated` (experiments on the emulated fleet, and the truth), `supermarket` and `truth` (how
good the estimates are, in a quick model where the answer is known).
"""

from meadowpulley.placement.assign import Assignment
from meadowpulley.placement.config import read_experiment
from meadowpulley.placement.counts import Count, Merged, merge, read_count
from meadowpulley.placement.definition import (
    Arm,
    End,
    Experiment,
    Guard,
    check_running,
    parse_placement,
    placements,
)
from meadowpulley.placement.estimate import Estimate, mixed, naive, switchback
from meadowpulley.placement.origins import Origin, Origins
from meadowpulley.placement.policies import POLICIES
from meadowpulley.placement.stage import PlacementStage
from meadowpulley.placement.summary import Comparison, Summary, read_summary, summarize, versions

__all__ = [
    "POLICIES",
    "Arm",
    "Assignment",
    "Comparison",
    "Count",
    "End",
    "Estimate",
    "Experiment",
    "Guard",
    "Merged",
    "Origin",
    "Origins",
    "PlacementStage",
    "Summary",
    "check_running",
    "merge",
    "mixed",
    "naive",
    "parse_placement",
    "placements",
    "read_count",
    "read_experiment",
    "read_summary",
    "summarize",
    "switchback",
    "versions",
]
