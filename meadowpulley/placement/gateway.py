"""Start an experiment at a gateway on sockets.

Read its file, check it against the definition that runs in the fleet, and install its stage. The pipeline of
stages calls this module if `MEADOWPULLEY_PLACEMENT` names a file.
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
    """The part of the rollout policy that an experiment uses."""

    placements: dict[int, Placement]  # by `Request.arm`


class TakeoverOrigin(Protocol):
    """The incarnation that accepted a request first, as takeover names it."""

    @property
    def incarnation(self) -> str:
        """The incarnation that accepted the request first."""

    @property
    def number(self) -> int:
        """The request's number at that incarnation."""


class TakeoverLookup(Protocol):
    """The part of the takeover stage that an experiment uses."""

    def origin_of(self, request: int) -> tuple[TakeoverOrigin, float] | None:
        """Return a request's origin and the time of its acceptance (ms, this gateway's clock)."""

    def moved(self, request: int) -> bool | None:
        """Whether a request that left is now at another gateway; None if its client left."""


def requested_experiment(settings: Settings, environ: Mapping[str, str]) -> Experiment | None:
    """Return the experiment that the environment names; None if it names none.

    The ledger is read before an incarnation is registered there. Raises `LedgerUnusableError`, with a message
    of one line, for an invalid file and for a definition that differs from the one that runs under its name.
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
    """Return a placement stage that precedes `inner`, and give the rollout policy its placements.

    `now` is the gateway's clock (ms). The shared time starts at the present Unix time and then advances with
    the gateway's clock, because the machine's time may be set and jump.
    """
    target.placements.update(enumerate(build_placements(experiment, seed)[1:], 1))
    return PlacementStage(inner, experiment, settings, incarnation, time.time() * 1000.0 - now)


class TakeoverOrigins:
    """Looks up requests in the takeover stage, which handles events before the placement stage."""

    def __init__(self, takeover: TakeoverLookup) -> None:
        self.takeover = takeover

    def origin_of(self, request: int) -> RequestOrigin | None:
        """Return a request's origin; None if no other incarnation can ever have the request."""
        found = self.takeover.origin_of(request)
        if found is None:
            return None
        origin, accepted_ms = found
        return RequestOrigin(origin.incarnation, origin.number, accepted_ms)

    def departure(self, request: int) -> Departure:
        """Return why the rollout policy no longer has a request."""
        moved = self.takeover.moved(request)
        if moved is None:
            return "gone"
        return "moved" if moved else "known"
