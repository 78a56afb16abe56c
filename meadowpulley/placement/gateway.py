"""An experiment at a gateway on sockets: its file, the definition that runs in the fleet, and its stage.

`joint.py` calls it, where `MEADOWPULLEY_PLACEMENT` names a file.
"""

from __future__ import annotations

import time
from collections.abc import Mapping
from typing import Protocol

from meadowpulley.fleet import FleetError
from meadowpulley.interface import Placement, Settings
from meadowpulley.ledger import LedgerError, Life, RefusedError, Stage
from meadowpulley.ledger.config import read_settings
from meadowpulley.ledger.disk import DiskStore
from meadowpulley.placement.config import ENV, read_experiment
from meadowpulley.placement.definition import Experiment, check_running, placements
from meadowpulley.placement.origins import Left, Origin
from meadowpulley.placement.stage import PlacementStage


class Decisions(Protocol):
    placements: dict[int, Placement]  # by arm


class First(Protocol):
    @property
    def life(self) -> str: ...

    @property
    def number(self) -> int: ...


class Takeover(Protocol):
    """What this needs of the takeover's stage."""

    def origin_of(self, request: int) -> tuple[First, float] | None: ...

    def moved(self, request: int) -> bool | None: ...


def wanted(settings: Settings, environ: Mapping[str, str]) -> Experiment | None:
    """None where no experiment is. Looks into the ledger, before a life is begun there: a definition that
    contradicts the one that runs under this name is refused. Raises `RefusedError`, one line."""
    try:
        experiment = read_experiment(environ, settings)
        ledger = read_settings(environ)
        if experiment is None or ledger is None:
            return experiment
        store = DiskStore(ledger.folder, ledger.installation, ledger.sync, ledger.most_bytes)
        try:
            found = store.read(experiment.running)
        finally:
            store.close()
        if found is not None:
            check_running(experiment, found.value, environ[ENV])
    except (FleetError, LedgerError) as bad:
        raise RefusedError(str(bad)) from None
    return experiment


def put_in(
    inner: Stage,
    decisions: Decisions,
    experiment: Experiment,
    settings: Settings,
    life: Life,
    seed: int,
    now: float,
) -> PlacementStage:
    """The stage round `inner`, and its policies at the decisions. `now`: the gateway's clock, ms. The common
    time is Unix time as it is now, and goes on by that clock: the machine's may be set later, and jump."""
    decisions.placements.update(enumerate(placements(experiment, seed)[1:], 1))
    return PlacementStage(inner, experiment, settings, life, time.time() * 1000.0 - now)


class TakenOver:
    """What takeover, a stage further out, knows of requests."""

    def __init__(self, takeover: Takeover) -> None:
        self.takeover = takeover

    def origin_of(self, request: int) -> Origin | None:
        found = self.takeover.origin_of(request)
        return Origin(found[0].life, found[0].number, found[1]) if found is not None else None

    def left(self, request: int) -> Left:
        moved = self.takeover.moved(request)
        return "gone" if moved is None else "moved" if moved else "known"
