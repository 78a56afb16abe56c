"""Defines the parameters of the rules.

The parameters are properties of the request classes, limits of the deployment, tolerances for runs on the
test bed, and limits on the requests and capacity that gateways share.
"""

from __future__ import annotations

from dataclasses import dataclass

from meadowpulley.interface import DeduplicationScope, Effect, Settings as GatewaySettings
from meadowpulley.rules.shared_state import NOT_SHARED, SharedStateParameters


@dataclass(frozen=True, slots=True)
class ClassRules:
    """Properties of a request class that the rules depend on."""

    effect: Effect
    group: DeduplicationScope  # which servers share their idempotency keys
    window_ms: float  # how long a server remembers an idempotency key


@dataclass(frozen=True, slots=True)
class RuleParameters:
    """Limits of the rules.

    In runs on sockets, `slack_ms` extends response deadlines and the drain grace.
    """

    classes: tuple[ClassRules, ...]
    drain_grace_ms: float  # how long a delisted server may still be sent requests
    answer_slack_ms: float  # how late after its deadline a final response may be
    window_ms: float  # sliding window over which exposure is counted
    free_attempts: float  # attempts that a build on trial may get whatever its cap
    first_cap: float  # share of requests that a build may get before any of its stages is known
    per_class: bool  # whether exposure is counted separately for each class
    guarded_stages: int  # number of first stages in which a trial gets no request with an effect
    one_way: bool  # whether a key that a newer build answered must not go to an older build
    slack_ms: float = 0.0
    extra_attempts: float = 0.0  # attempts allowed in addition to the cap
    extra_share: float = 0.0  # share of requests that is allowed in addition to the cap
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
