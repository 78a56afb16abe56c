"""The rules' figures: of the deployment, of the rig, and of what gateways share."""

from __future__ import annotations

from dataclasses import dataclass

from meadowpulley.interface import DeduplicationScope, Effect, Settings as GatewaySettings
from meadowpulley.rules.together import NOTHING, SharedFigures


@dataclass(frozen=True, slots=True)
class ClassRules:
    effect: Effect
    group: DeduplicationScope
    window_ms: float


@dataclass(frozen=True, slots=True)
class Figures:
    """The rules' figures, of the deployment and of the rig: on sockets, times get `slack_ms` more."""

    classes: tuple[ClassRules, ...]
    drain_grace_ms: float
    answer_slack_ms: float
    window_ms: float
    free: float
    first_cap: float
    per_class: bool
    guarded_stages: int
    one_way: bool
    slack_ms: float = 0.0
    over_cap: float = 0.0  # attempts that pass beyond the cap
    over_share: float = 0.0  # and the share of requests
    shared: SharedFigures = NOTHING

    @classmethod
    def of(cls, s: GatewaySettings, slack_ms: float = 0.0) -> Figures:
        roll = s.rollout
        return cls(
            classes=tuple(
                ClassRules(c.effect, c.deduplication_scope, c.deduplication_window_ms) for c in s.classes
            ),
            drain_grace_ms=s.rules.drain_grace_ms,
            answer_slack_ms=s.rules.response_slack_ms,
            window_ms=roll.exposure_window_ms,
            free=roll.exposure_allowance,
            first_cap=roll.caps[0] if roll.caps else 0.0,
            per_class=roll.exposure_per_class,
            guarded_stages=roll.guarded_stages,
            one_way=roll.monotonic_keys,
            slack_ms=slack_ms,
        )
