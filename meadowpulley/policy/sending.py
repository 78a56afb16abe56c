"""Sends an attempt that `send_permission` allows, and records what later checks of the rules need."""

from meadowpulley.interface import Send
from meadowpulley.policy.endpoint_lease import lease_basis
from meadowpulley.policy.rollout_stage import is_on_trial
from meadowpulley.policy.send_permission import write_by
from meadowpulley.state import Attempt, InFlightRequest, SendConditions, Server, State


def send(
    state: State, in_flight: InFlightRequest, server: Server, queue_length: float, randomized: bool
) -> None:
    """Send the next attempt of a request.

    An attempt has no timeout of its own: at many sites, servers continue work that the gateway has
    abandoned, so retries after a timeout would make an overload worse.
    """
    write_by_ms = write_by(state, in_flight, server)
    state.sends_by_lease_basis[lease_basis(state).value] += 1
    fraction = state.slow_start_fraction(server)
    conditions = SendConditions(queue_length, fraction, randomized)
    state.add_attempt(Attempt(in_flight, server, state.now, conditions))
    if is_on_trial(state, server.build):
        sent_windows = state.build_evidence[server.build].sent_windows
        sent_windows[in_flight.exposure_class].add(state.now)
    state.actions.append(Send(in_flight.request.request, server.id, write_by_ms=write_by_ms))
