"""The catalogue of planted bugs: the model checker is measured by how many it finds.

Each mutant is a small patch of the real code (or of a model of the checker itself), with the properties that
may catch it and the bounds under which it shows. `meadowpulley check mutants` plays them.
"""

from __future__ import annotations

from collections.abc import Iterable

from meadowpulley.model_checking.connection_mutants import CONNECTION_MUTANTS
from meadowpulley.model_checking.mutation import Mutant, MutantError
from meadowpulley.model_checking.request_mutants import REQUEST_MUTANTS
from meadowpulley.model_checking.rollout_mutants import ROLLOUT_MUTANTS
from meadowpulley.model_checking.shared_state_mutants import SHARED_STATE_MUTANTS


def _by_name(mutants: Iterable[Mutant]) -> dict[str, Mutant]:
    found: dict[str, Mutant] = {}
    for mutant in mutants:
        if mutant.name in found:
            raise MutantError(f"mutant {mutant.name}: the name stands twice in the catalogue; rename one")
        found[mutant.name] = mutant
    return found


MUTANTS = _by_name((*REQUEST_MUTANTS, *ROLLOUT_MUTANTS, *CONNECTION_MUTANTS, *SHARED_STATE_MUTANTS))
