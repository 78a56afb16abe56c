"""Logs one event `interval_metrics` a second: counter changes and policy state. Off by default.

The environment variable `MEADOWPULLEY_SECONDS` turns the logging on; `meadowpulley fleet-metrics` adds up the
events of a fleet.
"""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING

from meadowpulley.interface import Action, Event, Outcome, RolloutUpdate, Send, ServerState
from meadowpulley.policy import RolloutPolicy

if TYPE_CHECKING:
    from meadowpulley.net.counters import Counters
    from meadowpulley.net.gateway import Gateway

EVENT_NAME = "interval_metrics"
INTERVAL_MS = 1000.0
MAX_LOGGED_LIMIT = 1e6  # logged for the infinite limit before its first decrease, since JSON has no infinity
PROBABILITY_DIGITS = 3


@dataclass(frozen=True, slots=True)
class RolloutMetrics:
    """The most advanced known state of the newest build's rollout."""

    build: int
    stage: int
    phase: str
    cap: float


@dataclass(frozen=True, slots=True)
class PolicyMetrics:
    """The state of a gateway's policy at one moment."""

    endpoint_list_age_ms: int | None  # None until a list is confirmed
    send_refusals: dict[str, int]  # counts by reason, since the start of the gateway
    sends_by_lease_basis: dict[str, int]  # counts by lease basis, since the start of the gateway
    servers: dict[str, int]  # number of servers by build and state
    ejected_servers: int
    outstanding_attempts: int
    waiting_requests: int
    concurrency_limit: float
    mean_latency_ms: int
    trial_probability: float
    rejected_digests: int
    rollout: RolloutMetrics | None


def policy_metrics(policy: RolloutPolicy, now: float) -> PolicyMetrics:
    """Return the metrics of a policy at the time `now` in milliseconds."""
    servers = list(policy.servers.values())
    ready = [server for server in servers if server.state is ServerState.READY]
    states = Counter(f"{server.build}.{server.state.name.lower()}" for server in servers)
    return PolicyMetrics(
        endpoint_list_age_ms=_finite_ms(now - policy.endpoint_list.confirmed_at),
        send_refusals=dict(policy.send_refusals),
        sends_by_lease_basis=dict(policy.sends_by_lease_basis),
        servers=dict(states),
        ejected_servers=sum(now < server.ejected_until for server in ready),
        outstanding_attempts=len(policy.attempts),
        waiting_requests=len(policy.waiting),
        concurrency_limit=round(min(policy.concurrency_limit, MAX_LOGGED_LIMIT), 1),
        mean_latency_ms=round(policy.mean_latency_ms),
        trial_probability=round(policy.trial_probability, PROBABILITY_DIGITS),
        rejected_digests=policy.gossip.rejected_digests,
        rollout=_rollout_metrics(policy.furthest_rollout),
    )


def _finite_ms(duration_ms: float) -> int | None:
    """Round a duration; None for an infinite one, which JSON can't express."""
    return round(duration_ms) if math.isfinite(duration_ms) else None


def _rollout_metrics(furthest: RolloutUpdate | None) -> RolloutMetrics | None:
    if furthest is None:
        return None
    return RolloutMetrics(furthest.build, furthest.stage, furthest.phase.name.lower(), furthest.cap)


class BuildCounterStage:
    """A pipeline stage that counts sends and outcomes by build, without changing events or actions."""

    def __init__(self, inner: RolloutPolicy, counters: Counters) -> None:
        """Wrap the policy `inner`."""
        self.inner = inner
        self._counters = counters

    def handle(self, now: float, event: Event) -> list[Action]:
        """Pass an event to the inner stage; count a reported outcome and the resulting sends."""
        if isinstance(event, Outcome):
            self._count_outcome(event)
        actions = self.inner.handle(now, event)
        for action in actions:
            if isinstance(action, Send):
                self._count_send(action)
        return actions

    def _count_outcome(self, outcome: Outcome) -> None:
        attempt = self.inner.attempts.get((outcome.request, outcome.attempt))
        if attempt is not None:
            self._counters.add(f"build.{attempt.server.build}.{outcome.result.name.lower()}")

    def _count_send(self, send: Send) -> None:
        server = self.inner.servers.get(send.server)
        if server is not None:
            self._counters.add(f"build.{server.build}.sent")


class IntervalMetrics:
    """Logs the metrics of one gateway every second until the gateway stops."""

    def __init__(self, gateway: Gateway) -> None:
        """Add the counting stage to a gateway whose pipeline is still the policy alone."""
        self._gateway = gateway
        self._policy = gateway.pipeline
        gateway.pipeline = BuildCounterStage(gateway.pipeline, gateway.counters)
        self._last_counts: dict[str, int] = {}
        self._schedule()

    def _schedule(self) -> None:
        self._gateway.deadlines.after(INTERVAL_MS, self._log_interval)

    def _log_interval(self) -> None:
        gateway = self._gateway
        counts = gateway.counters.snapshot()
        changes = {name: count - self._last_counts.get(name, 0) for name, count in counts.items()}
        self._last_counts = counts
        gateway.log.info(
            EVENT_NAME,
            open_sockets=gateway.instances.open_sockets,
            counters={name: change for name, change in changes.items() if change},
            policy=asdict(policy_metrics(self._policy, gateway.deadlines.now())),
        )
        if not gateway.stopping:
            self._schedule()
