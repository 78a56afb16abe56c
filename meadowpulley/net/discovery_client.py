"""The list of instances: fetched once, or watched, over one kept connection to discovery."""

from __future__ import annotations

import json
import math
import random
from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from meadowpulley.interface import EndpointUpdate, EndpointUpdateKind, ServerState
from meadowpulley.net import protocol
from meadowpulley.net.config import Address
from meadowpulley.net.connection import Connection, connect
from meadowpulley.net.deadlines import Deadline
from meadowpulley.net.endpoint_list import DiscoveryError, EndpointListDecoder, StaleListError
from meadowpulley.net.gateway_context import GatewayContext
from meadowpulley.net.http1 import BadMessageError, Message, Parser, request_bytes

PARTIAL_RESPONSE_TIMEOUT_MS = 500.0  # for the rest of an answer that has begun: answers are written whole
LONG_POLL_MS = 10_000.0  # how long a watch waits for news, unless the settings have it ask more often
MAX_LONG_POLL_MS = 60_000.0
# Beyond the wait, until a call without an answer has failed. Longer than discovery keeps a call waiting: one
# given up just before its answer costs discovery as much as one that is heard, and is asked again.
RESPONSE_GRACE_MS = 4_000.0
# The same for a call that may wait for news: discovery counts what a silent one misses as told 2 s after its
# wait, and the next call has to be answered by then.
LONG_POLL_GRACE_MS = 1_500.0
# Where the list comes unasked: first and longest pause after failed watches but the first. What is told when
# discovery is back counts at once, and after the settings' time for that nothing may be sent any more to what
# drains: no pause is longer than half of that time, so that the other half is left for the call itself.
RETRY_BACKOFF_MS = (500.0, 4_000.0)
MAX_LIST_BYTES = 8 * 1024 * 1024  # a list of thousands of instances


class EndpointRegistry(Protocol):
    """Who has to know where the instances are."""

    def register(self, server: int, address: Address, start: tuple[int, float]) -> None: ...

    def close_idle(self, server: int) -> None: ...

    def remove(self, server: int) -> None: ...


class DiscoveryConnection(Connection):
    def __init__(self, client: DiscoveryClient) -> None:
        super().__init__(client.gateway.deadlines, MAX_LIST_BYTES, 4096)
        self.parser = Parser(self.input_buffer, expect_requests=False, max_body_bytes=MAX_LIST_BYTES)
        self.response: Deferred[Message] | None = None

    def request(self, target: str) -> Deferred[Message]:
        response: Deferred[Message] = Deferred()
        self.response = response
        self.send(request_bytes("GET", target, {"host": "discovery"}))
        return response

    def received(self) -> None:
        try:
            message = self.parser.next_message()
        except BadMessageError as error:
            self._fail(error)
            self.abort()
            return
        if message is not None:
            self._deliver(message)
        elif self.parser.has_partial_message and self.timeout.at == math.inf:
            self.timeout.set(PARTIAL_RESPONSE_TIMEOUT_MS, self._response_overdue)

    def _response_overdue(self) -> None:
        if self.has_unread_input():  # this gateway is late, not the rest of the answer
            self.timeout.set(PARTIAL_RESPONSE_TIMEOUT_MS, self._response_overdue)
            return
        self._fail(DiscoveryError("only a part of an answer"))
        self.abort()

    def _deliver(self, message: Message) -> None:
        response, self.response = self.response, None
        self.timeout.clear()
        if not message.keep_alive or response is None or self.parser.has_partial_message:
            self.abort()
        if response is not None:
            response.callback(message)

    def _fail(self, error: Exception) -> None:
        response, self.response = self.response, None
        if response is not None:
            response.errback(DiscoveryError(str(error)))

    def closed(self) -> None:
        message = self.parser.end_of_stream()
        if message is not None:
            self._deliver(message)
        else:
            self._fail(DiscoveryError("the connection broke"))

    def overflowed(self) -> None:
        self._fail(DiscoveryError("the list is too long"))
        self.abort()


class DiscoveryCall:
    """One call, from the connection it may need to its answer, with one deadline over all of it."""

    def __init__(
        self,
        client: DiscoveryClient,
        target: str,
        timeout_ms: float,
        on_success: Callable[[Any, int], None],
        on_failure: Callable[[str, EndpointUpdateKind], None],
    ) -> None:
        self.client, self.target = client, target
        self._on_success, self._on_failure = on_success, on_failure
        self.completed = False
        self._lists_applied_at_send = 0  # that had been read when the call was written
        self.connection: DiscoveryConnection | None = None
        self.connecting: Deferred[Any] | None = None
        self.timeout: Deadline = client.gateway.deadlines.after(timeout_ms, self._timed_out)

    def start(self) -> None:
        """Once the call is stored: one that fails at once would be stored after its failure was told."""
        client = self.client
        idle_connection, client.idle_connection = client.idle_connection, None
        if (
            idle_connection is not None
            and idle_connection.is_open
            and not idle_connection.parser.has_partial_message
            and not idle_connection.has_unread_input()
        ):
            self._send_request(idle_connection)
            return
        if idle_connection is not None:
            idle_connection.abort()
        gateway = client.gateway
        connecting = connect(gateway.reactor, gateway.config.discovery, lambda: DiscoveryConnection(client))
        self.connecting = connecting
        connecting.addCallbacks(self._send_request, self._connection_failed).addErrback(
            lambda _: gateway.log_fault("discovery")
        )

    def _send_request(self, connection: DiscoveryConnection) -> None:
        self.connecting = None
        if self.completed:
            connection.abort()
            return
        self.connection, self._lists_applied_at_send = connection, self.client.lists_applied
        connection.request(self.target).addCallbacks(
            self._handle_response, self._connection_failed
        ).addErrback(lambda _: self.client.gateway.log_fault("discovery"))

    def _handle_response(self, message: Message) -> None:
        if self.completed:
            return
        connection, self.connection = self.connection, None
        if message.status != 200:
            self._fail(f"status {message.status}", connection)
            return
        try:
            raw = json.loads(message.body)
        except (ValueError, RecursionError):
            self._fail("no JSON", connection)
            return
        self._complete()
        if connection is not None and connection.is_open:
            other_connection, self.client.idle_connection = self.client.idle_connection, connection
            if other_connection is not None:  # of another call, over meanwhile
                other_connection.abort()
        self._on_success(raw, self._lists_applied_at_send)

    def _connection_failed(self, failure: Failure) -> None:
        self.connecting = None
        if not self.completed:
            self._fail(failure.getErrorMessage(), None)

    def _timed_out(self) -> None:
        if (
            self.connection is not None and self.connection.has_unread_input()
        ):  # this gateway is late, not the answer
            self.timeout = self.client.gateway.deadlines.after(PARTIAL_RESPONSE_TIMEOUT_MS, self._timed_out)
            return
        self._fail("no answer in time", self.connection, EndpointUpdateKind.TIMED_OUT)

    def _complete(self) -> None:
        self.completed = True
        self.client.gateway.deadlines.cancel(self.timeout)

    def _fail(
        self,
        reason: str,
        connection: DiscoveryConnection | None,
        kind: EndpointUpdateKind = EndpointUpdateKind.FAILED,
    ) -> None:
        self.cancel()
        if connection is not None:
            connection.abort()
        self._on_failure(reason, kind)

    def cancel(self) -> None:
        """Ends the call without a word to anyone."""
        self._complete()
        connecting, self.connecting = self.connecting, None
        connection, self.connection = self.connection, None
        if connecting is not None:
            connecting.cancel()
        if connection is not None:
            connection.abort()


class DiscoveryClient:
    def __init__(self, gateway: GatewayContext, registry: EndpointRegistry, clock_offset_ms: float) -> None:
        self.gateway, self.registry = gateway, registry
        self.decoder = EndpointListDecoder(gateway.config.settings, clock_offset_ms)
        self.idle_connection: DiscoveryConnection | None = None
        self.version = 0
        self.lists_applied = 0  # read so far; a call that is answered was written when so many had been
        self._watched_version = 0  # the version that the watch asked with
        self._watch_call: DiscoveryCall | None = None
        self._fetch_call: DiscoveryCall | None = None
        self._watching = False  # a watch, by the decisions' last word
        self._update_owed = False  # the decisions asked, and are owed one list, be it empty
        self._consecutive_failures = 0
        self._retry: Deadline | None = None  # the one next try after a failed watch
        poll_interval_ms = gateway.config.settings.rules.max_poll_interval_ms
        self._max_backoff_ms = min(
            gateway.config.settings.rules.drain_grace_ms / 2 or RETRY_BACKOFF_MS[1], RETRY_BACKOFF_MS[1]
        )
        self._long_poll_ms = min(poll_interval_ms or LONG_POLL_MS, MAX_LONG_POLL_MS)
        self._random = random.Random(gateway.config.seed)

    def start(self) -> None:
        cached_endpoints = self.gateway.config.cached_endpoints
        if cached_endpoints is not None:
            try:
                self._apply_list(cached_endpoints, EndpointUpdateKind.CACHED)
            except DiscoveryError as error:
                self.gateway.counters.add("list.garbage")
                self.gateway.log.warning("known list passed over", why=str(error))
        if not self.gateway.config.settings.must_poll:
            self.watch(True)

    def stop(self) -> None:
        self.gateway.deadlines.cancel(self._retry)
        for call in (self._watch_call, self._fetch_call):
            if call is not None:
                call.cancel()
        self._watch_call = self._fetch_call = None
        if self.idle_connection is not None:
            self.idle_connection.abort()

    def address_changed(self) -> None:
        """Discovery is elsewhere now: what was asked of the old address is asked of the new one at once."""
        idle_connection, self.idle_connection = self.idle_connection, None
        if idle_connection is not None:
            idle_connection.abort()
        self._consecutive_failures = 0
        fetch_call, self._fetch_call = self._fetch_call, None
        if fetch_call is not None:
            fetch_call.cancel()
            self.fetch()
        if self._watching:
            self.watch(True)

    # Watching

    def watch(self, enabled: bool) -> None:
        """What changed since the last list comes first, at once, and after that every change."""
        self._watching = enabled
        # A next try that was left pending abandoned the newer watch, or opened one that nobody wanted.
        self.gateway.deadlines.cancel(self._retry)
        if self._watch_call is not None:
            self._watch_call.cancel()
            self._watch_call = None
        if enabled and not self.gateway.stopping:
            self._update_owed = True
            self._open_watch(0.0)

    def _open_watch(self, wait_ms: float) -> None:
        self._watched_version = self.version
        query = f"{protocol.AFTER_PARAMETER}={self.version}&{protocol.WAIT_PARAMETER}={wait_ms:.0f}"
        target = f"{protocol.ENDPOINTS_PATH}?{query}"
        self.gateway.counters.add("list.watches")
        timeout_ms = wait_ms + LONG_POLL_GRACE_MS if wait_ms else RESPONSE_GRACE_MS
        self._watch_call = DiscoveryCall(
            self, target, timeout_ms, self._handle_watch_response, self._watch_failed
        )
        self._watch_call.start()

    def _handle_watch_response(self, raw: Any, lists_applied_at_send: int) -> None:
        self._watch_call = None
        try:
            self._apply_list(raw, None, lists_applied_at_send)
        except StaleListError:
            self._open_watch(0.0)
            return
        except DiscoveryError as error:
            self._discard_malformed()
            self._watch_failed(str(error))
            return
        except Exception:  # a fault of ours: the list was not taken, and nobody else would ask for it again
            self.gateway.log_fault("discovery")
            if self._watch_call is None:
                self._watch_failed("a fault of this gateway")
            return
        self._consecutive_failures = 0
        if self._watch_call is None and self._watching and not self.gateway.stopping:
            self._open_watch(self._long_poll_ms)

    def _watch_failed(self, reason: str, kind: EndpointUpdateKind = EndpointUpdateKind.FAILED) -> None:
        self._watch_call = None
        self._report_failure(reason, kind)
        if self._watch_call is not None or not self._watching:  # by what the decisions said to that
            return
        if not self.gateway.config.settings.must_poll and not self.gateway.stopping:
            backoff_ms = (
                min(RETRY_BACKOFF_MS[0] * 2 ** min(self._consecutive_failures, 10), self._max_backoff_ms)
                if self._consecutive_failures
                else 0.0
            )
            if (
                kind is EndpointUpdateKind.TIMED_OUT
            ):  # found after seconds, by each at its own time: it is late already
                backoff_ms = 0.0
            else:
                self._consecutive_failures += 1
            delay_ms = backoff_ms * self._random.uniform(0.5, 1.0)
            self._retry = self.gateway.deadlines.after(delay_ms, lambda: self.watch(True))

    def _report_failure(self, reason: str, kind: EndpointUpdateKind) -> None:
        self.gateway.counters.add("list.failed")
        self.gateway.log.warning("discovery call failed", why=reason)
        self._update_owed = False
        self.gateway.dispatch(EndpointUpdate(kind, self.version))

    def _discard_malformed(self) -> None:
        """After a list that can't be read its connection is of no further use."""
        self.gateway.counters.add("list.garbage")
        idle_connection, self.idle_connection = self.idle_connection, None
        if idle_connection is not None:
            idle_connection.abort()

    # Fetching

    def fetch(self) -> None:
        if self._fetch_call is None:
            self.gateway.counters.add("list.fetches")
            self._fetch_call = DiscoveryCall(
                self,
                protocol.ENDPOINTS_PATH,
                RESPONSE_GRACE_MS,
                self._handle_fetch_response,
                self._fetch_failed,
            )
            self._fetch_call.start()

    def _handle_fetch_response(self, raw: Any, lists_applied_at_send: int) -> None:
        self._fetch_call = None
        try:
            self._apply_list(raw, None, lists_applied_at_send)
        except StaleListError:
            self.fetch()
        except DiscoveryError as error:
            self._discard_malformed()
            self._fetch_failed(str(error))

    def _fetch_failed(self, reason: str, kind: EndpointUpdateKind = EndpointUpdateKind.FAILED) -> None:
        self._fetch_call = None
        self._report_failure(reason, kind)

    def _apply_list(self, raw: Any, kind: EndpointUpdateKind | None, lists_applied_at_send: int = 0) -> None:
        """Discovery handles calls in turn, so its versions rise; they fall only when it was restarted or has
        moved. A call written after all that was read is answered with what is true by then, whatever its
        version. An answer with a lower version to a call written before that is from before the newer list,
        or from after a restart: as nobody can tell, it is not believed, and asked for again, which tells."""
        is_snapshot, version, entries = self.decoder.decode(raw)
        entries = list(
            {entry.server: (entry, address) for entry, address in entries}.values()
        )  # last word holds
        if version < self.version and lists_applied_at_send < self.lists_applied:
            self.gateway.counters.add("list.overtaken")
            raise StaleListError
        for entry, address in entries:
            if address is not None and entry.state is not ServerState.REMOVED:
                self.registry.register(entry.server, address, (entry.build, entry.started_ms))
        listed_servers = {entry.server for entry, _ in entries if entry.state is not ServerState.REMOVED}
        removed_servers = {entry.server for entry, _ in entries if entry.state is ServerState.REMOVED}
        if is_snapshot or kind is EndpointUpdateKind.CACHED:
            removed_servers |= set(self.decoder.server_ids.values()) - listed_servers
        for entry, _ in entries:
            if entry.state is ServerState.DRAINING:
                self.registry.close_idle(entry.server)
        # Changes since a version that discovery has not reached, or that this gateway no longer has: it was
        # restarted, and of what it forgot or never knew they say nothing. The next watch asks for everything.
        has_gap = kind is None and not is_snapshot and self._watched_version > min(version, self.version)
        self.version = 0 if has_gap else version
        self.lists_applied += 1
        if kind is None:
            kind = EndpointUpdateKind.FULL if is_snapshot else EndpointUpdateKind.INCREMENTAL
        self.gateway.counters.add("list.entries", len(entries))
        if entries or is_snapshot or self._update_owed:
            if kind is not EndpointUpdateKind.CACHED:
                self._update_owed = False
            self.gateway.dispatch(EndpointUpdate(kind, version, tuple(entry for entry, _ in entries)))
        for server in removed_servers:
            self.registry.remove(server)
        self.decoder.remove(removed_servers)
