"""The checker of the five rules: it reads a trace record by record and names every breach of it.

The rules are the users' (answers, effects, drains, cold servers, exposure with one-way keys). The checker
knows nothing of how a gateway decides: it keeps its own books from what the rig wrote down.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from collections import Counter, defaultdict, deque
from dataclasses import dataclass, field

from meadowpulley.interface import DeduplicationScope, Effect
from meadowpulley.rules.figures import Figures
from meadowpulley.rules.together import RuleName, TogetherChecker
from meadowpulley.rules.trace import (
    Adopted,
    Answered,
    Died,
    Fell,
    Gone,
    KeyAnswered,
    Left,
    Listed,
    News,
    Outcome,
    Record,
    Sent,
    Started,
    Stopped,
    Taken,
    Woke,
)

KEPT = 1000  # breaches kept to the letter; the rest are only counted


@dataclass(frozen=True, slots=True)
class Breach:
    rule: RuleName
    at: float
    gateway: int  # -1: no single gateway's doing
    text: str

    def __str__(self) -> str:
        who = f" gateway {self.gateway}" if self.gateway >= 0 else ""
        return f"{self.at / 1000:.3f} s{who}: {self.rule}: {self.text}"


@dataclass(slots=True)
class _Try:
    server: int
    build: int
    at: float
    maybe: bool = True  # it ran, may have run, or is still out
    cell: int = 0
    site: int = 0
    gateway: int = -1


@dataclass(slots=True)
class _Held:
    taken: Taken
    tries: list[_Try] = field(default_factory=list)  # with those of other gateways under the same id
    mine: dict[int, _Try] = field(default_factory=dict)  # this gateway's, by number
    excused: bool = False  # its time passed while its gateway stood still


@dataclass(slots=True)
class _Known:
    state: str
    build: int
    told: float  # when it was last told to be no longer ready
    cell: int
    site: int


def _place(group: DeduplicationScope, there: _Try | _Known) -> int:
    return {
        DeduplicationScope.ALL: 0,
        DeduplicationScope.ZONE: there.site,
        DeduplicationScope.CELL: there.cell,
    }[group]


class _Gateway:
    """The books of one life of one gateway."""

    def __init__(self) -> None:
        self.held: dict[int, _Held] = {}
        self.over: set[int] = set()
        self.over_order: deque[tuple[float, int]] = deque()
        self.stopped_at = math.inf  # since when it stands still
        self.servers: dict[int, _Known] = {}
        self.news: list[News] = []
        self.taken: dict[int, list[float]] = defaultdict(list)
        self.sent: dict[tuple[int, int], deque[float]] = defaultdict(deque)
        self.keys: dict[int, dict[int, int]] = defaultdict(dict)  # build -> key -> 1


class Checker:
    """Feed it a trace with `see`, in order, then `finish`; `breaches` and `counts` tell the rest."""

    def __init__(self, figures: Figures) -> None:
        self.figures = figures
        self.breaches: list[Breach] = []
        self.counts: Counter[str] = Counter()
        self.seen = 0
        self._gateways: dict[int, _Gateway] = defaultdict(_Gateway)
        self._together = TogetherChecker(figures.shared, self._breach)
        self._tries: dict[str, list[_Try]] = {}  # by the client's id: of all gateways that had it
        self._handlers = {
            Started: self._started,
            Died: self._died,
            Taken: self._taken,
            Sent: self._sent,
            Outcome: self._outcome,
            Answered: self._answered,
            Gone: self._gone,
            Listed: self._listed,
            News: self._news,
            KeyAnswered: self._key,
            Fell: self._fell,
            Stopped: self._stopped,
            Woke: self._woke,
            Left: self._left,
            Adopted: self._adopted,
        }

    @property
    def kept(self) -> bool:
        return not self.counts

    def see(self, record: Record) -> None:
        self.seen += 1
        handler = self._handlers.get(type(record))
        if handler is not None:
            handler(record)  # type: ignore[operator]
        self._together.see(record)

    def finish(self, at: float) -> None:
        """The trace ends: what is past its time and still owed was lost."""
        self._together.finish(at)
        for number, gateway in self._gateways.items():
            for request, held in list(gateway.held.items()):
                limit = self._answer_by(held)
                if at > limit and not held.excused and limit < gateway.stopped_at:
                    self._breach("answers", limit, number, f"request {request} got no final answer")

    def _breach(self, rule: RuleName, at: float, gateway: int, text: str) -> None:
        self.counts[rule] += 1
        if len(self.breaches) < KEPT:
            self.breaches.append(Breach(rule, at, gateway, text))

    # One final answer

    def _started(self, r: Started) -> None:
        self._gateways[r.gateway] = _Gateway()

    def _died(self, r: Died) -> None:
        self._gateways.pop(r.gateway, None)

    def _adopted(self, r: Adopted) -> None:
        """It earns no allowance, its client is elsewhere, and what was tried of it may have run."""
        taken = Taken(r.at, r.gateway, r.request, r.cls, r.key, r.deadline, r.id)
        self._gateways[r.gateway].held[r.request] = _Held(
            taken, self._tries.setdefault(r.id, []), excused=True
        )

    def _left(self, r: Left) -> None:
        held = self._gateways[r.gateway].held.get(r.request)
        if held is not None:
            held.excused = True

    def _stopped(self, r: Stopped) -> None:
        self._gateways[r.gateway].stopped_at = r.at

    def _woke(self, r: Woke) -> None:
        gateway = self._gateways[r.gateway]
        for held in gateway.held.values():
            if gateway.stopped_at < self._answer_by(held) < r.at:
                held.excused = True
        gateway.stopped_at = math.inf

    def _answer_by(self, held: _Held) -> float:
        return held.taken.deadline + self.figures.answer_slack_ms + self.figures.slack_ms

    def _taken(self, r: Taken) -> None:
        gateway = self._gateways[r.gateway]
        if r.request in gateway.held or r.request in gateway.over:
            self._breach("answers", r.at, r.gateway, f"request {r.request} was taken twice")
            return
        gateway.held[r.request] = _Held(r, self._tries.setdefault(r.id, []) if r.id else [])
        gateway.taken[self._counted(r.cls)].append(r.at)
        if len(gateway.taken[self._counted(r.cls)]) > 200_000:
            del gateway.taken[self._counted(r.cls)][:100_000]

    def _end(self, gateway: _Gateway, request: int, at: float) -> _Held | None:
        held = gateway.held.pop(request, None)
        if held is not None:
            gateway.over.add(request)
            gateway.over_order.append((at, request))
            longest = 120_000.0
            while gateway.over_order and gateway.over_order[0][0] < at - longest:
                gateway.over.discard(gateway.over_order.popleft()[1])
        return held

    def _answered(self, r: Answered) -> None:
        gateway = self._gateways[r.gateway]
        held = self._end(gateway, r.request, r.at)
        if held is None:
            what = "a second answer" if r.request in gateway.over else "an answer that nobody asked for"
            self._breach("answers", r.at, r.gateway, f"request {r.request} got {what}")
            return
        late = r.at - self._answer_by(held)
        if late > 1e-6 and not held.excused:
            self._breach("answers", r.at, r.gateway, f"request {r.request} was answered {late:.1f} ms late")
        if r.answer == "refused" and self._maybe(r.gateway, held):
            cls = self.figures.classes[held.taken.cls]
            everywhere = cls.effect is Effect.IDEMPOTENT_WITH_KEY and cls.group is DeduplicationScope.ALL
            if cls.effect is not Effect.IDEMPOTENT and not everywhere:
                self._breach("effects", r.at, r.gateway, f"request {r.request} may have run and was refused")

    def _gone(self, r: Gone) -> None:
        held = self._end(self._gateways[r.gateway], r.request, r.at)
        if held is not None and not self._together.wrote(r.gateway, held.taken.id):
            for tried in held.mine.values():  # its next ask, even here, is another request
                tried.gateway = -1

    # Effects

    def _outcome(self, r: Outcome) -> None:
        held = self._gateways[r.gateway].held.get(r.request)
        tried = held.mine.get(r.attempt) if held is not None else None
        if tried is not None and not r.ran:
            tried.maybe = False

    def _sent(self, r: Sent) -> None:
        gateway = self._gateways[r.gateway]
        held = gateway.held.get(r.request)
        if held is None:
            over = r.request in gateway.over
            what = "after its final answer" if over else "that the gateway never took"
            self._breach("answers", r.at, r.gateway, f"request {r.request} was sent {what}")
            return
        known = gateway.servers.get(r.server)
        self._check_repeat(r, held, known)
        self._check_drain(r, known)
        self._check_exposure(r, gateway, held)
        cell, site = (known.cell, known.site) if known else (0, 0)
        tried = held.mine[r.attempt] = _Try(r.server, r.build, r.at, True, cell, site, r.gateway)
        held.tries.append(tried)

    def _maybe(self, gateway: int, held: _Held) -> list[_Try]:
        """Attempts that may have run: of this gateway, and of those that had written the same work."""
        return [
            t
            for t in held.tries
            if t.maybe and (t.gateway == gateway or self._together.wrote(t.gateway, held.taken.id))
        ]

    def _check_repeat(self, r: Sent, held: _Held, known: _Known | None) -> None:
        cls = self.figures.classes[held.taken.cls]
        if cls.effect is Effect.IDEMPOTENT:
            return
        for earlier in self._maybe(r.gateway, held):
            if cls.effect is Effect.NON_IDEMPOTENT:
                self._breach(
                    "effects", r.at, r.gateway, f"request {r.request} may have run and was sent again"
                )
                return
            same = known is not None and _place(cls.group, earlier) == _place(cls.group, known)
            if not same or r.at - earlier.at > cls.window_ms:
                self._breach("effects", r.at, r.gateway, f"keyed request {r.request} left those that know it")
                return

    # Drains and cold servers

    def _listed(self, r: Listed) -> None:
        servers = self._gateways[r.gateway].servers
        known = servers.get(r.server)
        if r.state == "ready":
            servers[r.server] = _Known("ready", r.build, math.inf, r.cell, r.site)
        elif known is not None:
            known.told = min(known.told, r.at)
            known.state = r.state
        else:
            servers[r.server] = _Known(r.state, r.build, r.at, r.cell, r.site)

    def _check_drain(self, r: Sent, known: _Known | None) -> None:
        if known is None:
            self._breach(
                "drains", r.at, r.gateway, f"request {r.request} went to server {r.server}, never listed"
            )
        elif r.at > known.told + self.figures.drain_grace_ms + self.figures.slack_ms:
            since = r.at - known.told
            text = f"request {r.request} went to server {r.server}, told {known.state} {since:.0f} ms before"
            self._breach("drains", r.at, r.gateway, text)

    def _fell(self, r: Fell) -> None:
        self._breach("cold", r.at, -1, f"cold server {r.server} was pushed over")

    # Exposure

    def _counted(self, cls: int) -> int:
        return cls if self.figures.per_class else -1

    def _news(self, r: News) -> None:
        gateway = self._gateways[r.gateway]
        gateway.news.append(r)
        if r.phase in ("going_back", "withdrawn"):
            gateway.keys.pop(r.build, None)  # it is called back: its keys are free
        oldest = r.at - self.figures.drain_grace_ms - self.figures.window_ms
        while len(gateway.news) > 2 and gateway.news[1].at < oldest:
            gateway.news.pop(0)

    def _key(self, r: KeyAnswered) -> None:
        gateway = self._gateways[r.gateway]
        newest = gateway.news[-1] if gateway.news else None
        called_back = (
            newest is not None
            and newest.build == r.build
            and newest.phase
            in (
                "going_back",
                "withdrawn",
            )
        )
        if r.key and not called_back:
            gateway.keys[r.build][r.key] = 1

    def _caps(self, gateway: _Gateway, build: int, at: float) -> list[tuple[float, int]]:
        """Caps and stages of a build that may still be acted on: a lower one binds after the grace."""
        since = at - self.figures.drain_grace_ms - self.figures.slack_ms
        found: list[tuple[float, int]] = []
        for n, news in enumerate(gateway.news):
            until = gateway.news[n + 1].at if n + 1 < len(gateway.news) else math.inf
            if until < since:
                continue
            if news.build == build:
                found.append((news.cap, news.stage))
            elif news.build < build:
                found.append((self.figures.first_cap, 0))
        return found

    def _check_exposure(self, r: Sent, gateway: _Gateway, held: _Held) -> None:
        newest = gateway.news[-1] if gateway.news else None
        if self.figures.one_way and held.taken.key:
            for build in [b for b in gateway.keys if b > r.build]:
                if held.taken.key in gateway.keys[build] and not self._freed(gateway, build):
                    text = (
                        f"request {r.request}: build {build} answered its key, and it went to build {r.build}"
                    )
                    self._breach("one-way", r.at, r.gateway, text)
                    break
        on_trial = (
            newest is None
            or r.build > newest.build
            or (r.build == newest.build and newest.phase != "released")
        )
        if not on_trial:
            return
        counted = self._counted(held.taken.cls)
        sent = gateway.sent[r.build, counted]
        sent.append(r.at)
        while sent and sent[0] <= r.at - self.figures.window_ms:
            sent.popleft()
        caps = self._caps(gateway, r.build, r.at) or [(self.figures.first_cap, 0)]
        times = gateway.taken[counted]
        taken = len(times) - bisect_right(times, r.at - self.figures.window_ms)
        cap = max(cap for cap, _ in caps) + self.figures.over_share
        most = self.figures.free + self.figures.over_cap + cap * taken
        if len(sent) > most + 1e-6:
            text = f"{len(sent)} attempts at build {r.build}, {most:.1f} allowed for {taken} requests"
            self._breach("exposure", r.at, r.gateway, text)
        safe = self.figures.classes[held.taken.cls].effect is Effect.IDEMPOTENT
        if not safe and max(stage for _, stage in caps) < self.figures.guarded_stages:
            self._breach(
                "exposure", r.at, r.gateway, f"request {r.request} has an effect, in a guarded stage"
            )

    def _freed(self, gateway: _Gateway, build: int) -> bool:
        return any(n.build == build and n.phase in ("going_back", "withdrawn") for n in gateway.news)
