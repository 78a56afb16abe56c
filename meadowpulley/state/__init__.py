"""The policy's state and the bookkeeping on it.

Decisions, and the values that are tuned for them, are outside this package.

The modules in reading order: `averages` (rates and windows), `servers`, `requests` (with their attempts),
`endpoint_list`, `confirmation`, `failure_test` (a CUSUM), `estimation` (the mixed Differences-in-Q formula),
`sample_summary`, `rollout` (evidence on a build), `votes`, `traffic_pause`, `gossip`, and `state`, which
combines all of these.
"""

from meadowpulley.state.averages import WINDOW_MARGIN_MS, DecayingRate, EventWindow
from meadowpulley.state.endpoint_list import EndpointListState, ReloadWindow
from meadowpulley.state.estimation import (
    BASELINE_ARM,
    NO_ARM,
    TRIAL_ARM,
    CostSeries,
    LatencySamples,
    QDifference,
    QMix,
    mixed_q,
)
from meadowpulley.state.failure_test import (
    ALL_SERVERS,
    PLATFORM,
    FailureTestBounds,
    SequentialFailureTest,
    ServerOutcomes,
)
from meadowpulley.state.gossip import GossipState, OutcomeCounts, PooledOutcomes
from meadowpulley.state.requests import Attempt, InFlightRequest, SendConditions
from meadowpulley.state.rollout import BuildEvidence, Slowdown
from meadowpulley.state.sample_summary import SampleSummary, summarize
from meadowpulley.state.servers import Server
from meadowpulley.state.state import RATE_MEMORY_MS, State
from meadowpulley.state.traffic_pause import TrafficPause
from meadowpulley.state.votes import VoteState

__all__ = [
    "ALL_SERVERS",
    "BASELINE_ARM",
    "NO_ARM",
    "PLATFORM",
    "RATE_MEMORY_MS",
    "TRIAL_ARM",
    "WINDOW_MARGIN_MS",
    "Attempt",
    "BuildEvidence",
    "CostSeries",
    "DecayingRate",
    "EndpointListState",
    "EventWindow",
    "FailureTestBounds",
    "GossipState",
    "InFlightRequest",
    "LatencySamples",
    "OutcomeCounts",
    "PooledOutcomes",
    "QDifference",
    "QMix",
    "ReloadWindow",
    "SampleSummary",
    "SendConditions",
    "SequentialFailureTest",
    "Server",
    "ServerOutcomes",
    "Slowdown",
    "State",
    "TrafficPause",
    "VoteState",
    "mixed_q",
    "summarize",
]
