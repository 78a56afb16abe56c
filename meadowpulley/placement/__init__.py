"""Compare placement policies on live traffic: split requests between them, and estimate the difference.

Off unless an experiment's file is named; the gateway that `run` starts imports none of it. Modules in reading
order: `policies` (orders of the servers that a request may go to), `definition` and `config` (the file of an
experiment), `assignment` (which arm a unit belongs to), `time_bins` (short bins for the mixed
Differences-in-Q estimate), `counter_records` and `arm_counters` (what each incarnation counts and stores),
`merged_counters` (the fleet's sums), `metrics` (what figures are kept by), `differences_in_q`, `confidence`
and `estimate` (differences, intervals, confidence sequences), `guard` (when an arm must end), `origins` (what
takeover knows), `request_tracker` (labels and counts requests), `record_names` and `record_writer` (records
in the ledger), `fleet_view` (what is known of the other gateways), `stage` (precedes the rollout policy),
`gateway` (at a gateway on sockets), `summary` (results for readers), `emulated` (experiments on the emulated
fleet), `supermarket_model` and `calibration` (how good the estimates are where the answer is known),
`errors`.
"""

from meadowpulley.placement.assignment import Assignment
from meadowpulley.placement.confidence import Estimate
from meadowpulley.placement.config import read_experiment
from meadowpulley.placement.counter_records import CountersRecord, decode_counters
from meadowpulley.placement.definition import (
    Arm,
    EndCondition,
    Experiment,
    Guard,
    build_placements,
    check_matches_running,
    parse_experiment,
)
from meadowpulley.placement.errors import ExperimentError, PlacementError
from meadowpulley.placement.estimate import (
    estimate_mixed,
    estimate_naive,
    estimate_switchback,
)
from meadowpulley.placement.merged_counters import MergedCounters, merge_counters
from meadowpulley.placement.origins import OriginLookup, RequestOrigin
from meadowpulley.placement.policies import POLICIES
from meadowpulley.placement.stage import PlacementStage
from meadowpulley.placement.summary import (
    Comparison,
    Summary,
    incarnations_by_version,
    read_summary,
    summarize,
)

__all__ = [
    "POLICIES",
    "Arm",
    "Assignment",
    "Comparison",
    "CountersRecord",
    "EndCondition",
    "Estimate",
    "Experiment",
    "ExperimentError",
    "Guard",
    "MergedCounters",
    "OriginLookup",
    "PlacementError",
    "PlacementStage",
    "RequestOrigin",
    "Summary",
    "build_placements",
    "check_matches_running",
    "decode_counters",
    "estimate_mixed",
    "estimate_naive",
    "estimate_switchback",
    "incarnations_by_version",
    "merge_counters",
    "parse_experiment",
    "read_experiment",
    "read_summary",
    "summarize",
]
