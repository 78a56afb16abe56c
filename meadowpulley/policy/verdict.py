"""The verdict on the newest build: roll back, hold, advance, or none yet.

The rules apply in this order. A build that was condemned once is rolled back. A build is rolled back for
failures, for latency, or for a slowdown of all servers. With a timer gate, a stage is held for a limited time
while the build looks slow. With any other gate, the vote is to advance a build on trial if the samples show
that the build is within the latency margin, or if the fallback deadline has passed. Such a vote also requires
that the evidence of failures is below `MAX_ADVANCE_EVIDENCE` and that the build is not suspected of slowing
all servers. Gateways of a large fleet may vote before the deadline.
"""

from meadowpulley.interface import BuildRejected, Phase, RollbackReason, RolloutUpdate, StageGate, Verdict
from meadowpulley.policy.failure_evidence import MIN_SAMPLES, failure_evidence
from meadowpulley.policy.latency_comparison import estimate_slowdown
from meadowpulley.policy.shared_slowdown import roll_back, suspect_shared_slowdown
from meadowpulley.state import Slowdown, State

MAX_ADVANCE_EVIDENCE = 0.5  # a gateway votes to advance only while the evidence ratio is below this value
REQUIRED_EVIDENCE_RATIO = 1.0  # evidence ratio that condemns a build
# After the fallback deadline, a gateway may vote to advance although the samples don't show that the build is
# within the latency margin. The deadline is this time (ms) after the start of the stage or after the latest
# start of a server of the build, whichever is later.
FALLBACK_MS = 4000.0
# The gateways of a large fleet spread their votes over at most this time before the fallback deadline.
MAX_FALLBACK_LEAD_MS = FALLBACK_MS / 2
# Votes are not spread over time if the platform can take the votes of all gateways within this time (s).
UNSPREAD_VOTES_S = 2.0
MAX_HOLD_MS = 3000.0  # longest time for which a stage is held under a timer gate
# Under a timer gate, a stage is held while the slowdown is above this part of the latency margin.
HOLD_MARGIN_FRACTION = 0.5
MS_PER_S = 1000


def decide_verdict(state: State, rollout: RolloutUpdate) -> Verdict:
    """Return the verdict that this gateway currently votes for."""
    slowdown = estimate_slowdown(state, rollout.build)
    evidence_ratio = failure_evidence(state, rollout.build)
    if state.rollback_build == rollout.build:
        return Verdict.ROLL_BACK
    _reject_if_worse(state, rollout, slowdown, evidence_ratio)
    # The check for a shared slowdown also runs for a build that was rejected just now. The check updates the
    # traffic pause, and may report a second reason to roll back.
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
    """Roll back a build that is proven to fail more than its baseline, or on trial to be slower.

    Failures are proven by an evidence ratio of `REQUIRED_EVIDENCE_RATIO` or more. Slowness is proven by
    at least `MIN_SAMPLES` samples and a lower confidence bound of the slowdown above the latency margin.
    """
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
    """Hold a stage for a limited time while the build looks slow; only the timer advances a stage."""
    looks_slow = slowdown.low_ms > HOLD_MARGIN_FRACTION * slowdown.margin_ms
    if not (_has_enough_samples(slowdown) and looks_slow):
        return Verdict.NONE
    evidence = state.build_evidence[rollout.build]
    started_at = evidence.hold_started_at.setdefault(rollout.stage, state.now)
    return Verdict.HOLD if state.now < started_at + MAX_HOLD_MS else Verdict.NONE


def _past_fallback_deadline(state: State, rollout: RolloutUpdate) -> bool:
    """Return whether a stage is old enough to advance without proof that the build is fast enough.

    The platform takes a limited number of votes per second. The gateways of a large fleet therefore vote one
    after another before the deadline, the last of them close to the deadline.
    """
    started = [server.started_ms for server in state.servers_of(rollout.build)]
    if not started:
        return False
    votes_per_s = max(state.rollout_settings.votes_per_s, 1.0)
    spread_ms = MS_PER_S * max(state.gateway_count / votes_per_s - UNSPREAD_VOTES_S, 0.0)
    order = 1 - state.settings.gateway_index / state.gateway_count
    lead_ms = min(spread_ms * order, MAX_FALLBACK_LEAD_MS)
    return state.now >= max(*started, state.stage_started_at) + FALLBACK_MS - lead_ms
