"""The verdict on the newest build: roll back, hold, advance, or none yet.

In this order: a build that was condemned stays so; failures; latency; a slowdown of all servers; under a
timer gate a hold; else an advance that the samples prove, or that the fallback deadline allows.
"""

from meadowpulley.interface import BuildRejected, Phase, RollbackReason, RolloutUpdate, StageGate, Verdict
from meadowpulley.policy.failure_evidence import MIN_SAMPLES, failure_evidence
from meadowpulley.policy.latency_comparison import estimate_slowdown
from meadowpulley.policy.shared_slowdown import roll_back, suspect_shared_slowdown
from meadowpulley.state import Slowdown, State

MAX_ADVANCE_EVIDENCE = 0.5  # of the required evidence: no vote to advance above it
REQUIRED_EVIDENCE_RATIO = 1.0
FALLBACK_MS = 4000.0  # after the latest start of a trial server
MAX_FALLBACK_LEAD_MS = FALLBACK_MS / 2  # by so much sooner, at most, a gateway of a large fleet may vote
UNSPREAD_VOTES_S = 2.0  # so many seconds' votes may reach the platform at once
MAX_HOLD_MS = 3000.0  # the longest hold of one stage under a timer gate
HOLD_MARGIN_FRACTION = 0.5  # of the margin: a slowdown above it holds a stage under a timer gate
MS_PER_S = 1000


def decide_verdict(state: State, rollout: RolloutUpdate) -> Verdict:
    """Decide what this gateway votes about the newest build now."""
    slowdown = estimate_slowdown(state, rollout.build)
    evidence_ratio = failure_evidence(state, rollout.build)
    if state.rollback_build == rollout.build:
        return Verdict.ROLL_BACK
    _reject_if_worse(state, rollout, slowdown, evidence_ratio)
    # Also for a build that was rejected just now: the pause goes on, and may give a second reason.
    suspected = suspect_shared_slowdown(state, rollout.build, rollout.phase is Phase.RELEASED)
    if state.rollback_build == rollout.build:
        return Verdict.ROLL_BACK
    if state.rollout_settings.gate is StageGate.TIMER:
        return _hold_verdict(state, rollout, slowdown)
    may_advance = evidence_ratio < MAX_ADVANCE_EVIDENCE and not suspected and rollout.phase is Phase.TRIAL
    if may_advance and (_is_within_margin(slowdown) or _past_fallback_deadline(state, rollout)):
        return Verdict.ADVANCE
    return Verdict.NONE


def _has_enough_samples(slowdown: Slowdown) -> bool:
    return slowdown.samples >= MIN_SAMPLES


def _is_within_margin(slowdown: Slowdown) -> bool:
    return _has_enough_samples(slowdown) and slowdown.high_ms < slowdown.margin_ms


def _reject_if_worse(state: State, rollout: RolloutUpdate, slowdown: Slowdown, evidence_ratio: float) -> None:
    """Roll back a build that is proven to fail more, or on trial to be slower, than its baseline."""
    if evidence_ratio >= REQUIRED_EVIDENCE_RATIO:
        roll_back(state, BuildRejected(rollout.build, RollbackReason.FAILURES, evidence_ratio=evidence_ratio))
        return
    slower = _has_enough_samples(slowdown) and slowdown.low_ms > slowdown.margin_ms
    if slower and rollout.phase is Phase.TRIAL:
        rejected = BuildRejected(
            rollout.build,
            RollbackReason.LATENCY,
            slowdown_low_ms=slowdown.low_ms,
            slowdown_high_ms=slowdown.high_ms,
            margin_ms=slowdown.margin_ms,
        )
        roll_back(state, rejected)


def _hold_verdict(state: State, rollout: RolloutUpdate, slowdown: Slowdown) -> Verdict:
    """Hold a stage while the build looks slow, for a bounded time; the timer alone advances it."""
    looks_slow = slowdown.low_ms > HOLD_MARGIN_FRACTION * slowdown.margin_ms
    if not (_has_enough_samples(slowdown) and looks_slow):
        return Verdict.NONE
    evidence = state.build_evidence[rollout.build]
    started_at = evidence.hold_started_at.setdefault(rollout.stage, state.now)
    return Verdict.HOLD if state.now < started_at + MAX_HOLD_MS else Verdict.NONE


def _past_fallback_deadline(state: State, rollout: RolloutUpdate) -> bool:
    """Tell whether a stage is old enough for a vote to advance without enough outcomes.

    The gateways of a large fleet vote one after another, the last of them at the deadline, as the platform
    takes only so many votes a second.
    """
    started = [server.started_ms for server in state.servers_of(rollout.build)]
    if not started:
        return False
    votes_per_s = max(state.rollout_settings.votes_per_s, 1.0)
    spread_ms = MS_PER_S * max(state.gateway_count / votes_per_s - UNSPREAD_VOTES_S, 0.0)
    order = 1 - state.settings.gateway_index / state.gateway_count
    lead_ms = min(spread_ms * order, MAX_FALLBACK_LEAD_MS)
    return state.now >= max(*started, state.stage_started_at) + FALLBACK_MS - lead_ms
