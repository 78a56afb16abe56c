"""What may happen next in world A, and the moments at which time may stop."""

from __future__ import annotations

import math
from collections.abc import Iterator

from meadowpulley.check.decisions.host import Host
from meadowpulley.check.decisions.state import State
from meadowpulley.check.scenes import EARLIER, EPSILON_MS, LATER_MS, RULES, TRIAL
from meadowpulley.check.worlds import Step
from meadowpulley.interface import Phase, ServerState


class Enabled(State):
    """The steps that are possible in a state."""

    # Steps

    def steps(self) -> list[Step]:
        found: list[Step] = []
        if not self.setting.ordered or self.turn < 0:
            found += self._around()
        for host in self.hosts:
            if not self.setting.ordered or host.number >= self.turn:
                found += self._at(host)
        if self.waits > 0:
            found += [Step("wait", (name, place)) for _, name, place in self._moments()]
        return found

    def _may(self, trouble: str) -> bool:
        return self.troubles > 0 and trouble in self.scene.troubles

    def _around(self) -> Iterator[Step]:
        """Servers, the platform: whatever they do is told to gateways later."""
        newest, stand = self.lists[-1], self.history[-1]
        for e in newest:
            if self._may("drain") and e.state is ServerState.READY:
                yield Step("drain", (e.server,))
            if self._may("gone"):
                yield Step("gone", (e.server,))
        if self._may("restart"):  # under the same id, with the same build, and cold
            yield from (Step("return", (e.server, e.build)) for e in newest)
        if self._may("return"):
            there = {e.server for e in newest}
            for server in sorted({e.server for e in self.lists[0]} - there):
                yield from (Step("return", (server, build)) for build in (EARLIER, TRIAL))
            for e in newest:
                if e.build == EARLIER and e.state is ServerState.READY and not self.scene.cold:
                    yield Step("return", (e.server, max(stand.build, TRIAL)))
        if self._may("stage") and stand.phase is Phase.TRIAL:
            yield Step("stage")
        if self._may("call_back") and stand.phase is Phase.TRIAL:
            yield Step("call_back")
        if self._may("withdraw") and stand.phase is Phase.ROLLING_BACK:
            yield Step("withdraw")
        for host in self.hosts:
            for n, (_, at) in enumerate(host.votes):
                if at < self.now:
                    yield Step("count", (host.number, n))
                    if self._may("lose_vote"):
                        yield Step("lose_vote", (host.number, n, "counted"))
                        yield Step("lose_vote", (host.number, n, "uncounted"))
            for n in range(len(host.datagrams)):
                yield Step("datagram", (host.number, n))
                if self._may("lose_datagram"):
                    yield Step("lose_datagram", (host.number, n))
                if self._may("repeat_datagram"):
                    yield Step("repeat_datagram", (host.number, n))

    def _at(self, host: Host) -> Iterator[Step]:
        """What may come to one gateway."""
        g = host.number
        kinds: set[tuple[int, int]] = set()
        for n in self.left:
            kind = self.scene.kinds[n % len(self.scene.kinds)]
            if kind not in kinds:
                kinds.add(kind)
                yield Step("ask", (g, n))
        for request, asked in host.asked.items():
            for attempt, out in asked.out.items():
                yield Step("outcome", (g, request, attempt, "ok"))
                for name in ("error", "reset", "full", "connect_failed"):
                    possible = not out.answered or name == "reset"
                    if possible and self._may(name):
                        yield Step("outcome", (g, request, attempt, name))
                key = self.scene.kinds[asked.kind % len(self.scene.kinds)][1]
                if key and not out.answered and self._keyed(out.build):
                    yield Step("answered", (g, request, attempt))
            if not asked.over and self._may("leave"):
                yield Step("leave", (g, request))
        for n, (_, build) in enumerate(host.ghosts):
            if self._keyed(build):
                yield Step("late", (g, n))
        newest = len(self.lists) - 1
        for version in range(host.known + 1, newest + 1):
            yield Step("list", (g, version))
        if host.known < newest and "list_failed" in self.scene.troubles:
            yield Step("whole_list", (g,))
        if host.list_asked and host.known == newest:
            yield Step("list", (g, newest))
        if self._may("list_failed"):
            yield Step("list_failed", (g,))
        for n in range(len(host.news_due)):
            yield Step("news", (g, n))
            if self._may("lose_news"):
                yield Step("lose_news", (g, n))
        if self._may("kill"):
            for version in sorted({0, max(host.known, 0)}):
                yield Step("kill", (g, version))

    def _keyed(self, build: int) -> bool:
        """Whether it matters when this build answers a key."""
        return self.scene.rollout.monotonic_keys and build > EARLIER

    # Moments at which time may stop

    def _moments(self) -> list[tuple[float, str, str]]:
        found: dict[float, tuple[float, str, str]] = {}
        last = self.now
        for name in self.scene.edges:
            edges = [e for e in self._edges(name) if e > self.now]
            if not edges:
                continue
            edge = min(edges)
            last = max(last, max(edges))
            places = [(edge, "at")]
            if name not in ("timer", "cold"):
                places = [(edge - EPSILON_MS, "before"), *places, (edge + EPSILON_MS, "after")]
            if name == "window":  # what counts generously has let go by then
                places.append((edge + LATER_MS, "later"))
            for at, place in places:
                if at > self.now and at not in found:
                    found[at] = (at, name, place)
        end = max([last, *(h.last_due() for h in self.hosts)]) + EPSILON_MS
        if end not in found and end > self.now + EPSILON_MS:
            found[end] = (end, "end", "after")
        return sorted(found.values())

    def _edges(self, name: str) -> Iterator[float]:
        for host in self.hosts:
            if name == "deadline":
                yield from (a.deadline for a in host.asked.values())
            elif name == "timer":
                yield from host.timers[:1]
            else:
                yield from host.books.edges(name)
        if name == "cold":
            slot = RULES.overload_window_ms / 4
            cold = [e for e in self.lists[-1] if self.now < e.started_ms + RULES.slow_start_ms]
            if cold:
                yield (math.floor(self.now / slot) + 1) * slot
