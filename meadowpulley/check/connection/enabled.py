"""What may happen next in world B."""

from __future__ import annotations

from collections.abc import Iterator

from meadowpulley.check.connection.parties import Client, Served, cuts_of, parse
from meadowpulley.check.connection.state import State
from meadowpulley.check.worlds import Step
from meadowpulley.net import names
from meadowpulley.net.http1 import Message, answer_bytes


class Enabled(State):
    """The steps that are possible in a state."""

    def steps(self) -> list[Step]:
        return [] if self.ended else list(self._steps())

    def _may(self, trouble: str) -> bool:
        return self.troubles > 0 and trouble in self.scene.troubles

    def _steps(self) -> Iterator[Step]:
        for c in self.clients:
            yield from self._client_steps(c)
        for n, s in enumerate(self.served):
            if s.wire.up:
                yield from self._served_steps(n, s)
        for n, _ in enumerate(self._openings()):
            yield Step("up", (n,))
            if self._may("refused"):
                yield Step("refused", (n,))
        if self._may("sigterm"):
            yield Step("sigterm")
        if self._may("sighup"):
            yield from (Step("sighup", (how,)) for how in ("moved", "bad"))
        if self.waits > 0:
            if self.reactor.next_at() is not None:
                yield from (Step("wait", (place,)) for place in ("before", "at", "after"))
            yield Step("wait", ("end",))

    def _client_steps(self, c: Client) -> Iterator[Step]:
        wire = c.wire
        if wire is None:
            if not c.left and self.reactor.ports[0].open and self.reactor.ports[0].reading:
                yield Step("connect", (c.number,))
            return
        if not wire.up:
            return
        if c.at < len(c.texts):
            cuts = cuts_of(c.texts[c.at]) if self.scene.parts else (len(c.texts[c.at]),)
            yield from (Step("write", (c.number, cut)) for cut in cuts if cut > c.written)
        if self._may("leave"):
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
