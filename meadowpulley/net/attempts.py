"""Attempts: requests on their way to an instance, each with one outcome; and probes."""

from __future__ import annotations

import math
from functools import partial
from typing import Any

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from meadowpulley.interface import Cancel, Effect, Outcome, Probe, ProbeResult, Result, Send
from meadowpulley.net import protocol
from meadowpulley.net.connection import connect
from meadowpulley.net.deadlines import Deadline
from meadowpulley.net.gateway_context import GatewayContext
from meadowpulley.net.http1 import Message, forwarded_headers, request_bytes
from meadowpulley.net.instance_connection import ConnectionPool, InstanceConnection
from meadowpulley.net.instance_pools import InstancePools
from meadowpulley.net.request_table import AcceptedRequest, RequestTable
from meadowpulley.settings import LOAD_REPORT_COLUMNS

_NOT_EXECUTED = (Result.REJECTED, Result.CONNECT_FAILED, Result.NOT_SENT)


def classify_response(response: Message) -> Result:
    if response.status == 200:
        return Result.OK
    if response.status in (503, 504) and response.headers.get(protocol.REJECTED_HEADER) == "1":
        return Result.REJECTED
    return Result.ERROR


def parse_load_report(text: str, columns: tuple[str, ...]) -> tuple[float, ...]:
    """A load report, in the order of the settings' columns; nothing unless every column has a number."""
    values_by_column: dict[str, float] = {}
    for item in text.split(","):
        name, _, value = item.strip().partition("=")
        try:
            values_by_column[LOAD_REPORT_COLUMNS.get(name, name)] = float(value)
        except ValueError:
            return ()
    values = tuple(values_by_column.get(column, math.nan) for column in columns)
    return values if all(math.isfinite(v) for v in values) else ()


class Attempt:
    """One attempt of a request, or a probe when `taken` is None. Times are those of the gateway's clock."""

    def __init__(
        self,
        runner: AttemptRunner,
        server: int,
        request: AcceptedRequest | None,
        number: int,
        sent_at: float,
        deadline: float,
    ) -> None:
        self.runner, self.server, self.request, self.number = runner, server, request, number
        self.sent_at, self.deadline = sent_at, deadline
        self.connection: InstanceConnection | None = None
        self.connecting: Deferred[Any] | None = None
        self.written = self.finished = False  # written: the kernel has the request's last byte
        self.timeout: Deadline | None = None
        self.connect_timeout: Deadline | None = None
        self.write_timeout: Deadline | None = None

    def start(self, pool: ConnectionPool) -> None:
        runner = self.runner
        connection = pool.acquire()
        if connection is not None:
            if connection.reusable_at <= runner.gateway.deadlines.now():
                connection.send_request(self, self._bytes())
            else:
                runner.gateway.counters.add("up.rests")
                runner.gateway.deadlines.at(
                    connection.reusable_at, partial(self._connection_reusable, connection)
                )
            return
        if not runner.instances.evict_idle():
            runner.gateway.counters.add("up.no_socket")
            self.finish(Result.CONNECT_FAILED)
            return
        connecting = connect(runner.gateway.reactor, pool.address, lambda: InstanceConnection(pool))
        runner.instances.open_sockets += 1
        timeout_ms = runner.limits.connect_timeout_ms
        if timeout_ms > 0:
            self.connect_timeout = runner.gateway.deadlines.after(timeout_ms, self._connect_timed_out)
        self.connecting = connecting  # before its callbacks, which forget it and may run at once
        connecting.addCallbacks(self._connected, self._connect_failed)
        connecting.addErrback(self._connect_raised)

    def _connection_reusable(self, connection: InstanceConnection) -> None:
        """The connection that was kept for this attempt may carry it now, if nothing has come on it."""
        if self.finished:
            if connection.is_open:
                connection.pool.release(connection)
        elif connection.pool.retired:
            connection.abort()
            self.finish(Result.CONNECT_FAILED)
        elif connection.is_open and not connection.has_unread_input():
            connection.send_request(self, self._bytes())
        else:
            connection.abort()
            self.runner.start(self, connection.pool, "send")

    def _connect_raised(self, _: Failure) -> None:
        self.runner.gateway.log_fault("connect")
        self.connection_lost()

    def _bytes(self) -> bytes:
        if self.request is None:
            return request_bytes("GET", protocol.LIVENESS_PATH, {"host": protocol.SERVICE_HOST})
        message = self.request.message
        remaining_ms = max(self.deadline - self.runner.gateway.deadlines.now(), 0.0)
        headers = {
            **forwarded_headers(message.headers, protocol.SERVICE_HOST),
            protocol.REMAINING_TIME_HEADER: f"{remaining_ms * 1000:.0f}u",
        }
        return request_bytes(message.method, message.target, headers, message.body)

    def _connected(self, connection: InstanceConnection) -> None:
        self.connecting = None
        self.runner.gateway.deadlines.run_due()  # a connection is input, too
        self.runner.gateway.deadlines.cancel(self.connect_timeout)
        if self.request is not None and self.request.finished:  # its client has gone: nothing is sent for it
            self.finish(Result.NOT_SENT)
        if self.finished:
            connection.abort()
        elif connection.is_open:
            connection.send_request(self, self._bytes())
        else:
            self.finish(Result.CONNECT_FAILED)

    def _connect_failed(self, _: Failure) -> None:
        self.connecting = None
        self.runner.instances.open_sockets -= 1
        self.finish(Result.CONNECT_FAILED)

    def _connect_timed_out(self) -> None:
        if self.connection is None:
            self.finish(Result.CONNECT_FAILED)

    def write_timed_out(self) -> None:
        """Its last byte has to be out by now, or what it repeats may be forgotten where it arrives."""
        if not self.written:
            self.runner.gateway.counters.add("up.past_window")
            self.finish(Result.CONNECT_FAILED)

    def time_out(self) -> None:
        self.finish(Result.TIMEOUT if self.written else Result.CONNECT_FAILED)

    def cancel(self) -> None:
        self.runner.gateway.counters.add("up.cancelled")
        self.finish(Result.CANCELLED)

    def connection_lost(self) -> None:
        self.finish(Result.RESET if self.written else Result.CONNECT_FAILED)

    def malformed_response(self) -> None:
        """What came is no answer: a request that was written has run, or may have; who spoilt it is not
        said."""
        self.runner.gateway.counters.add("up.garbage")
        self.connection_lost()

    def response_received(self, response: Message) -> None:
        result, request = classify_response(response), self.request
        if not self.written and result is not Result.REJECTED:
            # An instance begins with the last byte, which it can't have: that answers an earlier request.
            self.runner.gateway.counters.add("up.unasked")
            self.connection_lost()
            return
        if result is Result.OK and request is not None and not request.finished:
            content_type = response.headers.get("content-type")
            headers = {"content-type": content_type} if content_type else {}
            request.outstanding.pop(self.number, None)
            self.runner.requests.respond(request, 200, headers, response.body)
        self.finish(
            result,
            parse_load_report(
                response.headers.get(protocol.LOAD_REPORT_HEADER, ""), self.runner.report_columns
            ),
        )

    def finish(self, result: Result, load: tuple[float, ...] = ()) -> None:
        """The one outcome of an attempt; whatever is left of it on the network is closed."""
        if self.finished:
            return
        self.finished = True
        gateway = self.runner.gateway
        gateway.deadlines.cancel(self.timeout)
        gateway.deadlines.cancel(self.connect_timeout)
        gateway.deadlines.cancel(self.write_timeout)
        connection, self.connection = self.connection, None
        if connection is not None and connection.exchange is self:
            connection.exchange = None
            connection.abort()
        if self.connecting is not None:
            self.connecting.cancel()
        elapsed_ms, request = gateway.deadlines.now() - self.sent_at, self.request
        gateway.counters.add(f"up.{result.name.lower()}")
        if request is None:
            gateway.dispatch(ProbeResult(self.server, result, elapsed_ms, load))
            return
        request.outstanding.pop(self.number, None)
        if result not in _NOT_EXECUTED:
            request.first_execution_at = min(request.first_execution_at, self.sent_at)
        client_finished = request.finished
        self.runner.requests.free_if_done(request)
        gateway.dispatch(
            Outcome(request.handle, self.number, self.server, result, elapsed_ms, client_finished, load)
        )


class AttemptRunner:
    """Carries out what the decisions say of attempts and probes."""

    def __init__(self, gateway: GatewayContext, instances: InstancePools, requests: RequestTable) -> None:
        self.gateway, self.instances, self.requests = gateway, instances, requests
        self.limits = gateway.config.settings.limits
        self.report_columns = gateway.config.settings.report_columns

    def send(self, action: Send) -> None:
        request = self.requests.slots.get(action.request)
        now = self.gateway.deadlines.now()
        if request is None:
            self.gateway.counters.add("up.late_actions")
            return
        number, request.attempt_count = request.attempt_count, request.attempt_count + 1
        deadline = (
            request.deadline if action.timeout_ms == 0 else min(request.deadline, now + action.timeout_ms)
        )
        write_by = self._write_deadline(request)
        pool = self.instances.pools.get(action.server)
        attempt = Attempt(self, action.server, request, number, now, deadline)
        request.outstanding[number] = attempt
        if request.finished or deadline <= now or number >= self.limits.max_attempts:
            attempt.finish(Result.NOT_SENT)
        elif pool is None:
            attempt.finish(Result.CONNECT_FAILED)
        else:
            self.gateway.counters.add("up.attempts")
            if deadline < request.deadline:
                attempt.timeout = self.gateway.deadlines.at(deadline, attempt.time_out)
            if write_by < deadline:
                attempt.write_timeout = self.gateway.deadlines.at(write_by, attempt.write_timed_out)
            self.start(attempt, pool, "send")

    def _write_deadline(self, request: AcceptedRequest) -> float:
        """Until when a further attempt of a keyed request may be written: the decisions look at the window
        when they send, and its connection may come up, or its body go out, well after that."""
        settings = self.gateway.config.settings
        request_class = settings.classes[request.class_index]
        if request_class.effect is not Effect.IDEMPOTENT_WITH_KEY:
            return math.inf
        return (
            min([request.first_execution_at, *(a.sent_at for a in request.outstanding.values())])
            + request_class.deduplication_window_ms
            - settings.tick_ms
        )

    def start(self, attempt: Attempt, pool: ConnectionPool, fault_name: str) -> None:
        try:
            attempt.start(pool)
        except Exception:  # the decisions hear of it, and the request goes on
            self.gateway.log_fault(fault_name)
            attempt.connection_lost()

    def probe(self, action: Probe) -> None:
        now = self.gateway.deadlines.now()
        deadline = now + max(self.limits.connect_timeout_ms, 1.0)
        pool = self.instances.pools.get(action.server)
        attempt = Attempt(self, action.server, None, 0, now, deadline)
        if pool is None:
            attempt.finish(Result.CONNECT_FAILED)
            return
        self.gateway.counters.add("up.probes")
        attempt.timeout = self.gateway.deadlines.at(deadline, attempt.time_out)
        self.start(attempt, pool, "probe")

    def cancel(self, action: Cancel) -> None:
        request = self.requests.slots.get(action.request)
        attempt = request.outstanding.get(action.attempt) if request is not None else None
        if attempt is not None:
            attempt.cancel()
