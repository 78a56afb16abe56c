"""Chains the stages that share a ledger round the policy of a gateway with sockets.

From the outside: the takeover extension, the lease manager, takeover, lending, placement, the policy.
Imported only where `MEADOWPULLEY_LEDGER` names a ledger; each optional part only where it is asked for.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from itertools import chain
from typing import TYPE_CHECKING, Protocol

from meadowpulley.ledger import LEDGER_EVENTS, Commit, LedgerUnusableError, Stage
from meadowpulley.ledger.client import LedgerClient, start_ledger
from meadowpulley.ledger.gateway_context import ReactorThreads
from meadowpulley.ledger.stage import StageAction, StageEvent
from meadowpulley.settings.types import Settings

if TYPE_CHECKING:
    from meadowpulley.lending import QuotaPlan
    from meadowpulley.net.gateway import Gateway
    from meadowpulley.placement import Experiment, PlacementStage
    from meadowpulley.takeover import TakeoverSettings

TAKEOVER_PREFIX = "MEADOWPULLEY_TAKEOVER"
LENDING_PREFIX = "MEADOWPULLEY_LENDING_"
PLACEMENT_VARIABLE = "MEADOWPULLEY_PLACEMENT"
# How long the ledger's thread waits at most for the reactor's thread to let it run. A journaled request waits
# for that twice; Python's default is 5 ms.
THREAD_SWITCH_INTERVAL_S = 0.0005
# A gateway is killed no sooner after SIGTERM than this, or than the longest deadline.
MIN_SHUTDOWN_GRACE_MS = 3_000.0


class PolicyStage:
    """The innermost stage: passes events to the policy, except those of the ledger."""

    def __init__(self, policy: Stage) -> None:
        self.policy = policy

    def handle(self, now: float, event: StageEvent) -> list[StageAction]:
        """Handle one event; return the actions to carry out."""
        return [] if isinstance(event, LEDGER_EVENTS) else self.policy.handle(now, event)


class GracefulStage(Protocol):
    """A stage that has something to write when its gateway shuts down."""

    def shut_down(self, now: float) -> Sequence[object]:
        """Return the last actions of the stage, of which only commits are carried out."""


class SharedLedger(Protocol):
    """What the end of a pipeline needs of the ledger's client."""

    def commit(self, action: Commit) -> None:
        """Commit transactions in the next batch."""

    def release_lease(self) -> None:
        """Release the lease, after all earlier commits."""

    def close(self) -> None:
        """Write what is left, and stop the ledger's thread."""


class StagePipeline:
    """The stages and the ledger of a running gateway, for its shutdown; `now` is the gateway's clock (ms)."""

    def __init__(
        self, ledger: SharedLedger, graceful_stages: Sequence[GracefulStage], now: Callable[[], float]
    ) -> None:
        self.ledger = ledger
        self.graceful_stages = graceful_stages
        self.now = now

    def shut_down(self) -> None:
        """Commit what the stages write last, and release the lease, once no response is owed any more."""
        for stage in self.graceful_stages:
            for action in stage.shut_down(self.now()):
                if isinstance(action, Commit):
                    self.ledger.commit(action)
        self.ledger.release_lease()

    def close(self) -> None:
        """Stop the ledger's thread."""
        self.ledger.close()


@dataclass(frozen=True, slots=True)
class _PartSettings:
    """What the environment asks for; None: that part is off."""

    takeover: TakeoverSettings | None
    lending: QuotaPlan | None
    placement: Experiment | None


def _read_part_settings(settings: Settings, environ: Mapping[str, str]) -> _PartSettings:
    return _PartSettings(
        _read_takeover(environ), _read_lending(settings, environ), _read_placement(settings, environ)
    )


def _read_takeover(environ: Mapping[str, str]) -> TakeoverSettings | None:
    if not any(name.startswith(TAKEOVER_PREFIX) for name in environ):
        return None
    from meadowpulley.takeover.settings_reader import read_settings

    return read_settings(environ)


def _read_lending(settings: Settings, environ: Mapping[str, str]) -> QuotaPlan | None:
    if not any(name.startswith(LENDING_PREFIX) for name in environ):
        return None
    from meadowpulley.lending import QuotaPlanError, read_plan

    try:
        return read_plan(settings, environ)
    except QuotaPlanError as error:
        raise LedgerUnusableError(str(error)) from None


def _read_placement(settings: Settings, environ: Mapping[str, str]) -> Experiment | None:
    if not environ.get(PLACEMENT_VARIABLE):
        return None
    try:
        from meadowpulley.placement.gateway import requested_experiment
    except ModuleNotFoundError as error:
        raise LedgerUnusableError(
            f"{PLACEMENT_VARIABLE}: {error}: install requirements-placement.txt"
        ) from None
    return requested_experiment(settings, environ)


class _PipelineBuilder:
    """Wraps one stage round the other, from the policy outwards, and installs them at the gateway."""

    def __init__(self, gateway: Gateway, ledger: LedgerClient, seed: int) -> None:
        self.gateway = gateway
        self.ledger = ledger
        self.seed = seed
        self.settings: Settings = gateway.config.settings
        self.stage: Stage = PolicyStage(gateway.pipeline)
        self.graceful_stages: list[GracefulStage] = []
        self.prefix_sources: list[Callable[[], tuple[str, ...]]] = []
        self.placement_stage: PlacementStage | None = None

    def add_placement(self, experiment: Experiment) -> None:
        """Add the stage that assigns requests to the arms of an experiment."""
        from meadowpulley.placement.gateway import install_stage

        stage = install_stage(
            self.stage,
            self.gateway.pipeline,
            experiment,
            self.settings,
            self.ledger.incarnation,
            self.seed,
            self.gateway.deadlines.now(),
        )
        self.stage = stage
        self.placement_stage = stage
        self.prefix_sources.append(stage.watched_prefixes)
        self.graceful_stages.append(stage)

    def add_lending(self, plan: QuotaPlan) -> None:
        """Add the stage that lends quota between tenants."""
        from meadowpulley.lending import LendingStage

        stage = LendingStage(self.stage, self.settings, plan, self.ledger.incarnation, self.seed)
        self.stage = stage
        self.prefix_sources.append(stage.watched_prefixes)
        self.graceful_stages.append(stage)

    def install(self, takeover_settings: TakeoverSettings | None) -> None:
        """Add the takeover stage if it is on, and the lease manager; make them the gateway's pipeline."""
        if takeover_settings is None:
            self.gateway.pipeline = self.ledger.wrap(self.stage, self._watched_prefixes)
        else:
            self._install_takeover(takeover_settings)

    def _install_takeover(self, takeover_settings: TakeoverSettings) -> None:
        from meadowpulley.takeover.extension import TakeoverExtension
        from meadowpulley.takeover.records import WATCHED_PREFIXES
        from meadowpulley.takeover.stage import TakeoverStage

        stage = TakeoverStage(
            self.settings,
            self.stage,
            self.ledger.incarnation,
            self.ledger.holds_lease,
            takeover_settings,
        )
        self.stage = stage
        self.prefix_sources.append(lambda: WATCHED_PREFIXES)
        if self.placement_stage is not None:
            from meadowpulley.placement.gateway import TakeoverOrigins

            self.placement_stage.origins = TakeoverOrigins(stage)
        lease_manager = self.ledger.wrap(stage, self._watched_prefixes)
        self.gateway.pipeline = TakeoverExtension(
            self.gateway, stage, lease_manager, self._shutdown_grace_ms()
        )

    def _watched_prefixes(self) -> tuple[str, ...]:
        return tuple(chain.from_iterable(source() for source in self.prefix_sources))

    def _shutdown_grace_ms(self) -> float:
        deadlines_ms = [request_class.deadline_ms for request_class in self.settings.classes]
        return max([MIN_SHUTDOWN_GRACE_MS, *deadlines_ms])


def start_pipeline(
    gateway: Gateway, environ: Mapping[str, str], seed: int, reactor: ReactorThreads
) -> StagePipeline:
    """Wrap the stages round the gateway's policy and start the ledger, before the reactor runs.

    The caller shuts the returned pipeline down, and closes it, at the end.

    Raises:
        LedgerUnusableError: a setting, the ledger's folder or the gateway's name can't be used.
    """
    # All that can be refused comes before an incarnation is registered.
    parts = _read_part_settings(gateway.config.settings, environ)
    ledger = start_ledger(gateway, gateway.config.name, environ, reactor)
    if ledger is None:
        raise LedgerUnusableError("MEADOWPULLEY_LEDGER: empty: name a folder, or leave it out")
    builder = _PipelineBuilder(gateway, ledger, seed)
    if parts.placement is not None:
        builder.add_placement(parts.placement)
    if parts.lending is not None:
        builder.add_lending(parts.lending)
    builder.install(parts.takeover)
    sys.setswitchinterval(THREAD_SWITCH_INTERVAL_S)
    ledger.start()
    return StagePipeline(ledger, builder.graceful_stages, gateway.deadlines.now)
