"""Assign units to arms by a keyed hash of the unit and the experiment's version, and nothing else.

So the assignment is equal at every gateway, after every restart and takeover, and independent of whatever
the rollout policy draws (the build of a request, the servers it samples).
"""

from __future__ import annotations

from itertools import accumulate

import xxhash

from meadowpulley.interface import Request
from meadowpulley.placement.definition import Experiment

GROUP_COUNT = 16  # random groups of units, for standard errors where requests of one unit share an arm
NO_ARM = -1
UNIT_HASH_PREFIX = b"unit"
GROUP_HASH_PREFIX = b"group"
HASH_RANGE = 2**64  # of xxh3_64
HASH_SEED_DIGITS = 16  # hexadecimal digits of the digest, of 64 bits


class Assignment:
    """The assignment of one experiment; its version is the hash's seed."""

    def __init__(self, experiment: Experiment) -> None:
        self.experiment = experiment
        self.hash_seed = int(experiment.digest[:HASH_SEED_DIGITS], base=16)
        cumulative_parts = accumulate(arm.part for arm in experiment.arms)
        self._arm_bounds = [int(cumulative_part * HASH_RANGE) for cumulative_part in cumulative_parts]

    def arm(self, unit: bytes) -> int:
        """Return the index of the unit's arm; `NO_ARM` if it takes no part."""
        unit_hash = xxhash.xxh3_64_intdigest(UNIT_HASH_PREFIX + unit, self.hash_seed)
        return next((arm for arm, bound in enumerate(self._arm_bounds) if unit_hash < bound), NO_ARM)

    def group(self, unit: bytes) -> int:
        """Return the unit's random group, independent of its arm.

        Single requests and time blocks are independent units, which need no groups: it is 0 for all.
        """
        if self.experiment.unit in ("request", "time"):
            return 0
        return xxhash.xxh3_64_intdigest(GROUP_HASH_PREFIX + unit, self.hash_seed) % GROUP_COUNT

    def unit(
        self, request: Request, first_incarnation: str, first_number: int, shared_time_ms: float
    ) -> bytes:
        """Return the unit that a request belongs to.

        `first_incarnation` and `first_number` name the incarnation that accepted the request first, and its
        number there; `shared_time_ms` is when, on the clock that all gateways share.
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
        """Return a gateway's rank: the lowest evaluates for all, a different one in each experiment."""
        return xxhash.xxh3_64_intdigest(gateway_name.encode(), self.hash_seed)

    def block_index(self, shared_time_ms: float) -> int:
        """Return the index of a switchback's time block."""
        return int(shared_time_ms // self.experiment.block_ms)
