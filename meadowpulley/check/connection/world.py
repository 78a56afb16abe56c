"""Taking a step of world B."""

from __future__ import annotations

import signal
from collections.abc import Sequence
from dataclasses import replace

from meadowpulley.check.connection.holds import Watched
from meadowpulley.check.connection.parties import Client, parse
from meadowpulley.check.connection.scenes import MOVED
from meadowpulley.check.wire import Wire
from meadowpulley.check.worlds import Step
from meadowpulley.net import names
from meadowpulley.net.http1 import answer_bytes

LONG_MS = 70_000.0  # by when everything that has a limit has met it


class Connection(Watched):
    """The world: each step is a method."""

    def take(self, step: Step) -> tuple[Sequence[int], Sequence[int]]:
        self.heard = []
        try:
            getattr(self, f"_do_{step.do}")(*step.who)
            self.reactor.run_due()
            self._call_up()
        except Exception as error:  # the reactor would log it, and end the connection
            self._fail("logged", f"{type(error).__name__}: {error}")
        self._look()
        return (), ()

    def _do_connect(self, c: int) -> None:
        client = self.clients[c]
        client.wire = self.reactor.join(self.reactor.ports[0].factory.buildProtocol(None), None)

    def _do_queue(self, c: int) -> None:
        """The kernel has completed its connection and holds its request; it is not accepted yet."""
        self.troubles -= 1
        client = self.clients[c]
        client.at = client.owed = 1
        port = self.reactor.ports[0]
        port.reactor = self.reactor
        port.waiting.append((client, client.texts[0]))

    def _do_write(self, c: int, cut: int) -> None:
        client = self.clients[c]
        assert client.wire is not None
        data = self._text(client, cut)
        client.wire.arrive(data)

    def _text(self, client: Client, cut: int) -> bytes:
        """The next bytes that a client writes; a request that is whole now is owed an answer."""
        assert client.wire is not None
        data = client.texts[client.at][client.written : cut]
        whole = cut == len(client.texts[client.at])
        client.at, client.written = (client.at + 1, 0) if whole else (client.at, cut)
        if whole and not client.wire.closing:
            client.owed = client.at
        told = f"{len(data)} bytes" + (", the last" if whole else "")
        self.heard.append((f"client {client.number}", "gateway", told))
        return data

    def _do_unread(self, c: int) -> None:
        """A whole request is in the kernel, and the reactor's turn has not come to it."""
        self.troubles -= 1
        client = self.clients[c]
        assert client.wire is not None
        client.wire.pending += self._text(client, len(client.texts[client.at]))

    def _do_turn(self) -> None:
        for wire in list(self.reactor.wires):
            wire.read()
        if self._waiting():
            self.reactor.ports[0].doRead()

    def _do_listen(self) -> None:
        if not self.reactor.stopped:  # else its reactor never comes to it
            self.gateway.listen()

    def _do_leave(self, c: int) -> None:
        client = self.clients[c]
        assert client.wire is not None
        client.gone_at, client.wire.gone = self.now, True
        self.waited = frozenset(client.names) - {
            m.headers.get(names.ID, "") for s in self.served for m in parse(s.wire.sent, True)[0]
        }
        self._do_shut(c)

    def _do_shut(self, c: int) -> None:
        self.troubles -= 1
        client = self.clients[c]
        assert client.wire is not None
        client.left = client.wire.ended = True
        client.wire.read()

    def _wire(self, side: str, n: int) -> Wire:
        wire = self.clients[n].wire if side == "client" else self.served[n].wire
        assert wire is not None
        return wire

    def _do_jam(self, side: str, n: int) -> None:
        self.troubles -= 1
        wire = self._wire(side, n)
        wire.jammed = wire.was_jammed = True

    def _do_flow(self, side: str, n: int) -> None:
        self._wire(side, n).flow()

    def _do_up(self, n: int) -> None:
        self._up(self._openings()[n])

    def _do_refused(self, n: int) -> None:
        self.troubles -= 1
        self._openings()[n].refuse()

    def _say(self, n: int, data: bytes, what: str) -> None:
        self.heard.append((f"instance connection {n}", "gateway", what))
        self.served[n].wire.arrive(data)

    def _do_answer(self, n: int, how: str) -> None:
        s = self.served[n]
        if how != "ok":
            self.troubles -= 1
        requests, _ = parse(s.wire.sent, True)
        request = requests[s.answered] if len(requests) > s.answered else None
        s.answered += 1
        if how == "full" and request is not None:
            s.turned_away.append(s.answered - 1)
        text = self._answer_text(request, "ok" if how == "early" else how)
        if how == "ok":
            s.last, s.last_at = text, self.now
        self._say(n, text, f"answers, {how}")
        if how == "close":
            s.wire.ended = True
            s.wire.read()

    def _do_again(self, n: int) -> None:
        self.troubles -= 1
        s = self.served[n]
        s.last, text = b"", s.last
        self._say(n, text, "its last answer once more")

    def _do_part(self, n: int, cut: int) -> None:
        s = self.served[n]
        requests, _ = parse(s.wire.sent, True)
        text = self._answer_text(requests[s.answered], "ok")
        s.answered += 1
        s.rest = text[cut:]
        self._say(n, text[:cut], f"the first {cut} bytes of an answer")

    def _do_rest(self, n: int) -> None:
        s = self.served[n]
        data, s.rest = s.rest, b""
        self._say(n, data, "the rest of the answer")

    def _do_drop(self, n: int) -> None:
        self.troubles -= 1
        wire = self.served[n].wire
        wire.ended = True
        wire.read()

    def _do_fin(self, n: int) -> None:
        """It has closed, and the gateway's reactor has not told yet."""
        self.troubles -= 1
        self.served[n].wire.ended = True

    def _do_read(self, n: int) -> None:
        self.served[n].wire.read()

    def _do_sigterm(self) -> None:
        self.troubles -= 1
        if not self.told_to_end:
            self.told_to_end, self.told_to_end_at = True, self.now
        self.gateway.on_signal(signal.SIGTERM, None)

    def _do_sighup(self, how: str) -> None:
        self.troubles -= 1
        self.file = None
        if how == "moved":
            self.moved = True
            self.file = replace(
                self.began_with,
                name="other",
                discovery=MOVED,
                seed=8,
                sockets=999,
                known=None,
                news=None,
                listen=("127.0.0.1", 9009),
                settings=replace(self.began_with.settings, gateway_index=1),
            )
        self.gateway.on_signal(signal.SIGHUP, None)

    def _do_change(self, n: int, state: str) -> None:
        self.troubles -= 1
        self.registry.change(n, state)

    def _do_fetch(self) -> None:
        self.fetched = True
        self.gateway.discovery.fetch()

    def _do_make(self, n: int) -> None:
        self._make(n)

    def _do_deliver(self, n: int) -> None:
        self.heard.append(("discovery", "gateway", f"the list of version {self.calls[n].made}"))
        self._deliver(n)

    def _do_list_failed(self, n: int) -> None:
        self.troubles -= 1
        self.calls[n].answered += 1
        self.calls[n].wire.arrive(answer_bytes(503, {}))

    def _do_wait(self, place: str) -> None:
        self.waits -= 1
        if place == "end":
            if not self.reactor.ports:
                self._do_listen()
            self._do_turn()
            self._do_turn()  # whom it accepted is read in the next
            self.reactor.advance(self.reactor.now + LONG_MS)
            self.ended = True
            return
        at = self._edge(place) if place in self.scene.edges else self.reactor.next_at()
        assert at is not None
        to = max(at + {"before": -1.0, "after": 1.0}.get(place, 0.0), self.reactor.now)
        if to > self.reactor.now + 1.0:  # what has come within a millisecond may be read after what is due
            self._do_turn()
            self._do_turn()
        self.reactor.advance(to)
        self._do_turn()

    # For people

    def tell(self, step: Step) -> str:
        who = list(step.who)
        texts = {
            "connect": "client {0} connects",
            "write": "client {0} writes its request up to byte {1}",
            "leave": "client {0} closes its connection",
            "jam": "the kernel takes nothing more on the connection of {0} {1}",
            "flow": "the kernel takes bytes again on the connection of {0} {1}",
            "up": "a connection to an instance comes up ({0})",
            "refused": "a connection to an instance is refused ({0})",
            "answer": "the instance on connection {0} answers: {1}",
            "part": "the instance on connection {0} sends the first {1} bytes of its answer",
            "rest": "the instance on connection {0} sends the rest",
            "drop": "the instance closes connection {0}",
            "fin": "the instance closes connection {0}; nobody has looked yet",
            "read": "the gateway's reactor finds connection {0} closed",
            "unread": "client {0} writes a request that the gateway's reactor has not read yet",
            "queue": "client {0} connects and writes a request; it waits to be accepted",
            "turn": "the gateway's reactor reads what has come",
            "listen": "the gateway is READY and listens",
            "shut": "client {0} ends its sending and waits",
            "again": "the instance on connection {0} writes its last answer once more",
            "change": "discovery hears that instance {0} is {1}",
            "fetch": "the decisions ask for the list",
            "make": "discovery answers the call on connection {0}; the answer is on its way",
            "deliver": "discovery's answer on connection {0} arrives",
            "list_failed": "discovery answers the call on connection {0} with 503",
            "sigterm": "SIGTERM",
            "sighup": "SIGHUP, with a file that is {0}",
            "wait": "time goes on: {0} the next deadline",
        }
        if who == ["stop"]:
            return "time goes on until just before the gateway stops listening"
        if who in (["gone"], ["drain"]):
            return f"time goes on until just past the limit of what is {who[0]}"
        if who == ["end"]:
            return "time goes on until all is over"
        return texts[step.do].format(*who)
