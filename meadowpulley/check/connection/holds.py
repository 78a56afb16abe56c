"""What must hold in every state of world B."""

from __future__ import annotations

import math
from dataclasses import replace

from meadowpulley.check.connection.enabled import Enabled
from meadowpulley.check.connection.parties import Client, parse
from meadowpulley.check.connection.scenes import GONE_MS, INSTANCES, MOVED, RULES, SLACK_MS
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
        self._look_at_sends()
        self._look_at_config()
        for port in self.reactor.ports:
            for c in port.lost:
                self._fail("answers", f"client {c.number} was reset with its request in the accept backlog")
        if self.reactor.stopped or self.ended:
            self._look_at_owed()
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
            c.names[n]
            for c in self.clients
            if c.wire is not None
            for n, m in enumerate([m for m in parse(c.wire.sent, False)[0] if m.status >= 200])
            if m.status == 503 and n < len(c.names)
        }
        for name in sorted(refused & set(ran)):
            self._fail("effects", f"request {name} came whole to an instance and was refused")
        for name, count in ran.items():
            if count > 1:
                self._fail("executed", f"request {name} came whole to instances {count} times")

    def _look_at_sends(self) -> None:
        """What became whole at an instance by this step: may it still be sent there, and at all."""
        wrote = {name: c for c in self.clients for name in c.names}
        for s in self.served:
            requests, at = parse(s.wire.sent, True)[0], s.wire.sent_at
            for request in requests[s.seen :]:
                name = request.headers.get(names.ID, "")
                gone_at = wrote[name].gone_at if name in wrote else math.inf
                if name in self.waited and at > gone_at + GONE_MS:
                    text = f"request {name} was sent on {at - gone_at:.0f} ms after its client had gone"
                    self._fail("gone", text)
                told = self.told.get(s.wire.address or ("", 0), math.inf)
                if at > told + RULES.drain_grace_ms + SLACK_MS:
                    text = f"request {name} went to instance {s.wire.address}, "
                    self._fail("drains", text + f"told not in service {at - told:.0f} ms before")
            s.seen = len(requests)

    def _look_at_config(self) -> None:
        now, before = self.gateway.config, self.began_with
        if replace(now, discovery=before.discovery, platform=before.platform) != before:
            self._fail("reload", "more than addresses was taken over")
        if self.gateway.phase in (Phase.READY, Phase.DRAINING) and (now.discovery == MOVED) != self.moved:
            where = "the new address" if self.moved else "its old address"
            self._fail("reload", f"discovery is followed at {now.discovery}, and is at {where}")

    def _look_at_owed(self) -> None:
        """The gateway has ended, or all is over: whoever wrote a whole request and stayed has its answer,
        unless the answer before it said that the connection closes, or it does not read."""
        for c in self.clients:
            if c.wire is None or c.left or c.wire.was_jammed:
                continue
            answers = [m for m in parse(c.wire.sent, False)[0] if m.status >= 200]
            if len(answers) < c.owed and all(m.keep_alive for m in answers):
                text = f"client {c.number} wrote {c.owed} whole requests and got {len(answers)} answers"
                self._fail("answers", text)

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
        if (self.told_to_end or g.phase in (Phase.DRAINING, Phase.STOPPED)) and not stopped:
            self._fail("ends", "told to end, all connections over, and it did not end")
