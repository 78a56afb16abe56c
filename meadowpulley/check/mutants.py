"""The catalogue of bugs planted on purpose: the check is worth what it finds of them.

Each is a small patch of the real code (or of a world of the check itself), with the properties that may catch
it and the bounds under which it shows. `meadowpulley check mutants` plays them.
"""

from __future__ import annotations

from typing import Any

from meadowpulley.check.mutate import Mutant

BALANCE, RECORDS = "meadowpulley.balance", "meadowpulley.records"
DECISIONS = "meadowpulley.check.decisions"


def _m(
    name: str, why: str, by: str, scene: str, *pieces: tuple[str, str], module: str = BALANCE,
    **more: Any,
) -> Mutant:  # fmt: skip
    return Mutant(name, why, module, pieces, tuple(by.split()), scene, **more)


_ALL = (
    # Answers
    _m("gone-kept", "a client that left is still served", "answers leftovers", "members",
       ("self._call_off(self.held.pop(event.request))", "self._call_off(self.held[event.request])"),
       requests=1, troubles=2, servers=1, waits=2),
    _m("answered-kept", "an answered request stays in the table", "leftovers answers", "attempts",
       ("        if o.over:\n            self.held.pop(o.request, None)",
        "        if o.over:\n            pass")),
    _m("given-up-kept", "a refused request stays in the table", "leftovers answers", "attempts",
       ("        self.held.pop(rid, None)\n        advice", "        advice")),
    _m("waits-forever", "a request waits for a server past its time", "answers", "members",
       ("if not self._route(held) and self.now < until:", "if not self._route(held):"),
       requests=1, troubles=1, servers=1, waits=2),
    _m("answers-late-outcome", "a second answer on an outcome after the end", "answers", "attempts",
       ("            self.held.pop(o.request, None)\n            self._call_off(held)",
        "            self.held.pop(o.request, None)\n            self._call_off(held)\n"
        "            self.acts.append(i.Refuse(o.request))")),
    _m("silent-give-up", "what is given up is not answered", "answers timers", "attempts",
       ("        self.acts.append(i.Refuse(rid, advice) if harmless else i.Fail(rid))\n", "")),
    _m("never-retried-nor-answered", "a failed attempt is the end of it", "answers timers", "attempts",
       ("            else:\n                self._give_up(held)\n\n    def _health",
        "\n    def _health")),
    _m("sent-when-over", "an attempt begins at the deadline", "attempts answers", "attempts",
       (" and not held.streaming and now < held.r.deadline_ms", " and not held.streaming")),
    # Effects
    _m("unsafe-retried", "an unsafe request that may have run is sent again", "effects executed", "attempts",
       ("if cls.effect is i.Effect.UNSAFE or (cls.effect is i.Effect.KEYED and not in_window):",
        "if cls.effect is i.Effect.KEYED and not in_window:")),
    _m("reset-never-ran", "a broken connection counts as never run", "effects executed", "attempts",
       ("NEVER_RAN = (i.Result.FULL, i.Result.CONNECT_FAILED, i.Result.MOOT)",
        "NEVER_RAN = (i.Result.FULL, i.Result.CONNECT_FAILED, i.Result.MOOT, i.Result.RESET)")),
    _m("error-never-ran", "an error counts as never run", "effects executed", "attempts",
       ("NEVER_RAN = (i.Result.FULL, i.Result.CONNECT_FAILED, i.Result.MOOT)",
        "NEVER_RAN = (i.Result.FULL, i.Result.CONNECT_FAILED, i.Result.MOOT, i.Result.ERROR)")),
    _m("refused-though-run", "what may have run is refused", "effects", "attempts",
       ("harmless = held.cls.effect is i.Effect.SAFE or not held.maybe or everywhere", "harmless = True")),
    _m("memory-overrun", "a keyed request is repeated after servers forget", "effects", "copies",
       ("now - earlier.sent < cls.window_ms - self.s.tick_ms", "now - earlier.sent < cls.window_ms + 20.0")),
    _m("tried-forgotten", "the books of what may have run are emptied by each answer", "effects executed",
       "attempts", ("            held.maybe.remove(attempt)\n", "            held.maybe.clear()\n"),
       ("        if o.result in NEVER_RAN:\n", "        if o.result is not i.Result.OK:\n")),
    # Drains
    _m("drain-missed", "news of a drain is not taken over", "drains", "members",
       ("server.state, server.cell, server.zone = entry.state, entry.cell, entry.zone",
        "server.cell, server.zone = entry.cell, entry.zone"),
       troubles=1, requests=1, servers=2, waits=1),
    _m("gone-missed", "a whole list removes nobody", "drains", "members",
       ("self.servers = {n: s for n, s in self.servers.items() if n in named}", "pass"),
       troubles=1, requests=1, servers=2, waits=1),
    _m("gone-change-missed", "a change to gone is passed over", "drains", "members",
       ("server.state, server.cell, server.zone = entry.state, entry.cell, entry.zone",
        "server.cell, server.zone = entry.cell, entry.zone"),
       ("                del self.servers[n]\n", "                pass\n"),
       troubles=1, requests=1, servers=2, waits=1),
    _m("drain-edge", "the grace is used up, and a millisecond more", "drains", "members",
       ("server.state, server.cell, server.zone = entry.state, entry.cell, entry.zone",
        "server.state, server.cell, server.zone = entry.state, entry.cell, entry.zone\n"
        "            server.until = self.now + self.rules.drain_grace_ms + 1.0"),
       ("ready = server.state is i.ServerState.READY and",
        "ready = (server.state is i.ServerState.READY or now <= server.until) and"),
       ("ready = [s for s in self.servers.values() if s.state is i.ServerState.READY]",
        "ready = list(self.servers.values())"),
       troubles=1, requests=1, servers=2, waits=1),
    _m("unsorted-news", "servers are not sorted anew when the list changes, nor checked", "drains", "members",
       ("                del self.servers[n]\n        self._sort()", "                del self.servers[n]"),
       ("ready = server.state is i.ServerState.READY and self.servers.get(server.id) is server",
        "ready = True"),
       troubles=1, requests=1, servers=2, waits=1),
    # Cold servers
    _m("cold-uncounted", "what a cold server gets is not counted", "cold", "cold",
       ("server.out + 1, server.left - 1", "server.out + 1, server.left"),
       requests=4, troubles=0, waits=0),
    _m("cold-ignored", "cold servers are taken for warm", "cold", "cold",
       ("if self._warmth(server, span) >= 1.0:", "if self._warmth(server, span) >= 0.0:"),
       requests=4, troubles=0, waits=0),
    _m("cold-slots-anew", "each request opens a slot of its own", "cold", "cold",
       ("        if server.slot != slot:\n", "        if server.left < 1:\n"),
       requests=4, troubles=0, waits=0),
    # Exposure
    _m("exposure-off-by-one", "one attempt more than the cap", "exposure", "release",
       ("return sent + 1 <= self.roll.exposure_free", "return sent <= self.roll.exposure_free")),
    _m("exposure-at-the-answer", "exposure is counted when the answer comes", "exposure", "release",
       ("            self.builds[server.build].sent[held.counted].add(self.now)\n        # No early",
        "            pass\n        # No early"),
       ("        if ok:\n            self.done.value(self.now, 1.0)",
        "        if self._on_trial(server.build):\n"
        "            self.builds[server.build].sent[held.counted].add(self.now)\n"
        "        if ok:\n            self.done.value(self.now, 1.0)"),
       requests=3, troubles=0, waits=0),
    _m("taken-twice", "a request counts twice for the cap", "exposure exposure-sum", "release",
       ("        self.window_taken[held.counted].add(self.now)\n",
        "        self.window_taken[held.counted].add(self.now)\n"
        "        self.window_taken[held.counted].add(self.now)\n"), requests=3),
    _m("window-halved", "attempts are forgotten after half of the window", "exposure", "release",
       ("window = partial(Window, self.roll.exposure_window_ms)",
        "window = partial(Window, self.roll.exposure_window_ms / 2)"),
       requests=2, troubles=1, waits=1),
    _m("window-edge", "attempts are forgotten a little before the window's end", "exposure", "release",
       ("sent[held.counted].within(self.now, self.s.tick_ms)", "sent[held.counted].within(self.now, -2.0)"),
       requests=2, troubles=1, waits=1),
    _m("taken-too-long", "requests count for the cap after the window's end", "exposure", "release",
       ("self.window_taken[held.counted].within(self.now, -self.s.tick_ms)",
        "self.window_taken[held.counted].within(self.now, 50.0)"),
       requests=2, troubles=1, waits=1),
    _m("lower-cap-missed", "a lower cap is not applied", "exposure", "release",
       ("        self.told = n\n",
        "        if self.told is None or n.build > self.told.build or n.cap >= self.told.cap:\n"
        "            self.told = n\n"),
       requests=2, troubles=1, waits=1),
    _m("unannounced-free", "a build not announced yet has no cap", "exposure", "guarded",
       ("else ((*self.roll.caps, 0.0)[0], 0)", "else (1.0, 9)"), requests=2),
    _m("guarded-open", "guarded stages take requests with an effect", "exposure", "guarded",
       ("if cap <= 0 or (stage < self.roll.guarded_stages and held.cls.effect is not i.Effect.SAFE):",
        "if cap <= 0:")),
    _m("trial-is-service", "the build on trial counts as released", "exposure", "release",
       ("return t is None or build > t.build or (build == t.build and t.phase is not i.Phase.RELEASED)",
        "return t is None or build > t.build"),
       requests=2, troubles=1, waits=1),
    _m("classes-together", "classes are counted together where each has its cap", "exposure", "guarded",
       ("self.counted = r.cls if per_class else -1", "self.counted = -1"), module=RECORDS,
       requests=3, troubles=2, waits=0),
    # Keys
    _m("late-answer-unbound", "only answers that came bind a key", "one-way", "keys",
       ("if o.result not in NO_ANSWER and held.r.key", "if o.result is i.Result.OK and held.r.key"),
       troubles=1, requests=2, waits=1),
    _m("out-unbound", "what is out at the trial build binds nothing", "one-way", "keys",
       ("return not (self.roll.one_way and held.r.key and held.r.key in later)", "return True"),
       troubles=1, requests=2, waits=1),
    _m("keys-freed-on-trial", "keys are free while the build is on trial", "one-way", "keys",
       ("free = self.told.build if self.told is not None and self.told.phase in BACK else -1",
        "free = self.told.build if self.told is not None else -1"),
       troubles=1, requests=2, waits=1),
    _m("key-overwritten", "an earlier build's late answer unbinds a key", "one-way", "keys",
       ("max(server.build, self.key_build.get(held.r.key, 0))", "server.build"),
       requests=3, troubles=1, waits=0),
    _m("key-off-by-one", "a key may go one build back", "one-way", "keys",
       ("self.key_build.get(held.r.key, self.floor) > max(server.build, free)",
        "self.key_build.get(held.r.key, self.floor) > max(server.build, free) + 1"),
       troubles=1, requests=2, waits=1),
    _m("keys-lost-on-news", "every news forgets the keys", "one-way", "keys",
       ("        self.told = n\n", "        self.told = n\n        self.key_build = {}\n"),
       requests=2, troubles=1, waits=0),
    # Timers and leftovers
    _m("timer-lost", "nothing looks at what waits", "timers answers", "members",
       ("look = TICK_MS if self.waiting else 4 * TICK_MS", "look = 4 * TICK_MS"),
       requests=1, troubles=1, servers=1, waits=1),
    _m("timer-once", "the timer is set only once", "timers answers", "members",
       ("self.timer_at = math.inf if self.now >= self.timer_at else self.timer_at", "pass"),
       requests=1, troubles=1, servers=1, waits=3),
    _m("list-never-asked-again", "a failed list call is not repeated", "timers", "members",
       ("self.ask_again_at = self.now + pause * (0.5 + self.rng.random())", "self.ask_again_at = math.inf"),
       requests=1, troubles=1, servers=1, waits=2),
    _m("out-leaks", "a server's count of attempts out only grows", "leftovers", "attempts",
       ("server.out, held.out = server.out - 1, held.out - 1", "held.out = held.out - 1")),
    _m("attempt-limit", "one attempt too many", "attempts", "attempts",
       ("held.tries < self.s.limits.max_attempts and", "held.tries <= self.s.limits.max_attempts and"),
       troubles=3, requests=1),
    _m("raises-on-unknown", "news of a server that left breaks the decisions", "fault", "members",
       ("            server = self.servers.get(n)\n            if not server or",
        "            server = self.servers[n] if self.servers else None\n            if not server or")),
    # The check's own world
    _m("host-ends-twice", "the host lets an attempt end again and again", "timers leftovers answers",
       "attempts",
       ("        out = asked.out.pop(attempt)\n", "        out = asked.out[attempt]\n"),
       module=DECISIONS, requests=1, troubles=1, waits=1),
    _m("host-forgets-deadline", "the host lets attempts run past the deadline", "answers", "attempts",
       ("            if asked.out and asked.deadline <= now:\n",
        "            if asked.out and asked.deadline < now - 50:\n"),
       ("            if asked.out:\n                found.append(asked.deadline)\n", ""),
       module=DECISIONS),
)  # fmt: skip

MUTANTS = {m.name: m for m in _ALL}
