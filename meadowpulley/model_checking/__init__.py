"""Model checking: every interleaving of small configurations, on the project's own code.

Reading order: `properties` (what must hold, with its sources), `model` (what the search needs of a model),
`graph` (copies and canonical forms), `choices` (random draws as choice points), `policy_model` (real
policies), `invariant_monitor` (what one gateway may do), `connection_model` (the real classes of `net/` on a
scripted transport), `shared_state_model` (two gateways on one ledger), `fuzz` (readers of foreign bytes),
`search`, `checkpoint`, `mutation` and `mutants` (planted bugs), `mutation_testing` (whether they are found),
`counterexample` (a violating path for people). Nothing here does I/O but `search`, which starts workers,
`checkpoint`, `counterexample` and `mutation`, which read and write files.
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
