"""The work of lost gateways: whose it is now, and the claims of this gateway.

Once a lost life is sealed nothing it writes counts any more; then its unanswered records are claimed, each by
compare-and-set. The survivors stand in line for every piece, by rendezvous hashing; who is next in line waits
a step longer, so that one that is busy, or dies too, holds nothing up.
"""

from __future__ import annotations

import math
from collections.abc import Container, Mapping
from dataclasses import dataclass

from msgspec.structs import replace as changed

from meadowpulley.interface import LogLine, Settings
from meadowpulley.ledger import Done, How, Life, Member, Record, Replace, Step, Unchanged, choose
from meadowpulley.takeover import adopt
from meadowpulley.takeover.answers import Keeping, Kept
from meadowpulley.takeover.mirror import Mirror, Seen
from meadowpulley.takeover.model import (
    CONTENT,
    LONG_MS,
    WORK,
    Adopt,
    Content,
    RecordError,
    Right,
    State,
    Terms,
    decode_content,
    decode_work,
    encode,
)
from meadowpulley.takeover.turn import For, Turn, What

AT_ONCE = 64  # pieces looked at for the first time in one turn, and ended in one
LOOK_MS = 20.0  # between two looks while all adoptions are in use


@dataclass(slots=True)
class Claim:
    """Work this gateway claims, or has claimed and not yet in hand."""

    seen: Seen
    verdict: State  # OPEN: to be adopted; else how it ends
    deadline_ms: float
    mark: int
    version: int = 0  # of its record once it is won
    content: Content | None = None
    content_version: int = 0
    unsure: bool = False  # a try of it may have won
    again_at: float = math.inf

    @property
    def rights(self) -> tuple[Right, ...]:
        """Those of its work, none of them won by a write of this gateway's."""
        return tuple(changed(r, won=r.won or self.seen.version) for r in self.seen.work.rights)


class Orphans:
    def __init__(self, settings: Settings, me: Life, terms: Terms, mirror: Mirror, keeping: Keeping) -> None:
        self.classes = {c.name: (n, c) for n, c in enumerate(settings.classes)}
        self.tenants = {t.name: n for n, t in enumerate(settings.tenants)}
        self.me, self.terms, self.mirror, self.keeping = me, terms, mirror, keeping
        self.budget = adopt.Budget(terms)
        self.new: dict[str, None] = {}  # orphans whose place in line is not worked out
        self.waiting: dict[str, float] = {}  # those that are, and when this gateway may claim them
        self.claims: dict[str, Claim] = {}
        self.due_at = math.inf

    # What is an orphan

    def suspected(self, now: float, members: tuple[Member, ...]) -> None:
        for member in members:
            for life in self.mirror.suspect(member):
                self._died(life, now)
        self._line_up(now)

    def changed(self, now: float, names: list[str], died: list[Life], mine: Container[str]) -> None:
        """These records are new or gone, these lives ended; `mine`: the work in this gateway's hands."""
        for life in died:
            self._died(life, now)
        if died:
            self._line_up(now)
        for name in names:
            seen = self.mirror.open.get(name)
            self.new.pop(name, None)
            self.waiting.pop(name, None)
            if seen is not None and name not in mine and name not in self.claims and self._is_orphan(seen):
                self._orphan(name, now)

    def _is_orphan(self, seen: Seen) -> bool:
        return seen.by == self.me or seen.work.state is State.FREE or self.mirror.dead(seen.by)

    def _died(self, life: Life, now: float) -> None:
        for name in self.mirror.open_by(life):
            if name not in self.waiting and name not in self.claims:
                self._orphan(name, now)

    def _line_up(self, now: float) -> None:
        """Fewer stand in line: who comes after the lost ones need not wait for them."""
        for name in self.waiting:
            self._orphan(name, now)

    def _orphan(self, name: str, now: float) -> None:
        self.new[name] = None
        self.due_at = now

    def pass_over(self) -> None:
        """What is not claimed yet."""
        self.new.clear()
        self.waiting.clear()

    def _living(self, but: Life | None = None) -> list[Life]:
        return list({*self.mirror.living(but), self.me})

    # Claims

    def look(self, turn: Turn, adopted: int, usual_ms: Mapping[str, float]) -> None:
        """Claims what is due. `adopted`: requests taken over that are in hand; `usual_ms`: how long an
        attempt takes, by class, as far as it is known."""
        now = turn.now
        for name in list(self.new)[:AT_ONCE]:
            del self.new[name]
            seen = self.mirror.open.get(name)
            if seen is not None:
                due = now + self._place(seen) * self.terms.step_ms
                self.waiting[name] = min(due, self.waiting.get(name, math.inf))
        for name, claim in list(self.claims.items()):
            if claim.again_at <= now:
                claim.again_at = math.inf
                self._ask(turn, name, claim)
        room = self.terms.most_open - adopted - sum(c.verdict is State.OPEN for c in self.claims.values())
        self._claim_due(turn, room, usual_ms)
        waits = [*self.waiting.values(), *(c.again_at for c in self.claims.values())]
        self.due_at = now if self.new else min(waits, default=math.inf)
        if self.due_at <= now and not self.new:
            self.due_at = now + max(LOOK_MS if room <= 0 else 0.0, self.budget.wait_ms(now), 1.0)

    def _place(self, seen: Seen) -> int:
        """How many claim it before this gateway. Those that began later and do not know its age come last."""
        if seen.by == self.me and seen.work.state is not State.FREE:
            return 0
        line = choose(seen.name, self._living(but=seen.by))
        line.sort(key=lambda life: not self._knows_age(life, seen))
        return line.index(self.me) if seen.by != self.me else len(line)

    def _knows_age(self, life: Life, seen: Seen) -> bool:
        return seen.floor_ms > -math.inf if life == self.me else self.mirror.saw(life, seen.version)

    def _claim_due(self, turn: Turn, room: int, usual_ms: Mapping[str, float]) -> None:
        now, open_ = turn.now, []
        ended = 0
        for name in [n for n, at in self.waiting.items() if at <= now]:
            seen = self.mirror.open.get(name)
            if seen is None:
                del self.waiting[name]
                continue
            spare = adopt.left_ms(seen, now, self.terms) - usual_ms.get(seen.work.cls, 0.0)
            _, cls = self.classes.get(seen.work.cls, (0, None))
            how = adopt.verdict(seen.work, cls, spare, self.terms)
            if how is State.OPEN and cls is not None:
                open_.append(adopt.Orphan(name, spare, cls.priority_weight))
            elif ended < AT_ONCE:
                ended += 1
                self._claim(turn, seen, how, now)
        begin, late = adopt.schedule(open_, self.budget.left(now), self.terms.per_s)
        for orphan in late[:AT_ONCE]:
            seen = self.mirror.open[orphan.name]
            self._claim(turn, seen, State.FAILED if seen.work.rights else State.REFUSED, now)
        for orphan in begin[: max(room, 0)]:
            if self.budget.left(now) < 1:
                break
            self.budget.take(now)
            seen = self.mirror.open[orphan.name]
            self._claim(turn, seen, State.OPEN, now + adopt.left_ms(seen, now, self.terms))

    def _claim(self, turn: Turn, seen: Seen, how: State, deadline: float) -> None:
        del self.waiting[seen.name]
        self.new.pop(seen.name, None)
        claim = self.claims[seen.name] = Claim(seen, how, deadline, turn.mark())
        self._ask(turn, seen.name, claim)

    def _ask(self, turn: Turn, name: str, claim: Claim) -> None:
        work, now = claim.seen.work, turn.now
        value = changed(
            work,
            state=claim.verdict,
            lives=work.lives + 1,
            mark=claim.mark,
            left_ms=max(claim.deadline_ms - now, 0.0),
            waited_ms=min(work.waited_ms + max(now - claim.seen.floor_ms, 0.0), LONG_MS),
            rights=claim.rights,
        )
        if not claim.version:
            turn.step(Step((Replace(WORK + name, encode(value), claim.seen.version),)), For(What.CLAIM, name))
        turn.step(Step((Unchanged(CONTENT + name, 0),)), For(What.CONTENT, name))

    def claimed(self, turn: Turn, name: str, done: Done) -> None:
        claim = self.claims.get(name)
        if claim is None:
            return
        if done.how is How.WON:
            claim.version = done.version
        elif done.how is How.UNKNOWN:
            claim.unsure = True
        elif claim.unsure and done.found is not None and self._is_own(claim, done.found):
            claim.version = done.found.version  # an earlier try had won after all
        else:
            del self.claims[name]
            seen = self.mirror.open.get(name)
            if seen is not None and seen.version > claim.seen.version and self._is_orphan(seen):
                self._orphan(name, turn.now)  # seen while the claim was out

    def _is_own(self, claim: Claim, found: Record) -> bool:
        return found.by == self.me and decode_work(found.value).mark == claim.mark

    def read(self, turn: Turn, name: str, done: Done) -> None:
        """What the client had sent is there: from here on it is in hand, or at its end."""
        claim = self.claims.get(name)
        if claim is None:
            return
        if done.how is How.UNKNOWN or not claim.version:
            claim.again_at = turn.now + self.terms.again_ms
            self.due_at = min(self.due_at, claim.again_at)
            return
        if done.found is not None:
            claim.content_version = done.found.version
            try:
                claim.content = decode_content(done.found.value)
            except RecordError as error:
                turn.acts.append(LogLine(f"takeover: record {done.found.key!r} left alone: {error}"))
        if claim.verdict is not State.OPEN:
            self._ended(turn, name, claim)
        elif claim.content is None:
            turn.acts.append(LogLine(f"takeover: {name!r} can't be taken over: its content is not there"))
            self._end(turn, name, claim, State.FAILED)
        else:
            n, _ = self.classes[claim.seen.work.cls]
            c = claim.content
            turn.acts.append(Adopt(name, n, claim.deadline_ms, c.method, c.target, c.headers, c.body))

    def _end(self, turn: Turn, name: str, claim: Claim, how: State) -> None:
        """What was claimed to be adopted ends instead; or it is free for others, as if never claimed."""
        s = claim.seen
        work = changed(s.work, lives=s.work.lives - (how is State.FREE), rights=claim.rights)
        seen = Seen(name, work, claim.version, self.me, s.floor_ms, s.sent_ms)
        self.claims[name] = Claim(seen, how, claim.deadline_ms, turn.mark())
        self._ask(turn, name, self.claims[name])

    def _ended(self, turn: Turn, name: str, claim: Claim) -> None:
        del self.claims[name]
        if claim.verdict is not State.FREE:
            until = turn.now + self.terms.keep_ms
            self.keeping.add(turn, Kept(name, until, claim.version, 0, claim.content_version))

    def placed(self, turn: Turn, name: str, there: bool) -> Claim | None:
        """The claim whose work has its slot now; without one it is free for the others."""
        claim = self.claims.get(name)
        if claim is None or there:
            return self.claims.pop(name, None)
        self._end(turn, name, claim, State.FREE)
        return None
