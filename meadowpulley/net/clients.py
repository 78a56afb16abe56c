"""Intake and answers: the clients' connections, and the requests that are owed a final answer."""

from __future__ import annotations

import hashlib
import math
import re
from enum import Enum
from functools import partial
from typing import TYPE_CHECKING, Any

from meadowpulley import interface as i
from meadowpulley.net import names
from meadowpulley.net.deadlines import Deadline
from meadowpulley.net.http1 import (
    READ_MAX,
    RING_BOUND,
    BadMessageError,
    Message,
    Parser,
    answer_bytes,
)
from meadowpulley.net.link import Link, LinkFactory
from meadowpulley.net.slots import Slots

if TYPE_CHECKING:
    from meadowpulley.net.gateway import Gateway
    from meadowpulley.net.instances import Attempt

IDLE_MS = 60_000.0  # a client may stay silent between requests
HALF_MS = 10_000.0  # and take this long to send one
LONG_IDLE_MS = 1_000.0  # idle for so long, a connection may go when others wait to be accepted
ROOM_AGAIN_MS = 50.0
LINGER_MS = 2_000.0  # after a bad request, so that its answer is read before the connection breaks
BACKLOG = 128  # what waits here counts as taken: better a connection that never comes up than one unheard
ACCEPTS = 32  # connections accepted in one turn of the reactor
SPARE = 56  # slots beyond which accepting pauses: the reactor accepts a few more before it hears of it
_REMAINING = re.compile(r"([0-9]{1,12}(?:\.[0-9]{1,6})?)([mu])")
_KEY = re.compile(r"[0-9a-fA-F]{1,16}")
_METHODS = {i.Effect.SAFE: ("GET",), i.Effect.KEYED: ("POST", "PUT"), i.Effect.UNSAFE: ("POST",)}


def parse_remaining(text: str) -> float:
    found = _REMAINING.fullmatch(text)
    if found is None:
        raise BadMessageError(400, f"'{names.REMAINING}' is no time")
    return float(found[1]) * (1.0 if found[2] == "m" else 0.001)


def parse_key(text: str) -> int:
    """Keys are numbers to the decisions; one in another form stands for the same number everywhere."""
    if not text:
        return 0
    if _KEY.fullmatch(text):
        return int(text, 16)
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")


class Taken:
    """One request that the gateway took: it is owed exactly one final answer."""

    def __init__(self, message: Message, cls: int, link: ClientLink, arrived: float, deadline: float) -> None:
        self.message, self.cls, self.arrived, self.deadline = message, cls, arrived, deadline
        self.link: ClientLink | None = link
        self.handle = -1
        self.tries = 0
        self.out: dict[int, Attempt] = {}
        self.over = False
        self.limit: Deadline | None = None


class State(Enum):
    WAITING = "waiting"  # for a request, or the rest of one
    HOLDING = "holding"  # a request that was taken
    ANSWERING = "answering"  # until the kernel has the whole answer
    LINGERING = "lingering"  # the last answer is out: what still comes is thrown away


class ClientLink(Link):
    def __init__(self, clients: Clients) -> None:
        super().__init__(clients.gateway.deadlines, RING_BOUND, RING_BOUND)
        self.clients = clients
        self.parser = Parser(self.inward, requests=True)
        self.state = State.WAITING
        self.handle = -1
        self.taken: Taken | None = None
        self.closing = self._working = self._paused = False
        self._half = False

    def opened(self) -> None:
        self.clients.joined(self)
        self.limit.set(IDLE_MS, self._silent)

    def received(self) -> None:
        if self.state is State.LINGERING:
            self.inward.clear()
        elif self.state is State.WAITING:
            self._work()
        if not self._paused and self.up and self.inward.room < READ_MAX:
            self._paused = True  # a client that writes ahead waits until what it wrote is answered
            self.wire.stopReading()

    def _work(self) -> None:
        if self._working:
            return
        self._working = True
        try:
            while self.up and self.state is State.WAITING:
                message = self.parser.next()
                if message is None:
                    break
                self._half = False
                self.state = State.HOLDING
                self.limit.lift()
                self.clients.take(self, message)
        except BadMessageError as error:
            self.refuse_input(error)
        except Exception:  # a fault of ours: the request fails, the gateway goes on
            self.clients.gateway.failed("intake")
            self.closing = True
            if self.taken is not None:
                self.clients.answer(self.taken, 502, {}, b"")
            elif self.state in (State.WAITING, State.HOLDING):
                self.answer(502, {}, b"")
        finally:
            self._working = False
        if self.up and self.state is State.WAITING:
            if self.parser.expects:
                self.parser.expects = False
                self.send(answer_bytes(100, {}))
            if self._paused and self.inward.room >= READ_MAX:
                self._paused = False
                self.wire.startReading()
            if self.parser.begun and not self._half:
                self._half = True
                self.limit.set(HALF_MS, self._half_sent)

    def refuse_input(self, error: BadMessageError) -> None:
        self.clients.gateway.counters.add(f"in.bad.{error.status}")
        self.closing = True
        self.answer(error.status, {}, f"{error}\n".encode())

    def answer(self, status: int, headers: dict[str, str], body: bytes) -> None:
        self.state, self.taken = State.ANSWERING, None
        self.closing = self.closing or self.clients.closing
        self.limit.set(IDLE_MS, self.drop)  # a client that does not read its answer is bounded too
        self.send(answer_bytes(status, headers, body, self.closing))

    def flushed(self) -> None:
        if self.state is not State.ANSWERING or not self.up:
            return
        if self.closing:
            self.leave()
            return
        self.state = State.WAITING
        self.limit.set(IDLE_MS, self._silent)
        self._work()

    def leave(self) -> None:
        """Ends this side of the connection, and the whole of it once the client has ended its own."""
        self.state = State.LINGERING
        self.inward.clear()
        if self._paused:
            self._paused = False
            self.wire.startReading()
        self.limit.set(LINGER_MS, self.drop)
        self.wire.loseWriteConnection()

    def part(self) -> None:
        """Closes between requests: a client whose next one crosses this sends it again elsewhere."""
        self.state = State.LINGERING
        self.limit.set(LINGER_MS, self.drop)
        self.wire.loseConnection()

    @property
    def idle(self) -> bool:
        return self.up and self.state is State.WAITING and not self.parser.begun

    def part_if_idle(self) -> None:
        if self.idle and not self.unread():
            self.part()

    def _silent(self) -> None:
        self.clients.gateway.counters.add("in.silent")
        self.part()

    def _half_sent(self) -> None:
        self.refuse_input(BadMessageError(400, "the request did not come whole"))

    def closed(self) -> None:
        self.clients.left(self)

    def drop(self) -> None:
        was_up = self.up
        super().drop()
        if was_up:
            self.closed()


class Clients:
    def __init__(self, gateway: Gateway, size: int, requests: int) -> None:
        self.gateway = gateway
        self.links: Slots[ClientLink] = Slots(size)
        self.spare = min(SPARE, size // 3)
        self.accepts = min(ACCEPTS, max(self.spare // 2, 1))
        self.requests: Slots[Taken] = Slots(requests)
        self.classes = {c.name: n for n, c in enumerate(gateway.config.settings.classes)}
        self.tenants = {t.name: n for n, t in enumerate(gateway.config.settings.tenants)}
        self.closing = self._paused = False
        self.port: Any = None

    def listen(self) -> None:
        host, port = self.gateway.config.listen
        self.port = self.gateway.reactor.listenTCP(
            port, LinkFactory(lambda: ClientLink(self)), backlog=BACKLOG, interface=host
        )
        self.port.numberAccepts = self.accepts

    # Connections

    def joined(self, link: ClientLink) -> None:
        self.gateway.counters.add("in.connections")
        if self.links.full:
            self.gateway.counters.add("in.turned_away")
            link.up = False
            link.wire.abortConnection()
            return
        link.handle = self.links.put(link)
        self.port.numberAccepts = min(self.port.numberAccepts, self.accepts)
        if not self._paused and len(self.links) > self.links.size - self.spare:
            self._paused = True
            self.gateway.counters.add("in.pauses")
            self.gateway.log.warning("accepting paused", connections=len(self.links))
            self.port.stopReading()
            self._make_room()

    def _resume(self) -> None:
        if (
            self._paused
            and len(self.links) <= self.links.size - self.spare - self.accepts
            and self.port is not None
        ):
            self._paused = False
            self.port.startReading()

    def left(self, link: ClientLink) -> None:
        if link.handle >= 0:
            self.links.free(link.handle)
            link.handle = -1
        self._resume()
        taken, link.taken = link.taken, None
        if taken is not None and not taken.over:
            self.gateway.counters.add("in.gone")
            self._end(taken)
            self.gateway.tell(i.RequestGone(taken.handle))
        self.gateway.settled()

    def _make_room(self) -> None:
        """While accepting pauses, connections that have long stood idle go, the longest idle first: who waits
        to be accepted may have sent a request by now. Ones used lately stay: a request may be on its way."""
        if not self._paused or self.closing:
            return
        latest = self.gateway.deadlines.now() + IDLE_MS - LONG_IDLE_MS
        idle = [link for link in self.links if link.idle and link.limit.at < latest]
        idle.sort(key=lambda link: link.limit.at)
        for link in idle[: 2 * self.accepts]:
            self.gateway.counters.add("in.made_room")
            link.part_if_idle()
        self.gateway.deadlines.after(ROOM_AGAIN_MS, self._make_room)

    def drain(self) -> None:
        """From now on every connection closes once nothing is owed on it."""
        self.closing = True
        for link in self.links:
            link.part_if_idle()

    def stop_listening(self) -> Any:
        port, self.port = self.port, None
        for link in self.links:
            link.part_if_idle()
        return port.stopListening() if port is not None else None

    # Requests

    def take(self, link: ClientLink, message: Message) -> None:
        path = message.target.partition("?")[0]
        if not path.startswith("/"):
            raise BadMessageError(400, "the target is no path")
        if path in (names.READY, names.HEALTH):
            well = path == names.HEALTH or self.gateway.ready
            link.answer(200 if well else 503, {}, b"ok\n" if well else b"not ready\n")
            return
        cls = self.classes.get(path.split("/")[1])
        if cls is None:
            self.gateway.counters.add("in.unknown_path")
            link.closing = link.closing or not message.keep_alive
            link.answer(404, {}, b"unknown path\n")
            return
        settings = self.gateway.config.settings
        allowed = _METHODS[settings.classes[cls].effect]
        if message.method not in allowed:
            self.gateway.counters.add("in.wrong_method")
            link.closing = link.closing or not message.keep_alive
            link.answer(405, {"allow": ", ".join(allowed)}, b"wrong method\n")
            return
        request = self._request(link, message, cls)
        handle = request.handle
        link.closing = link.closing or not message.keep_alive
        self.gateway.counters.add("in.requests")
        self.gateway.tell(
            i.Request(
                request=handle,
                cls=cls,
                tenant=self.tenants.get(message.headers.get(names.TENANT, ""), 0),
                key=parse_key(message.headers.get(names.KEY, "")),
                deadline_ms=request.deadline,
                work_hint_ms=self._hint(message),
                repeat=message.headers.get(names.REPEAT) == "1",
                write=message.method != "GET",
            )
        )

    def _request(self, link: ClientLink, message: Message, cls: int) -> Taken:
        if not message.headers.get(names.ID):
            raise BadMessageError(400, f"no '{names.ID}'")
        now, settings = self.gateway.deadlines.came(), self.gateway.config.settings
        told = message.headers.get(names.REMAINING)
        remaining = settings.classes[cls].deadline_ms if told is None else parse_remaining(told)
        taken = Taken(message, cls, link, now, now + remaining)
        taken.handle = self.requests.put(taken)
        link.taken = taken
        taken.limit = self.gateway.deadlines.at(taken.deadline, partial(self._due, taken))
        return taken

    def _due(self, taken: Taken) -> None:
        """The client stops waiting: attempts end here, and the decisions have a little time left."""
        slack = self.gateway.config.settings.rules.answer_slack_ms
        # Whatever goes wrong before the answer, this one still comes in time.
        taken.limit = self.gateway.deadlines.at(taken.deadline + slack, partial(self._overdue, taken))
        for attempt in list(taken.out.values()):
            self.gateway.instances.time_out(attempt)

    @staticmethod
    def _hint(message: Message) -> float | None:
        try:
            hint = float(message.headers[names.HINT])
        except (KeyError, ValueError):
            return None
        return hint if math.isfinite(hint) and hint >= 0 else None

    def _overdue(self, taken: Taken) -> None:
        if taken.over:
            return
        self.gateway.counters.add("out.overdue")
        self.gateway.log.error("request was still unanswered past its deadline", cls=taken.cls)
        self.answer(taken, 504, {}, b"")
        self.gateway.tell(i.RequestGone(taken.handle))

    def answer(self, taken: Taken, status: int, headers: dict[str, str], body: bytes) -> None:
        """The one final answer; a second one is counted and goes nowhere."""
        if taken.over:
            self.gateway.counters.add("out.second_answers")
            return
        link = taken.link
        self._end(taken)
        self.gateway.counters.add(f"out.{status}")
        if link is not None and link.up and link.taken is taken:
            link.answer(status, headers, body)

    def refuse(self, action: i.Refuse) -> None:
        taken = self.requests.get(action.request)
        if taken is None:
            self.gateway.counters.add("out.late_actions")
            return
        advice = action.retry_after_ms
        headers = {"retry-after": f"{advice / 1000:.3f}"} if advice > 0 else {}
        self.answer(taken, 503, headers, b"")

    def fail(self, action: i.Fail) -> None:
        taken = self.requests.get(action.request)
        if taken is None:
            self.gateway.counters.add("out.late_actions")
            return
        self.answer(taken, 502, {}, b"")

    def broke(self, request: int) -> None:
        """The decisions failed on this request: if nothing is under way for it, it fails now."""
        taken = self.requests.get(request)
        if taken is not None and not taken.over and not taken.out:
            self.answer(taken, 502, {}, b"")
            self.gateway.tell(i.RequestGone(request))

    def _end(self, taken: Taken) -> None:
        taken.over, taken.link = True, None
        self.gateway.deadlines.call_off(taken.limit)
        self.release(taken)

    def release(self, taken: Taken) -> None:
        """Frees the slot once the answer is out and no attempt is."""
        if taken.over and not taken.out:
            self.requests.free(taken.handle)
