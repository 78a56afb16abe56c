"""Compare placement policies on live traffic: split requests into arms, estimate the differences.

The package is unused unless `MEADOWPULLEY_PLACEMENT` names an experiment's file: the gateway that `run`
starts does not import it otherwise. Modules in reading order: `policies` (order a request's servers by
preference), `definition` and `config` (the experiment's file), `assignment` (assigns units to arms),
`time_bins` (short bins for the mixed Differences-in-Q estimate), `counter_records` and `arm_counters` (the
counters that each incarnation keeps and stores), `merged_counters` (sums over the fleet), `metrics` (indices
of the sums over all classes and of each class), `differences_in_q`, `confidence` and `estimate` (differences,
intervals, confidence sequences), `guard` (decides when a harmful arm ends), `origins` (which incarnation
accepted a request first, from takeover), `request_tracker` (labels and counts requests), `record_names` and
`record_writer` (records in the ledger), `fleet_view` (members and counters of the other gateways), `stage`
(handles events before the rollout policy), `gateway` (starts an experiment at a gateway on sockets),
`summary` (results), `emulated` (experiments on the emulated fleet), `supermarket_model` and `calibration`
(measure the estimates' errors where the true difference is known), `errors`.
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
