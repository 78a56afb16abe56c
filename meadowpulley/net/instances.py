"""Pools of connections to the instances, the attempts that travel on them, and probes."""

from __future__ import annotations

import math
from enum import Enum
from functools import partial
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from meadowpulley import interface as i
from meadowpulley.net import names
from meadowpulley.net.clients import Taken
from meadowpulley.net.config import Address
from meadowpulley.net.deadlines import Deadline
from meadowpulley.net.http1 import (
    BODY_MAX,
    HEAD_MAX,
    RING_BOUND,
    BadMessageError,
    Message,
    Parser,
    passed_on,
    request_bytes,
)
from meadowpulley.net.link import Link, connect
from meadowpulley.settings import COLUMNS

if TYPE_CHECKING:
    from meadowpulley.net.gateway import Gateway

WARM = 4  # connections opened to each instance at the start
WARM_ALL = 12  # by all gateways together: an instance holds few, and each costs it work
WARM_MS = 1000.0  # for them to come up, where the settings name no time
PART_MS = 500.0  # for the rest of an answer that has begun: answers are written whole
IDLE_PART = 0.75  # of the time after which an instance may close a connection: ours goes before


def read_result(answer: Message) -> i.Result:
    if answer.status == 200:
        return i.Result.OK
    if answer.status in (503, 504) and answer.headers.get(names.NOT_RUN) == "1":
        return i.Result.FULL
    return i.Result.ERROR


def read_load(text: str, columns: tuple[str, ...]) -> tuple[float, ...]:
    """A load report, in the order of the settings' columns; nothing unless every column has a number."""
    found: dict[str, float] = {}
    for part in text.split(","):
        name, _, value = part.strip().partition("=")
        try:
            found[COLUMNS.get(name, name)] = float(value)
        except ValueError:
            return ()
    values = tuple(found.get(column, math.nan) for column in columns)
    return values if all(math.isfinite(v) for v in values) else ()


class Attempt:
    """One attempt of a request, or a probe when `taken` is None."""

    def __init__(
        self, server: int, pool: Pool, taken: Taken | None, n: int, sent: float, until: float
    ) -> None:
        self.server, self.pool, self.taken, self.n = server, pool, taken, n
        self.sent, self.until = sent, until
        self.link: InstanceLink | None = None
        self.opening: Deferred[Any] | None = None
        self.written = self.ended = False  # written: the kernel has the request's last byte
        self.limit: Deadline | None = None
        self.connect_limit: Deadline | None = None


class State(Enum):
    IDLE = "idle"
    BUSY = "busy"
    CLOSED = "closed"


class InstanceLink(Link):
    """One connection to an instance; at most one request travels on it at a time."""

    def __init__(self, pool: Pool) -> None:
        super().__init__(pool.instances.gateway.deadlines, RING_BOUND, HEAD_MAX + BODY_MAX + HEAD_MAX)
        self.pool = pool
        self.parser = Parser(self.inward, requests=False)
        self.state = State.IDLE
        self.attempt: Attempt | None = None
        self.handle = -1

    def opened(self) -> None:
        self.pool.instances.joined(self)

    def carry(self, attempt: Attempt, data: bytes) -> None:
        self.limit.lift()
        self.state, self.attempt, attempt.link = State.BUSY, attempt, self
        self.send(data)

    def flushed(self) -> None:
        if self.attempt is not None:
            self.attempt.written = True

    def received(self) -> None:
        attempt = self.attempt
        if attempt is None:  # nothing was asked for: this connection is not to be trusted
            self.pool.instances.gateway.counters.add("up.unasked")
            self.drop()
            return
        try:
            answer = self.parser.next()
            while answer is not None and answer.status < 200:
                answer = self.parser.next()
        except BadMessageError:
            self.pool.instances.garbage(attempt)
            return
        if answer is not None:
            self._answered(attempt, answer)
        elif self.parser.begun and self.limit.at == math.inf:
            self.limit.set(PART_MS, self._cut_short)

    def _cut_short(self) -> None:
        """An answer began and did not end: what its head says of its length was wrong."""
        if self.unread():  # this gateway is late, not the rest of the answer
            self.limit.set(PART_MS, self._cut_short)
        elif self.attempt is not None:
            self.pool.instances.garbage(self.attempt)

    def _answered(self, attempt: Attempt, answer: Message) -> None:
        again = answer.keep_alive and attempt.written and not self.parser.begun
        self.attempt = None
        self.limit.lift()
        if again and self.up:
            self.state = State.IDLE
            self.pool.rest(self)
        else:
            self.drop()
        self.pool.instances.answered(attempt, answer)

    def closed(self) -> None:
        if self.state is State.CLOSED:
            return
        self.state = State.CLOSED
        self.pool.left(self)
        attempt, self.attempt = self.attempt, None
        if attempt is None:
            return
        answer = self.parser.end()
        if answer is not None and attempt.written:
            self.pool.instances.answered(attempt, answer)
        else:
            self.pool.instances.broke(attempt)

    def drop(self) -> None:
        was_up = self.up
        super().drop()
        if was_up:
            self.closed()

    def overflowed(self) -> None:
        if self.attempt is not None:
            self.pool.instances.garbage(self.attempt)
        else:
            self.drop()


class Pool:
    """The connections to one address."""

    def __init__(
        self, instances: Instances, server: int, address: Address, start: tuple[int, float] = (0, 0.0)
    ) -> None:
        self.instances, self.server, self.address, self.start = instances, server, address, start
        self.idle: list[InstanceLink] = []  # oldest first; the newest is used first

    def take(self) -> InstanceLink | None:
        while self.idle:
            link = self.idle.pop()
            if not link.unread():
                return link
            self.instances.gateway.counters.add("up.found_closed")
            link.drop()
        return None

    def rest(self, link: InstanceLink) -> None:
        self.idle.append(link)
        if self.instances.idle_ms > 0:
            link.limit.set(self.instances.idle_ms * IDLE_PART, link.drop)

    def left(self, link: InstanceLink) -> None:
        if link in self.idle:
            self.idle.remove(link)
        self.instances.left(link)

    def close_idle(self) -> None:
        for link in list(self.idle):
            link.drop()


class Instances:
    def __init__(self, gateway: Gateway, size: int) -> None:
        self.gateway, self.size = gateway, size
        self.limits = gateway.config.settings.limits
        self.idle_ms = self.limits.idle_ms
        self.columns = gateway.config.settings.report_columns
        self.sockets = 0  # open or opening
        self.pools: dict[int, Pool] = {}  # by the number of the server

    # Connections

    def place(self, server: int, address: Address, start: tuple[int, float]) -> None:
        """Discovery has told where a server is, and which build it runs since when: an id and an address that
        come back with another one inherit no connection, since those may lead nowhere and never say so."""
        pool = self.pools.get(server)
        if pool is None or (pool.address, pool.start) != (address, start):
            self.forget(server)
            self.pools[server] = Pool(self, server, address, start)

    def forget(self, server: int) -> None:
        pool = self.pools.pop(server, None)
        if pool is not None:
            pool.close_idle()

    def close_idle(self, server: int) -> None:
        pool = self.pools.get(server)
        if pool is not None:
            pool.close_idle()

    def joined(self, link: InstanceLink) -> None:
        self.gateway.counters.add("up.connections")

    def left(self, link: InstanceLink) -> None:
        self.sockets -= 1
        self.gateway.settled()

    def warm(self) -> None:
        """At the start a few connections to each instance are opened ahead: clients come all at once, and a
        first request that waits for its connection holds up those behind it. Not in a large fleet: 200
        gateways with few requests each opened as many connections ahead as they had requests in a day."""
        part = WARM_ALL // max(self.gateway.config.settings.balancers, 1)
        for pool in list(self.pools.values()):
            for _ in range(min(WARM, part, self.size // (2 * len(self.pools)))):
                self.sockets += 1
                opening = connect(self.gateway.reactor, pool.address, partial(InstanceLink, pool))
                wait = self.limits.connect_timeout_ms or WARM_MS
                limit = self.gateway.deadlines.after(wait, opening.cancel)
                opening.addCallbacks(
                    self._warmed, self._not_warmed, callbackArgs=(pool, limit), errbackArgs=(limit,)
                )

    def _warmed(self, link: InstanceLink, pool: Pool, limit: Deadline) -> None:
        self.gateway.deadlines.call_off(limit)
        if link.up and self.pools.get(pool.server) is pool:
            pool.rest(link)
        else:
            link.drop()

    def _not_warmed(self, _: Failure, limit: Deadline) -> None:
        self.gateway.deadlines.call_off(limit)
        self.sockets -= 1

    def _make_room(self) -> bool:
        """Closes the connection that has stood idle longest when all sockets for instances are in use."""
        if self.sockets < self.size:
            return True
        resting = [pool.idle[0] for pool in self.pools.values() if pool.idle]
        if not resting:
            return False
        min(resting, key=lambda link: link.limit.at).drop()
        return True

    # Attempts

    def send(self, action: i.Send) -> None:
        taken = self.gateway.clients.requests.get(action.request)
        now = self.gateway.deadlines.now()
        if taken is None:
            self.gateway.counters.add("up.late_actions")
            return
        n, taken.tries = taken.tries, taken.tries + 1
        until = taken.deadline if action.limit_ms == 0 else min(taken.deadline, now + action.limit_ms)
        pool = self.pools.get(action.server)
        attempt = Attempt(action.server, pool or Pool(self, action.server, ("", 0)), taken, n, now, until)
        taken.out[n] = attempt
        if taken.over or until <= now or n >= self.limits.max_attempts:
            self._end(attempt, i.Result.MOOT)
        elif pool is None:
            self._end(attempt, i.Result.CONNECT_FAILED)
        else:
            self.gateway.counters.add("up.attempts")
            if until < taken.deadline:
                attempt.limit = self.gateway.deadlines.at(until, partial(self.time_out, attempt))
            try:
                self._start(attempt)
            except Exception:  # the decisions hear of it, and the request goes on
                self.gateway.failed("send")
                self._end(attempt, i.Result.RESET if attempt.written else i.Result.CONNECT_FAILED)

    def probe(self, action: i.Probe) -> None:
        now = self.gateway.deadlines.now()
        until = now + max(self.limits.connect_timeout_ms, 1.0)
        pool = self.pools.get(action.server)
        attempt = Attempt(action.server, pool or Pool(self, action.server, ("", 0)), None, 0, now, until)
        if pool is None:
            self._end(attempt, i.Result.CONNECT_FAILED)
            return
        self.gateway.counters.add("up.probes")
        attempt.limit = self.gateway.deadlines.at(until, partial(self.time_out, attempt))
        self._start(attempt)

    def _start(self, attempt: Attempt) -> None:
        link = attempt.pool.take()
        if link is not None:
            link.carry(attempt, self._bytes(attempt))
            return
        if not self._make_room():
            self.gateway.counters.add("up.no_socket")
            self._end(attempt, i.Result.CONNECT_FAILED)
            return
        self.sockets += 1
        timeout = self.limits.connect_timeout_ms
        if timeout > 0:
            attempt.connect_limit = self.gateway.deadlines.after(timeout, partial(self._never_up, attempt))
        pool = attempt.pool
        attempt.opening = connect(self.gateway.reactor, pool.address, lambda: InstanceLink(pool))
        attempt.opening.addCallbacks(
            self._connected, self._refused, callbackArgs=(attempt,), errbackArgs=(attempt,)
        )
        attempt.opening.addErrback(lambda _: self.gateway.failed("connect"))

    def _bytes(self, attempt: Attempt) -> bytes:
        if attempt.taken is None:
            return request_bytes("GET", names.HEALTH, {"host": names.SERVICE})
        message = attempt.taken.message
        left = max(attempt.until - self.gateway.deadlines.now(), 0.0)
        headers = {**passed_on(message.headers, names.SERVICE), names.REMAINING: f"{left * 1000:.0f}u"}
        return request_bytes(message.method, message.target, headers, message.body)

    def _connected(self, link: InstanceLink, attempt: Attempt) -> None:
        attempt.opening = None
        self.gateway.deadlines.call_off(attempt.connect_limit)
        if attempt.ended:
            link.drop()
        elif link.up:
            link.carry(attempt, self._bytes(attempt))
        else:
            self._end(attempt, i.Result.CONNECT_FAILED)

    def _refused(self, _: Failure, attempt: Attempt) -> None:
        attempt.opening = None
        self.sockets -= 1
        self._end(attempt, i.Result.CONNECT_FAILED)

    def _never_up(self, attempt: Attempt) -> None:
        if attempt.link is None:
            self._end(attempt, i.Result.CONNECT_FAILED)

    def time_out(self, attempt: Attempt) -> None:
        self._end(attempt, i.Result.TIMEOUT if attempt.written else i.Result.CONNECT_FAILED)

    def cancel(self, action: i.Cancel) -> None:
        taken = self.gateway.clients.requests.get(action.request)
        attempt = taken.out.get(action.attempt) if taken is not None else None
        if attempt is not None:
            self.gateway.counters.add("up.cancelled")
            self._end(attempt, i.Result.CANCELLED)

    def broke(self, attempt: Attempt) -> None:
        self._end(attempt, i.Result.RESET if attempt.written else i.Result.CONNECT_FAILED)

    def garbage(self, attempt: Attempt) -> None:
        """What came is no answer: the request has run, or may have, and who spoilt it is not said."""
        self.gateway.counters.add("up.garbage")
        self._end(attempt, i.Result.RESET)

    def answered(self, attempt: Attempt, answer: Message) -> None:
        result = read_result(answer)
        if result is i.Result.OK and attempt.taken is not None:
            kind = answer.headers.get("content-type")
            headers = {"content-type": kind} if kind else {}
            if not attempt.taken.over:
                attempt.taken.out.pop(attempt.n, None)
                self.gateway.clients.answer(attempt.taken, 200, headers, answer.body)
        self._end(attempt, result, read_load(answer.headers.get(names.LOAD, ""), self.columns))

    def _end(self, attempt: Attempt, result: i.Result, load: tuple[float, ...] = ()) -> None:
        """The one outcome of an attempt; whatever is left of it on the network is closed."""
        if attempt.ended:
            return
        attempt.ended = True
        deadlines = self.gateway.deadlines
        deadlines.call_off(attempt.limit)
        deadlines.call_off(attempt.connect_limit)
        link, attempt.link = attempt.link, None
        if link is not None and link.attempt is attempt:
            link.attempt = None
            link.drop()
        if attempt.opening is not None:
            attempt.opening.cancel()
        elapsed, taken = deadlines.now() - attempt.sent, attempt.taken
        self.gateway.counters.add(f"up.{result.name.lower()}")
        if taken is None:
            self.gateway.tell(i.ProbeResult(attempt.server, result, elapsed, load))
            return
        taken.out.pop(attempt.n, None)
        over = taken.over
        self.gateway.clients.release(taken)
        self.gateway.tell(i.Outcome(taken.handle, attempt.n, attempt.server, result, elapsed, over, load))
