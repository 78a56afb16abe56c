"""What the explorer needs of a world: enabled steps, taking one, a copy, a fingerprint, what is broken."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, Protocol

from msgspec import Struct, field

from meadowpulley.model_checking.properties import Violation


class Step(Struct, frozen=True):
    """One step of a world: what happens (`action`), to whom, and what the decisions drew meanwhile."""

    action: str = field(name="do")
    arguments: tuple[int | str, ...] = field(default=(), name="who")
    draws: tuple[int, ...] = ()


class Model(Protocol):
    """A state of the system. Worlds of one kind and configuration start alike, and steps are all that
    happens to them."""

    violations: list[Violation]

    def enabled_steps(self) -> Sequence[Step]:
        """What may happen next, always in the same order; their `draws` are empty."""

    def apply(self, step: Step) -> tuple[Sequence[int], Sequence[int]]:
        """Makes a step happen. Returns what was drawn and among how many. Raises LookupError where the step
        is not enabled."""

    def copy(self) -> Model:
        """An independent copy."""

    def fingerprint(self) -> int:
        """The same for states from which the same can happen."""

    def describe(self, step: Step) -> str:
        """A step in the users' words, before it is taken."""

    @property
    def messages(self) -> list[tuple[str, str, str]]:
        """What the last step made parties say to each other: from, to, what."""


class ModelSettings(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Which world, and its bounds. A world's own file says what the names of its scenes mean."""

    model: str = field(default="decisions", name="world")
    configuration: str = field(default="all", name="scene")
    gateways: int = 2
    servers: int = 3
    requests: int = 4
    faults: int = field(
        default=2, name="troubles"
    )  # how many steps that are somebody's failure a path may have
    time_advances: int = field(default=4, name="waits")  # how often time moves on
    symmetry: bool = True  # states that differ in names alone are one
    ordered_gateways: bool = field(
        default=True, name="ordered"
    )  # gateways step in turn within a moment (their steps commute)
    hashed: bool = True  # states are told apart by 64 bits; else by their whole form

    @property
    def size(self) -> str:
        """The numbers of gateways, servers and requests, in words."""
        return f"{self.gateways} gateways, {self.servers} servers, {self.requests} requests"


def make_model(settings: ModelSettings, **options: Any) -> Model:
    """The start of a world. Raises ValueError naming the setting that can't be."""
    if settings.model == "decisions":
        from meadowpulley.model_checking.policy_model import PolicyModel

        return PolicyModel(settings, **options)
    if settings.model == "connection":
        from meadowpulley.model_checking.connection_model import ConnectionModel

        connection: Model = ConnectionModel(settings, **options)
        return connection
    if settings.model == "shared":
        from meadowpulley.model_checking.shared_state_model import SharedStateModel

        shared: Model = SharedStateModel(settings, **options)
        return shared
    raise ValueError(f"world: '{settings.model}' is not known; known are decisions, connection, shared")
