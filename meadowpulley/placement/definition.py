"""The definition of a placement experiment: a validated file, whose hash is the experiment's version.

Every gateway reads the same definition. The hash covers all of its fields, so that two gateways with the same
version assign requests in the same way and their counters may be added up. One record in the ledger holds the
version that runs. The field names are the keys of the file.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from datetime import datetime
from typing import Annotated, Literal

import msgspec
import xxhash
from msgspec import Meta, Struct

from meadowpulley.fleet import read_toml
from meadowpulley.fleet.model import Name, Positive, PositiveInt, PositiveShare
from meadowpulley.interface import Placement
from meadowpulley.placement.errors import ExperimentError
from meadowpulley.placement.policies import DEFAULT_POLICY, POLICIES

Unit = Literal["request", "key", "tenant", "time"]
Probability = Annotated[float, Meta(gt=0, lt=0.5)]
PART_TOLERANCE = 1e-9  # the sum of the arms' parts may exceed 1 by this, for rounding errors


class Arm(Struct, frozen=True, forbid_unknown_fields=True):
    """An arm: a placement policy and the fraction of the units that are assigned to it.

    The parts of all arms add up to 1 at most. The first arm is the baseline of all comparisons.
    """

    name: Name
    policy: str
    part: PositiveShare


class Guard(Struct, frozen=True, forbid_unknown_fields=True):
    """The guard ends an arm whose mean cost exceeds the baseline's by more than the fraction `worse`.

    `alpha` bounds the probability that an arm is ended by mistake, however often the guard evaluates.
    """

    worse: Positive = 0.1
    alpha: Probability = 0.01


class EndCondition(Struct, frozen=True, forbid_unknown_fields=True):
    """An experiment ends at a time, after a number of requests of all gateways, or at the first of both."""

    at: datetime | None = None
    requests: PositiveInt | None = None


class Experiment(Struct, frozen=True, forbid_unknown_fields=True):
    """A placement experiment as its file defines it.

    `classes` names the request classes that take part, all if empty. `carry_ms` is the time for which a
    request is assumed to add to the cost of later ones (the paper's L, as a time: about 30 typical
    latencies). In a switchback, `block_ms` is the length of a time block, and `settle_ms` that of its
    beginning, whose requests are not compared.
    """

    version: int
    name: Name
    arms: Annotated[tuple[Arm, ...], Meta(min_length=2, max_length=16)]
    end: EndCondition
    unit: Unit = "request"
    classes: tuple[str, ...] = ()
    carry_ms: Positive = 3000.0
    block_ms: Positive = 60_000.0
    settle_ms: Annotated[float, Meta(ge=0)] = 10_000.0
    guard: Guard = Guard()

    def relative_probability(self, arm: int) -> float:
        """Return the probability of an arm for a unit that is in that arm or the baseline."""
        return self.arms[arm].part / (self.arms[arm].part + self.arms[0].part)

    @property
    def digest(self) -> str:
        """The hash of the complete definition, by which gateways identify its version."""
        return xxhash.xxh3_128_hexdigest(msgspec.json.encode(self, order="deterministic"))

    def record_key(self, name: str) -> str:
        """Return the ledger's key of one of this version's records."""
        return f"placement/{self.name}/{self.digest}/{name}"

    @property
    def definition_key(self) -> str:
        """The ledger's key of the running definition of this experiment's name."""
        return f"placement/{self.name}/running"


def parse_experiment(raw: bytes, path: str, classes: Sequence[str] | None = None) -> Experiment:
    """Parse an experiment's file, and check it against the settings' classes, if given.

    Raises `FleetError` for a file that can't be parsed, and its subclass `ExperimentError` for
    contradictions.
    """
    experiment = read_toml(raw, path, Experiment)
    validate_experiment(experiment, path, classes)
    return experiment


def validate_experiment(experiment: Experiment, path: str, classes: Sequence[str] | None = None) -> None:
    """Raise `ExperimentError` for a definition that contradicts itself or the settings' classes."""
    _validate_arms(experiment, path)
    _validate_classes(experiment, path, classes)
    _validate_times(experiment, path)


def _validate_arms(experiment: Experiment, path: str) -> None:
    names = [arm.name for arm in experiment.arms]
    known = (DEFAULT_POLICY, *POLICIES)
    for index, arm in enumerate(experiment.arms):
        arm_path = f"{path}: arms[{index}]"
        if names.count(arm.name) > 1:
            raise ExperimentError(f"{arm_path}.name: '{arm.name}' is used twice; names must differ")
        if arm.policy not in known:
            raise ExperimentError(
                f"{arm_path}.policy: '{arm.policy}' is not a policy; known are {', '.join(known)}"
            )
    total = math.fsum(arm.part for arm in experiment.arms)
    if total > 1 + PART_TOLERANCE:
        raise ExperimentError(f"{path}: arms: parts add up to {total:g}, over 1; make them smaller")


def _validate_classes(experiment: Experiment, path: str, classes: Sequence[str] | None) -> None:
    for name in experiment.classes:
        if experiment.classes.count(name) > 1:
            raise ExperimentError(f"{path}: classes: '{name}' is named twice; name each class once")
        if classes is not None and name not in classes:
            raise ExperimentError(f"{path}: classes: '{name}' is not a class; known are {', '.join(classes)}")


def _validate_times(experiment: Experiment, path: str) -> None:
    end = experiment.end
    if end.at is None and end.requests is None:
        raise ExperimentError(
            f"{path}: end: neither 'at' nor 'requests' is set; an experiment must end: set one"
        )
    if end.at is not None and end.at.tzinfo is None:
        raise ExperimentError(f"{path}: end.at: the time has no zone; add one, as in 2027-01-31T12:00:00Z")
    if experiment.unit == "time" and experiment.settle_ms >= experiment.block_ms:
        raise ExperimentError(
            f"{path}: settle_ms: {experiment.settle_ms:g} leaves no part of a block to compare; "
            f"make it less than {experiment.block_ms:g}"
        )


def check_matches_running(own: Experiment, stored: bytes, path: str) -> None:
    """Raise `ExperimentError` unless the definition that runs under this name is this gateway's own."""
    running = decode_definition(stored)
    if running is None:
        raise ExperimentError(
            f"{path}: name: the fleet's record of '{own.name}' can't be read; choose another"
        )
    if running.digest != own.digest:
        raise ExperimentError(
            f"{path}: name: '{own.name}' runs as version {running.digest[:8]}, this file is "
            f"{own.digest[:8]}; end that one first or choose another name"
        )


def encode_definition(experiment: Experiment) -> bytes:
    """Encode a definition as its record's value in the ledger."""
    return msgspec.json.encode(experiment)


def decode_definition(value: bytes) -> Experiment | None:
    """Decode a definition that another gateway wrote to the ledger; None if it is invalid."""
    try:
        experiment = msgspec.json.decode(value, type=Experiment)
        validate_experiment(experiment, "ledger")
    except (msgspec.MsgspecError, ExperimentError):
        return None
    return experiment


def arm_labels(experiment: Experiment) -> tuple[int, ...]:
    """Return the label of each arm, which `Request.arm` carries.

    Arms with a placement policy come first: their labels are indices of the result of `build_placements`.
    Arms of the default policy get labels without a placement: the rollout policy itself chooses the server,
    and each arm still has its own label.
    """
    arms = range(len(experiment.arms))
    placed = [arm for arm in arms if experiment.arms[arm].policy != DEFAULT_POLICY]
    others = [arm for arm in arms if experiment.arms[arm].policy == DEFAULT_POLICY]
    order = placed + others
    return tuple(order.index(arm) + 1 for arm in arms)


def build_placements(experiment: Experiment, seed: int) -> tuple[Placement, ...]:
    """Return the placements to pass to the rollout policy.

    The placement at index n orders the servers of requests whose `Request.arm` is n. Index 0 is not used:
    label 0 is that of requests in no arm, and of adopted requests whose arm has ended.
    """
    built = [
        POLICIES[arm.policy](seed + index)
        for index, arm in enumerate(experiment.arms)
        if arm.policy != DEFAULT_POLICY
    ]
    if not built:
        return ()
    unused = built[0]  # fills index 0: the rollout policy itself chooses the server of requests with label 0
    return (unused, *built)
