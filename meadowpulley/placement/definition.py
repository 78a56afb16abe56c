"""The definition of an experiment on placements: a file of intent, checked whole; its hash is its version.

Every gateway reads the same definition; the hash covers all that it says, so that two gateways with the same
version assign alike and may add their counts. Which version runs is one record on the ledger.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from datetime import datetime
from typing import Annotated, Literal

import msgspec
import xxhash
from msgspec import Meta, Struct

from meadowpulley.fleet import FleetError, read_intent
from meadowpulley.fleet.model import Name, Positive, PositiveShare, Whole
from meadowpulley.interface import Placement
from meadowpulley.placement.policies import OWN, POLICIES

Unit = Literal["request", "key", "tenant", "time"]
Probability = Annotated[float, Meta(gt=0, lt=0.5)]


class Arm(Struct, frozen=True, forbid_unknown_fields=True):
    """A placement policy and its part of the units; the parts of all arms add up to 1 at most. The first arm
    is the baseline that the others are compared with."""

    name: Name
    policy: str
    part: PositiveShare


class Guard(Struct, frozen=True, forbid_unknown_fields=True):
    """Ends an arm whose mean completion is worse than the baseline's by more than the part `worse` of it,
    which it may do by mistake with the probability `alpha`, however often it looks."""

    worse: Positive = 0.1
    alpha: Probability = 0.01


class End(Struct, frozen=True, forbid_unknown_fields=True):
    """When the experiment is over: at a moment, after so many requests of all gateways, or the first."""

    at: datetime | None = None
    requests: Whole | None = None


class Experiment(Struct, frozen=True, forbid_unknown_fields=True):
    """`classes`: names of the classes that take part, all if empty. `carry_ms`: for how long a request is
    held to burden those after it (the paper's L, as a time: some 30 usual latencies). `block_ms`,
    `settle_ms`: of a switchback, the length of a time block and its first part that is not compared."""

    version: int
    name: Name
    arms: Annotated[tuple[Arm, ...], Meta(min_length=2, max_length=16)]
    end: End
    unit: Unit = "request"
    classes: tuple[str, ...] = ()
    carry_ms: Positive = 3000.0
    block_ms: Positive = 60_000.0
    settle_ms: Annotated[float, Meta(ge=0)] = 10_000.0
    guard: Guard = Guard()

    def odds(self, arm: int) -> float:
        """The arm's part among itself and the baseline."""
        return self.arms[arm].part / (self.arms[arm].part + self.arms[0].part)

    @property
    def digest(self) -> str:
        """The hash of all that it says: its version among gateways."""
        return xxhash.xxh3_128_hexdigest(msgspec.json.encode(self, order="deterministic"))

    def key(self, what: str) -> str:
        """The ledger's key of one of its records."""
        return f"placement/{self.name}/{self.digest}/{what}"

    @property
    def running(self) -> str:
        """The ledger's key of the record that holds the whole definition that runs under this name."""
        return f"placement/{self.name}/running"


def parse_placement(raw: bytes, where: str, classes: Sequence[str] | None = None) -> Experiment:
    """An experiment's file, checked against the classes of the settings, if given. Raises FleetError."""
    experiment = read_intent(raw, where, Experiment)
    check_placement(experiment, where, classes)
    return experiment


def check_placement(e: Experiment, where: str, classes: Sequence[str] | None = None) -> None:
    names = [arm.name for arm in e.arms]
    for n, arm in enumerate(e.arms):
        path = f"{where}: arms[{n}]"
        if names.count(arm.name) > 1:
            raise FleetError(f"{path}.name: '{arm.name}' is there twice; names must differ")
        if arm.policy not in (OWN, *POLICIES):
            known = ", ".join((OWN, *POLICIES))
            raise FleetError(f"{path}.policy: '{arm.policy}' is none; known are {known}")
    total = math.fsum(arm.part for arm in e.arms)
    if total > 1 + 1e-9:
        raise FleetError(f"{where}: arms: parts add up to {total:g}, over 1; make them smaller")
    for name in e.classes:
        if e.classes.count(name) > 1:
            raise FleetError(f"{where}: classes: '{name}' is there twice; name each once")
        if classes is not None and name not in classes:
            raise FleetError(f"{where}: classes: '{name}' is no class; known are {', '.join(classes)}")
    if e.end.at is None and e.end.requests is None:
        raise FleetError(f"{where}: end: neither 'at' nor 'requests'; an experiment must end: give one")
    if e.end.at is not None and e.end.at.tzinfo is None:
        raise FleetError(f"{where}: end.at: without a zone; write it with one, as 2027-01-31T12:00:00Z")
    if e.unit == "time" and e.settle_ms >= e.block_ms:
        raise FleetError(
            f"{where}: settle_ms: {e.settle_ms:g} leaves nothing of a block; make it under {e.block_ms:g}"
        )


def check_running(mine: Experiment, found: bytes, where: str) -> None:
    """Whether the definition that runs in the fleet under this name is this one. Raises FleetError."""
    theirs = read_shared(found)
    if theirs is None:
        raise FleetError(f"{where}: name: the fleet's record of '{mine.name}' can't be read; choose another")
    if theirs.digest != mine.digest:
        raise FleetError(
            f"{where}: name: '{mine.name}' runs as version {theirs.digest[:8]}, this file is "
            f"{mine.digest[:8]}; end that one first or choose another name"
        )


def read_shared(value: bytes) -> Experiment | None:
    """A definition as another gateway wrote it to the ledger; None for what is no such thing."""
    try:
        found = msgspec.json.decode(value, type=Experiment)
        check_placement(found, "ledger")
    except (msgspec.MsgspecError, FleetError):
        return None
    return found


def labels(e: Experiment) -> tuple[int, ...]:
    """`Request.arm` of each arm: places in `placements` first, and for arms that leave the choice to the
    module numbers that no placement has: so the balancer chooses, and each arm's label is still its own."""
    placed = [n for n, arm in enumerate(e.arms) if arm.policy != OWN]
    order = placed + [n for n in range(len(e.arms)) if n not in placed]
    return tuple(order.index(n) + 1 for n in range(len(e.arms)))


def placements(e: Experiment, seed: int) -> tuple[Placement, ...]:
    """What `Balancer` takes: `placements[n]` orders the servers of requests labelled `n`; nobody asks 0."""
    made = [POLICIES[arm.policy](seed + n) for n, arm in enumerate(e.arms) if arm.policy != OWN]
    return (made[0], *made) if made else ()
