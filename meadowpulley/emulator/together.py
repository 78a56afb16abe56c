"""What the gateways of an emulated installation have together: a ledger, and the stages that rest on it.

From the outside: the keeper of the lease, takeover, lending, those named in `inside`, the balancer.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

from meadowpulley.emulator.ledger import LedgerFigures
from meadowpulley.interface import Request, Settings, Tenant
from meadowpulley.ledger import Keeper, Life, Stage, Terms as LeaseTerms
from meadowpulley.lending import Lending, Plan
from meadowpulley.rules import Admitted, Record, SharedFigures
from meadowpulley.takeover import Takeover, Terms, model

END_SLACK_MS = 1000.0  # beside the terms of the leases of all that had it: to find out, to claim and to end
MOST_STEPS = 3  # a survivor's place in line, at most, as far as the slack goes


@dataclass(frozen=True, slots=True)
class Place:
    """Where a stage stands: in which gateway, and before which next one."""

    settings: Settings
    seed: int
    life: Life
    may_act: Callable[[float], bool]  # whether this life's lease holds
    inner: Stage


@dataclass(frozen=True, slots=True)
class Together:
    """`inside` and `outside` make more stages, innermost first. Tenants take turns by a request's key."""

    ledger: LedgerFigures = field(default_factory=LedgerFigures)
    takeover: Terms | None = None
    lending: Plan | None = None
    inside: tuple[Callable[[Place], Stage], ...] = ()
    outside: tuple[Callable[[Place], Stage], ...] = ()
    prefixes: tuple[str, ...] = ()  # beginnings of the keys whose changes these stages must be told of
    tenants: tuple[str, ...] = ()
    again_ms: float = 0.0  # of silence, after which a client asks another gateway under the same id; 0: never

    def figures(self) -> SharedFigures:
        end = 0.0
        if self.takeover is not None:
            steps = MOST_STEPS * self.takeover.step_ms
            end = self.takeover.most_lives * (1.1 * self.ledger.term_ms + steps) + END_SLACK_MS
        if self.lending is None:
            return SharedFigures(end, self.takeover.most_lives if self.takeover is not None else 0)
        plan = self.lending
        burst = plan.capacity_per_s * plan.burst_ms / 1000.0 + 2.0 * plan.gateways
        lives = self.takeover.most_lives if self.takeover is not None else 0
        return SharedFigures(end, lives, plan.capacity_per_s, burst)

    def settings(self, s: Settings) -> Settings:
        return replace(s, tenants=tuple(Tenant(name) for name in self.tenants)) if self.tenants else s

    def tenant_of(self, key: int) -> int:
        return key % len(self.tenants) if self.tenants else 0


class Chain:
    """One life's stages; `keeper` is the outermost."""

    def __init__(
        self,
        together: Together,
        settings: Settings,
        seed: int,
        life: Life,
        balancer: Any,
        note: Callable[[float, Any], None],
    ) -> None:
        t, s, self.together = together, settings, together
        self.keeper = Keeper(life, LeaseTerms(term_ms=t.ledger.term_ms), balancer)
        self.takeover: Takeover | None = None
        self.lending: Lending | None = None
        stage: Any = balancer
        for make in t.inside:
            stage = make(Place(s, seed, life, self.keeper.may_act, stage))
        if t.lending is not None:
            stage = self.lending = Lending(Tap(stage, note), s, t.lending, life, seed)
        if t.takeover is not None:
            stage = self.takeover = Takeover(s, stage, life, self.keeper.may_act, t.takeover)
        for make in t.outside:
            stage = make(Place(s, seed, life, self.keeper.may_act, stage))
        self.keeper.inner = stage

    def watches(self) -> tuple[str, ...]:
        """Beginnings of the keys whose changes the stages must be told of now."""
        found: tuple[str, ...] = ()
        if self.takeover is not None:
            found += model.WATCHED
        if self.lending is not None:
            found += self.lending.watches()
        return found + self.together.prefixes

    def leave(self, now: float) -> list[Any]:
        """A planned stop: what is held of the capacity goes back, then the lease."""
        lent = self.lending.leave(now) if self.lending is not None else []
        return [*lent, *self.keeper.leave()]


class Tap:
    """Stands behind lending and tells `note` of each request that it lets through."""

    def __init__(self, inner: Stage, note: Callable[[float, Any], None]) -> None:
        self.inner, self.note = inner, note

    def handle(self, now: float, event: Any) -> Any:
        if isinstance(event, Request):
            self.note(now, event)
        return self.inner.handle(now, event)


def admission(now: float, gateway: int, r: Request) -> Record | None:
    """What a request that lending let through uses of the capacity; nothing where it was admitted before."""
    return None if r.adopted and (r.prior_attempts or r.prior_attempt_count) else Admitted(now, gateway, 1.0)
