"""Assign units to arms by a keyed hash of the unit and the experiment's version, and nothing else.

The assignment is therefore the same at every gateway and after every restart and takeover, and independent of
the rollout policy's random draws (a request's build, the servers that it samples).
"""

from __future__ import annotations

from itertools import accumulate

import xxhash

from meadowpulley.interface import Request
from meadowpulley.placement.definition import Experiment

GROUP_COUNT = 16  # random groups of units, for jackknife standard errors: requests of one unit share an arm
NO_ARM = -1
UNIT_HASH_PREFIX = b"unit"
GROUP_HASH_PREFIX = b"group"
HASH_RANGE = 2**64  # number of values of xxh3_64
HASH_SEED_DIGITS = 16  # leading hexadecimal digits of the digest that form the 64-bit seed


class Assignment:
    """Assigns one experiment's units to arms; the hash's seed comes from the experiment's version."""

    def __init__(self, experiment: Experiment) -> None:
        self.experiment = experiment
        self.hash_seed = int(experiment.digest[:HASH_SEED_DIGITS], base=16)
        cumulative_parts = accumulate(arm.part for arm in experiment.arms)
        self._arm_bounds = [int(cumulative_part * HASH_RANGE) for cumulative_part in cumulative_parts]

    def arm(self, unit: bytes) -> int:
        """Return the index of the unit's arm; `NO_ARM` if the unit is in none of the arms' parts."""
        unit_hash = xxhash.xxh3_64_intdigest(UNIT_HASH_PREFIX + unit, self.hash_seed)
        return next((arm for arm, bound in enumerate(self._arm_bounds) if unit_hash < bound), NO_ARM)

    def group(self, unit: bytes) -> int:
        """Return the unit's random group, independent of its arm.

        Single requests and time blocks are independent units and need no groups: their group is always 0.
        """
        if self.experiment.unit in ("request", "time"):
            return 0
        return xxhash.xxh3_64_intdigest(GROUP_HASH_PREFIX + unit, self.hash_seed) % GROUP_COUNT

    def unit(
        self, request: Request, first_incarnation: str, first_number: int, shared_time_ms: float
    ) -> bytes:
        """Return the unit that a request belongs to.

        `first_incarnation` is the incarnation that accepted the request first, and `first_number` the
        request's number there; `shared_time_ms` is the time of acceptance on the clock that gateways share.
        """
        kind = self.experiment.unit
        if kind == "key" and request.key:
            return b"key %d" % request.key
        if kind == "tenant":
            return b"tenant %d" % request.tenant
        if kind == "time":
            return b"block %d" % self.block_index(shared_time_ms)
        return f"request {first_incarnation} {first_number}".encode()

    def evaluator_rank(self, gateway_name: str) -> int:
        """Return a gateway's rank in this experiment; the gateway of lowest rank evaluates for all.

        Ranks differ between experiments, so that different gateways evaluate them.
        """
        return xxhash.xxh3_64_intdigest(gateway_name.encode(), self.hash_seed)

    def block_index(self, shared_time_ms: float) -> int:
        """Return the index of the switchback time block that contains a time (ms, shared clock)."""
        return int(shared_time_ms // self.experiment.block_ms)
