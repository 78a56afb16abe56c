"""Attempts to send a request to an instance, each with exactly one outcome, and health probes."""

from __future__ import annotations

import math
from dataclasses import dataclass
from functools import partial

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
from meadowpulley.net.instance_response import classify_response, parse_load_report
from meadowpulley.net.request_table import AcceptedRequest, RequestTable
from meadowpulley.net.write_permission import WriteConditions, write_refusal

_NOT_EXECUTED = (Result.REJECTED, Result.CONNECT_FAILED, Result.NOT_SENT)
# Minimum timeout of a health probe. A probe otherwise times out after the connect timeout, which may be 0 to
# let connecting take any time.
_MIN_PROBE_TIMEOUT_MS = 1.0
_MICROSECONDS_PER_MS = 1000


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request, or a health probe if `request` is None.

    Implements the `Exchange` protocol of instance connections. Times are milliseconds on the gateway's clock.
    """

    runner: AttemptRunner
    server: int
    request: AcceptedRequest | None
    number: int  # index among the request's attempts, starting at 0
    sent_at: float
    deadline: float
    write_by: float = math.inf  # the policy allows writing the request only before this time
    connection: InstanceConnection | None = None
    connecting: Deferred[InstanceConnection] | None = None
    written: bool = False  # whether the kernel has accepted the last byte of the request
    finished: bool = False
    timeout: Deadline | None = None
    connect_timeout: Deadline | None = None
    write_timeout: Deadline | None = None

    def schedule_timeout(self) -> None:
        """Schedule the end of the attempt at its deadline."""
        self.timeout = self.runner.gateway.deadlines.at(self.deadline, self.time_out)

    def schedule_write_timeout(self) -> None:
        """Schedule a check at `write_by`, which ends the attempt if the request is not written yet."""
        self.write_timeout = self.runner.gateway.deadlines.at(self.write_by, self._write_timed_out)

    def start(self, pool: ConnectionPool) -> None:
        """Send the request on a pooled connection if one is available, otherwise on a new one."""
        connection = pool.acquire()
        if connection is not None:
            self._use_pooled(connection)
        elif self.runner.instances.evict_idle():
            self._open_connection(pool)
        else:
            self.runner.gateway.counters.add("up.no_socket")
            self.finish(Result.CONNECT_FAILED)

    def _use_pooled(self, connection: InstanceConnection) -> None:
        gateway = self.runner.gateway
        if connection.reusable_at <= gateway.deadlines.now():
            self._write(connection)
            return
        gateway.counters.add("up.reuse_delayed")
        gateway.deadlines.at(connection.reusable_at, partial(self._connection_reusable, connection))

    def _open_connection(self, pool: ConnectionPool) -> None:
        runner = self.runner
        connecting = connect(runner.gateway.reactor, pool.address, lambda: InstanceConnection(pool))
        runner.instances.open_sockets += 1
        timeout_ms = runner.limits.connect_timeout_ms
        if timeout_ms > 0:
            self.connect_timeout = runner.gateway.deadlines.after(timeout_ms, self._connect_timed_out)
        self.connecting = connecting  # the callbacks added below clear `connecting` and may run immediately
        connecting.addCallbacks(self._connected, self._connect_failed).addErrback(self._connect_raised)

    def _connection_reusable(self, connection: InstanceConnection) -> None:
        """Write the request to the reserved connection after its reuse delay.

        If the connection ended or received input during the delay, start the attempt again on another
        connection.
        """
        if self.finished:
            if connection.is_open:
                connection.pool.release(connection)
        elif connection.pool.retired or (connection.is_open and not connection.has_unread_input()):
            self._write(connection)
        else:
            connection.abort()
            self.runner.start(self, connection.pool, "send")

    def _write(self, connection: InstanceConnection) -> None:
        """Write the request to the connection, or end the attempt if writing is no longer permitted."""
        gateway = self.runner.gateway
        refusal = write_refusal(self._write_conditions(), connection, gateway.deadlines.now())
        if refusal is None:
            connection.send_request(self, self._request_bytes())
            return
        gateway.counters.add(f"up.not_written.{refusal.value}")
        if refusal.is_violation:
            gateway.counters.add(f"violation.{refusal.value}")
            gateway.log.error(
                "write_not_permitted", what=refusal.value, server=self.server, attempt=self.number
            )
        connection.abort()
        self.finish(refusal.result)

    def _write_conditions(self) -> WriteConditions:
        request = self.request
        if request is None:
            return WriteConditions(False, False, self.deadline, self.write_by)
        effect = self.runner.gateway.config.settings.classes[request.class_index].effect
        may_have_executed = effect is Effect.NON_IDEMPOTENT and request.may_have_executed(self.number)
        abandoned = self.runner.requests.finish_if_abandoned(request)
        return WriteConditions(abandoned, may_have_executed, self.deadline, self.write_by)

    def _connect_raised(self, _: Failure) -> None:
        self.runner.gateway.log_fault("connect")
        self.connection_lost()

    def _request_bytes(self) -> bytes:
        if self.request is None:
            return request_bytes("GET", protocol.LIVENESS_PATH, {"host": protocol.SERVICE_HOST})
        message = self.request.message
        remaining_ms = max(self.deadline - self.runner.gateway.deadlines.now(), 0.0)
        remaining_us = remaining_ms * _MICROSECONDS_PER_MS
        headers = {
            **forwarded_headers(message.headers, protocol.SERVICE_HOST),
            protocol.REMAINING_TIME_HEADER: f"{remaining_us:.0f}{protocol.MICROSECONDS_UNIT}",
        }
        return request_bytes(message.method, message.target, headers, message.body)

    def _connected(self, connection: InstanceConnection) -> None:
        self.connecting = None
        self.runner.gateway.deadlines.run_due()  # a due timeout must end the attempt before the write
        self.runner.gateway.deadlines.cancel(self.connect_timeout)
        if self.finished:
            connection.abort()
        else:
            self._write(connection)

    def _connect_failed(self, _: Failure) -> None:
        self.connecting = None
        self.runner.instances.open_sockets -= 1
        self.finish(Result.CONNECT_FAILED)

    def _connect_timed_out(self) -> None:
        if self.connection is None:
            self.finish(Result.CONNECT_FAILED)

    def _write_timed_out(self) -> None:
        if not self.written:
            self.runner.gateway.counters.add("up.past_window")
            self.finish(Result.CONNECT_FAILED)

    def time_out(self) -> None:
        """End the attempt at its deadline."""
        self.finish(Result.TIMEOUT if self.written else Result.CONNECT_FAILED)

    def cancel(self) -> None:
        """End the attempt because the policy cancelled it."""
        self.runner.gateway.counters.add("up.cancelled")
        self.finish(Result.CANCELLED)

    def connection_lost(self) -> None:
        """End the attempt after its connection broke; a written request may have been executed."""
        self.finish(Result.RESET if self.written else Result.CONNECT_FAILED)

    def malformed_response(self) -> None:
        """End the attempt after a malformed, too large or incomplete response.

        The result is the same as for a lost connection, since the gateway can't tell whether the instance
        caused the fault.
        """
        self.runner.gateway.counters.add("up.malformed")
        self.connection_lost()

    def response_received(self, response: Message) -> None:
        """End the attempt with the instance's response, and send it to the client if the result is OK."""
        result = classify_response(response)
        if not self.written and result is not Result.REJECTED:
            # An instance executes a request only after it has received the last byte, which was not written
            # yet. The response therefore belongs to an earlier request.
            self.runner.gateway.counters.add("up.unsolicited")
            self.connection_lost()
            return
        request = self.request
        self._record_execution(result)  # before the answer, behind which a request with the same id may wait
        if result is Result.OK and request is not None and not request.finished:
            self._answer_client(request, response)
        load_report = response.headers.get(protocol.LOAD_REPORT_HEADER, "")
        self.finish(result, parse_load_report(load_report, self.runner.report_columns))

    def _answer_client(self, request: AcceptedRequest, response: Message) -> None:
        content_type = response.headers.get("content-type")
        headers = {"content-type": content_type} if content_type else {}
        request.outstanding.pop(self.number, None)
        self.runner.requests.respond(request, response.status, headers, response.body)

    def finish(self, result: Result, load_report: tuple[float, ...] = ()) -> None:
        """Release the resources of the attempt and report its outcome. Further calls have no effect."""
        if self.finished:
            return
        self.finished = True
        gateway = self.runner.gateway
        self._release_resources()
        elapsed_ms = gateway.deadlines.now() - self.sent_at
        gateway.counters.add(f"up.{result.name.lower()}")
        if self.request is None:
            gateway.dispatch(ProbeResult(self.server, result, elapsed_ms, load_report))
        else:
            self._report_outcome(self.request, result, elapsed_ms, load_report)

    def _report_outcome(
        self, request: AcceptedRequest, result: Result, elapsed_ms: float, load_report: tuple[float, ...]
    ) -> None:
        request.outstanding.pop(self.number, None)
        self._record_execution(result)
        if result not in _NOT_EXECUTED:
            request.first_execution_at = min(request.first_execution_at, self.sent_at)
        request_complete = request.finished
        self.runner.requests.free_if_done(request)
        self.runner.gateway.dispatch(
            Outcome(
                request=request.handle,
                attempt=self.number,
                server=self.server,
                result=result,
                elapsed_ms=elapsed_ms,
                request_complete=request_complete,
                load_report=load_report,
            )
        )

    def _record_execution(self, result: Result) -> None:
        """Remember the id of a request that was written whole, unless the instance rejected it."""
        if self.request is not None and self.written and result not in _NOT_EXECUTED:
            self.runner.requests.record_execution(self.request)

    def _release_resources(self) -> None:
        """Cancel the timers, and reset the connection or cancel its establishment."""
        deadlines = self.runner.gateway.deadlines
        deadlines.cancel(self.timeout)
        deadlines.cancel(self.connect_timeout)
        deadlines.cancel(self.write_timeout)
        connection = self.connection
        self.connection = None
        if connection is not None and connection.exchange is self:
            connection.exchange = None
            connection.abort()
        if self.connecting is not None:
            self.connecting.cancel()


class AttemptRunner:
    """Executes the policy's actions on attempts and health probes."""

    def __init__(self, gateway: GatewayContext, instances: InstancePools, requests: RequestTable) -> None:
        self.gateway = gateway
        self.instances = instances
        self.requests = requests
        self.limits = gateway.config.settings.limits
        self.report_columns = gateway.config.settings.report_columns

    def send(self, action: Send) -> None:
        """Start an attempt of a request."""
        request = self.requests.slots.get(action.request)
        if request is None:
            self.gateway.counters.add("up.late_actions")
            return
        attempt = self._create_attempt(request, action)
        # Check here too, since a request that is refused only when it is written costs its connection.
        is_too_late = self.requests.finish_if_abandoned(request) or attempt.deadline <= attempt.sent_at
        pool = self.instances.pools.get(action.server)
        if is_too_late or attempt.number >= self.limits.max_attempts:
            attempt.finish(Result.NOT_SENT)
        elif pool is None:
            attempt.finish(Result.CONNECT_FAILED)
        else:
            self.gateway.counters.add("up.attempts")
            # No timeout is needed at the request's deadline: the request table then ends all attempts.
            if attempt.deadline < request.deadline:
                attempt.schedule_timeout()
            if attempt.write_by < attempt.deadline:
                attempt.schedule_write_timeout()
            self.start(attempt, pool, "send")

    def _create_attempt(self, request: AcceptedRequest, action: Send) -> Attempt:
        now = self.gateway.deadlines.now()
        number = request.attempt_count
        request.attempt_count += 1
        deadline = request.deadline
        if action.timeout_ms != 0:
            deadline = min(deadline, now + action.timeout_ms)
        attempt = Attempt(
            runner=self,
            server=action.server,
            request=request,
            number=number,
            sent_at=now,
            deadline=deadline,
            write_by=action.write_by_ms,
        )
        request.outstanding[number] = attempt
        return attempt

    def start(self, attempt: Attempt, pool: ConnectionPool, fault_name: str) -> None:
        """Start an attempt. If this raises an exception, log it as `fault_name` and end the attempt."""
        try:
            attempt.start(pool)
        except Exception:  # noqa: BLE001  # the gateway must continue, for example if no local port is free
            self.gateway.log_fault(fault_name)
            attempt.connection_lost()

    def probe(self, action: Probe) -> None:
        """Start a health probe of a server."""
        now = self.gateway.deadlines.now()
        deadline = now + max(self.limits.connect_timeout_ms, _MIN_PROBE_TIMEOUT_MS)
        pool = self.instances.pools.get(action.server)
        attempt = Attempt(
            runner=self, server=action.server, request=None, number=0, sent_at=now, deadline=deadline
        )
        if pool is None:
            attempt.finish(Result.CONNECT_FAILED)
            return
        self.gateway.counters.add("up.probes")
        attempt.schedule_timeout()
        self.start(attempt, pool, "probe")

    def cancel(self, action: Cancel) -> None:
        """Cancel an outstanding attempt."""
        request = self.requests.slots.get(action.request)
        attempt = request.outstanding.get(action.attempt) if request is not None else None
        if attempt is not None:
            attempt.cancel()
