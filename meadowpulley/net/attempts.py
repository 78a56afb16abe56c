"""Attempts: requests on their way to an instance, each with one outcome; and probes."""

from __future__ import annotations

import math
from functools import partial
from typing import Any

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from meadowpulley.interface import Cancel, Effect, Outcome, Probe, ProbeResult, Result, Send
from meadowpulley.net import names
from meadowpulley.net.deadlines import Deadline
from meadowpulley.net.host import Host
from meadowpulley.net.http1 import Message, passed_on, request_bytes
from meadowpulley.net.instance_link import InstanceLink, Pool
from meadowpulley.net.instances import Instances
from meadowpulley.net.link import connect
from meadowpulley.net.requests import Requests, Taken
from meadowpulley.settings import COLUMNS

_NEVER_RAN = (Result.REJECTED, Result.CONNECT_FAILED, Result.NOT_SENT)


def read_result(answer: Message) -> Result:
    if answer.status == 200:
        return Result.OK
    if answer.status in (503, 504) and answer.headers.get(names.NOT_RUN) == "1":
        return Result.REJECTED
    return Result.ERROR


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
    """One attempt of a request, or a probe when `taken` is None. Times are those of the gateway's clock."""

    def __init__(
        self, attempts: Attempts, server: int, taken: Taken | None, n: int, sent: float, until: float
    ) -> None:
        self.attempts, self.server, self.taken, self.n = attempts, server, taken, n
        self.sent, self.until = sent, until
        self.link: InstanceLink | None = None
        self.opening: Deferred[Any] | None = None
        self.written = self.ended = False  # written: the kernel has the request's last byte
        self.limit: Deadline | None = None
        self.connect_limit: Deadline | None = None
        self.write_limit: Deadline | None = None

    def start(self, pool: Pool) -> None:
        attempts = self.attempts
        link = pool.take()
        if link is not None:
            if link.ready_at <= attempts.gateway.deadlines.now():
                link.carry(self, self._bytes())
            else:
                attempts.gateway.counters.add("up.rests")
                attempts.gateway.deadlines.at(link.ready_at, partial(self._rested, link))
            return
        if not attempts.instances.make_room():
            attempts.gateway.counters.add("up.no_socket")
            self.end(Result.CONNECT_FAILED)
            return
        opening = connect(attempts.gateway.reactor, pool.address, lambda: InstanceLink(pool))
        attempts.instances.sockets += 1
        timeout = attempts.limits.connect_timeout_ms
        if timeout > 0:
            self.connect_limit = attempts.gateway.deadlines.after(timeout, self._never_up)
        self.opening = opening  # before its callbacks, which forget it and may run at once
        opening.addCallbacks(self._connected, self._refused)
        opening.addErrback(self._failed_connecting)

    def _rested(self, link: InstanceLink) -> None:
        """The connection that was kept for this attempt may carry it now, if nothing has come on it."""
        if self.ended:
            if link.up:
                link.pool.rest(link)
        elif link.pool.over:
            link.drop()
            self.end(Result.CONNECT_FAILED)
        elif link.up and not link.unread():
            link.carry(self, self._bytes())
        else:
            link.drop()
            self.attempts.start(self, link.pool, "send")

    def _failed_connecting(self, _: Failure) -> None:
        self.attempts.gateway.failed("connect")
        self.broke()

    def _bytes(self) -> bytes:
        if self.taken is None:
            return request_bytes("GET", names.HEALTH, {"host": names.SERVICE})
        message = self.taken.message
        left = max(self.until - self.attempts.gateway.deadlines.now(), 0.0)
        headers = {**passed_on(message.headers, names.SERVICE), names.REMAINING: f"{left * 1000:.0f}u"}
        return request_bytes(message.method, message.target, headers, message.body)

    def _connected(self, link: InstanceLink) -> None:
        self.opening = None
        self.attempts.gateway.deadlines.run_due()  # a connection is input, too
        self.attempts.gateway.deadlines.call_off(self.connect_limit)
        if self.taken is not None and self.taken.over:  # its client has gone: nothing is sent for it
            self.end(Result.NOT_SENT)
        if self.ended:
            link.drop()
        elif link.up:
            link.carry(self, self._bytes())
        else:
            self.end(Result.CONNECT_FAILED)

    def _refused(self, _: Failure) -> None:
        self.opening = None
        self.attempts.instances.sockets -= 1
        self.end(Result.CONNECT_FAILED)

    def _never_up(self) -> None:
        if self.link is None:
            self.end(Result.CONNECT_FAILED)

    def unwritten(self) -> None:
        """Its last byte has to be out by now, or what it repeats may be forgotten where it arrives."""
        if not self.written:
            self.attempts.gateway.counters.add("up.past_window")
            self.end(Result.CONNECT_FAILED)

    def time_out(self) -> None:
        self.end(Result.TIMEOUT if self.written else Result.CONNECT_FAILED)

    def cancel(self) -> None:
        self.attempts.gateway.counters.add("up.cancelled")
        self.end(Result.CANCELLED)

    def broke(self) -> None:
        self.end(Result.RESET if self.written else Result.CONNECT_FAILED)

    def garbage(self) -> None:
        """What came is no answer: a request that was written has run, or may have; who spoilt it is not
        said."""
        self.attempts.gateway.counters.add("up.garbage")
        self.broke()

    def answered(self, answer: Message) -> None:
        result, taken = read_result(answer), self.taken
        if not self.written and result is not Result.REJECTED:
            # An instance begins with the last byte, which it can't have: that answers an earlier request.
            self.attempts.gateway.counters.add("up.unasked")
            self.broke()
            return
        if result is Result.OK and taken is not None and not taken.over:
            kind = answer.headers.get("content-type")
            headers = {"content-type": kind} if kind else {}
            taken.out.pop(self.n, None)
            self.attempts.requests.answer(taken, 200, headers, answer.body)
        self.end(result, read_load(answer.headers.get(names.LOAD, ""), self.attempts.columns))

    def end(self, result: Result, load: tuple[float, ...] = ()) -> None:
        """The one outcome of an attempt; whatever is left of it on the network is closed."""
        if self.ended:
            return
        self.ended = True
        gateway = self.attempts.gateway
        gateway.deadlines.call_off(self.limit)
        gateway.deadlines.call_off(self.connect_limit)
        gateway.deadlines.call_off(self.write_limit)
        link, self.link = self.link, None
        if link is not None and link.attempt is self:
            link.attempt = None
            link.drop()
        if self.opening is not None:
            self.opening.cancel()
        elapsed, taken = gateway.deadlines.now() - self.sent, self.taken
        gateway.counters.add(f"up.{result.name.lower()}")
        if taken is None:
            gateway.tell(ProbeResult(self.server, result, elapsed, load))
            return
        taken.out.pop(self.n, None)
        if result not in _NEVER_RAN:
            taken.ran = min(taken.ran, self.sent)
        over = taken.over
        self.attempts.requests.release(taken)
        gateway.tell(Outcome(taken.handle, self.n, self.server, result, elapsed, over, load))


class Attempts:
    """Carries out what the decisions say of attempts and probes."""

    def __init__(self, gateway: Host, instances: Instances, requests: Requests) -> None:
        self.gateway, self.instances, self.requests = gateway, instances, requests
        self.limits = gateway.config.settings.limits
        self.columns = gateway.config.settings.report_columns

    def send(self, action: Send) -> None:
        taken = self.requests.table.get(action.request)
        now = self.gateway.deadlines.now()
        if taken is None:
            self.gateway.counters.add("up.late_actions")
            return
        n, taken.tries = taken.tries, taken.tries + 1
        until = taken.deadline if action.timeout_ms == 0 else min(taken.deadline, now + action.timeout_ms)
        write_by = self._window_end(taken)
        pool = self.instances.pools.get(action.server)
        attempt = Attempt(self, action.server, taken, n, now, until)
        taken.out[n] = attempt
        if taken.over or until <= now or n >= self.limits.max_attempts:
            attempt.end(Result.NOT_SENT)
        elif pool is None:
            attempt.end(Result.CONNECT_FAILED)
        else:
            self.gateway.counters.add("up.attempts")
            if until < taken.deadline:
                attempt.limit = self.gateway.deadlines.at(until, attempt.time_out)
            if write_by < until:
                attempt.write_limit = self.gateway.deadlines.at(write_by, attempt.unwritten)
            self.start(attempt, pool, "send")

    def _window_end(self, taken: Taken) -> float:
        """Until when a further attempt of a keyed request may be written: the decisions look at the window
        when they send, and its connection may come up, or its body go out, well after that."""
        settings = self.gateway.config.settings
        cls = settings.classes[taken.cls]
        if cls.effect is not Effect.IDEMPOTENT_WITH_KEY:
            return math.inf
        return (
            min([taken.ran, *(a.sent for a in taken.out.values())])
            + cls.deduplication_window_ms
            - settings.tick_ms
        )

    def start(self, attempt: Attempt, pool: Pool, where: str) -> None:
        try:
            attempt.start(pool)
        except Exception:  # the decisions hear of it, and the request goes on
            self.gateway.failed(where)
            attempt.broke()

    def probe(self, action: Probe) -> None:
        now = self.gateway.deadlines.now()
        until = now + max(self.limits.connect_timeout_ms, 1.0)
        pool = self.instances.pools.get(action.server)
        attempt = Attempt(self, action.server, None, 0, now, until)
        if pool is None:
            attempt.end(Result.CONNECT_FAILED)
            return
        self.gateway.counters.add("up.probes")
        attempt.limit = self.gateway.deadlines.at(until, attempt.time_out)
        self.start(attempt, pool, "probe")

    def cancel(self, action: Cancel) -> None:
        taken = self.requests.table.get(action.request)
        attempt = taken.out.get(action.attempt) if taken is not None else None
        if attempt is not None:
            attempt.cancel()
