"""The client of discovery: fetches the endpoint list once, or watches it with long polls.

`discovery_call` makes the calls, `endpoint_list` decodes the lists. This module decides when to call, which
lists to believe, and what the policy and the connection pools are told of them.
"""

from __future__ import annotations

import math
import random
from typing import Any, Protocol

from meadowpulley.interface import (
    EndpointUpdate,
    EndpointUpdateKind,
    EndpointWatchClosed,
    EndpointWatchOpened,
    ServerState,
)
from meadowpulley.net import protocol
from meadowpulley.net.backoff import Backoff
from meadowpulley.net.config import Address
from meadowpulley.net.deadlines import Deadline
from meadowpulley.net.discovery_call import CallReport, DiscoveryCall
from meadowpulley.net.discovery_connection import IdleConnectionSlot
from meadowpulley.net.endpoint_list import (
    DiscoveryError,
    EndpointList,
    EndpointListDecoder,
    StaleListError,
)
from meadowpulley.net.gateway_context import GatewayContext

LONG_POLL_MS = 10_000.0  # how long a watch waits for changes, unless the settings ask for shorter polls
MAX_LONG_POLL_MS = 60_000.0
# How long a call waits for its response. Longer than discovery keeps a call in its queue: one that is given
# up just before its response costs discovery as much as one that is answered, and is made again.
RESPONSE_GRACE_MS = 4_000.0
# The same for a long poll, beyond its wait: 2 s after the wait discovery counts a change as notified, whether
# or not its response came, and the next call has to be answered by then.
LONG_POLL_GRACE_MS = 1_500.0
# After failed watches, where lists are pushed. Discovery counts changes as notified once it is back, and
# after the drain grace of the settings nothing may be sent to a draining server: the longest backoff is half
# of that grace at most, so that the other half is left for the call itself.
FIRST_BACKOFF_MS, LONGEST_BACKOFF_MS = 500.0, 4_000.0
RETRY_JITTER = (0.5, 1.0)  # factors of the backoff, drawn uniformly


class EndpointRegistry(Protocol):
    """Who has to know the addresses of the instances: the connection pools."""

    def register(self, server: int, address: Address, incarnation: tuple[int, float]) -> None:
        """Note an instance's address; its incarnation is its build and when it started."""

    def close_idle(self, server: int) -> None:
        """Close the idle connections to an instance that drains."""

    def remove(self, server: int) -> None:
        """Forget an instance that is gone."""


class DiscoveryClient:
    """Keeps the endpoint list up to date, and dispatches an `EndpointUpdate` for each change or failure.

    `clock_offset_ms` is what Unix time is ahead of the gateway's clock.
    """

    def __init__(self, gateway: GatewayContext, registry: EndpointRegistry, clock_offset_ms: float) -> None:
        self.gateway, self.registry = gateway, registry
        self.decoder = EndpointListDecoder(gateway.config.settings, clock_offset_ms)
        self.idle_connection = IdleConnectionSlot()
        self.version = 0  # of the list that the next watch names as known
        self.lists_applied = 0
        self._list_applied_at = -math.inf  # on the gateway's clock
        self._confirmed_at = -math.inf  # the list in use holds all changes up to then, on the gateway's clock
        self._watched_version = 0  # which the last watch named as known
        self._watch_call: DiscoveryCall | None = None
        self._fetch_call: DiscoveryCall | None = None
        self._watching = False  # whether the policy wants a watch
        self._update_owed = False  # the policy asked for a watch: it gets one update, even if nothing changed
        self._consecutive_failures = 0
        self._retry: Deadline | None = None  # after a failed watch
        rules = gateway.config.settings.rules
        longest_backoff_ms = min(rules.drain_grace_ms / 2 or LONGEST_BACKOFF_MS, LONGEST_BACKOFF_MS)
        self._backoff = Backoff(FIRST_BACKOFF_MS, longest_backoff_ms)
        self._long_poll_ms = min(rules.max_poll_interval_ms or LONG_POLL_MS, MAX_LONG_POLL_MS)
        self._random = random.Random(gateway.config.seed)

    def start(self) -> None:
        """Apply the list that the configuration holds, and watch unless the policy has to ask for it."""
        cached_endpoints = self.gateway.config.cached_endpoints
        if cached_endpoints is not None:
            try:
                endpoint_list = self.decoder.decode(cached_endpoints)
                self._log_list(endpoint_list, None)
                self._apply_list(endpoint_list, is_cached=True)
            except DiscoveryError as error:
                self.gateway.counters.add("discovery.malformed")
                self.gateway.log.warning("cached_endpoints_ignored", reason=str(error))
        if not self.gateway.config.settings.must_poll:
            self.watch(True)

    def stop(self) -> None:
        """Cancel all calls and close the idle connection."""
        self.gateway.deadlines.cancel(self._retry)
        for call in (self._watch_call, self._fetch_call):
            if call is not None:
                call.cancel()
        self._watch_call = self._fetch_call = None
        self.idle_connection.discard()

    def address_changed(self) -> None:
        """Make the calls under way anew, at the address that the configuration names now."""
        self.idle_connection.discard()
        self._consecutive_failures = 0
        fetch_call, self._fetch_call = self._fetch_call, None
        if fetch_call is not None:
            fetch_call.cancel()
            self.fetch()
        if self._watching:
            self.watch(True)

    # Watching

    def watch(self, enabled: bool) -> None:
        """Start a watch anew, or end it. The first call of a watch is answered at once."""
        self._watching = enabled
        # A retry that was left pending cancelled the newer watch, or opened one that nobody wanted.
        self.gateway.deadlines.cancel(self._retry)
        if self._watch_call is not None:
            self._watch_call.cancel()
            self._watch_call = None
            self.gateway.dispatch(EndpointWatchClosed(self._as_of_ms()))
        if enabled and not self.gateway.stopping:
            self._update_owed = True
            self._open_watch(0.0)

    def _open_watch(self, wait_ms: float) -> None:
        self._watched_version = self.version
        query = f"{protocol.AFTER_PARAMETER}={self.version}&{protocol.WAIT_PARAMETER}={wait_ms:.0f}"
        target = f"{protocol.ENDPOINTS_PATH}?{query}"
        self.gateway.counters.add("discovery.watches")
        timeout_ms = wait_ms + LONG_POLL_GRACE_MS if wait_ms else RESPONSE_GRACE_MS
        self._watch_call = DiscoveryCall(
            self,
            target,
            wait_ms,
            timeout_ms,
            self._handle_watch_response,
            self._watch_failed,
            lambda: self._watch_sent(wait_ms),
        )
        self._watch_call.start()

    def _watch_sent(self, wait_ms: float) -> None:
        """Tell the policy that discovery has a call which waits for changes."""
        if wait_ms > 0:
            self.gateway.dispatch(EndpointWatchOpened(wait_ms, self._confirmed_at))

    def _handle_watch_response(self, raw: Any, report: CallReport) -> None:
        self._watch_call = None
        try:
            self._apply_response(raw, report)
        except StaleListError:
            self._open_watch(0.0)
            return
        except DiscoveryError as error:
            self._discard_malformed()
            self._watch_failed(str(error), EndpointUpdateKind.BROKEN, report)
            return
        except Exception:  # a fault of ours: the list was not applied, and nobody else would request it again
            self.gateway.log_fault("discovery")
            if self._watch_call is None:
                self._watch_failed("a fault of this gateway", EndpointUpdateKind.BROKEN, report)
            return
        self._consecutive_failures = 0
        if self._watch_call is None and self._watching and not self.gateway.stopping:
            self._open_watch(self._long_poll_ms)

    def _watch_failed(self, reason: str, kind: EndpointUpdateKind, report: CallReport) -> None:
        self._watch_call = None
        self._report_failure(reason, kind, report)
        if self._watch_call is not None or not self._watching:  # the policy reacted to the failure
            return
        if not self.gateway.config.settings.must_poll and not self.gateway.stopping:
            self._schedule_retry(kind)

    def _schedule_retry(self, kind: EndpointUpdateKind) -> None:
        backoff_ms = self._backoff.delay_ms(self._consecutive_failures)
        if kind is EndpointUpdateKind.TIMED_OUT:
            backoff_ms = (
                0.0  # it took seconds to find, at another time at each gateway: the retry is late already
            )
        else:
            self._consecutive_failures += 1
        delay_ms = backoff_ms * self._random.uniform(*RETRY_JITTER)
        self._retry = self.gateway.deadlines.after(delay_ms, lambda: self.watch(True))

    # Fetching

    def fetch(self) -> None:
        """Request the whole list once, unless it has been requested already."""
        if self._fetch_call is not None:
            return
        self.gateway.counters.add("discovery.fetches")
        self._fetch_call = DiscoveryCall(
            self,
            protocol.ENDPOINTS_PATH,
            0.0,
            RESPONSE_GRACE_MS,
            self._handle_fetch_response,
            self._fetch_failed,
        )
        self._fetch_call.start()

    def _handle_fetch_response(self, raw: Any, report: CallReport) -> None:
        self._fetch_call = None
        try:
            self._apply_response(raw, report)
        except StaleListError:
            self.fetch()
        except DiscoveryError as error:
            self._discard_malformed()
            self._fetch_failed(str(error), EndpointUpdateKind.BROKEN, report)

    def _fetch_failed(self, reason: str, kind: EndpointUpdateKind, report: CallReport) -> None:
        self._fetch_call = None
        self._report_failure(reason, kind, report)

    # Failures

    def _report_failure(self, reason: str, kind: EndpointUpdateKind, report: CallReport) -> None:
        self.gateway.counters.add("discovery.failed_calls")
        self.gateway.log.warning(
            "discovery_call_failed",
            reason=reason,
            kind=kind.name.lower(),
            target=report.target,
            elapsed_ms=round(report.elapsed_ms),
            was_sent=report.was_sent,
            version=self.version,
            list_age_ms=self._list_age_ms(),
        )
        self._update_owed = False
        self.gateway.dispatch(EndpointUpdate(kind, self.version, as_of_ms=self._as_of_ms()))

    def _as_of_ms(self) -> float | None:
        """Return up to when the list in use holds all changes, once no call is out.

        None stands for now: where lists are pushed, discovery that fails a call notifies nobody of anything.
        """
        return self._confirmed_at if self.gateway.config.settings.must_poll else None

    def _discard_malformed(self) -> None:
        """Count a list that cannot be read, and close the connection that it came on."""
        self.gateway.counters.add("discovery.malformed")
        self.idle_connection.discard()

    # Applying lists

    def _apply_response(self, raw: Any, report: CallReport) -> None:
        """Apply the list of a response. Raises DiscoveryError or StaleListError, and then changes nothing.

        Discovery handles calls in order, so its versions rise; they fall only when it was restarted or has
        moved. A call that was written after all lists applied so far is answered with the present state,
        whatever its version. A response with a lower version to a call that was written before is either
        older than the newest list, or from after a restart. These cannot be told apart: it is not applied,
        and the list requested again.
        """
        endpoint_list = self.decoder.decode(raw)
        if endpoint_list.version < self.version and report.lists_applied_at_send < self.lists_applied:
            self.gateway.counters.add("discovery.stale_lists")
            raise StaleListError
        # A call without a wait is answered as of its arrival at the earliest; one with a wait once it is
        # over, or once anything changes. How long the response was under way is not known.
        now = self.gateway.deadlines.now()
        as_of_ms = max(report.started_at, now - LONG_POLL_GRACE_MS if report.wait_ms else -math.inf)
        self._confirmed_at = max(self._confirmed_at, as_of_ms)
        self._log_list(endpoint_list, report)
        self._apply_list(endpoint_list, is_cached=False)

    def _log_list(self, endpoint_list: EndpointList, report: CallReport | None) -> None:
        """Log which list takes the place of which, and how long its call took; None for the cached list."""
        states = [endpoint.entry.state for endpoint in endpoint_list.endpoints]
        self.gateway.log.info(
            "endpoint_list_applied",
            version=endpoint_list.version,
            previous_version=self.version,
            is_snapshot=endpoint_list.is_snapshot,
            is_cached=report is None,
            ready=states.count(ServerState.READY),
            draining=states.count(ServerState.DRAINING),
            removed=states.count(ServerState.REMOVED),
            elapsed_ms=None if report is None else round(report.elapsed_ms),
            previous_age_ms=self._list_age_ms(),
        )

    def _apply_list(self, endpoint_list: EndpointList, is_cached: bool) -> None:
        removed_ids = endpoint_list.removed_ids
        if endpoint_list.is_snapshot or is_cached:
            removed_ids |= set(self.decoder.server_ids.values()) - endpoint_list.present_ids
        self._register_endpoints(endpoint_list)
        self._advance_version(endpoint_list, is_cached)
        self._dispatch_update(endpoint_list, is_cached)
        for server in removed_ids:
            self.registry.remove(server)
        self.decoder.remove(removed_ids)

    def _list_age_ms(self) -> int | None:
        """Return how long ago the list in use was applied; None if there is none yet."""
        if not self.lists_applied:
            return None
        return round(self.gateway.deadlines.now() - self._list_applied_at)

    def _register_endpoints(self, endpoint_list: EndpointList) -> None:
        for endpoint in endpoint_list.endpoints:
            entry = endpoint.entry
            if endpoint.address is not None and not endpoint.is_removed:
                self.registry.register(entry.server, endpoint.address, (entry.build, entry.started_ms))
        for endpoint in endpoint_list.endpoints:
            if endpoint.entry.state is ServerState.DRAINING:
                self.registry.close_idle(endpoint.entry.server)

    def _advance_version(self, endpoint_list: EndpointList, is_cached: bool) -> None:
        # Changes since a version that discovery has not reached, or that this gateway no longer has, mean
        # that discovery was restarted: they say nothing of what it forgot or never knew. The next watch asks
        # for everything.
        version, is_snapshot = endpoint_list.version, endpoint_list.is_snapshot
        is_partial = not is_cached and not is_snapshot
        has_gap = is_partial and self._watched_version > min(version, self.version)
        self.version = 0 if has_gap else version
        self.lists_applied += 1
        self._list_applied_at = self.gateway.deadlines.now()

    def _dispatch_update(self, endpoint_list: EndpointList, is_cached: bool) -> None:
        endpoints, is_snapshot = endpoint_list.endpoints, endpoint_list.is_snapshot
        self.gateway.counters.add("discovery.entries", len(endpoints))
        if not (endpoints or is_snapshot or self._update_owed):
            return
        if not is_cached:
            self._update_owed = False
        kind = EndpointUpdateKind.FULL if is_snapshot else EndpointUpdateKind.INCREMENTAL
        if is_cached:
            kind = EndpointUpdateKind.CACHED
        entries = tuple(endpoint.entry for endpoint in endpoints)
        as_of_ms = None if is_cached else self._confirmed_at
        self.gateway.dispatch(EndpointUpdate(kind, endpoint_list.version, entries, as_of_ms))
