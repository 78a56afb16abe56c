"""The watch of the endpoint list: consecutive long polls, with retries after failures."""

from __future__ import annotations

import random

from meadowpulley.interface import EndpointUpdateKind, EndpointWatchClosed, EndpointWatchOpened
from meadowpulley.net import protocol
from meadowpulley.net.backoff import Backoff
from meadowpulley.net.deadlines import Deadline
from meadowpulley.net.discovery_call import CallFailure, CallReport, CallRequest, DiscoveryCall
from meadowpulley.net.endpoint_fetch import RESPONSE_GRACE_MS, EndpointListClient
from meadowpulley.net.endpoint_list import DiscoveryError, StaleListError

LONG_POLL_MS = 10_000.0  # how long a call waits for changes, unless the settings set another interval
MAX_LONG_POLL_MS = 60_000.0
# How long the response to a long poll may take after its wait has ended; later, the call counts as failed and
# is retried. 2 s after the end of the wait, discovery assumes that this gateway knows of a change, even if
# the response never arrived. This grace of 1.5 s leaves 0.5 s until then for the answer to the retry.
LONG_POLL_GRACE_MS = 1_500.0
# The backoff after a failed watch, unless the settings require polling. As soon as discovery has recovered,
# it assumes that every gateway knows of its changes, even one that still waits for its backoff to end. Once a
# gateway is assumed to know that a server drains, it may send requests to that server only during the drain
# grace of the settings. The longest backoff is therefore at most half of the drain grace, which leaves the
# other half for the call itself.
FIRST_BACKOFF_MS = 500.0
LONGEST_BACKOFF_MS = 4_000.0
RETRY_JITTER = (0.5, 1.0)  # the backoff is multiplied by a factor drawn uniformly from this range
NO_WAIT_MS = 0.0  # discovery answers a call with this wait at once
QUICK_ANSWER_MS = 50.0  # a call that is answered sooner counts as quick
# Quick answers in a row that the next call follows at once, so that successive changes are read at once.
MAX_QUICK_ANSWERS = 4
# The pause before the next call after further quick answers. Discovery counts a watch as ended 200 ms after
# an answer, of which this process may be held up for 150 ms.
QUICK_ANSWER_PAUSE_MS = 50.0


class EndpointWatch:
    """Keeps one long poll open while the policy wants a watch."""

    def __init__(self, client: EndpointListClient) -> None:
        self._client = client
        self._gateway = client.gateway
        self._call: DiscoveryCall | None = None
        self._enabled = False  # whether the policy wants a watch
        self._consecutive_failures = 0
        self._retry: Deadline | None = None  # the pending retry after a failed watch
        self._quick_answers = 0  # number of quick answers in a row
        self._next_call: Deadline | None = None  # the next call of the watch, during a pause
        rules = self._gateway.config.settings.rules
        longest_backoff_ms = min(rules.drain_grace_ms / 2 or LONGEST_BACKOFF_MS, LONGEST_BACKOFF_MS)
        self._backoff = Backoff(FIRST_BACKOFF_MS, longest_backoff_ms)
        self._long_poll_ms = min(rules.max_poll_interval_ms or LONG_POLL_MS, MAX_LONG_POLL_MS)
        self._random = random.Random(self._gateway.config.seed)

    def set_enabled(self, enabled: bool) -> None:
        """Restart the watch if enabled, otherwise end it. Discovery answers its first call at once."""
        self._enabled = enabled
        # A retry left pending would later cancel the newer watch, or open a watch that the policy had ended.
        self._cancel_pending()
        if self._call is not None:
            is_list_lost = self._call.response_arrived
            self._call.cancel()
            self._call = None
            confirmed_at = self._client.current_list.confirmed_at
            self._gateway.dispatch(EndpointWatchClosed(confirmed_at, is_list_lost))
        if enabled and not self._gateway.stopping:
            self._client.current_list.update_owed = True
            self._open(NO_WAIT_MS)

    def reset_backoff(self) -> None:
        """Reset the count of consecutive failures, so that the next retry has no backoff."""
        self._consecutive_failures = 0

    def reopen(self) -> None:
        """Restart the watch if the policy wants one."""
        if self._enabled:
            self.set_enabled(True)

    def stop(self) -> None:
        """End the watch without notifying the policy."""
        self._cancel_pending()
        if self._call is not None:
            self._call.cancel()
            self._call = None

    def _cancel_pending(self) -> None:
        self._gateway.deadlines.cancel(self._retry)
        self._gateway.deadlines.cancel(self._next_call)

    def _continue(self, wait_ms: float, report: CallReport) -> None:
        """Open the next call at once, or after a pause if many answers in a row were quick."""
        self._quick_answers = self._quick_answers + 1 if report.elapsed_ms < QUICK_ANSWER_MS else 0
        if self._quick_answers <= MAX_QUICK_ANSWERS:
            self._open(wait_ms)
            return
        if self._quick_answers == MAX_QUICK_ANSWERS + 1:
            self._gateway.log.warning("discovery_calls_paced", version=self._client.current_list.version)
        self._gateway.counters.add("discovery.paced_calls")
        self._next_call = self._gateway.deadlines.after(QUICK_ANSWER_PAUSE_MS, lambda: self._open(wait_ms))

    def _open(self, wait_ms: float) -> None:
        known_version = self._client.current_list.start_watch()
        query = f"{protocol.AFTER_PARAMETER}={known_version}&{protocol.WAIT_PARAMETER}={wait_ms:.0f}"
        timeout_ms = wait_ms + LONG_POLL_GRACE_MS if wait_ms else RESPONSE_GRACE_MS
        request = CallRequest(f"{protocol.ENDPOINTS_PATH}?{query}", wait_ms, timeout_ms)
        self._gateway.counters.add("discovery.watches")
        self._call = DiscoveryCall(self._client, request, self)
        self._call.start()

    def call_sent(self, request: CallRequest) -> None:
        """Notify the policy that a call which waits for changes was sent."""
        if request.wait_ms > 0:
            confirmed_at = self._client.current_list.confirmed_at
            self._gateway.dispatch(EndpointWatchOpened(request.wait_ms, confirmed_at))

    def call_succeeded(self, raw: object, report: CallReport) -> None:
        """Apply the list and wait for further changes; request it again at once if it may be stale."""
        self._call = None
        try:
            self._client.apply_response(raw, report)
        except StaleListError:
            self._continue(NO_WAIT_MS, report)
            return
        except DiscoveryError as error:
            self._client.discard_malformed()
            self.call_failed(CallFailure(str(error), EndpointUpdateKind.BROKEN, report))
            return
        except Exception:  # noqa: BLE001  # a bug in this gateway: the list was not applied, and no other code would request it again
            self._gateway.log_fault("discovery")
            if self._call is None:
                self.call_failed(
                    CallFailure(
                        "an internal error of this gateway, not of discovery: the list was not applied",
                        EndpointUpdateKind.BROKEN,
                        report,
                    )
                )
            return
        self._consecutive_failures = 0
        if self._call is None and self._enabled and not self._gateway.stopping:
            self._continue(self._long_poll_ms, report)

    def call_failed(self, failure: CallFailure) -> None:
        """Report a failed call, and schedule a retry of the watch unless the settings require polling."""
        self._call = None
        self._client.report_failure(failure)
        if self._call is not None or not self._enabled:  # the policy restarted or ended the watch
            return
        if not self._gateway.config.settings.must_poll and not self._gateway.stopping:
            self._schedule_retry(failure.kind)

    def _schedule_retry(self, kind: EndpointUpdateKind) -> None:
        backoff_ms = self._backoff.delay_ms(self._consecutive_failures)
        if kind is EndpointUpdateKind.TIMED_OUT:
            # The time-out took seconds and ends at a different time at each gateway: the retry is late and
            # spread out already, so it gets no backoff.
            backoff_ms = 0.0
        else:
            self._consecutive_failures += 1
        delay_ms = backoff_ms * self._random.uniform(*RETRY_JITTER)
        self._retry = self._gateway.deadlines.after(delay_ms, lambda: self.set_enabled(True))
