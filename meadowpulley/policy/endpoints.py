"""Handling of endpoint lists, of failed list calls, and of watches that open and close."""

import math

from meadowpulley.interface import (
    EndpointUpdate,
    EndpointUpdateKind,
    EndpointWatchClosed,
    EndpointWatchOpened,
)
from meadowpulley.policy import endpoint_lease_renewal
from meadowpulley.policy.endpoint_poll_backoff import retry_delay_ms
from meadowpulley.policy.rollout_stage import partition_servers
from meadowpulley.state import State

CALL_FAILURES = (EndpointUpdateKind.FAILED, EndpointUpdateKind.TIMED_OUT, EndpointUpdateKind.BROKEN)


def handle_endpoint_update(state: State, update: EndpointUpdate) -> None:
    """Apply an endpoint list, or handle a failed list call."""
    if update.kind in CALL_FAILURES:
        _handle_failed_call(state, update)
        return
    if update.kind is EndpointUpdateKind.CACHED:
        endpoint_lease_renewal.start_from_cache(state, update.as_of_ms)
        # The first query to other gateways is delayed, as if a query had just been sent. In a small fleet,
        # discovery answers the first list call before the delayed query would be sent.
        state.confirmation.queried_at = state.now
    else:
        endpoint_lease_renewal.confirm_list(state, update.as_of_ms)
        state.endpoint_list.poll_at = math.inf
        state.endpoint_list.consecutive_failures = 0
    state.apply_endpoints(update)
    state.confirmation.ready_servers = None
    partition_servers(state)


def _handle_failed_call(state: State, update: EndpointUpdate) -> None:
    """End the watch after a failed call, and schedule the next call if discovery has to be polled."""
    is_list_lost = update.kind is EndpointUpdateKind.BROKEN
    endpoint_lease_renewal.watch_ended(state, update.as_of_ms, is_list_lost)
    if is_list_lost:
        endpoint_lease_renewal.list_lost(state)
    delay_ms = retry_delay_ms(state, update.kind)
    if update.kind is not EndpointUpdateKind.TIMED_OUT:
        state.endpoint_list.consecutive_failures += 1
    state.endpoint_list.poll_at = state.now + delay_ms if state.settings.must_poll else math.inf


def handle_watch_opened(state: State, event: EndpointWatchOpened) -> None:
    """Renew the lease when discovery holds a call open until the endpoint list changes."""
    endpoint_lease_renewal.confirm_list(state, event.as_of_ms)
    endpoint_lease_renewal.watch_opened(state, event.wait_ms)


def handle_watch_closed(state: State, event: EndpointWatchClosed) -> None:
    """End the watch after this gateway has closed the call that waited for the next change."""
    endpoint_lease_renewal.watch_ended(state, event.as_of_ms, event.is_list_lost)
    if event.is_list_lost:
        endpoint_lease_renewal.list_lost(state)
