"""This gateway's votes on the newest build: when a vote is sent, repeated, renewed or delayed."""

import math

from meadowpulley.interface import Phase, Result, RolloutUpdate, Verdict, Vote
from meadowpulley.policy.rollout_stage import ROLLBACK_PHASES, partition_servers
from meadowpulley.policy.trial_assignment import EVALUATION_INTERVAL_MS
from meadowpulley.policy.verdict import MS_PER_S, decide_verdict
from meadowpulley.state import State

MIN_VOTE_INTERVAL_MS = 200.0  # shortest time between two votes of this gateway
STAGE_VERDICTS = (Verdict.ADVANCE, Verdict.HOLD)  # verdicts on one stage; other verdicts concern the build


def evaluate_rollout(state: State) -> None:
    """Evaluate the newest build, and send a vote if one is due."""
    rollout = state.furthest_rollout
    state.evaluate_at = math.inf
    if rollout is None or rollout.phase in ROLLBACK_PHASES:
        return
    has_baseline = state.baseline_build >= 0 or rollout.phase is Phase.TRIAL
    if has_baseline and state.servers_of(rollout.build):
        state.evaluate_at = state.now + EVALUATION_INTERVAL_MS
    request_rate = state.request_rate.value(state.now) if rollout.stage == 0 else 0.0
    state.baseline_request_rate = max(state.baseline_request_rate, request_rate)
    verdict = decide_verdict(state, rollout)
    stage = rollout.stage if verdict in STAGE_VERDICTS else 0
    vote = Vote(rollout.build, stage, verdict)
    if _is_due(state, vote):
        state.vote_state.record(vote, state.now)
        state.actions.append(vote)


def _is_due(state: State, vote: Vote) -> bool:
    """Return whether a vote is due now.

    Votes and their replies may be lost, so a vote without a reply is sent again after the call timeout. A
    valid vote is renewed when half of its lifetime is left.
    """
    votes = state.vote_state
    last = votes.last_vote
    if vote.verdict is Verdict.NONE and (last == vote or last.build != vote.build):
        return False  # no earlier vote on the build needs to be withdrawn
    if state.now < max(votes.sent_at + MIN_VOTE_INTERVAL_MS, votes.backoff_until):
        return False
    if last != vote:
        return True
    settings = state.rollout_settings
    awaits_reply = not votes.acknowledged and state.now < votes.sent_at + settings.call_timeout_ms
    valid_for_long = votes.valid_until - state.now > settings.vote_ttl_ms / 2
    return not (awaits_reply or valid_for_long)


def handle_rollout_update(state: State, update: RolloutUpdate) -> None:
    """Apply an update of the newest build's rollout, which may be the reply to a vote."""
    if update.is_vote_reply:
        _handle_vote_reply(state, update.result)
    if update.result is Result.OK:
        state.apply_rollout(update)
        partition_servers(state)


def _handle_vote_reply(state: State, result: Result) -> None:
    """Record a reply to a vote.

    If the platform rejected the vote because of too many votes, the next vote is sent after a random delay.
    """
    state.vote_state.acknowledge(result, state.now + state.rollout_settings.vote_ttl_ms)
    if result is Result.REJECTED:
        votes_per_s = state.rollout_settings.votes_per_s
        jitter_ms = state.rng.random() * MS_PER_S * state.gateway_count / votes_per_s
        state.vote_state.backoff_until = state.now + jitter_ms
