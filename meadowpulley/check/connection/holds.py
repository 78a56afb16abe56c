"""What must hold in every state of world B."""

from __future__ import annotations

from meadowpulley.check.connection.enabled import Enabled
from meadowpulley.check.connection.parties import Client, parse
from meadowpulley.check.connection.scenes import INSTANCES
from meadowpulley.net import names
from meadowpulley.net.gateway import Phase


class Watched(Enabled):
    """Looks after each step at what clients got, what instances ran and what is left over."""

    def _look(self) -> None:
        for text in self.log.errors:
            self._fail("logged", text)
        self.log.errors = []
        counters, balancer = self.gateway.counters, self.gateway.balancer
        for request, attempt in balancer.twice:
            self._fail("outcomes", f"attempt {attempt + 1} of request {request} ended twice")
        balancer.twice.clear()
        if counters["out.second_answers"]:
            self._fail("answers", "a second final answer was tried")
        if counters["out.overdue"]:
            self._fail("answers", "a request had no answer by its deadline and slack")
        for c in self.clients:
            self._look_at_client(c)
        self._look_at_effects()
        if self.ended:
            self._look_at_end()

    def _look_at_client(self, c: Client) -> None:
        if c.wire is None:
            return
        found, sound = parse(c.wire.sent, False)
        answers = [m for m in found if m.status >= 200]
        if not sound:
            self._fail("connection", f"client {c.number} got what is no answer: {c.wire.sent[-60:]!r}")
        if len(answers) > c.at + (1 if c.written or c.at < len(c.texts) else 0):
            self._fail("connection", f"client {c.number} got {len(answers)} answers to {c.at} requests")
        for n, answer in enumerate(answers):
            if answer.status == 200 and (n >= len(c.names) or answer.body.decode() != c.names[n]):
                wanted = c.names[n] if n < len(c.names) else "nothing"
                text = f"client {c.number}: answer {n + 1} is {answer.body!r}, not {wanted}"
                self._fail("connection", text)
        for n in range(c.answers, len(answers)):
            status = answers[n].status
            slow = status == 408 and (c.at <= n or c.wire.was_jammed)  # it really had not come whole
            sound = n < len(c.kinds) and c.kinds[n] != "garbage"
            if 400 <= status < 500 and sound and not slow:
                self._fail("connection", f"client {c.number}: its sound request {n + 1} got {status}")
            self.heard.append(("gateway", f"client {c.number}", f"answers {answers[n].status}"))
        c.answers = len(answers)

    def _look_at_effects(self) -> None:
        ran: dict[str, int] = {}
        for s in self.served:
            for n, request in enumerate(parse(s.wire.sent, True)[0]):
                if request.method == "POST" and n not in s.turned_away:
                    name = request.headers.get(names.ID, "")
                    ran[name] = ran.get(name, 0) + 1
        refused = {
            c.names[n] for c in self.clients if c.wire is not None
            for n, m in enumerate([m for m in parse(c.wire.sent, False)[0] if m.status >= 200])
            if m.status == 503 and n < len(c.names)
        }  # fmt: skip
        for name in sorted(refused & set(ran)):
            self._fail("effects", f"request {name} came whole to an instance and was refused")
        for name, count in ran.items():
            if count > 1:
                self._fail("executed", f"request {name} came whole to instances {count} times")

    def _look_at_end(self) -> None:
        g = self.gateway
        counters = g.counters.all()
        out = sum(n for name, n in counters.items() if name[4:].isdigit() and name.startswith("out."))
        taken, gone = counters.get("in.requests", 0), counters.get("in.gone", 0)
        if out + gone != taken:
            self._fail("answers", f"{taken} requests taken, {out} answered, {gone} left by their clients")
        if len(g.requests.table) or g.requests.ids:
            text = f"{len(g.requests.table)} requests and {len(g.requests.ids)} ids are left over"
            self._fail("slots", text)
        clients = [w for w in self.reactor.wires if w.address is None]
        if len(g.clients.links) or clients:
            text = f"{len(g.clients.links)} slots and {len(clients)} connections of clients are left"
            self._fail("slots", text)
        there = sum(w.address in INSTANCES for w in self.reactor.wires) + len(self._openings())
        if g.instances.sockets != there:
            self._fail("slots", f"{g.instances.sockets} sockets to instances counted, {there} are open")
        stopped = g.phase is Phase.STOPPED and self.reactor.stopped
        if g.phase in (Phase.DRAINING, Phase.STOPPED) and not stopped:
            self._fail("ends", "drained, all connections over, and it did not end")
