"""Taking a step of world A."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace

from meadowpulley.check.decisions.enabled import Enabled
from meadowpulley.check.decisions.forms import CHOICES
from meadowpulley.check.decisions.host import Host
from meadowpulley.check.decisions.words import OUTCOMES, news_text, text_of
from meadowpulley.check.properties import Broken
from meadowpulley.check.worlds import Step
from meadowpulley.interface import (
    EndpointUpdate,
    EndpointUpdateKind,
    GossipReceived,
    Phase,
    Result,
    RolloutUpdate,
    ServerState,
    Verdict,
    Vote,
)
from meadowpulley.rules import KeyAnswered

RESULTS = {
    "ok": Result.OK,
    "error": Result.ERROR,
    "reset": Result.RESET,
    "full": Result.REJECTED,
    "connect_failed": Result.CONNECT_FAILED,
}


class Decisions(Enabled):
    """The world: each step is a method."""

    def take(self, step: Step) -> tuple[Sequence[int], Sequence[int]]:
        CHOICES.begin(step.draws)
        self.heard = []
        getattr(self, f"_do_{step.do}")(*step.who)
        self._gather()
        return CHOICES.made, CHOICES.among

    def _trouble(self) -> None:
        self.troubles -= 1

    def _do_drain(self, server: int) -> None:
        self._trouble()
        changed = [
            replace(e, state=ServerState.DRAINING) if e.server == server else e for e in self.lists[-1]
        ]
        self.lists = (*self.lists, tuple(changed))

    def _do_gone(self, server: int) -> None:
        self._trouble()
        self.lists = (*self.lists, tuple(e for e in self.lists[-1] if e.server != server))

    def _do_return(self, server: int, build: int) -> None:
        self._trouble()
        others = [e for e in self.lists[-1] if e.server != server]
        back = self._entry(server, build, self.now)
        self.lists = (*self.lists, tuple(sorted([*others, back], key=lambda e: e.server)))

    def _stand(self, phase: Phase, stage: int, cap: float, build: int = 0) -> None:
        news = RolloutUpdate(build or self.history[-1].build, stage, phase, cap, 0.0)
        self.history = (*self.history, news)
        for n, host in enumerate(self.hosts):
            new = self.hosts[n] = host.copy()
            new.news_due = (*host.news_due, news)

    def _do_stage(self) -> None:
        self._trouble()
        self._on()

    def _on(self) -> None:
        stand, caps = self.history[-1], self.scene.rollout.caps
        if stand.stage + 1 < len(caps):
            self._stand(Phase.TRIAL, stand.stage + 1, caps[stand.stage + 1])
        else:
            self._stand(Phase.RELEASED, stand.stage, 1.0)

    def _do_call_back(self) -> None:
        self._trouble()
        self._stand(Phase.ROLLING_BACK, self.history[-1].stage, 0.0)

    def _do_withdraw(self) -> None:
        self._trouble()
        self._stand(Phase.ROLLED_BACK, self.history[-1].stage, 0.0)

    def _do_count(self, g: int, n: int, heard: bool = True) -> None:
        host = self.hosts[g] = self.hosts[g].copy()
        vote, at = host.votes[n]
        host.votes = (*host.votes[:n], *host.votes[n + 1 :])
        stand = self.history[-1]
        standing = (vote.build, vote.stage) == (stand.build, stand.stage) and stand.phase is Phase.TRIAL
        if standing and vote.verdict is Verdict.ADVANCE:
            self._on()
        elif vote.build == stand.build and stand.phase is Phase.TRIAL and vote.verdict is Verdict.ROLL_BACK:
            self._stand(Phase.ROLLING_BACK, stand.stage, 0.0)
        host = self.hosts[g] = self.hosts[g].copy()
        if heard:
            answer = replace(self.history[-1], result=Result.OK, is_vote_reply=True)
            host.news_due = (*host.news_due, answer)
        else:
            self._lost(host, vote, at)

    def _lost(self, host: Host, vote: Vote, at: float) -> None:
        late = RolloutUpdate(vote.build, vote.stage, Phase.TRIAL, 0.0, 0.0, Result.TIMEOUT, True)
        due = max(at + self.scene.rollout.call_timeout_ms, self.now)
        host.answers_due = [*host.answers_due, (due, late)]

    def _do_lose_vote(self, g: int, n: int, how: str) -> None:
        self._trouble()
        if how == "counted":
            self._do_count(g, n, heard=False)
            return
        host = self.hosts[g] = self.hosts[g].copy()
        vote, at = host.votes[n]
        host.votes = (*host.votes[:n], *host.votes[n + 1 :])
        self._lost(host, vote, at)

    def _do_datagram(self, g: int, n: int, again: bool = False) -> None:
        host = self.hosts[g] = self.hosts[g].copy()
        action = host.datagrams[n]
        if not again:
            host.datagrams = (*host.datagrams[:n], *host.datagrams[n + 1 :])
        for other in range(len(self.hosts)):
            if other != g and action.peer in (None, other):
                to = self.hosts[other] = self.hosts[other].copy()
                to.tell(self, GossipReceived(g, action.data))

    def _do_repeat_datagram(self, g: int, n: int) -> None:
        self._trouble()
        self._do_datagram(g, n, again=True)

    def _do_lose_datagram(self, g: int, n: int) -> None:
        self._trouble()
        host = self.hosts[g] = self.hosts[g].copy()
        host.datagrams = (*host.datagrams[:n], *host.datagrams[n + 1 :])

    def _do_ask(self, g: int, n: int) -> None:
        self.left = tuple(k for k in self.left if k != n)
        self.say("clients", f"gateway {g}", "asks")
        self._host(g).ask(self, n % len(self.scene.kinds))

    def _do_outcome(self, g: int, request: int, attempt: int, name: str) -> None:
        if name != "ok":
            self._trouble()
        host = self._host(g)
        self.say(f"server {host.asked[request].out[attempt].server}", f"gateway {g}", OUTCOMES[name])
        host.end(self, request, attempt, RESULTS[name])

    def _do_answered(self, g: int, request: int, attempt: int) -> None:
        host = self._host(g)
        asked = host.asked[request]
        out = asked.out[attempt]
        out.answered = True
        key = self.scene.kinds[asked.kind][1]
        host.books.see(KeyAnswered(self.now, g, key, out.build))

    def _do_late(self, g: int, n: int) -> None:
        host = self._host(g)
        key, build = host.ghosts[n]
        host.ghosts = (*host.ghosts[:n], *host.ghosts[n + 1 :])
        host.books.see(KeyAnswered(self.now, g, key, build))

    def _do_leave(self, g: int, request: int) -> None:
        self._trouble()
        self.say("clients", f"gateway {g}", f"leaves request {request}")
        self._host(g).leave(self, request)

    def _do_list(self, g: int, version: int) -> None:
        self.say("discovery", f"gateway {g}", f"list {version}")
        self._host(g).hear_list(self, version, EndpointUpdateKind.INCREMENTAL)

    def _do_whole_list(self, g: int) -> None:
        self.say("discovery", f"gateway {g}", "the whole list")
        self._host(g).hear_list(self, len(self.lists) - 1, EndpointUpdateKind.FULL)

    def _do_list_failed(self, g: int) -> None:
        self._trouble()
        host = self._host(g)
        host.list_owed = self.scene.must_ask
        host.tell(self, EndpointUpdate(EndpointUpdateKind.FAILED, max(host.known, 0)))

    def _do_news(self, g: int, n: int) -> None:
        host = self._host(g)
        news = host.news_due[n]
        host.news_due = (*host.news_due[:n], *host.news_due[n + 1 :])
        self.say("platform", f"gateway {g}", news_text(news))
        host.hear_news(self, news)

    def _do_lose_news(self, g: int, n: int) -> None:
        self._trouble()
        host = self._host(g)
        host.news_due = (*host.news_due[:n], *host.news_due[n + 1 :])

    def _do_kill(self, g: int, version: int) -> None:
        self._trouble()
        old = self.hosts[g]  # its books end with it: what it held is no longer its duty
        host = self.hosts[g] = Host(g, old.settings, old.make)
        self.turn = g
        host.begin(self, version, self.history[-1])

    def _do_wait(self, name: str, place: str) -> None:
        self.waits -= 1
        target = next(at for at, n, p in self._moments() if (n, p) == (name, place))
        self.hosts = [h.copy() for h in self.hosts]
        for _ in range(10_000):
            due = min(h.next_due() for h in self.hosts)
            if due > target:
                break
            self.now = max(due, self.now)
            for host in self.hosts:
                if host.next_due() <= self.now:
                    host.run_due(self)
        else:
            self.broken.append(
                Broken("timers", self.now, -1, "a timer is set again and again for the same moment")
            )
        self.now, self.turn = target, -1

    # For people

    def tell(self, step: Step) -> str:
        return text_of(self, step)
