"""What may happen next in world B."""

from __future__ import annotations

import math
from collections.abc import Iterator
from urllib.parse import parse_qs, urlsplit

from meadowpulley.check.connection.parties import Client, Served, cuts_of, parse
from meadowpulley.check.connection.scenes import GONE_MS, LATE_MS, RULES, SLACK_MS
from meadowpulley.check.connection.state import State
from meadowpulley.check.worlds import Step
from meadowpulley.net import names
from meadowpulley.net.gateway import ACCEPT_ON_MS
from meadowpulley.net.http1 import Message, answer_bytes


class Enabled(State):
    """The steps that are possible in a state."""

    def steps(self) -> list[Step]:
        return [] if self.ended else list(self._steps())

    def _may(self, trouble: str) -> bool:
        return self.troubles > 0 and trouble in self.scene.troubles

    def _steps(self) -> Iterator[Step]:
        if not self.reactor.ports and self.scene.starts:
            yield Step("listen")
        if not self.reactor.stopped:
            yield from self._live_steps()
        if self.waits > 0:
            yield from (Step("wait", (place,)) for place in self._places())

    def _live_steps(self) -> Iterator[Step]:
        for c in self.clients:
            yield from self._client_steps(c)
        for n, s in enumerate(self.served):
            if s.wire.up:
                yield from self._served_steps(n, s)
            if self._may("again") and s.last and not s.rest and self.now - s.last_at <= LATE_MS:
                yield Step("again", (n,))
        for n, _ in enumerate(self._openings()):
            yield Step("up", (n,))
            if self._may("refused"):
                yield Step("refused", (n,))
        if self._waiting() or any(
            c.wire is not None and c.wire.up and c.wire.pending and c.wire.reading for c in self.clients
        ):
            yield Step("turn")
        if self.scene.lists:
            yield from self._list_steps()
        if self._may("sigterm"):
            yield Step("sigterm")
        if self._may("sighup"):
            yield from (Step("sighup", (how,)) for how in ("moved", "bad"))

    def _places(self) -> Iterator[str]:
        edges = self.scene.edges if not self.reactor.stopped else frozenset({"end"})
        if "deadline" in edges and self.reactor.next_at() is not None:
            yield from ("before", "at", "after")
        yield from (n for n in ("drain", "gone", "stop", "end") if n in edges and self._edge(n) > self.now)

    def _waiting(self) -> bool:
        return any(port.open and port.reading and port.waiting for port in self.reactor.ports)

    def _edge(self, name: str) -> float:
        """Just past the next moment of that kind (just before the one at which it stops listening), 0 for
        none."""
        if name == "end":
            return math.inf
        if name == "stop":
            return self.told_to_end_at + ACCEPT_ON_MS - 1.0 if self.told_to_end else 0.0
        if name == "gone":
            found = [c.gone_at + GONE_MS for c in self.clients if c.gone_at <= self.now]
        else:
            found = [at + RULES.drain_grace_ms + SLACK_MS for at in self.told.values()]
        return min((at + 1.0 for at in found if at + 1.0 > self.now), default=0.0)

    def _list_steps(self) -> Iterator[Step]:
        if not self.fetched:
            yield Step("fetch")
        for n, c in enumerate(self.calls):
            if not c.wire.up or (call := c.call()) is None:
                continue
            if c.made is not None:
                yield Step("deliver", (n,))
                continue
            asked = parse_qs(urlsplit(call.target).query)
            known = int(asked.get(names.AFTER, ["0"])[0])
            if self.registry.version > known or asked.get(names.WAIT) == ["0"]:
                yield Step("make", (n,))
            if self._may("list_failed"):
                yield Step("list_failed", (n,))
        if self._may("change"):
            for n, (state, _) in enumerate(self.registry.states):
                others = ("terminating", "terminated") if state == "in_service" else ("in_service",)
                yield from (Step("change", (n, other)) for other in others)

    def _client_steps(self, c: Client) -> Iterator[Step]:
        wire = c.wire
        if wire is None:
            ports = self.reactor.ports[:1]
            known = any(c is other for port in ports for other in (*port.lost, *[w[0] for w in port.waiting]))
            if not c.left and not known and ports and ports[0].open and ports[0].reading:
                yield Step("connect", (c.number,))
                if self._may("queue"):
                    yield Step("queue", (c.number,))
            return
        if not wire.up:
            return
        if c.at < len(c.texts) and not wire.ended:
            cuts = cuts_of(c.texts[c.at]) if self.scene.parts else (len(c.texts[c.at]),)
            yield from (Step("write", (c.number, cut)) for cut in cuts if cut > c.written)
            if self._may("unread") and not c.written:
                yield Step("unread", (c.number,))
        if self._may("shut") and not wire.ended:
            yield Step("shut", (c.number,))
        if self._may("leave") and not wire.gone:
            yield Step("leave", (c.number,))
        if self._may("jam") and not wire.jammed:
            yield Step("jam", ("client", c.number))
        if wire.jammed:
            yield Step("flow", ("client", c.number))

    def _served_steps(self, n: int, s: Served) -> Iterator[Step]:
        requests, _ = parse(s.wire.sent, True)
        if s.rest:
            yield Step("rest", (n,))
        elif len(requests) > s.answered:
            yield Step("answer", (n, "ok"))
            for how in ("error", "full", "noise", "twice", "close"):
                if self._may(how):
                    yield Step("answer", (n, how))
            if self.scene.parts:
                text = self._answer_text(requests[s.answered], "ok")
                yield from (Step("part", (n, cut)) for cut in cuts_of(text)[:-1])
        elif self._may("early") and s.wire.jammed:
            yield Step("answer", (n, "early"))
        if self._may("drop"):
            yield Step("drop", (n,))
        if self._may("fin") and not s.wire.ended:
            yield Step("fin", (n,))
        if s.wire.ended:
            yield Step("read", (n,))
        if self._may("jam") and not s.wire.jammed:
            yield Step("jam", ("instance", n))
        if s.wire.jammed:
            yield Step("flow", ("instance", n))

    @staticmethod
    def _answer_text(request: Message | None, how: str) -> bytes:
        name = request.headers.get(names.ID, "") if request is not None else "?"
        if how == "error":
            return answer_bytes(500, {})
        if how == "full":
            return answer_bytes(503, {names.NOT_RUN: "1"})
        if how == "noise":
            return b"\x00\x01 this is no answer\r\n\r\n"
        text = answer_bytes(200, {"content-type": "text/plain"}, name.encode(), close=how == "close")
        return text * 2 if how == "twice" else text
