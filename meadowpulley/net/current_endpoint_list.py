"""The endpoint list in use: its version and age, and how a new list reaches the pools and the policy."""

from __future__ import annotations

import math
from collections.abc import Collection
from typing import Protocol

from meadowpulley.interface import EndpointUpdate, EndpointUpdateKind, ServerState
from meadowpulley.net.config import Address
from meadowpulley.net.discovery_call import CallReport
from meadowpulley.net.endpoint_list import EndpointList, ServerIncarnation, StaleListError
from meadowpulley.net.gateway_context import GatewayContext


class EndpointRegistry(Protocol):
    """The component that keeps the addresses of the instances: the connection pools."""

    def register(self, server: int, address: Address, incarnation: ServerIncarnation) -> None:
        """Record the address and incarnation of an instance."""

    def close_idle(self, server: int) -> None:
        """Close the idle connections to a draining instance."""

    def remove(self, server: int) -> None:
        """Remove an instance that no longer exists."""


class CurrentEndpointList:
    """The state of the endpoint list in use. Times are milliseconds on the gateway's clock.

    Attributes:
        version: the version after which the next watch requests changes; 0 requests the whole list.
        lists_applied: how many lists have been applied so far.
        confirmed_at: the list in use includes all changes up to this time.
        update_owed: a watch was started, so the policy gets one update even if nothing changed.
        process_started_at: when this process started; None if that is unknown.
    """

    def __init__(self, gateway: GatewayContext, registry: EndpointRegistry) -> None:
        self._gateway = gateway
        self._registry = registry
        self.version = 0
        self.lists_applied = 0
        self.confirmed_at = -math.inf
        self.update_owed = False
        self.process_started_at: float | None = None
        self._applied_at = -math.inf
        self._watched_version = 0  # the version after which the last watch requested changes

    def start_watch(self) -> int:
        """Return the version after which a new watch requests changes, and remember it."""
        self._watched_version = self.version
        return self.version

    def as_of_ms(self, report: CallReport) -> float:
        """Return the time up to which the endpoint list in use has all changes, after a call has failed.

        The time is on the gateway's clock (ms). If the settings don't require polling it is the start of the
        call, which holds only if discovery was down then; the policy decides whether that is so.
        """
        must_poll = self._gateway.config.settings.must_poll
        return self.confirmed_at if must_poll else report.started_at

    def age_ms(self) -> int | None:
        """Return how long ago the list in use was applied, in ms; None if no list was applied yet."""
        if not self.lists_applied:
            return None
        return round(self._gateway.deadlines.now() - self._applied_at)

    def require_not_stale(self, endpoint_list: EndpointList, report: CallReport) -> None:
        """Check that the list of a response is not older than the one in use.

        Discovery handles calls in order, so its versions increase; they decrease only after it was restarted
        or has moved. A call sent after the last list was applied is answered with the current state, whatever
        its version. If a call was sent before that and its response has a lower version, the response either
        is older than the list in use or comes from a restarted discovery. The two cases cannot be
        distinguished, so the response is not applied and the list is requested again.

        Raises:
            StaleListError: the list may be older than the one in use.
        """
        if endpoint_list.version < self.version and report.lists_applied_at_send < self.lists_applied:
            raise StaleListError(
                f"list version {endpoint_list.version} arrived after version {self.version} and may be stale"
            )

    def confirm(self, earliest_as_of_ms: float) -> None:
        """Record that the list applied next includes at least all changes up to `earliest_as_of_ms`."""
        self.confirmed_at = max(self.confirmed_at, earliest_as_of_ms)

    def log(self, endpoint_list: EndpointList, report: CallReport | None) -> None:
        """Log that a list replaces the one in use, and how long its call took in milliseconds.

        `report` is None for the cached list, which came without a call.
        """
        states = [endpoint.entry.state for endpoint in endpoint_list.endpoints]
        self._gateway.log.info(
            "endpoint_list_applied",
            version=endpoint_list.version,
            previous_version=self.version,
            is_snapshot=endpoint_list.is_snapshot,
            is_cached=report is None,
            ready=states.count(ServerState.READY),
            draining=states.count(ServerState.DRAINING),
            removed=states.count(ServerState.REMOVED),
            elapsed_ms=None if report is None else round(report.elapsed_ms),
            previous_age_ms=self.age_ms(),
        )

    def apply(self, endpoint_list: EndpointList, known_ids: Collection[int], is_cached: bool) -> set[int]:
        """Apply a received or cached endpoint list to the registry, and notify the policy.

        `known_ids` are the numbers of the instances known so far. Returns the numbers of the removed ones.
        """
        removed_ids = endpoint_list.removed_ids
        if endpoint_list.is_snapshot or is_cached:
            removed_ids |= set(known_ids) - endpoint_list.present_ids
        self._register_endpoints(endpoint_list)
        self._advance_version(endpoint_list, is_cached)
        self._dispatch_update(endpoint_list, is_cached)
        for server in removed_ids:
            self._registry.remove(server)
        return removed_ids

    def _register_endpoints(self, endpoint_list: EndpointList) -> None:
        for endpoint in endpoint_list.endpoints:
            if endpoint.address is not None and not endpoint.is_removed:
                self._registry.register(endpoint.entry.server, endpoint.address, endpoint.incarnation)
        for endpoint in endpoint_list.endpoints:
            if endpoint.entry.state is ServerState.DRAINING:
                self._registry.close_idle(endpoint.entry.server)

    def _advance_version(self, endpoint_list: EndpointList, is_cached: bool) -> None:
        # Discovery was restarted if it reports changes since a version that it has not reached itself, or
        # that this gateway no longer has. Such changes omit instances that the restarted discovery forgot
        # or never knew, so the next watch requests the whole list.
        is_partial = not is_cached and not endpoint_list.is_snapshot
        has_gap = is_partial and self._watched_version > min(endpoint_list.version, self.version)
        self.version = 0 if has_gap else endpoint_list.version
        self.lists_applied += 1
        self._applied_at = self._gateway.deadlines.now()

    def _dispatch_update(self, endpoint_list: EndpointList, is_cached: bool) -> None:
        self._gateway.counters.add("discovery.entries", len(endpoint_list.endpoints))
        if not (endpoint_list.endpoints or endpoint_list.is_snapshot or self.update_owed):
            return
        if not is_cached:
            self.update_owed = False
        entries = tuple(endpoint.entry for endpoint in endpoint_list.endpoints)
        as_of_ms = self.process_started_at if is_cached else self.confirmed_at
        kind = _update_kind(endpoint_list, is_cached)
        self._gateway.dispatch(EndpointUpdate(kind, endpoint_list.version, entries, as_of_ms))


def _update_kind(endpoint_list: EndpointList, is_cached: bool) -> EndpointUpdateKind:
    if is_cached:
        return EndpointUpdateKind.CACHED
    return EndpointUpdateKind.FULL if endpoint_list.is_snapshot else EndpointUpdateKind.INCREMENTAL
