"""Which arm a unit belongs to: a keyed hash of the unit and the experiment's version, and nothing else.

So it is equal at every gateway, after every restart and takeover, and independent of whatever the balancer
draws (the coin between builds, the servers it looks at).
"""

from __future__ import annotations

from itertools import accumulate

import xxhash

from meadowpulley.interface import Request
from meadowpulley.placement.definition import Experiment

GROUPS = 16  # random groups of units, for errors where the requests of one unit share an arm
_UNIT, _GROUP = b"unit", b"group"


class Assignment:
    """Arms of one experiment. `key`: the version, as the hash's seed."""

    def __init__(self, experiment: Experiment) -> None:
        self.experiment, self.key = experiment, int(experiment.digest[:16], 16)
        self._bounds = [int(bound * 2**64) for bound in accumulate(a.part for a in experiment.arms)]

    def arm(self, unit: bytes) -> int:
        """The arm's number; -1: the unit takes no part."""
        drawn = xxhash.xxh3_64_intdigest(_UNIT + unit, self.key)
        return next((n for n, bound in enumerate(self._bounds) if drawn < bound), -1)

    def group(self, unit: bytes) -> int:
        """One of the random groups, independent of the arm; requests are their own units and need none."""
        if self.experiment.unit in ("request", "time"):
            return 0
        return xxhash.xxh3_64_intdigest(_GROUP + unit, self.key) % GROUPS

    def unit(self, request: Request, first_life: str, first_number: int, common_ms: float) -> bytes:
        """The unit that a request belongs to. `first_life`, `first_number`: the life of the gateway that took
        it first, and its number there; `common_ms`: time on the clock that the gateways share."""
        kind = self.experiment.unit
        if kind == "key" and request.key:
            return b"key %d" % request.key
        if kind == "tenant":
            return b"tenant %d" % request.tenant
        if kind == "time":
            return b"block %d" % self.block(common_ms)
        return f"request {first_life} {first_number}".encode()

    def rank(self, name: str) -> int:
        """Of a gateway, the lowest judging for all: another one for another experiment."""
        return xxhash.xxh3_64_intdigest(name.encode(), self.key)

    def block(self, common_ms: float) -> int:
        return int(common_ms // self.experiment.block_ms)
