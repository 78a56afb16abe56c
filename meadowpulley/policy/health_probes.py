"""Health probes of two servers before the first attempt of a request.

A gateway with few requests in flight can't tell which server is loaded. The gateway probes two candidates and
sends the request to the candidate that answers first, because that server probably has the shorter queue.
"""

from meadowpulley.interface import Probe, ProbeResult, Result
from meadowpulley.policy.send_permission import may_send
from meadowpulley.policy.sending import send
from meadowpulley.policy.server_selection import mean_load
from meadowpulley.state import InFlightRequest, Server, State

# Candidates are probed while this gateway has fewer attempts in flight per server than this number.
SPARSE_LOAD = 0.3


def should_probe(state: State, in_flight: InFlightRequest, candidates: list[Server]) -> bool:
    """Return whether to probe the candidates before the request is sent."""
    if len(candidates) <= 1 or not state.settings.limits.probes:
        return False
    if in_flight.attempt_count or in_flight.probed_servers:
        return False
    return mean_load(state) < SPARSE_LOAD


def probe(state: State, in_flight: InFlightRequest, candidates: list[Server], randomized: bool) -> None:
    """Probe the candidates; the request waits for the first successful result."""
    in_flight.probed_servers = [server.id for server in candidates]
    in_flight.randomized = randomized
    state.actions += [Probe(server.id) for server in candidates]


def handle_probe_result(state: State, result: ProbeResult) -> None:
    """Send the requests that wait for the probed server, if the probe succeeded."""
    server = state.servers.get(result.server)
    if server is None or result.result is not Result.OK:
        return
    for in_flight in [waiting for waiting in state.waiting if result.server in waiting.probed_servers]:
        if may_send(state, in_flight, server):
            state.waiting.remove(in_flight)
            send(state, in_flight, server, server.outstanding, in_flight.randomized)
