"""What the explorer needs of a world: enabled steps, taking one, a copy, a fingerprint, what is broken."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, Protocol

from msgspec import Struct

from meadowpulley.check.properties import Broken


class Step(Struct, frozen=True):
    """One step of a world: what happens (`do`), to whom, and what the decisions drew meanwhile."""

    do: str
    who: tuple[int | str, ...] = ()
    draws: tuple[int, ...] = ()


class World(Protocol):
    """A state of the system. Worlds of one kind and configuration start alike, and steps are all that
    happens to them."""

    broken: list[Broken]

    def steps(self) -> Sequence[Step]:
        """What may happen next, always in the same order; their `draws` are empty."""

    def take(self, step: Step) -> tuple[Sequence[int], Sequence[int]]:
        """Makes a step happen. Returns what was drawn and among how many. Raises LookupError where the step
        is not enabled."""

    def copy(self) -> World:
        """An independent copy."""

    def fingerprint(self) -> int:
        """The same for states from which the same can happen."""

    def tell(self, step: Step) -> str:
        """A step in the users' words, before it is taken."""

    @property
    def heard(self) -> list[tuple[str, str, str]]:
        """What the last step made parties say to each other: from, to, what."""


class Setting(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Which world, and its bounds. A world's own file says what the names of its scenes mean."""

    world: str = "decisions"
    scene: str = "all"
    gateways: int = 2
    servers: int = 3
    requests: int = 4
    troubles: int = 2  # how many steps that are somebody's failure a path may have
    waits: int = 4  # how often time moves on
    symmetry: bool = True  # states that differ in names alone are one
    ordered: bool = True  # gateways step in turn within a moment (their steps commute)
    hashed: bool = True  # states are told apart by 64 bits; else by their whole form

    @property
    def size(self) -> str:
        return f"{self.gateways} gateways, {self.servers} servers, {self.requests} requests"


def make_world(setting: Setting, **more: Any) -> World:
    """The start of a world. Raises ValueError naming the setting that can't be."""
    if setting.world == "decisions":
        from meadowpulley.check.decisions import Decisions

        return Decisions(setting, **more)
    if setting.world == "connection":
        from meadowpulley.check.connection import Connection

        connection: World = Connection(setting, **more)
        return connection
    if setting.world == "shared":
        from meadowpulley.check.shared import Shared

        shared: World = Shared(setting, **more)
        return shared
    raise ValueError(f"world: '{setting.world}' is not known; known are decisions, connection, shared")
