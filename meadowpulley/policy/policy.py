"""The policy of one gateway: dispatches each event to its handler and sets the only timer."""

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
    endpoint_lease_renewal,
    endpoint_list_confirmation,
    endpoint_poll_backoff,
    endpoints,
    failure_evidence,
    final_response,
    health_probes,
    outcome_gossip,
    outcomes,
    retry_budget,
    voting,
)
from meadowpulley.policy.outlier_detection import eject_unresponsive
from meadowpulley.state import GossipState, State

# Delay of the timer, in ms, beyond which the gateway counts as stalled. A stall adds to the measured
# latencies of the attempts in flight, so that their servers appear to be slower than they are.
STALL_THRESHOLD_MS = 250.0
MIN_SUBSET_SIZE = 8  # minimum number of servers in the subset that a gateway prefers
TIMER_TOKEN = 1  # identifies the only timer of the policy
OUTSTANDING_POLL_INTERVAL_MS = 200.0  # interval, in ms, of the checks for servers that do not respond
# This offset is added to the policy's seed, so that the incarnation number in digests comes from a random
# sequence of its own.
GOSSIP_SEED = 1
# Distance, in standard errors, between an estimated slowdown or latency and the bounds of its confidence
# interval, for a fleet of one gateway.
BASE_CONFIDENCE_Z = 2.0
# Standard errors added to `BASE_CONFIDENCE_Z` for each e-fold increase of the number of gateways. With more
# gateways, it is more likely that at least one of them has an estimate that is wrong by chance.
FLEET_CONFIDENCE_Z = 0.5


def handle_timer(state: State, _: interface.Timer) -> None:
    """Do the work that is due when the timer fires.

    The work is list calls and queries to other gateways, outlier ejection, another try to send waiting
    requests, gossip, and evaluation. Evaluation compares the build on trial with the baseline and votes on
    the rollout.
    """
    state.timer_at = math.inf if state.now >= state.timer_at else state.timer_at
    if state.now >= state.endpoint_list.poll_at:
        _poll_endpoints(state)
    if state.now >= endpoint_list_confirmation.next_query_at(state):
        endpoint_list_confirmation.query_gateways(state)
    eject_unresponsive(state)
    _route_waiting(state)
    if state.now >= state.gossip_at and state.furthest_rollout is not None:
        outcome_gossip.exchange_digests(state, state.furthest_rollout.build)
    if state.now >= state.evaluate_at:
        voting.evaluate_rollout(state)


def _poll_endpoints(state: State) -> None:
    """Request the endpoint list, and schedule another request in case no response comes."""
    state.actions.append(interface.Watch())
    state.endpoint_list.poll_at = state.now + endpoint_poll_backoff.repeat_interval_ms(state)


def _route_waiting(state: State) -> None:
    """Try again to send the requests that are waiting for a server."""
    waiting = state.waiting
    state.waiting = []
    unfinished = [in_flight for in_flight in waiting if in_flight.request.request in state.in_flight]
    for in_flight in unfinished:
        admission.route_or_queue(state, in_flight)


def handle_client_disconnected(state: State, event: interface.ClientDisconnected) -> None:
    """Drop a request whose client has disconnected, and cancel its outstanding attempts."""
    if event.request in state.in_flight:
        final_response.cancel_outstanding(state, state.in_flight.pop(event.request))


HANDLERS: dict[type, Callable[[State, Any], None]] = {
    interface.Request: admission.handle_request,
    interface.Outcome: outcomes.handle_outcome,
    interface.ClientDisconnected: handle_client_disconnected,
    interface.ResponseStarted: State.record_response_start,
    interface.Timer: handle_timer,
    interface.EndpointUpdate: endpoints.handle_endpoint_update,
    interface.EndpointWatchOpened: endpoints.handle_watch_opened,
    interface.EndpointWatchClosed: endpoints.handle_watch_closed,
    interface.ConfigurationReloaded: endpoint_lease_renewal.handle_reload,
    interface.RolloutUpdate: voting.handle_rollout_update,
    interface.ProbeResult: health_probes.handle_probe_result,
    interface.GossipReceived: endpoint_list_confirmation.handle_gossip,
    interface.BuildStatistics: failure_evidence.handle_build_statistics,
}


class RolloutPolicy(State):
    """Decides where one gateway sends its requests and how it votes on rollouts.

    The method `handle` takes one event and returns the actions that the gateway has to carry out.
    """

    def __init__(
        self, settings: interface.Settings, seed: int, placements: Sequence[interface.Placement] = ()
    ) -> None:
        """Start without any servers, requests or rollout.

        Args:
            settings: The settings that the platform gives a gateway when it starts.
            seed: The seed of all random decisions.
            placements: The placement policy of each arm of an experiment. The entry of arm 0 is ignored,
                because arm 0 places requests by this policy's own rules.
        """
        super().__init__(settings, seed)
        # A request waits for a server at most a fraction of its latency objective. The shortest objective of
        # any class therefore limits the interval, in ms, between two tries to send waiting requests.
        max_wait_ms = self.tightest_objective_ms * admission.MAX_WAIT_FRACTION
        interval_ms = admission.WAITING_POLL_INTERVAL_MS
        self.waiting_poll_interval_ms = min(interval_ms, max_wait_ms) or interval_ms
        self.retry_budget = retry_budget.INITIAL_BUDGET
        self.placements = dict(enumerate(placements[1:], 1))
        self.confidence_z = BASE_CONFIDENCE_Z + FLEET_CONFIDENCE_Z * math.log(self.gateway_count)
        voters = max(self.gateway_count / max(self.rollout_settings.rollback_votes, 1), 1.0)
        self.required_evidence = failure_evidence.REQUIRED_EVIDENCE + math.log(voters)
        self.subset_size = float(MIN_SUBSET_SIZE) if settings.limits.idle_timeout_ms else math.inf
        window_ms = settings.rollout.exposure_window_ms
        self.build_evidence = defaultdict(partial(failure_evidence.new_build_evidence, window_ms))
        clock_skew_s = math.ceil(1 + self.gateway_count / outcome_gossip.GOSSIP_SENDERS)
        self.gossip = GossipState(Random(seed + GOSSIP_SEED).getrandbits(32), clock_skew_s)

    def handle(self, now: float, event: interface.Event) -> list[interface.Action]:
        """Handle an event that occurred at the time `now`, in ms, and return the actions to carry out."""
        self.now = now
        self.actions = []
        if self.endpoint_list.poll_at == -math.inf and self.servers:
            self.endpoint_list.poll_at = now + endpoint_poll_backoff.first_call_delay_ms(self)
        if now > self.timer_at + STALL_THRESHOLD_MS:
            self.resumed_at = now
        while self.pending_outcomes and self.pending_outcomes[0][0] <= now:
            _, counts = self.pending_outcomes.popleft()
            failure_evidence.record_outcomes(self, counts)
        if handler := HANDLERS.get(type(event)):
            handler(self, event)
        endpoint_lease.log_transitions(self)
        self.set_timer(max(self._next_due_at(), now), TIMER_TOKEN)
        return self.actions

    def _next_due_at(self) -> float:
        """Return the time at which there is something to do next.

        A timer that was set to an earlier time may still fire first. The returned time is infinity for an
        idle gateway, which then uses no CPU.
        """
        idle_ms = OUTSTANDING_POLL_INTERVAL_MS if self.attempts else math.inf
        requests_at = self.now + (self.waiting_poll_interval_ms if self.waiting else idle_ms)
        # Received digests become outdated, so the gateway evaluates them even while it has no requests.
        gossip_at = self.gossip_at if self.gossip.received else math.inf
        query_at = endpoint_list_confirmation.next_query_at(self)
        return min(self.evaluate_at, self.endpoint_list.poll_at, gossip_at, requests_at, query_at)
