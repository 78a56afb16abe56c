"""One simulated gateway of a lending fleet: the real stage before one that admits all it is handed."""

from __future__ import annotations

import math
from random import Random
from typing import Any

from meadowpulley.interface import (
    Effect,
    Limits,
    Request,
    RequestClass,
    Rollout,
    Rules,
    Settings,
    Tenant,
)
from meadowpulley.ledger.model import Incarnation
from meadowpulley.lending import LendingStage, QuotaPlan

MAX_DRIFT_FRACTION = 0.9  # of the plan's drift, by which a clock's rate may be wrong
MAX_CLOCK_OFFSET_MS = 1e6


class AdmittingStage:
    """The stage behind the lending stage: it records the requests that were admitted."""

    def __init__(self) -> None:
        self.admitted: list[Any] = []

    def handle(self, now: float, event: Any) -> list[Any]:
        """Record a request; there are no actions."""
        if isinstance(event, Request):
            self.admitted.append(event)
        return []


class SimulatedGateway:
    """A gateway with its own clock and its own faults."""

    def __init__(self, gateway_index: int, rng: Random, drift: float) -> None:
        self.gateway_index, self.name, self.epoch = gateway_index, f"g{gateway_index}", 0
        self.speed = 1 + MAX_DRIFT_FRACTION * drift * rng.uniform(-1, 1)
        self.offset = rng.uniform(0, MAX_CLOCK_OFFSET_MS)
        self.stage: LendingStage | None = None
        self.incarnation = Incarnation(self.name, 0)
        self.inner = AdmittingStage()
        self.paused = self.disconnected = False
        self.answer_loss_probability = self.read_delay_ms = 0.0
        self.deferred_events: list[tuple[Any, int]] = []  # and the epoch they were sent to, while paused
        self.watched_prefixes: tuple[str, ...] = ()
        self.seen_version, self.next_read_at = 0, math.inf

    def clock(self, now: float) -> float:
        """Return the gateway's own time at the fleet's."""
        return self.offset + self.speed * now


def plain_settings(plan: QuotaPlan, gateways: int) -> Settings:
    """Return a gateway's settings with the tenants of a plan and one request class."""
    return Settings(
        gateway_index=0,
        gateway_count=gateways,
        zone=0,
        zones=("a",),
        tick_ms=100.0,
        classes=(RequestClass("read", 500.0, 2000.0, Effect.IDEMPOTENT),),
        tenants=tuple(Tenant(quota.name, quota.fraction) for quota in plan.tenants),
        rules=Rules(),
        limits=Limits(retry_after=True, max_retry_after_ms=10_000.0),
        rollout=Rollout(),
    )
