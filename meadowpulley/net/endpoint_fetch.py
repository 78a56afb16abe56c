"""The fetch of the whole endpoint list, and the client interface that the watch and the fetch use."""

from __future__ import annotations

from typing import Protocol

from meadowpulley.interface import EndpointUpdateKind
from meadowpulley.net import protocol
from meadowpulley.net.current_endpoint_list import CurrentEndpointList
from meadowpulley.net.discovery_call import (
    CallFailure,
    CallReport,
    CallRequest,
    DiscoveryCall,
    DiscoveryCallOwner,
)
from meadowpulley.net.endpoint_list import DiscoveryError, StaleListError

# How long a call without a wait may take. This is longer than discovery keeps a call in its queue: a call
# abandoned just before its response costs discovery as much as an answered call, and is then repeated.
RESPONSE_GRACE_MS = 4_000.0
FETCH_REQUEST = CallRequest(protocol.ENDPOINTS_PATH, wait_ms=0.0, timeout_ms=RESPONSE_GRACE_MS)


class EndpointListClient(DiscoveryCallOwner, Protocol):
    """The part of the discovery client that the watch and the fetch of the endpoint list use."""

    @property
    def current_list(self) -> CurrentEndpointList:
        """The endpoint list in use."""

    def apply_response(self, raw: object, report: CallReport) -> None:
        """Apply the list of a response. Changes nothing if it raises DiscoveryError or StaleListError."""

    def discard_malformed(self) -> None:
        """Count a malformed list, and close the connection on which it was received."""

    def report_failure(self, failure: CallFailure) -> None:
        """Log a call without a usable list, and notify the policy."""


class EndpointFetch:
    """Requests the whole list on demand, with at most one call in progress."""

    def __init__(self, client: EndpointListClient) -> None:
        self._client = client
        self._call: DiscoveryCall | None = None

    def start(self) -> None:
        """Request the whole list once, unless a call is in progress."""
        if self._call is not None:
            return
        self._client.gateway.counters.add("discovery.fetches")
        self._call = DiscoveryCall(self._client, FETCH_REQUEST, self)
        self._call.start()

    def restart(self) -> None:
        """Restart the call in progress, if there is one."""
        if self._call is not None:
            self.cancel()
            self.start()

    def cancel(self) -> None:
        """End the call in progress, and dispatch no update for it."""
        if self._call is not None:
            self._call.cancel()
            self._call = None

    def call_sent(self, request: CallRequest) -> None:
        """Do nothing: discovery answers a fetch without waiting for changes."""

    def call_succeeded(self, raw: object, report: CallReport) -> None:
        """Apply the list, or fetch it again if it may be stale."""
        self._call = None
        try:
            self._client.apply_response(raw, report)
        except StaleListError:
            self.start()
        except DiscoveryError as error:
            self._client.discard_malformed()
            self.call_failed(CallFailure(str(error), EndpointUpdateKind.BROKEN, report))

    def call_failed(self, failure: CallFailure) -> None:
        """Report the failure; the policy decides whether to fetch again."""
        self._call = None
        self._client.report_failure(failure)
