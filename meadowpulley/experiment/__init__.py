"""Experiments: configurations times seeds, side by side on the cores, kept as tables, compared in pairs.

Reading order: `cells` (one run as a value, and what is measured of it), `plan` (the file of an experiment),
`runner` (processes and the store that an interrupted run goes on from), `compare` (intervals, paired
differences), `tables` (CSV, JSON and charts).
"""

from meadowpulley.experiment.cells import Cell, LoadSpec, Row, metrics, run_cell
from meadowpulley.experiment.compare import Difference, Interval, interval, paired, wilson
from meadowpulley.experiment.plan import Configuration, ExperimentFile, cells_of, parse_experiment
from meadowpulley.experiment.runner import Store, run_cells
from meadowpulley.experiment.tables import summary_rows, write_tables

__all__ = [
    "Cell",
    "Configuration",
    "Difference",
    "ExperimentFile",
    "Interval",
    "LoadSpec",
    "Row",
    "Store",
    "cells_of",
    "interval",
    "metrics",
    "paired",
    "parse_experiment",
    "run_cell",
    "run_cells",
    "summary_rows",
    "wilson",
    "write_tables",
]
