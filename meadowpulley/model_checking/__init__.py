"""Exhaustive small checks: every interleaving of small configurations, on the project's own code.

Reading order: `properties` (what must hold, with its sources), `scenes` (the small configurations),
`worlds` (what the search needs of a world), `graph` (copies and canonical forms), `choices` (chance as a
choice point), `decisions` (real balancers), `monitors` (the books of one gateway), `connection` (the real
classes of `net/` on a scripted transport), `shared` (two gateways on one ledger), `fuzz` (readers of foreign
bytes), `explore` (the search), `mutate` and `mutants` (bugs planted on purpose), `story` (a counterexample
for people). Nothing here does I/O but `explore`, which starts workers and keeps checkpoints.
"""

from meadowpulley.model_checking.checkpoint import CheckpointError
from meadowpulley.model_checking.model import ModelSettings, Step, make_model
from meadowpulley.model_checking.properties import PROPERTIES, Property, Violation
from meadowpulley.model_checking.search import Coverage, Level, Search, ViolatingPath

__all__ = [
    "PROPERTIES",
    "CheckpointError",
    "Coverage",
    "Level",
    "ModelSettings",
    "Property",
    "Search",
    "Step",
    "ViolatingPath",
    "Violation",
    "make_model",
]
