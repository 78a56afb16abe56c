"""The discovery client: keeps the endpoint list up to date for the connection pools and the policy.

`endpoint_watch` and `endpoint_fetch` decide when to call, `discovery_call` makes the calls, `endpoint_list`
decodes the lists, and `current_endpoint_list` applies them. This module connects them.
"""

from __future__ import annotations

import math

from meadowpulley.interface import EndpointUpdate
from meadowpulley.net.current_endpoint_list import CurrentEndpointList, EndpointRegistry
from meadowpulley.net.discovery_call import CallFailure, CallReport
from meadowpulley.net.discovery_connection import IdleConnectionSlot
from meadowpulley.net.endpoint_fetch import EndpointFetch
from meadowpulley.net.endpoint_list import DiscoveryError, EndpointList, EndpointListDecoder, StaleListError
from meadowpulley.net.endpoint_watch import LONG_POLL_GRACE_MS, EndpointWatch
from meadowpulley.net.gateway_context import GatewayContext


class DiscoveryClient:
    """Keeps the endpoint list up to date, and dispatches an `EndpointUpdate` for each change or failure.

    `clock_offset_ms` is Unix time minus the time on the gateway's clock, in milliseconds.
    """

    def __init__(self, gateway: GatewayContext, registry: EndpointRegistry, clock_offset_ms: float) -> None:
        self.gateway = gateway
        self.decoder = EndpointListDecoder(gateway.config.settings, clock_offset_ms)
        self.idle_connection = IdleConnectionSlot()
        self.current_list = CurrentEndpointList(gateway, registry)
        self._watch = EndpointWatch(self)
        self._fetch = EndpointFetch(self)

    @property
    def lists_applied(self) -> int:
        """The number of lists applied so far."""
        return self.current_list.lists_applied

    def start(self) -> None:
        """Apply the configuration's cached list, and open a watch unless the settings require polling."""
        cached_endpoints = self.gateway.config.cached_endpoints
        if cached_endpoints is not None:
            self._apply_cached(cached_endpoints)
        if not self.gateway.config.settings.must_poll:
            self.watch(True)

    def stop(self) -> None:
        """Cancel all calls and close the idle connection, because the gateway stops."""
        self._watch.stop()
        self._fetch.cancel()
        self.idle_connection.discard()

    def address_changed(self) -> None:
        """Restart the calls in progress at discovery's new address after a reload has changed it."""
        self.idle_connection.discard()
        self._watch.reset_backoff()
        self._fetch.restart()
        self._watch.reopen()

    def watch(self, enabled: bool) -> None:
        """Restart the watch, or end it."""
        self._watch.set_enabled(enabled)

    def fetch(self) -> None:
        """Request the whole list once, unless such a request is in progress."""
        self._fetch.start()

    def apply_response(self, raw: object, report: CallReport) -> None:
        """Apply the endpoint list of a response.

        Raises:
            DiscoveryError: the list is malformed; nothing changes.
            StaleListError: the list may be older than the one in use; nothing changes.
        """
        endpoint_list = self.decoder.decode(raw)
        try:
            self.current_list.require_not_stale(endpoint_list, report)
        except StaleListError:
            self.gateway.counters.add("discovery.stale_lists")
            raise
        # The response to a call without a wait includes at least all changes up to the start of the call.
        # A call with a wait is answered at the end of the wait or at the first change. How long its response
        # was in transit is unknown; LONG_POLL_GRACE_MS is taken as the maximum.
        waited_until = -math.inf
        if report.request.wait_ms:
            waited_until = self.gateway.deadlines.now() - LONG_POLL_GRACE_MS
        self.current_list.confirm(max(report.started_at, waited_until))
        self.current_list.log(endpoint_list, report)
        self._apply(endpoint_list, is_cached=False)

    def _apply_cached(self, cached_endpoints: object) -> None:
        try:
            endpoint_list = self.decoder.decode(cached_endpoints)
        except DiscoveryError as error:
            self.gateway.counters.add("discovery.malformed")
            self.gateway.log.warning("cached_endpoints_ignored", reason=str(error))
            return
        self.current_list.log(endpoint_list, None)
        self._apply(endpoint_list, is_cached=True)

    def _apply(self, endpoint_list: EndpointList, is_cached: bool) -> None:
        known_ids = self.decoder.server_ids.values()
        removed_ids = self.current_list.apply(endpoint_list, known_ids, is_cached)
        self.decoder.remove(removed_ids)

    def discard_malformed(self) -> None:
        """Count a malformed list, and close the connection on which it was received."""
        self.gateway.counters.add("discovery.malformed")
        self.idle_connection.discard()

    def report_failure(self, failure: CallFailure) -> None:
        """Log a call without a usable list, and notify the policy; the list in use does not change."""
        current_list = self.current_list
        self.gateway.counters.add("discovery.failed_calls")
        self.gateway.log.warning(
            "discovery_call_failed",
            reason=failure.reason,
            kind=failure.kind.name.lower(),
            target=failure.report.request.target,
            elapsed_ms=round(failure.report.elapsed_ms),
            was_sent=failure.report.was_sent,
            version=current_list.version,
            list_age_ms=current_list.age_ms(),
        )
        current_list.update_owed = False
        update = EndpointUpdate(
            failure.kind, current_list.version, as_of_ms=current_list.as_of_ms(failure.report)
        )
        self.gateway.dispatch(update)
