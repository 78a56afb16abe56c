"""Stand-in instances, discovery and platform: the emulator's servers behind sockets, in the users'
protocol."""

from __future__ import annotations

import json
import resource
import signal
import sys
import time
from collections import deque
from functools import partial
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

import msgspec

from meadowpulley.emulator import Result, Streams, servers_now
from meadowpulley.emulator.clock import between
from meadowpulley.emulator.faults import Faults
from meadowpulley.emulator.network import Network
from meadowpulley.emulator.park import Host, Park
from meadowpulley.interface import EndpointUpdate, Result as AttemptResult, RolloutUpdate, ServerEntry, Vote
from meadowpulley.net import names
from meadowpulley.net.http1 import RING_BOUND, BadMessageError, Message, Parser, answer_bytes
from meadowpulley.net.link import Link, LinkFactory
from meadowpulley.net.slots import Slots
from meadowpulley.rig.clock import RealClock
from meadowpulley.rig.reactor import install
from meadowpulley.rig.told import (
    Job,
    ServersTold,
    entry_object,
    news_object,
    request_of,
    take_orders,
    tell_live,
)
from meadowpulley.rig.trace import UNKNOWN, Tape
from meadowpulley.rules import KeyAnswered, Listed, News, Outcome, Record, Sent, Started

reactor: Any = install()
LINKS = 8192  # connections the stand-ins hold together
ERRORS = 20  # kept to the letter
ALIVE_MS = 1000.0
BACKLOG = 512


class InstanceLink(Link):
    """A gateway's connection to one server; one request at a time travels on it."""

    def __init__(self, rig: StandIns, host: Host, life: float) -> None:
        super().__init__(rig.real.deadlines, RING_BOUND, RING_BOUND)
        self.rig, self.host, self.life = rig, host, life
        self.parser = Parser(self.inward, requests=True)
        self.fresh = True
        self.refused = False
        self.job: Any = None
        self.request = ""  # the id of the one under way
        self.number = UNKNOWN
        self.handle = -1

    @property
    def there(self) -> bool:
        return self.host.up and self.host.begun == self.life

    def opened(self) -> None:
        self.handle = self.rig.links.put(self)

    def received(self) -> None:
        if not self.there:
            return  # it vanished: nobody reads, nobody answers
        try:
            message = self.parser.next()
        except BadMessageError as error:
            self.rig.fault(f"instance {self.host.entry.server}: {error}")
            self.drop()
            return
        if message is not None:
            self._ask(message)

    def _ask(self, message: Message) -> None:
        parts = urlsplit(message.target)
        cls = self.rig.classes.get(parts.path.split("/")[1])
        name = message.headers.get(names.ID)
        if cls is None or name is None or self.request:
            self.rig.fault(f"instance {self.host.entry.server}: a request that can't be: {message.target}")
            self.send(answer_bytes(404, {}))
            return
        work = float(parse_qs(parts.query).get("w", ["0"])[0])
        key = int(message.headers.get(names.KEY, "0"), 16)
        left = message.headers.get(names.REMAINING, "0u")
        until = self.rig.clock.now + float(left[:-1]) * (1.0 if left.endswith("m") else 0.001)
        self.request = name
        self.number = request_of(name)
        server = self.host.entry
        self.rig.record(Sent(self.rig.clock.now, UNKNOWN, self.number, 0, server.server, server.build))
        fresh, self.fresh = self.fresh, False
        self.job = self.rig.offer(self, self.host, cls, key, work, until, fresh)

    def tell(self, result: AttemptResult) -> None:
        name, self.request, self.job = self.request, "", None
        if result is AttemptResult.REJECTED:
            self.rig.record(Outcome(self.rig.clock.now, UNKNOWN, self.number, self.host.entry.server, False))
        if not self.up:
            return
        if result is AttemptResult.OK:
            self.send(answer_bytes(200, {"content-type": "text/plain"}, name.encode()))
        elif result is AttemptResult.REJECTED:
            self.send(answer_bytes(503, {names.NOT_RUN: "1"}))
        elif result is AttemptResult.ERROR:
            self.send(answer_bytes(500, {}))
        else:
            self.drop()

    def closed(self) -> None:
        if self.handle >= 0:
            self.rig.links.free(self.handle)
            self.handle = -1
            if not self.fresh:
                self.host.machine.connections = max(self.host.machine.connections - 1, 0)
        job, self.job = self.job, None
        if job is not None and self.there:
            self.rig.cancel(self.host, job)

    def drop(self) -> None:
        was_up = self.up
        super().drop()
        if was_up:
            self.closed()


class DiscoveryLink(Link):
    """A gateway's connection to discovery: the whole list, or a watch that waits for changes."""

    def __init__(self, rig: StandIns, gateway: int) -> None:
        super().__init__(rig.real.deadlines, RING_BOUND, 4 * 1024 * 1024)
        self.rig, self.gateway = rig, gateway
        self.parser = Parser(self.inward, requests=True)
        self.after = -1  # the version that a waiting call came with
        self.telling = False

    def opened(self) -> None:
        self.rig.watchers.add(self)

    def closed(self) -> None:
        self.rig.watchers.discard(self)

    def received(self) -> None:
        try:
            message = self.parser.next()
        except BadMessageError as error:
            self.rig.fault(f"discovery: {error}")
            self.drop()
            return
        if message is None:
            return
        parts = urlsplit(message.target)
        asked = parse_qs(parts.query)
        if parts.path != names.LIST or self.rig.discovery.down:
            self.send(answer_bytes(503 if self.rig.discovery.down else 404, {}))
            return
        self.after = int(asked.get(names.AFTER, ["-1"])[0])
        wait = min(float(asked.get(names.WAIT, ["0"])[0]), 60_000.0)
        if self.after < 0 or self.rig.discovery.version > self.after:
            self.tell_soon()
        else:
            self.limit.set(wait, self._tell)

    def tell_soon(self) -> None:
        if self.after != -2 and not self.telling:
            self.telling = True
            self.rig.clock.after(between(self.rig.rng, self.rig.fleet.discovery.period_ms), self._tell)

    def _tell(self) -> None:
        self.telling = False
        if self.after == -2 or not self.up:
            return
        after, self.after = self.after, -2  # no call waits
        self.limit.lift()
        whole = after <= 0
        entries = self.rig.discovery.known() if whole else self.rig.discovery.since(after)
        self.rig.book_list(self.gateway, entries, whole)
        self.send(answer_bytes(200, {}, json.dumps(self.rig.listed(entries, whole)).encode()))


class PlatformLink(Link):
    """A gateway's connection to the platform: JSON-RPC, one object a line."""

    def __init__(self, rig: StandIns, gateway: int) -> None:
        super().__init__(rig.real.deadlines, RING_BOUND, RING_BOUND)
        self.rig, self.gateway = rig, gateway
        self.calls: deque[int] = deque()  # votes that are owed an answer

    def write(self, **fields: Any) -> None:
        self.send(json.dumps({"jsonrpc": "2.0", **fields}).encode() + b"\n")

    def received(self) -> None:
        while self.up and (end := self.inward.find(b"\n")) >= 0:
            self._call(json.loads(self.inward.take(end + 1)))

    def _call(self, call: dict[str, Any]) -> None:
        if call["method"] == names.FOLLOW:
            self.rig.followers[self.gateway] = self
            self.rig.platform.follow(self.gateway)
            self.write(id=call["id"], result=True)
            self.rig.book_news(self.gateway, self.rig.platform.news())
            self.write(method=names.NEWS, params=news_object(self.rig.platform.news()))
            return
        verdicts = {word: verdict for verdict, word in names.VERDICTS.items()}
        params = call["params"]
        vote = Vote(params[names.NEWS_BUILD], params[names.NEWS_STAGE], verdicts[params[names.VERDICT]])
        self.rig.event(
            f"gateway {self.gateway} votes {vote.verdict.name.lower()} on build {vote.build} "
            f"stage {vote.stage}"
        )
        if not self.rig.platform.down:
            self.calls.append(call["id"])
        self.rig.platform.vote(self.gateway, vote)

    def told(self, news: RolloutUpdate) -> None:
        if news.result is AttemptResult.OK:
            self.rig.book_news(self.gateway, news)
        if not news.is_vote_reply:
            self.write(method=names.NEWS, params=news_object(news))
        elif self.calls:
            number = self.calls.popleft()
            words = {result: word for word, result in names.CALL_ERRORS.items()}
            if news.result is AttemptResult.OK:
                self.write(id=number, result=news_object(news))
            else:
                self.write(id=number, error={"code": -32000, "message": words[news.result]})

    def closed(self) -> None:
        if self.rig.followers.get(self.gateway) is self:
            del self.rig.followers[self.gateway]
            self.rig.platform.forget(self.gateway)


class StandIns(Park):
    """All servers of the plan's fleet on ports of loopback, with discovery and the platform."""

    def __init__(self, job: Job) -> None:
        self.job = job
        plan = job.plan
        self.host, self.instances = job.ports.host, job.ports.instances
        self.errors: list[str] = []
        self.tape = Tape()
        self.known: dict[int, set[int]] = {}  # by gateway: the servers it was told of
        clock = RealClock(reactor, job.origin, lambda where: self.fault(f"fault in {where}"))
        self.real: RealClock = clock
        self.links: Slots[InstanceLink] = Slots(LINKS)
        self.watchers: set[DiscoveryLink] = set()
        self.followers: dict[int, PlatformLink] = {}
        self.addresses: dict[int, str] = {}
        self.ports: dict[int, Any] = {}
        self.classes = {c.name: n for n, c in enumerate(plan.fleet.classes)}
        self.gateways: list[Any] = []  # they are processes of their own
        streams = Streams(plan.seed)
        self.network = Network(plan.fleet.network, streams.of("network"))
        self.rng = streams.of("rig")
        self._unix = time.time() - time.monotonic() + job.origin  # when the origin was, by Unix time
        super().__init__(plan.fleet, plan.scenario, clock, streams, Result(plan.fleet))
        self.discovery.changed = self._list_changed

    def fault(self, text: str) -> None:
        if len(self.errors) < ERRORS:
            self.errors.append(text)

    # The trace

    def record(self, record: Record) -> None:
        self.tape.record(record)

    def book_list(self, gateway: int, entries: tuple[ServerEntry, ...], whole: bool) -> None:
        now, named = self.clock.now, {e.server for e in entries}
        known = self.known.setdefault(gateway, set())
        for server in sorted(known - named) if whole else ():
            self.record(Listed(now, gateway, server, "gone", 0))
        self.known[gateway] = named if whole else known | named
        for e in entries:
            state = e.state.name.lower()
            self.record(Listed(now, gateway, e.server, state, e.build, e.cell, e.zone))  # type: ignore[arg-type]

    def book_news(self, gateway: int, n: RolloutUpdate) -> None:
        phase = n.phase.name.lower()
        self.record(News(self.clock.now, gateway, n.build, n.stage, phase, n.cap))  # type: ignore[arg-type]

    def key_answered(self, tag: Any, host: Host, key: int) -> None:
        self.record(KeyAnswered(self.clock.now, tag.number, key, host.entry.build))

    # The park's hooks

    def host_began(self, host: Host) -> None:
        factory = LinkFactory(partial(InstanceLink, self, host, host.begun))
        port = self.ports.get(host.entry.server)
        if port is not None:  # the same server again: under the same address
            number = int(self.addresses[host.entry.server].rpartition(":")[2])
            port.stopListening()
            self.ports[host.entry.server] = reactor.listenTCP(number, factory, BACKLOG, self.instances)
            return
        port = self.ports[host.entry.server] = reactor.listenTCP(0, factory, BACKLOG, self.instances)
        self.addresses[host.entry.server] = f"{self.instances}:{port.getHost().port}"

    def host_ended(self, host: Host) -> None:
        if host.silent:
            return
        port = self.ports.pop(host.entry.server, None)
        if port is not None:
            port.stopListening()
        for link in [k for k in self.links if k.host is host]:
            link.drop()

    def reply(self, tag: Any, host: Host, result: AttemptResult) -> None:
        tag.tell(result)

    def tell_list(self, gateway: int, news: EndpointUpdate) -> None:
        pass  # whoever asks is told on the connection that asked

    def _list_changed(self) -> None:
        for watcher in list(self.watchers):
            watcher.tell_soon()

    def tell_news(self, gateway: int, news: RolloutUpdate) -> None:
        follower = self.followers.get(gateway)
        if follower is not None and follower.up:
            follower.told(news)

    def listed(self, entries: tuple[ServerEntry, ...], whole: bool) -> dict[str, Any]:
        """A list as discovery writes it."""
        told = [
            entry_object(
                e,
                self.addresses[e.server],
                self.fleet.sites[e.zone].name,
                self.fleet.kinds[e.kind].name,
                self._unix,
            )
            for e in entries
        ]
        return {names.VERSION: self.discovery.version, names.WHOLE: whole, names.ENTRIES: told}

    # Life

    def open(self) -> None:
        ports = self.job.ports
        for number in range(len(ports.clients)):
            self.record(Started(self.clock.now, number))
            self.book_list(number, self.discovery.known(), True)
            self.book_news(number, self.platform.news())
            make = partial(PlatformLink, self, number)
            watch = partial(DiscoveryLink, self, number)
            reactor.listenTCP(ports.discovery[number], LinkFactory(watch), BACKLOG, self.host)
            reactor.listenTCP(ports.platform[number], LinkFactory(make), BACKLOG, self.host)
        self.clock.at(0.0, self._begin_run)
        self._alive()
        tell_live(self.job, self.clock, lambda: servers_now(self))
        told = {"known": self.listed(self.discovery.known(), True), "news": news_object(self.platform.news())}
        print(json.dumps(told), flush=True)

    def _begin_run(self) -> None:
        plan = self.job.plan
        Faults(self, plan.scenario.faults)  # type: ignore[arg-type]
        self.schedule()
        self.measure(plan.from_ms, plan.load.seconds * 1000)

    def _alive(self) -> None:
        for follower in self.followers.values():
            if not self.platform.down:
                follower.write(method=names.ALIVE)
        self.clock.after(ALIVE_MS, self._alive)

    def end(self) -> None:
        """Writes down what came of it, and ends the process."""
        self.close_books()
        used = resource.getrusage(resource.RUSAGE_SELF)
        servers = self.result.servers
        told = ServersTold(
            busy=self.result.busy,
            served=sum(s.served for s in servers),
            turned_away=sum(s.turned_away for s in servers),
            events=self.result.events,
            stages=[(s.since, s.build, s.stage, s.phase.name.lower()) for s in self.platform.history],
            fell=sum(s.fell for s in servers),
            late_ms=self.real.late_ms(),
            cpu_s=used.ru_utime + used.ru_stime,
            errors=self.errors,
        )
        self.tape.write(Path(self.job.out + ".trace"))
        Path(self.job.out).write_bytes(msgspec.json.encode(told))
        reactor.stop()


def main() -> int:
    job = take_orders()
    rig = StandIns(job)
    rig.open()
    signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(rig.end))
    reactor.run(installSignalHandlers=False)
    return 0


if __name__ == "__main__":
    sys.exit(main())
