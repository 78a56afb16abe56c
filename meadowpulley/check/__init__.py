"""Exhaustive small checks: every interleaving of small configurations, on the project's own code.

Reading order: `properties` (what must hold, with its sources), `scenes` (the small configurations),
`worlds` (what the search needs of a world), `graph` (copies and canonical forms), `choices` (chance as a
choice point), `decisions` (real balancers), `monitors` (the books of one gateway), `connection` (the real
classes of `net/` on a scripted transport), `shared` (two gateways on one ledger), `fuzz` (readers of foreign
bytes), `explore` (the search), `mutate` and `mutants` (bugs planted on purpose), `story` (a counterexample
for people). Nothing here does I/O but `explore`, which starts workers and keeps checkpoints.
"""

from meadowpulley.check.explore import CheckpointError, Counterexample, Coverage, Level, Search
from meadowpulley.check.properties import PROPERTIES, Broken, Property
from meadowpulley.check.worlds import Setting, Step, make_world

__all__ = [
    "PROPERTIES",
    "Broken",
    "CheckpointError",
    "Counterexample",
    "Coverage",
    "Level",
    "Property",
    "Search",
    "Setting",
    "Step",
    "make_world",
]
