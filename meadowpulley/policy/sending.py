"""Sending an attempt that `send_permission` allows, with the records that the rules need of it."""

from meadowpulley.interface import Send
from meadowpulley.policy.endpoint_lease import lease_basis
from meadowpulley.policy.rollout_stage import is_on_trial
from meadowpulley.policy.send_permission import write_by
from meadowpulley.state import Attempt, InFlightRequest, SendConditions, Server, State


def send(
    state: State, in_flight: InFlightRequest, server: Server, queue_length: float, randomized: bool
) -> None:
    """Send the next attempt of a request.

    It has no time-out of its own: at many sites abandoned work runs on, and repeats feed an overload.
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
