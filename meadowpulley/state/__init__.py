"""What the policy keeps, and plain bookkeeping on it. Nothing here decides or holds a tuned value.

In reading order: `averages` (rates and windows), `servers`, `requests` (with their attempts),
`failure_test` (a CUSUM), `estimation` (the mixed Differences-in-Q formula), `rollout` (evidence, votes,
pauses), `gossip`, `confirmation`, and `state`, which holds it all.
"""

from meadowpulley.state.averages import WINDOW_MARGIN_MS, DecayingRate, EventWindow
from meadowpulley.state.estimation import LatencySamples, QDifference, mixed_q
from meadowpulley.state.failure_test import ALL_SERVERS, PLATFORM, SequentialFailureTest
from meadowpulley.state.gossip import GossipState, OutcomeCounts, PooledOutcomes
from meadowpulley.state.requests import Attempt, InFlightRequest
from meadowpulley.state.rollout import BuildEvidence, Slowdown, TrafficPause, VoteState, summarize
from meadowpulley.state.servers import Server
from meadowpulley.state.state import RATE_MEMORY_MS, State

__all__ = [
    "ALL_SERVERS",
    "PLATFORM",
    "RATE_MEMORY_MS",
    "WINDOW_MARGIN_MS",
    "Attempt",
    "BuildEvidence",
    "DecayingRate",
    "EventWindow",
    "GossipState",
    "InFlightRequest",
    "LatencySamples",
    "OutcomeCounts",
    "PooledOutcomes",
    "QDifference",
    "SequentialFailureTest",
    "Server",
    "Slowdown",
    "State",
    "TrafficPause",
    "VoteState",
    "mixed_q",
    "summarize",
]
