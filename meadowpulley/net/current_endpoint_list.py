"""The endpoint list in use: its version and age, and how each list reaches the pools and the policy."""

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
    """Who has to know the addresses of the instances: the connection pools."""

    def register(self, server: int, address: Address, incarnation: ServerIncarnation) -> None:
        """Note the address and incarnation of an instance."""

    def close_idle(self, server: int) -> None:
        """Close the idle connections to an instance that drains."""

    def remove(self, server: int) -> None:
        """Forget an instance that is gone."""


class CurrentEndpointList:
    """What is known of the endpoint list in use. Times are milliseconds on the gateway's clock.

    Attributes:
        version: the version that the next watch names as known; 0 asks for everything.
        lists_applied: how many lists have been applied so far.
        confirmed_at: up to when the list in use holds all changes.
        update_owed: the policy asked for a watch: it gets one update, even if nothing changed.
    """

    def __init__(self, gateway: GatewayContext, registry: EndpointRegistry) -> None:
        self._gateway = gateway
        self._registry = registry
        self.version = 0
        self.lists_applied = 0
        self.confirmed_at = -math.inf
        self.update_owed = False
        self._applied_at = -math.inf
        self._watched_version = 0  # which the last watch named as known

    def start_watch(self) -> int:
        """Return the version that a new watch names as known."""
        self._watched_version = self.version
        return self.version

    def as_of_ms(self) -> float | None:
        """Return up to when the list in use holds all changes, once no call is out.

        None stands for now: where lists are pushed, discovery that fails a call notifies nobody of anything.
        """
        return self.confirmed_at if self._gateway.config.settings.must_poll else None

    def age_ms(self) -> int | None:
        """Return how long ago the list in use was applied; None if there is none yet."""
        if not self.lists_applied:
            return None
        return round(self._gateway.deadlines.now() - self._applied_at)

    def require_not_stale(self, endpoint_list: EndpointList, report: CallReport) -> None:
        """Check that the list of a response is not older than the one in use.

        Discovery handles calls in order, so its versions rise; they fall only when it was restarted or has
        moved. A call that was written after all lists applied so far is answered with the present state,
        whatever its version. A response with a lower version to a call that was written before is either
        older than the newest list, or from after a restart. These cannot be told apart: it is not applied,
        and the list requested again.

        Raises:
            StaleListError: the list may be older.
        """
        if endpoint_list.version < self.version and report.lists_applied_at_send < self.lists_applied:
            raise StaleListError(f"version {endpoint_list.version} after {self.version}: fetch it again")

    def confirm(self, earliest_as_of_ms: float) -> None:
        """Note that the list which is applied next holds all changes up to a time at least."""
        self.confirmed_at = max(self.confirmed_at, earliest_as_of_ms)

    def log(self, endpoint_list: EndpointList, report: CallReport | None) -> None:
        """Log which list takes the place of which, and how long its call took; None for the cached list."""
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
        """Use a list from now on: update the registry, then the policy.

        `known_ids` are the numbers of the instances known so far. Returns the numbers of those that are gone.
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
        # Changes since a version that discovery has not reached, or that this gateway no longer has, mean
        # that discovery was restarted: they say nothing of what it forgot or never knew. The next watch asks
        # for everything.
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
        as_of_ms = None if is_cached else self.confirmed_at
        kind = _update_kind(endpoint_list, is_cached)
        self._gateway.dispatch(EndpointUpdate(kind, endpoint_list.version, entries, as_of_ms))


def _update_kind(endpoint_list: EndpointList, is_cached: bool) -> EndpointUpdateKind:
    if is_cached:
        return EndpointUpdateKind.CACHED
    return EndpointUpdateKind.FULL if endpoint_list.is_snapshot else EndpointUpdateKind.INCREMENTAL
