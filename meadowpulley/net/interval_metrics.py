"""One log line per second with the counters' changes and the state of the policy. Off by default.

The environment variable `MEADOWPULLEY_SECONDS` turns it on; `meadowpulley fleet-metrics` sums the lines of a
fleet.
"""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING, Any

from meadowpulley.interface import Action, Event, Outcome, Send, ServerState

if TYPE_CHECKING:
    from meadowpulley.net.counters import Counters
    from meadowpulley.net.gateway import Gateway

INTERVAL_MS = 1000.0
MAX_LOGGED_LIMIT = 1e6  # stands for a concurrency limit that is not reached yet, which JSON can't express


def policy_snapshot(policy: Any, now: float) -> dict[str, Any]:
    """Return the log fields that describe the policy's state.

    They are the age of the endpoint list (None while no list is confirmed), refused sends by reason since the
    start, the servers by build and state, ejected servers, outstanding attempts, waiting requests, the
    concurrency limit, the typical latency, the trial probability, rejected digests, and the furthest rollout
    update.
    """
    servers = list(policy.servers.values())
    ready = [s for s in servers if s.state is ServerState.READY]
    furthest = policy.furthest_rollout
    return {
        "list_age_ms": _milliseconds(now - policy.endpoint_list.confirmed_at),
        "send_refusals": dict(policy.send_refusals),
        "sent_by": dict(policy.sends_by_lease_basis),
        "servers": dict(Counter(f"{s.build}.{s.state.name.lower()}" for s in servers)),
        "resting": sum(now < s.ejected_until for s in ready),
        "out": len(policy.attempts),
        "waiting": len(policy.waiting),
        "room": round(min(policy.concurrency_limit, MAX_LOGGED_LIMIT), 1),
        "usual_ms": round(policy.mean_latency_ms),
        "odds": round(policy.trial_probability, 3),
        "strays": policy.gossip.rejected_digests,
        "news": None
        if furthest is None
        else [furthest.build, furthest.stage, furthest.phase.name.lower(), furthest.cap],
    }


def _milliseconds(duration: float) -> int | None:
    """Round a duration; None for one without end, which JSON can't express."""
    return round(duration) if math.isfinite(duration) else None


class BuildCounterStage:
    """A stage of the pipeline that counts sends and outcomes by build, and changes nothing."""

    def __init__(self, inner: Any, counters: Counters) -> None:
        self.inner, self._counters = inner, counters

    def handle(self, now: float, event: Event) -> list[Action]:
        """Pass an event to the inner stage; count the outcome that it reports and the sends that result."""
        if isinstance(event, Outcome):
            attempt = self.inner.attempts.get((event.request, event.attempt))
            if attempt is not None:
                self._counters.add(f"build.{attempt.server.build}.{event.result.name.lower()}")
        actions: list[Action] = self.inner.handle(now, event)
        for action in actions:
            if isinstance(action, Send) and (server := self.inner.servers.get(action.server)) is not None:
                self._counters.add(f"build.{server.build}.sent")
        return actions


class IntervalMetrics:
    """Log the metrics of one gateway once per interval, from its start to its end."""

    def __init__(self, gateway: Gateway) -> None:
        self._gateway, self._policy = gateway, gateway.pipeline
        gateway.pipeline = BuildCounterStage(gateway.pipeline, gateway.counters)
        self._last_counts: dict[str, int] = {}
        self._schedule()

    def _schedule(self) -> None:
        self._gateway.deadlines.after(INTERVAL_MS, self._log_interval)

    def _log_interval(self) -> None:
        gateway = self._gateway
        counts = gateway.counters.snapshot()
        changes = {
            name: count - self._last_counts.get(name, 0)
            for name, count in counts.items()
            if count != self._last_counts.get(name, 0)
        }
        self._last_counts = counts
        gateway.log.info(
            "second",
            sockets=gateway.instances.open_sockets,
            counts=changes,
            held=policy_snapshot(self._policy, gateway.deadlines.now()),
        )
        if not gateway.stopping:
            self._schedule()
