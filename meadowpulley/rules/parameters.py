"""Parameters of the rules: of the deployment, of the test bed, and of shared state."""

from __future__ import annotations

from dataclasses import dataclass

from meadowpulley.interface import DeduplicationScope, Effect, Settings as GatewaySettings
from meadowpulley.rules.shared_state import NOT_SHARED, SharedStateParameters


@dataclass(frozen=True, slots=True)
class ClassRules:
    """The rules' view of a request class."""

    effect: Effect
    group: DeduplicationScope
    window_ms: float


@dataclass(frozen=True, slots=True)
class RuleParameters:
    """Limits of the rules. On sockets all times are extended by `slack_ms`."""

    classes: tuple[ClassRules, ...]
    drain_grace_ms: float
    answer_slack_ms: float
    window_ms: float
    free_attempts: float
    first_cap: float
    per_class: bool
    guarded_stages: int
    one_way: bool
    slack_ms: float = 0.0
    extra_attempts: float = 0.0  # attempts allowed beyond the cap
    extra_share: float = 0.0  # share of requests allowed beyond the cap
    shared: SharedStateParameters = NOT_SHARED

    @classmethod
    def from_settings(cls, settings: GatewaySettings, slack_ms: float = 0.0) -> RuleParameters:
        """Read the parameters from a gateway's settings."""
        rollout = settings.rollout
        return cls(
            classes=tuple(
                ClassRules(c.effect, c.deduplication_scope, c.deduplication_window_ms)
                for c in settings.classes
            ),
            drain_grace_ms=settings.rules.drain_grace_ms,
            answer_slack_ms=settings.rules.response_slack_ms,
            window_ms=rollout.exposure_window_ms,
            free_attempts=rollout.exposure_allowance,
            first_cap=rollout.caps[0] if rollout.caps else 0.0,
            per_class=rollout.exposure_per_class,
            guarded_stages=rollout.guarded_stages,
            one_way=rollout.monotonic_keys,
            slack_ms=slack_ms,
        )
