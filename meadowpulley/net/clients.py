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

FIRST_MS = 2_000.0  # from its connecting until a client's first request is there, whole
HALF_MS = 2_000.0  # a later request, from its first byte to its last
IDLE_MS = 2_100.0  # a client may stay silent between requests, or leave an answer unread
LONG_IDLE_MS = 1_000.0  # idle for so long, a connection may go when others wait to be accepted
MUTE_MS = 20.0  # and one on which nothing ever came: a client that means it sends as soon as it may
ROOM_AGAIN_MS = 20.0
LINGER_MS = 1_000.0  # after a bad request, so that its answer is read before the connection breaks
LINGER_BYTES = 256 * 1024  # of what it still sends are thrown away, the rest is left to the kernel to hold up
BACKLOG = 256  # what waits here counts as taken: better a connection that never comes up than one unheard
ACCEPTS = 16  # connections accepted in one turn of the reactor
SPARE = 24  # slots beyond which room is made: the reactor accepts a few more before it hears of it
REMAINING_OVER_MS = 1_000.0  # what a request may claim beyond its class's limit: clients round
_REMAINING = re.compile(r"([0-9]{1,12}(?:\.[0-9]{1,6})?)([mu])")
_ID = re.compile(r"[!-+\--~]{1,128}")  # neither blanks nor commas: those would be two ids in one
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
        self._half = self.mute = True  # until the first request is there one limit is over all of it
        self._thrown = 0

    def opened(self) -> None:
        self.clients.joined(self)
        self.limit.set(FIRST_MS, self._silent)

    def received(self) -> None:
        self.mute = False
        if self.state is State.LINGERING:
            self._thrown += len(self.inward)
            self.inward.clear()
            if self._thrown > LINGER_BYTES and not self._paused:
                self._paused = True
                self.wire.stopReading()
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
        # Clients may open only so many: with half of the table in use an answer ends its connection, or those
        # that asked once and stay leave none for the next request.
        self.closing = self.closing or self.clients.closing or self.clients.half_full
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
        if self.parser.begun:
            self._half_sent()
            return
        if self.unread():  # this gateway is late, not the client
            self.limit.set(ROOM_AGAIN_MS, self._silent)
            return
        self.clients.gateway.counters.add("in.silent")
        self.part()

    def _half_sent(self) -> None:
        self.refuse_input(BadMessageError(408, "the request did not come whole"))

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
        self.ids: dict[str, Taken] = {}  # of the requests that are owed an answer
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
        if not self._paused and self._crowded and not self.closing:
            self._clear_room()
            if self._crowded:
                self._paused = True
                self.gateway.counters.add("in.pauses")
                self.gateway.log.warning("accepting paused", connections=len(self.links))
                self.port.stopReading()
                self.gateway.deadlines.after(ROOM_AGAIN_MS, self._make_room)

    @property
    def half_full(self) -> bool:
        return 2 * len(self.links) > self.links.size

    @property
    def _crowded(self) -> bool:
        return len(self.links) > self.links.size - self.spare

    def _resume(self) -> None:
        if self._paused and not self._crowded and self.port is not None:
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

    def _clear_room(self) -> None:
        """Room for those that wait to be accepted, who may have sent a request by now: first go connections
        on which the last word is said, then mute ones, then those that have long stood idle, the longest
        first. Ones used lately stay: a request may be on its way."""
        now = self.gateway.deadlines.now()
        over = [link for link in self.links if link.state is State.LINGERING]
        mute = [k for k in self.links if k.mute and k.idle and k.limit.at < now + FIRST_MS - MUTE_MS]
        idle = [k for k in self.links if not k.mute and k.idle and k.limit.at < now + IDLE_MS - LONG_IDLE_MS]
        for group in (over, mute, idle):
            for link in sorted(group, key=lambda link: link.limit.at)[: 2 * self.accepts]:
                if len(self.links) <= self.links.size - self.spare - self.accepts:
                    return
                if link.state is State.LINGERING or not link.unread():
                    self.gateway.counters.add("in.made_room")
                    link.drop()

    def _make_room(self) -> None:
        if self._paused and not self.closing:
            self._clear_room()
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
        if message.method == "GET" and message.body:
            raise BadMessageError(400, "a GET with a body")
        if message.method not in allowed:
            self.gateway.counters.add("in.wrong_method")
            link.closing = link.closing or not message.keep_alive
            link.answer(405, {"allow": ", ".join(allowed)}, b"wrong method\n")
            return
        request = self._request(link, message, cls)
        handle = request.handle
        link.closing = link.closing or not message.keep_alive
        self.gateway.counters.add("in.requests")
        event = i.Request(
            request=handle,
            cls=cls,
            tenant=self.tenants.get(message.headers.get(names.TENANT, ""), 0),
            key=parse_key(message.headers.get(names.KEY, "")),
            deadline_ms=request.deadline,
            work_hint_ms=self._hint(message),
            repeat=message.headers.get(names.REPEAT) == "1",
            write=message.method != "GET",
        )
        if self.gateway.capture is not None:
            self.gateway.capture.note(event, request.arrived, len(message.body))
        self.gateway.tell(event)

    def _request(self, link: ClientLink, message: Message, cls: int) -> Taken:
        name = message.headers.get(names.ID, "")
        if not _ID.fullmatch(name):
            raise BadMessageError(400, f"no '{names.ID}', or not just one")
        if name in self.ids:  # that request goes on; an attempt for this one would be its second copy
            raise BadMessageError(409, f"'{names.ID}' is that of an open request")
        now, settings = self.gateway.deadlines.came(), self.gateway.config.settings
        told = message.headers.get(names.REMAINING)
        most = settings.classes[cls].deadline_ms
        remaining = most if told is None else parse_remaining(told)
        if remaining > most + REMAINING_OVER_MS:
            raise BadMessageError(400, f"'{names.REMAINING}' is more than its class may take")
        taken = Taken(message, cls, link, now, now + remaining)
        taken.handle = self.requests.put(taken)
        link.taken = self.ids[name] = taken
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
        self.ids.pop(taken.message.headers[names.ID], None)
        self.gateway.deadlines.call_off(taken.limit)
        self.release(taken)

    def release(self, taken: Taken) -> None:
        """Frees the slot once the answer is out and no attempt is."""
        if taken.over and not taken.out:
            self.requests.free(taken.handle)
