"""The fetch of the whole endpoint list, once, and what the watch and the fetch need of their client."""

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

# How long a call waits for its response. Longer than discovery keeps a call in its queue: one that is given
# up just before its response costs discovery as much as one that is answered, and is made again.
RESPONSE_GRACE_MS = 4_000.0
FETCH_REQUEST = CallRequest(protocol.ENDPOINTS_PATH, wait_ms=0.0, timeout_ms=RESPONSE_GRACE_MS)


class EndpointListClient(DiscoveryCallOwner, Protocol):
    """What a watch or fetch of the endpoint list needs of the client of discovery."""

    @property
    def current_list(self) -> CurrentEndpointList:
        """The endpoint list in use."""

    def apply_response(self, raw: object, report: CallReport) -> None:
        """Apply the list of a response. Raises DiscoveryError or StaleListError, and then changes nothing."""

    def discard_malformed(self) -> None:
        """Count a list that cannot be read, and close the connection that it came on."""

    def report_failure(self, failure: CallFailure) -> None:
        """Log a call without a usable list, and notify the policy."""


class EndpointFetch:
    """Requests the whole list; one call at a time."""

    def __init__(self, client: EndpointListClient) -> None:
        self._client = client
        self._call: DiscoveryCall | None = None

    def start(self) -> None:
        """Request the whole list once, unless it has been requested already."""
        if self._call is not None:
            return
        self._client.gateway.counters.add("discovery.fetches")
        self._call = DiscoveryCall(self._client, FETCH_REQUEST, self)
        self._call.start()

    def restart(self) -> None:
        """Make the call under way anew, if there is one."""
        if self._call is not None:
            self.cancel()
            self.start()

    def cancel(self) -> None:
        """End the call under way without an update."""
        if self._call is not None:
            self._call.cancel()
            self._call = None

    def call_sent(self, request: CallRequest) -> None:
        """Do nothing: a fetch does not wait for changes."""

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
