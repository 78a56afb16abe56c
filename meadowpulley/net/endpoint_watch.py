"""The watch of the endpoint list: long polls one after another, and retries after failed ones."""

from __future__ import annotations

import random

from meadowpulley.interface import EndpointUpdateKind, EndpointWatchClosed, EndpointWatchOpened
from meadowpulley.net import protocol
from meadowpulley.net.backoff import Backoff
from meadowpulley.net.deadlines import Deadline
from meadowpulley.net.discovery_call import CallFailure, CallReport, CallRequest, DiscoveryCall
from meadowpulley.net.endpoint_fetch import RESPONSE_GRACE_MS, EndpointListClient
from meadowpulley.net.endpoint_list import DiscoveryError, StaleListError

LONG_POLL_MS = 10_000.0  # how long a watch waits for changes, unless the settings ask for shorter polls
MAX_LONG_POLL_MS = 60_000.0
# How long a long poll waits for its response, beyond its wait: 2 s after the wait discovery counts a change
# as notified, whether or not its response came, and the next call has to be answered by then.
LONG_POLL_GRACE_MS = 1_500.0
# After failed watches, where lists are pushed. Discovery counts changes as notified once it is back, and
# after the drain grace of the settings nothing may be sent to a draining server: the longest backoff is half
# of that grace at most, so that the other half is left for the call itself.
FIRST_BACKOFF_MS = 500.0
LONGEST_BACKOFF_MS = 4_000.0
RETRY_JITTER = (0.5, 1.0)  # factors of the backoff, drawn uniformly
NO_WAIT_MS = 0.0  # of a call that is answered at once


class EndpointWatch:
    """Keeps one long poll open while the policy wants a watch."""

    def __init__(self, client: EndpointListClient) -> None:
        self._client = client
        self._gateway = client.gateway
        self._call: DiscoveryCall | None = None
        self._enabled = False  # whether the policy wants a watch
        self._consecutive_failures = 0
        self._retry: Deadline | None = None  # after a failed watch
        rules = self._gateway.config.settings.rules
        longest_backoff_ms = min(rules.drain_grace_ms / 2 or LONGEST_BACKOFF_MS, LONGEST_BACKOFF_MS)
        self._backoff = Backoff(FIRST_BACKOFF_MS, longest_backoff_ms)
        self._long_poll_ms = min(rules.max_poll_interval_ms or LONG_POLL_MS, MAX_LONG_POLL_MS)
        self._random = random.Random(self._gateway.config.seed)

    def set_enabled(self, enabled: bool) -> None:
        """Start a watch anew, or end it. The first call of a watch is answered at once."""
        self._enabled = enabled
        # A retry that was left pending cancelled the newer watch, or opened one that nobody wanted.
        self._gateway.deadlines.cancel(self._retry)
        if self._call is not None:
            self._call.cancel()
            self._call = None
            self._gateway.dispatch(EndpointWatchClosed(self._client.current_list.as_of_ms()))
        if enabled and not self._gateway.stopping:
            self._client.current_list.update_owed = True
            self._open(NO_WAIT_MS)

    def reset_backoff(self) -> None:
        """Retry after the next failure as if no call had failed yet."""
        self._consecutive_failures = 0

    def reopen(self) -> None:
        """Open the watch anew, if the policy wants one."""
        if self._enabled:
            self.set_enabled(True)

    def stop(self) -> None:
        """End the watch without notifying the policy."""
        self._gateway.deadlines.cancel(self._retry)
        if self._call is not None:
            self._call.cancel()
            self._call = None

    def _open(self, wait_ms: float) -> None:
        known_version = self._client.current_list.start_watch()
        query = f"{protocol.AFTER_PARAMETER}={known_version}&{protocol.WAIT_PARAMETER}={wait_ms:.0f}"
        timeout_ms = wait_ms + LONG_POLL_GRACE_MS if wait_ms else RESPONSE_GRACE_MS
        request = CallRequest(f"{protocol.ENDPOINTS_PATH}?{query}", wait_ms, timeout_ms)
        self._gateway.counters.add("discovery.watches")
        self._call = DiscoveryCall(self._client, request, self)
        self._call.start()

    def call_sent(self, request: CallRequest) -> None:
        """Notify the policy that discovery has a call which waits for changes."""
        if request.wait_ms > 0:
            confirmed_at = self._client.current_list.confirmed_at
            self._gateway.dispatch(EndpointWatchOpened(request.wait_ms, confirmed_at))

    def call_succeeded(self, raw: object, report: CallReport) -> None:
        """Apply the list and wait for the next changes; ask again at once for one that may be stale."""
        self._call = None
        try:
            self._client.apply_response(raw, report)
        except StaleListError:
            self._open(NO_WAIT_MS)
            return
        except DiscoveryError as error:
            self._client.discard_malformed()
            self.call_failed(CallFailure(str(error), EndpointUpdateKind.BROKEN, report))
            return
        except Exception:  # noqa: BLE001  # a fault of ours: the list was not applied, and nobody else would request it again
            self._gateway.log_fault("discovery")
            if self._call is None:
                self.call_failed(CallFailure("a fault of this gateway", EndpointUpdateKind.BROKEN, report))
            return
        self._consecutive_failures = 0
        if self._call is None and self._enabled and not self._gateway.stopping:
            self._open(self._long_poll_ms)

    def call_failed(self, failure: CallFailure) -> None:
        """Report the failure, and where lists are pushed open the watch again after a backoff."""
        self._call = None
        self._client.report_failure(failure)
        if self._call is not None or not self._enabled:  # the policy reacted to the failure
            return
        if not self._gateway.config.settings.must_poll and not self._gateway.stopping:
            self._schedule_retry(failure.kind)

    def _schedule_retry(self, kind: EndpointUpdateKind) -> None:
        backoff_ms = self._backoff.delay_ms(self._consecutive_failures)
        if kind is EndpointUpdateKind.TIMED_OUT:
            # It took seconds to find, at another time at each gateway: the retry is late already.
            backoff_ms = 0.0
        else:
            self._consecutive_failures += 1
        delay_ms = backoff_ms * self._random.uniform(*RETRY_JITTER)
        self._retry = self._gateway.deadlines.after(delay_ms, lambda: self.set_enabled(True))
