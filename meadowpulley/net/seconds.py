"""One log line a second, where it is asked for: what was counted since the last, and what the decisions hold.

Off by default (`MEADOWPULLEY_SECONDS`). `meadowpulley fleet-log` adds the lines of a fleet up.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

from meadowpulley.interface import Action, Event, Outcome, Send, ServerState

if TYPE_CHECKING:
    from meadowpulley.net.counters import Counters
    from meadowpulley.net.gateway import Gateway

LINE_MS = 1000.0


def held(balancer: Any, now: float) -> dict[str, Any]:
    """What a balancer holds: servers by build and state, requests at them and waiting, its room, the news."""
    servers = list(balancer.servers.values())
    ready = [s for s in servers if s.state is ServerState.READY]
    best = balancer.best
    return {
        "servers": dict(Counter(f"{s.build}.{s.state.name.lower()}" for s in servers)),
        "resting": sum(now < s.rest_until for s in ready),
        "out": len(balancer.attempts),
        "waiting": len(balancer.waiting),
        "room": round(min(balancer.room, 1e6), 1),
        "usual_ms": round(balancer.usual_ms),
        "odds": round(balancer.odds, 3),
        "strays": balancer.peers.strays,
        "news": None if best is None else [best.build, best.stage, best.phase.name.lower(), best.cap],
    }


class Tap:
    """A stage before the decisions that only counts: sends and outcomes by the build that they were of."""

    def __init__(self, inner: Any, counters: Counters) -> None:
        self.inner, self._counters = inner, counters

    def handle(self, now: float, event: Event) -> list[Action]:
        if isinstance(event, Outcome):
            attempt = self.inner.attempts.get((event.request, event.attempt))
            if attempt is not None:
                self._counters.add(f"build.{attempt.server.build}.{event.result.name.lower()}")
        actions: list[Action] = self.inner.handle(now, event)
        for action in actions:
            if isinstance(action, Send) and (server := self.inner.servers.get(action.server)) is not None:
                self._counters.add(f"build.{server.build}.sent")
        return actions


class Seconds:
    """Writes the lines of one gateway from its start to its end."""

    def __init__(self, gateway: Gateway) -> None:
        self._gateway, self._balancer = gateway, gateway.balancer
        gateway.balancer = Tap(gateway.balancer, gateway.counters)
        self._before: dict[str, int] = {}
        self._next()

    def _next(self) -> None:
        self._gateway.deadlines.after(LINE_MS, self._write)

    def _write(self) -> None:
        gateway = self._gateway
        counts = gateway.counters.all()
        new = {k: n - self._before.get(k, 0) for k, n in counts.items() if n != self._before.get(k, 0)}
        self._before = counts
        gateway.log.info(
            "second",
            sockets=gateway.instances.sockets,
            counts=new,
            held=held(self._balancer, gateway.deadlines.now()),
        )
        if not gateway.stopping:
            self._next()
