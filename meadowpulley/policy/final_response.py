"""The final response to a request that no server answers, and the cancellation of its attempts."""

from meadowpulley.interface import Cancel, Effect, Fail, Reject
from meadowpulley.state import InFlightRequest, State


def give_up(state: State, in_flight: InFlightRequest) -> None:
    """Give up a request: reject it if a retry by the client is harmless, otherwise fail it."""
    request = in_flight.request.request
    state.in_flight.pop(request, None)
    if _client_may_retry(in_flight):
        state.actions.append(Reject(request, state.retry_after_ms))
    else:
        state.actions.append(Fail(request))
    cancel_outstanding(state, in_flight)


def _client_may_retry(in_flight: InFlightRequest) -> bool:
    """Return whether a retry by the client has no second effect, whichever server it reaches."""
    if not in_flight.possible_executions:
        return True
    return in_flight.effect is Effect.IDEMPOTENT or in_flight.deduplicated_everywhere


def cancel_outstanding(state: State, in_flight: InFlightRequest) -> None:
    """Cancel the outstanding attempts of a finished request, if the servers can drop them.

    Cancelling spares the servers work on responses that are no longer needed.
    """
    if state.settings.limits.cancellation and not in_flight.streaming:
        numbers = state.outstanding_attempts(in_flight)
        state.actions += [Cancel(in_flight.request.request, number) for number in numbers]
