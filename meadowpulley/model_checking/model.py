"""What the search needs of a model: enabled steps, applying one, a copy, a fingerprint, violations."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, Protocol

from msgspec import Struct, field

from meadowpulley.model_checking.errors import UnknownNameError
from meadowpulley.model_checking.properties import Violation

MODELS = ("decisions", "connection", "shared")  # by their stored names


class Step(Struct, frozen=True):
    """One step: what happens (`action`), to whom (`arguments`), and what the policy drew meanwhile."""

    action: str = field(name="do")
    arguments: tuple[int | str, ...] = field(default=(), name="who")
    draws: tuple[int, ...] = ()


class Model(Protocol):
    """A state of the system. Models of the same settings start alike, and change by steps alone."""

    violations: list[Violation]

    def enabled_steps(self) -> Sequence[Step]:
        """Return what may happen next, always in the same order; their `draws` are empty."""

    def apply(self, step: Step) -> tuple[Sequence[int], Sequence[int]]:
        """Make a step happen; return what was drawn and among how many outcomes each time.

        Raises LookupError where the step is not enabled.
        """

    def copy(self) -> Model:
        """Return an independent copy."""

    def fingerprint(self) -> int:
        """Return 64 bits that are the same for states from which the same can happen."""

    def describe(self, step: Step) -> str:
        """Return a step in words, before it is applied."""

    @property
    def messages(self) -> list[tuple[str, str, str]]:
        """What the last step made parties say to each other: sender, receiver, text."""


class ModelSettings(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Which model, and its bounds. Each model's `configurations` says what the configurations mean.

    The encoded names are those of the first version of stored counterexamples.
    """

    model: str = field(default="decisions", name="world")
    configuration: str = field(default="all", name="scene")
    gateways: int = 2
    servers: int = 3
    requests: int = 4
    faults: int = field(default=2, name="troubles")  # steps of a path that are somebody's failure, at most
    time_advances: int = field(default=4, name="waits")  # how often time moves in a path, at most
    symmetry: bool = True  # states that differ in names alone are one
    ordered_gateways: bool = field(
        default=True, name="ordered"
    )  # gateways step in turn within a moment (their steps commute)
    hashed: bool = True  # states are compared by 64 bits; else by their complete form

    @property
    def size(self) -> str:
        """The numbers of gateways, servers and requests, in words."""
        return f"{self.gateways} gateways, {self.servers} servers, {self.requests} requests"


def make_model(settings: ModelSettings, **options: Any) -> Model:
    """Return the start of a model.

    Raises:
        UnknownNameError: The settings name a model or a configuration that does not exist.
    """
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
    raise UnknownNameError("world", settings.model, MODELS)
