"""The final response of a request that no server answers, and what becomes of its attempts."""

from meadowpulley.interface import Cancel, Effect, Fail, Reject
from meadowpulley.state import InFlightRequest, State


def give_up(state: State, in_flight: InFlightRequest) -> None:
    """Give a request up: reject it if the client's retry can do no harm, else fail it."""
    request = in_flight.request.request
    state.in_flight.pop(request, None)
    if _client_may_retry(in_flight):
        state.actions.append(Reject(request, state.retry_after_ms))
    else:
        state.actions.append(Fail(request))
    cancel_outstanding(state, in_flight)


def _client_may_retry(in_flight: InFlightRequest) -> bool:
    """Tell whether a retry by the client has no second effect, wherever it goes."""
    if not in_flight.possible_executions:
        return True
    return in_flight.effect is Effect.IDEMPOTENT or in_flight.deduplicated_everywhere


def cancel_outstanding(state: State, in_flight: InFlightRequest) -> None:
    """Cancel the attempts of a request that is over: it should burden no server that can drop it."""
    if state.settings.limits.cancellation and not in_flight.streaming:
        numbers = state.outstanding_attempts(in_flight)
        state.actions += [Cancel(in_flight.request.request, number) for number in numbers]
