"""The policy of one gateway: each event goes to the function that handles it, and there is one timer."""

import math
from collections import defaultdict
from collections.abc import Callable, Sequence
from functools import partial
from random import Random
from typing import Any

from meadowpulley import interface
from meadowpulley.policy import (
    admission,
    endpoint_lease,
    endpoint_list_confirmation,
    endpoint_poll_backoff,
    endpoints,
    evidence,
    rollout,
    routing,
)
from meadowpulley.policy.outlier_detection import eject_unresponsive
from meadowpulley.state import GossipState, State

STALL_MS = 250.0  # a timer that is later than this: the gateway stalled, and attempts only look slow
MIN_SUBSET_SIZE = 8  # servers that a gateway prefers, at least
TIMER_TOKEN = 1  # of the only timer


def handle_timer(state: State, _: interface.Timer) -> None:
    """Do what is due: list calls and queries, outlier ejection, waiting requests, gossip, evaluation."""
    state.timer_at = math.inf if state.now >= state.timer_at else state.timer_at
    if state.now >= state.resubscribe_at:
        state.actions.append(interface.Watch())  # repeated should no response come
        state.resubscribe_at = state.now + max(
            state.rules.max_poll_interval_ms, endpoint_poll_backoff.RETRY_MS
        )
    if state.now >= endpoint_list_confirmation.next_query_at(state):
        endpoint_list_confirmation.query_gateways(state)
    eject_unresponsive(state)
    waiting, state.waiting = state.waiting, []
    for in_flight in [waiter for waiter in waiting if waiter.request.request in state.in_flight]:
        admission.route_or_queue(state, in_flight)
    if state.now >= state.gossip_at and state.furthest_rollout is not None:
        evidence.exchange_digests(state, state.furthest_rollout.build)
    if state.now >= state.evaluate_at:
        rollout.evaluate_rollout(state)


def handle_client_disconnected(state: State, event: interface.ClientDisconnected) -> None:
    """Forget a request whose client has gone."""
    if event.request in state.in_flight:
        admission.cancel_outstanding(state, state.in_flight.pop(event.request))


HANDLERS: dict[type, Callable[[State, Any], None]] = {
    interface.Request: admission.handle_request,
    interface.Outcome: admission.handle_outcome,
    interface.ClientDisconnected: handle_client_disconnected,
    interface.ResponseStarted: State.mark_streaming,
    interface.Timer: handle_timer,
    interface.EndpointUpdate: endpoints.handle_endpoint_update,
    interface.EndpointWatchOpened: endpoints.handle_watch_opened,
    interface.EndpointWatchClosed: endpoints.handle_watch_closed,
    interface.RolloutUpdate: rollout.handle_rollout_update,
    interface.ProbeResult: routing.handle_probe_result,
    interface.GossipReceived: endpoint_list_confirmation.handle_gossip,
    interface.BuildStatistics: evidence.handle_build_statistics,
}


class RolloutPolicy(State):
    """Decides for one gateway where requests go and how far a rollout goes: events in, actions out."""

    def __init__(
        self, settings: interface.Settings, seed: int, placements: Sequence[interface.Placement] = ()
    ) -> None:
        super().__init__(settings, seed)
        max_wait_ms = self.tightest_objective_ms * admission.MAX_WAIT_FRACTION  # no class has to wait longer
        self.poll_interval_ms = min(admission.POLL_INTERVAL_MS, max_wait_ms) or admission.POLL_INTERVAL_MS
        self.placements = dict(enumerate(placements[1:], 1))
        self.confidence_z = 2 + 0.5 * math.log(self.gateway_count)
        voters = max(self.gateway_count / max(self.rollout_settings.rollback_votes, 1), 1.0)
        self.required_evidence = evidence.REQUIRED_EVIDENCE + math.log(voters)
        self.subset_size = float(MIN_SUBSET_SIZE) if settings.limits.idle_timeout_ms else math.inf
        window_ms = settings.rollout.exposure_window_ms
        self.build_evidence = defaultdict(partial(evidence.new_build_evidence, window_ms))
        clock_skew_s = math.ceil(1 + self.gateway_count / evidence.GOSSIP_SENDERS)
        self.gossip = GossipState(Random(seed + 1).getrandbits(32), clock_skew_s)

    def handle(self, now: float, event: interface.Event) -> list[interface.Action]:
        """Take in an event, at a time in ms, and return the actions to carry out."""
        self.now, self.actions = now, []
        if self.resubscribe_at == -math.inf and self.servers:  # discovery serves a fleet's calls in turn
            self.resubscribe_at = now + endpoint_poll_backoff.first_call_delay_ms(self)
        if now > self.timer_at + STALL_MS:
            self.resumed_at = now
        while self.pending_outcomes and self.pending_outcomes[0][0] <= now:
            evidence.record_outcomes(self, self.pending_outcomes.popleft()[1])
        if handler := HANDLERS.get(type(event)):
            handler(self, event)
        endpoint_lease.log_transitions(self)
        # One timer, only while there is something to wait for: an idle policy costs nothing.
        idle_ms = 4 * admission.POLL_INTERVAL_MS if self.attempts else math.inf
        poll_at = now + (self.poll_interval_ms if self.waiting else idle_ms)
        gossip_at = self.gossip_at if self.gossip.received else math.inf  # idle or not: digests get old
        query_at = endpoint_list_confirmation.next_query_at(self)
        due_at = min(self.evaluate_at, self.resubscribe_at, gossip_at, poll_at, query_at)
        self.set_timer(max(due_at, now), TIMER_TOKEN)
        return self.actions
