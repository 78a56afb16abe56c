"""Parameters of the rules: of the deployment, of the test bed, and of shared state."""

from __future__ import annotations

from dataclasses import dataclass

from meadowpulley.interface import DeduplicationScope, Effect, Settings as GatewaySettings
from meadowpulley.rules.shared_state import NOT_SHARED, SharedStateParameters


@dataclass(frozen=True, slots=True)
class ClassRules:
    """The rules' view of a request class."""

    effect: Effect
    group: DeduplicationScope  # the servers that know the same idempotency keys
    window_ms: float  # for which they know a key


@dataclass(frozen=True, slots=True)
class RuleParameters:
    """Limits of the rules. On sockets all times are extended by `slack_ms`."""

    classes: tuple[ClassRules, ...]
    drain_grace_ms: float  # for which a delisted server may still be sent requests
    answer_slack_ms: float  # by which a final response may exceed its deadline
    window_ms: float  # over which exposure is counted
    free_attempts: float  # at a build on trial, whatever its cap
    first_cap: float  # share of requests for a build of which no stage is known yet
    per_class: bool  # whether the requests of each class are counted by themselves
    guarded_stages: int  # first stages of a trial in which no request with an effect may go to the build
    one_way: bool  # whether a key that a newer build answered may go to no older one
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
                ClassRules(
                    request_class.effect,
                    request_class.deduplication_scope,
                    request_class.deduplication_window_ms,
                )
                for request_class in settings.classes
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
