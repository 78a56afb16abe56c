"""Start an experiment at a gateway on sockets: its file, the definition that runs in the fleet, its stage.

The pipeline of stages calls it where `MEADOWPULLEY_PLACEMENT` names a file.
"""

from __future__ import annotations

import time
from collections.abc import Mapping
from contextlib import closing
from typing import Protocol

from meadowpulley.fleet import FleetError
from meadowpulley.interface import Placement, Settings
from meadowpulley.ledger import Incarnation, LedgerError, LedgerUnusableError, Stage
from meadowpulley.ledger.config import read_settings
from meadowpulley.ledger.disk import DiskStore
from meadowpulley.placement.config import ENV_VARIABLE, read_experiment
from meadowpulley.placement.definition import Experiment, build_placements, check_matches_running
from meadowpulley.placement.origins import Departure, RequestOrigin
from meadowpulley.placement.stage import PlacementStage


class PlacementTarget(Protocol):
    """What is needed of the rollout policy."""

    placements: dict[int, Placement]  # by arm


class TakeoverOrigin(Protocol):
    """Who accepted a request first, as takeover names it."""

    @property
    def incarnation(self) -> str:
        """The incarnation that accepted it."""

    @property
    def number(self) -> int:
        """Its number there."""


class TakeoverLookup(Protocol):
    """What is needed of the takeover stage."""

    def origin_of(self, request: int) -> tuple[TakeoverOrigin, float] | None:
        """Return a request's origin, and when it was accepted on this gateway's clock (ms)."""

    def moved(self, request: int) -> bool | None:
        """Whether a request that left has moved to another gateway; None if it is gone."""


def requested_experiment(settings: Settings, environ: Mapping[str, str]) -> Experiment | None:
    """Return the experiment that the environment names; None where it names none.

    It reads the ledger, before an incarnation is registered there, and refuses a definition that
    contradicts the one that runs under this name. Raises `LedgerUnusableError`, one line.
    """
    try:
        experiment = read_experiment(environ, settings)
        ledger = read_settings(environ)
        if experiment is None or ledger is None:
            return experiment
        with closing(
            DiskStore(ledger.folder, ledger.installation, ledger.sync, ledger.max_log_bytes)
        ) as store:
            running = store.read(experiment.definition_key)
        if running is not None:
            check_matches_running(experiment, running.value, environ[ENV_VARIABLE])
    except (FleetError, LedgerError) as error:
        raise LedgerUnusableError(str(error)) from None
    return experiment


def install_stage(
    inner: Stage,
    target: PlacementTarget,
    experiment: Experiment,
    settings: Settings,
    incarnation: Incarnation,
    seed: int,
    now: float,
) -> PlacementStage:
    """Return the stage before `inner`, and give the rollout policy its placements.

    `now` is the gateway's clock (ms). The time that gateways share is Unix time as it is now, and advances by
    the gateway's clock: the machine's time may be set, and jump.
    """
    target.placements.update(enumerate(build_placements(experiment, seed)[1:], 1))
    return PlacementStage(inner, experiment, settings, incarnation, time.time() * 1000.0 - now)


class TakeoverOrigins:
    """What the takeover stage, further out, knows of requests."""

    def __init__(self, takeover: TakeoverLookup) -> None:
        self.takeover = takeover

    def origin_of(self, request: int) -> RequestOrigin | None:
        """Return a request's origin; None if nobody else can ever have it."""
        found = self.takeover.origin_of(request)
        if found is None:
            return None
        origin, accepted_ms = found
        return RequestOrigin(origin.incarnation, origin.number, accepted_ms)

    def departure(self, request: int) -> Departure:
        """Return why a request left."""
        moved = self.takeover.moved(request)
        if moved is None:
            return "gone"
        return "moved" if moved else "known"
