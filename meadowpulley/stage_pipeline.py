"""What gateways of an installation do together, at a gateway on sockets: the stages that rest on the ledger.

From the outside: what stands between sockets and stages, the keeper of the lease, takeover, lending,
placements, the decisions. Imported only where `MEADOWPULLEY_LEDGER` names a ledger, and of the rest only what
is asked for.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Mapping, Sequence
from typing import Any, Protocol

from meadowpulley.ledger import LEDGER_EVENTS, Commit, LedgerUnusableError, Stage
from meadowpulley.ledger.client import LedgerClient, start_ledger

# The ledger's thread waits so long at most for the reactor's to let it run: by default 5 ms, which a written
# request waits for twice.
THREAD_SWITCH_INTERVAL_S = 0.0005
MIN_SHUTDOWN_GRACE_MS = (
    3_000.0  # planned ends come no sooner after SIGTERM than the longest deadline, and that
)


class PolicyStage:
    """The innermost stage: what is the ledger's own ends here, since the decisions know nothing of it."""

    def __init__(self, policy: Stage) -> None:
        self.policy = policy

    def handle(self, now: float, event: Any) -> list[Any]:
        return [] if isinstance(event, LEDGER_EVENTS) else self.policy.handle(now, event)


class GracefulStage(Protocol):
    def shut_down(self, now: float) -> list[Any]: ...


class StagePipeline:
    """What was started, for the gateway's end. `parting` stages say then what they write last."""

    def __init__(
        self, ledger: LedgerClient, graceful_stages: Sequence[GracefulStage], now: Callable[[], float]
    ) -> None:
        self.ledger, self.graceful_stages, self.now = ledger, graceful_stages, now

    def shut_down(self) -> None:
        """A planned stop, once nothing is owed any more: what is held goes back at once."""
        for stage in self.graceful_stages:
            for action in stage.shut_down(self.now()):
                if isinstance(action, Commit):
                    self.ledger.commit(action)
        self.ledger.release_lease()

    def close(self) -> None:
        self.ledger.close()


def start_pipeline(gateway: Any, environ: Mapping[str, str], seed: int, reactor: Any) -> StagePipeline:
    """Wraps the stages round the gateway's decisions and starts the ledger; leave and close what comes back
    at the end.

    Call it before the reactor runs. Raises `RefusedError`, one line: what is wrong, where, and what to do.
    """
    settings = gateway.config.settings
    takeover_settings = None  # all that can be refused comes before a life is begun
    if any(name.startswith("MEADOWPULLEY_TAKEOVER") for name in environ):
        from meadowpulley.takeover.extension import read_settings

        takeover_settings = read_settings(environ)
    lending_plan = None
    if any(name.startswith("MEADOWPULLEY_LENDING_") for name in environ):
        from meadowpulley.lending import QuotaPlanError, read_plan

        try:
            lending_plan = read_plan(settings, environ)
        except QuotaPlanError as error:
            raise LedgerUnusableError(str(error)) from None
    experiment = None
    if environ.get("MEADOWPULLEY_PLACEMENT"):
        try:
            from meadowpulley.placement import gateway as placement
        except ModuleNotFoundError as error:
            raise LedgerUnusableError(
                f"MEADOWPULLEY_PLACEMENT: {error}: install requirements-placement.txt"
            ) from None
        experiment = placement.requested_experiment(settings, environ)
    ledger = start_ledger(gateway, gateway.config.name, environ, reactor)
    if ledger is None:
        raise LedgerUnusableError("MEADOWPULLEY_LEDGER: empty: name a folder, or leave it out")
    stage: Any = PolicyStage(gateway.pipeline)
    watch_sources: list[Callable[[], tuple[str, ...]]] = []
    graceful_stages: list[GracefulStage] = []
    placement_stage = None
    if experiment is not None:
        stage = placement_stage = placement.install_stage(
            stage, gateway.pipeline, experiment, settings, ledger.incarnation, seed, gateway.deadlines.now()
        )
        watch_sources.append(placement_stage.watched_prefixes)
        graceful_stages.append(placement_stage)
    if lending_plan is not None:
        from meadowpulley.lending import LendingStage

        stage = lending = LendingStage(stage, settings, lending_plan, ledger.incarnation, seed)
        watch_sources.append(lending.watched_prefixes)
        graceful_stages.append(lending)
    takeover_stage = None
    if takeover_settings is not None:
        from meadowpulley.takeover.extension import TakeoverExtension
        from meadowpulley.takeover.model import WATCHED_PREFIXES
        from meadowpulley.takeover.stage import TakeoverStage

        stage = takeover_stage = TakeoverStage(
            settings, stage, ledger.incarnation, ledger.holds_lease, takeover_settings
        )
        watch_sources.append(lambda: WATCHED_PREFIXES)
        if placement_stage is not None:
            placement_stage.origins = placement.TakeoverOrigins(takeover_stage)
    gateway.pipeline = keeper_stage = ledger.wrap(
        stage, lambda: tuple(key for keys in watch_sources for key in keys())
    )
    if takeover_stage is not None:
        longest_deadline_ms = max((c.deadline_ms for c in settings.classes), default=0.0)
        gateway.pipeline = TakeoverExtension(
            gateway, takeover_stage, keeper_stage, max(longest_deadline_ms, MIN_SHUTDOWN_GRACE_MS)
        )
    sys.setswitchinterval(THREAD_SWITCH_INTERVAL_S)
    ledger.start()
    return StagePipeline(ledger, graceful_stages, gateway.deadlines.now)
