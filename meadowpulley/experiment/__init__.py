"""Experiments: configurations times seeds, run in parallel, stored as tables, compared in pairs.

Reading order: `cells` (one run as a value, and its figures), `plan` (the file of an experiment), `runner`
(processes and the store that an interrupted run continues from), `compare` (intervals, paired differences),
`tables` (CSV and JSON).
"""

from meadowpulley.experiment.cells import Cell, LoadSpec, RunResult, metrics, run_cell
from meadowpulley.experiment.compare import (
    Difference,
    Interval,
    confidence_interval,
    paired_differences,
    wilson_interval,
)
from meadowpulley.experiment.plan import Configuration, ExperimentFile, cells_of, parse_experiment
from meadowpulley.experiment.runner import ResultStore, run_cells
from meadowpulley.experiment.tables import summary_rows, write_tables

__all__ = [
    "Cell",
    "Configuration",
    "Difference",
    "ExperimentFile",
    "Interval",
    "LoadSpec",
    "ResultStore",
    "RunResult",
    "cells_of",
    "confidence_interval",
    "metrics",
    "paired_differences",
    "parse_experiment",
    "run_cell",
    "run_cells",
    "summary_rows",
    "wilson_interval",
    "write_tables",
]
