"""Load driver: open-loop clients over real connections; each request is sent at its time."""

from __future__ import annotations

import resource
import sys
from pathlib import Path
from typing import Any

import msgspec
from twisted.python.failure import Failure

from meadowpulley.emulator import EmulationResult, RandomStreams, class_snapshots
from meadowpulley.emulator.clients import ClientRequest, GatewayEndpoint, SimulatedClients
from meadowpulley.emulator.network import SimulatedNetwork
from meadowpulley.experiment.cells import metrics
from meadowpulley.loopback.clock import RealClock
from meadowpulley.loopback.messages import (
    BrokenRequest,
    ClientsReport,
    ClientsSnapshot,
    ProcessOrders,
    make_request_id,
    read_orders,
    report_progress,
)
from meadowpulley.loopback.reactor import install
from meadowpulley.loopback.trace import TraceWriter
from meadowpulley.net import protocol
from meadowpulley.net.connection import Connection, connect
from meadowpulley.net.http1 import MAX_BUFFERED_BYTES, BadMessageError, Message, Parser, request_bytes
from meadowpulley.rules import RequestReceived, ResponseSent

reactor: Any = install()
MAX_IDLE_MS = 1500.0  # longer idle connections are not reused: gateways close theirs at 2.1 s
COMPLETION_POLL_MS = 100.0
MAX_ERRORS = 20


class ClientConnection(Connection):
    """One connection to a gateway, with one request at a time."""

    def __init__(self, endpoint: DrivenGateway) -> None:
        super().__init__(endpoint.driver.clock.deadlines, MAX_BUFFERED_BYTES, MAX_BUFFERED_BYTES)
        self.endpoint = endpoint
        self.parser = Parser(self.input_buffer, expect_requests=False)
        self.request: ClientRequest | None = None
        self.idle_since = self.written_at = 0.0
        self.reused = False

    def send_request(self, request: ClientRequest) -> None:
        """Send a request and record it."""
        self.request = request
        driver = self.endpoint.driver
        call = request.call
        self.written_at = driver.clock.now
        deadline = max(request.deadline, driver.clock.now + 1.0)
        driver.trace.record(
            RequestReceived(
                driver.clock.now,
                self.endpoint.number,
                request.number,
                call.class_index,
                call.arrival.key,
                deadline,
            )
        )
        self.send(self.endpoint.driver.encode_request(request))

    def received(self) -> None:
        """Parse received bytes; a complete response ends the request."""
        try:
            message = self.parser.next_message()
        except BadMessageError as error:
            self.endpoint.driver.record_error(f"gateway {self.endpoint.number}: {error}")
            self.abort()
            return
        request = self.request
        self.request = None
        if message is None:
            self.request = request
        elif request is None:
            self.abort()
        else:
            self.reused = True
            if message.keep_alive and not request.answered:
                self.idle_since = self.endpoint.driver.clock.now
                self.endpoint.idle.append(self)
            else:
                self.abort()
            self.endpoint.response_received(request, message)

    def closed(self) -> None:
        """Report a broken connection to the client of its request."""
        if self in self.endpoint.idle:
            self.endpoint.idle.remove(self)
        request = self.request
        self.request = None
        if request is not None and not request.answered:
            driver = self.endpoint.driver
            driver.broken.append(
                BrokenRequest(
                    driver.clock.now, self.endpoint.number, request.number, self.written_at, self.reused
                )
            )
            driver.clients.connection_lost(request)

    def abort(self) -> None:
        """Close the connection at once and report it as closed."""
        was_up = self.is_open
        super().abort()
        if was_up:
            self.closed()


class DrivenGateway:
    """A gateway as the clients of its site reach it."""

    def __init__(self, driver: LoadDriver, number: int, site: int, port: int) -> None:
        self.driver = driver
        self.number = number
        self.site = site
        self.port = port
        self.alive = True
        self.idle: list[ClientConnection] = []

    def accept(self, request: ClientRequest) -> None:
        """Send a request on an idle connection, or on a new one."""
        now = self.driver.clock.now
        while self.idle:
            connection = self.idle.pop()
            if now - connection.idle_since < MAX_IDLE_MS and not connection.has_unread_input():
                connection.send_request(request)
                return
            connection.abort()
        opening = connect(reactor, (self.driver.orders.ports.host, self.port), lambda: ClientConnection(self))
        opening.addCallbacks(
            self._connected, self._connect_failed, callbackArgs=(request,), errbackArgs=(request,)
        )

    def _connected(self, connection: ClientConnection, request: ClientRequest) -> None:
        if request.answered:
            connection.abort()
        else:
            connection.send_request(request)

    def _connect_failed(self, _: Failure, request: ClientRequest) -> None:
        self.driver.clients.connection_lost(request)

    def response_received(self, request: ClientRequest, message: Message) -> None:
        """Record a response and pass it to its client."""
        driver = self.driver
        response = (
            "served" if message.status == 200 else "refused" if message.status in (429, 503) else "failed"
        )
        driver.trace.record(ResponseSent(driver.clock.now, self.number, request.number, response))  # type: ignore[arg-type]
        if message.status == 200:
            if message.body != driver.request_id(request).encode():
                driver.wrong_responses += 1
            driver.clients.respond(request, "served", 0.0)
        elif message.status in (429, 503):
            retry_after_ms = float(message.headers.get("retry-after", "0")) * 1000
            driver.clients.respond(request, "refused", retry_after_ms)
        else:
            driver.clients.respond(request, "failed", 0.0)


class LoadDriver:
    """Plays a load against the gateways and records what clients saw."""

    def __init__(self, orders: ProcessOrders) -> None:
        self.orders = orders
        plan = orders.plan
        self.errors: list[str] = []
        self.trace = TraceWriter()
        self.wrong_responses = 0
        self.broken: list[BrokenRequest] = []
        self.clock = RealClock(reactor, orders.origin, lambda where: self.record_error(f"fault in {where}"))
        sites = plan.fleet.gateway_sites()
        self.gateways = [
            DrivenGateway(self, n, sites[n], port) for n, port in enumerate(orders.ports.clients)
        ]
        self.result = EmulationResult(plan.fleet, plan.from_ms)
        streams = RandomStreams(plan.seed)
        network = SimulatedNetwork(plan.fleet.network, streams.stream("client network"))
        load = plan.load.arrivals(plan.fleet, plan.load_seed)
        self.clients = SimulatedClients(
            self.clock, streams.stream("clients"), plan.fleet, network, load, self._gateways_of, self.result
        )
        self.clock.call_later(COMPLETION_POLL_MS, self._check_finished)
        report_progress(orders, self.clock, lambda: ClientsSnapshot(class_snapshots(self.result)))

    def record_error(self, text: str) -> None:
        """Note an error of the test bed itself."""
        if len(self.errors) < MAX_ERRORS:
            self.errors.append(text)

    def _gateways_of(self, site: int) -> list[GatewayEndpoint]:
        gateways: list[GatewayEndpoint] = [g for g in self.gateways if g.site == site]
        return gateways or list(self.gateways)

    def request_id(self, request: ClientRequest) -> str:
        """Return the id of a request."""
        return make_request_id(request.number, self.orders.plan.seed)

    def encode_request(self, request: ClientRequest) -> bytes:
        """Return a request as bytes."""
        call = request.call
        arrival = request.call.arrival
        remaining_ms = max(request.deadline - self.clock.now, 1.0)
        headers = {
            "host": protocol.SERVICE_HOST,
            protocol.REQUEST_ID_HEADER: self.request_id(request),
            protocol.REMAINING_TIME_HEADER: f"{remaining_ms * 1000:.0f}u",
        }
        if arrival.key:
            headers[protocol.ENTITY_KEY_HEADER] = f"{arrival.key:016x}"
        if call.requests_sent > 1:
            headers[protocol.RESEND_HEADER] = "1"
        method = "GET" if self.orders.plan.fleet.classes[call.class_index].effect == "safe" else "POST"
        return request_bytes(method, f"/{arrival.class_name}?w={arrival.work_ms}", headers)

    def _check_finished(self) -> None:
        """Finish once all calls ended, or some time after the last one could."""
        plan = self.orders.plan
        max_deadline_ms = max(c.deadline_ms for c in plan.fleet.classes)
        if (self.clients.arrivals_done and not self.clients.open_calls) or (
            self.clients.arrivals_done and self.clock.now > plan.load.seconds * 1000 + max_deadline_ms + 5000
        ):
            self._finish()
        else:
            self.clock.call_later(COMPLETION_POLL_MS, self._check_finished)

    def _finish(self) -> None:
        usage = resource.getrusage(resource.RUSAGE_SELF)
        seconds = [
            [
                s.calls,
                s.within_objective,
                s.late,
                s.rejected,
                s.failed,
                s.weight_served / (s.weight_offered or 1.0),
            ]
            for s in self.result.seconds
        ]
        report = ClientsReport(
            figures=metrics(self.result),
            seconds=[[float(x) for x in s] for s in seconds],
            wrong_responses=self.wrong_responses,
            lateness_ms=self.clock.lateness_ms(),
            cpu_s=usage.ru_utime + usage.ru_stime,
            errors=self.errors,
            broken=self.broken,
        )
        self.trace.write(Path(self.orders.output_path + ".trace"))
        Path(self.orders.output_path).write_bytes(msgspec.json.encode(report))
        reactor.stop()


def main() -> int:
    """Read the orders and run the driver."""
    orders = read_orders()
    driver = LoadDriver(orders)
    reactor.run(installSignalHandlers=False)
    return 0 if driver.result is not None else 1


if __name__ == "__main__":
    sys.exit(main())
