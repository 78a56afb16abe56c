"""Open-loop clients over real connections: each request at its moment, whatever became of the others."""

from __future__ import annotations

import resource
import sys
from pathlib import Path
from typing import Any

import msgspec
from twisted.python.failure import Failure

from meadowpulley.emulator import Result, Streams, classes_now
from meadowpulley.emulator.clients import Clients, Front, Try
from meadowpulley.emulator.network import Network
from meadowpulley.experiment.cells import metrics
from meadowpulley.net import names
from meadowpulley.net.http1 import RING_BOUND, BadMessageError, Message, Parser, request_bytes
from meadowpulley.net.link import Link, connect
from meadowpulley.rig.clock import RealClock
from meadowpulley.rig.reactor import install
from meadowpulley.rig.told import ClientsNow, ClientsTold, Job, id_of, take_orders, tell_live
from meadowpulley.rig.trace import Tape
from meadowpulley.rules import Answered, Taken

reactor: Any = install()
IDLE_MS = 1500.0  # a kept connection that stood idle longer is not used again: gateways close theirs at 2.1 s
LOOK_MS = 100.0
ERRORS = 20


class ClientLink(Link):
    """One connection to a gateway; one request at a time."""

    def __init__(self, gate: Gate) -> None:
        super().__init__(gate.driver.clock.deadlines, RING_BOUND, RING_BOUND)
        self.gate = gate
        self.parser = Parser(self.inward, requests=False)
        self.request: Try | None = None
        self.idle_since = 0.0

    def ask(self, request: Try) -> None:
        self.request = request
        driver, ask = self.gate.driver, request.ask
        deadline = max(request.deadline, driver.clock.now + 1.0)
        driver.tape.record(
            Taken(driver.clock.now, self.gate.number, request.number, ask.cls, ask.arrival.key, deadline)
        )
        self.send(self.gate.driver.bytes_of(request))

    def received(self) -> None:
        try:
            message = self.parser.next()
        except BadMessageError as error:
            self.gate.driver.fault(f"gateway {self.gate.number}: {error}")
            self.drop()
            return
        request, self.request = self.request, None
        if message is None:
            self.request = request
        elif request is None:
            self.drop()
        else:
            if message.keep_alive and not request.answered:
                self.idle_since = self.gate.driver.clock.now
                self.gate.idle.append(self)
            else:
                self.drop()
            self.gate.answered(request, message)

    def closed(self) -> None:
        if self in self.gate.idle:
            self.gate.idle.remove(self)
        request, self.request = self.request, None
        if request is not None and not request.answered:
            self.gate.driver.clients.broke(request)

    def drop(self) -> None:
        was_up = self.up
        super().drop()
        if was_up:
            self.closed()


class Gate:
    """A gateway as the clients of its site reach it."""

    def __init__(self, driver: Driver, number: int, site: int, port: int) -> None:
        self.driver, self.number, self.site, self.port = driver, number, site, port
        self.alive = True
        self.idle: list[ClientLink] = []

    def take(self, request: Try) -> None:
        now = self.driver.clock.now
        while self.idle:
            link = self.idle.pop()
            if now - link.idle_since < IDLE_MS and not link.unread():
                link.ask(request)
                return
            link.drop()
        opening = connect(reactor, (self.driver.job.ports.host, self.port), lambda: ClientLink(self))
        opening.addCallbacks(self._up, self._failed, callbackArgs=(request,), errbackArgs=(request,))

    def _up(self, link: ClientLink, request: Try) -> None:
        if request.answered:
            link.drop()
        else:
            link.ask(request)

    def _failed(self, _: Failure, request: Try) -> None:
        self.driver.clients.broke(request)

    def answered(self, request: Try, message: Message) -> None:
        driver = self.driver
        kind = "served" if message.status == 200 else "refused" if message.status in (429, 503) else "failed"
        driver.tape.record(Answered(driver.clock.now, self.number, request.number, kind))  # type: ignore[arg-type]
        if message.status == 200:
            if message.body != driver.name_of(request).encode():
                driver.wrong += 1
            driver.clients.answer(request, "served", 0.0)
        elif message.status in (429, 503):
            advice = float(message.headers.get("retry-after", "0")) * 1000
            driver.clients.answer(request, "refused", advice)
        else:
            driver.clients.answer(request, "failed", 0.0)


class Driver:
    """Plays the plan's load against the gateways and writes down what clients saw."""

    def __init__(self, job: Job) -> None:
        self.job = job
        plan = job.plan
        self.errors: list[str] = []
        self.tape = Tape()
        self.wrong = 0
        self.clock = RealClock(reactor, job.origin, lambda where: self.fault(f"fault in {where}"))
        sites = plan.fleet.gateway_sites()
        self.gates = [Gate(self, n, sites[n], port) for n, port in enumerate(job.ports.clients)]
        self.result = Result(plan.fleet, plan.from_ms)
        streams = Streams(plan.seed)
        network = Network(plan.fleet.network, streams.of("client network"))
        load = plan.load.arrivals(plan.fleet, plan.load_seed)
        self.clients = Clients(
            self.clock, streams.of("clients"), plan.fleet, network, load, self._fronts, self.result
        )
        self.clock.after(LOOK_MS, self._look)
        tell_live(job, self.clock, lambda: ClientsNow(classes_now(self.result)))

    def fault(self, text: str) -> None:
        if len(self.errors) < ERRORS:
            self.errors.append(text)

    def _fronts(self, site: int) -> list[Front]:
        found: list[Front] = [g for g in self.gates if g.site == site]
        return found or list(self.gates)

    def name_of(self, request: Try) -> str:
        return id_of(request.number, self.job.plan.seed)

    def bytes_of(self, request: Try) -> bytes:
        ask, arrival = request.ask, request.ask.arrival
        left = max(request.deadline - self.clock.now, 1.0)
        headers = {
            "host": names.SERVICE,
            names.ID: self.name_of(request),
            names.REMAINING: f"{left * 1000:.0f}u",
        }
        if arrival.key:
            headers[names.KEY] = f"{arrival.key:016x}"
        if ask.tries > 1:
            headers[names.REPEAT] = "1"
        method = "GET" if self.job.plan.fleet.classes[ask.cls].effect == "safe" else "POST"
        return request_bytes(method, f"/{arrival.cls}?w={arrival.work_ms}", headers)

    def _look(self) -> None:
        """Ends once all is over, or half a minute after the last that could still come."""
        plan = self.job.plan
        longest = max(c.deadline_ms for c in plan.fleet.classes)
        if (self.clients.done and not self.clients.open) or (
            self.clients.done and self.clock.now > plan.load.seconds * 1000 + longest + 5000
        ):
            self._end()
        else:
            self.clock.after(LOOK_MS, self._look)

    def _end(self) -> None:
        used = resource.getrusage(resource.RUSAGE_SELF)
        seconds = [
            [s.asked, s.in_aim, s.late, s.refused, s.failed, s.worth_got / (s.worth_asked or 1.0)]
            for s in self.result.seconds
        ]
        told = ClientsTold(
            figures=metrics(self.result),
            seconds=[[float(x) for x in s] for s in seconds],
            wrong=self.wrong,
            late_ms=self.clock.late_ms(),
            cpu_s=used.ru_utime + used.ru_stime,
            errors=self.errors,
        )
        self.tape.write(Path(self.job.out + ".trace"))
        Path(self.job.out).write_bytes(msgspec.json.encode(told))
        reactor.stop()


def main() -> int:
    job = take_orders()
    driver = Driver(job)
    reactor.run(installSignalHandlers=False)
    return 0 if driver.result is not None else 1


if __name__ == "__main__":
    sys.exit(main())
