"""Who lives: the own lease kept, the others' watched, and the lives of the lost ended by one of them.

A stage without I/O, the outermost: it keeps what is the ledger's own from the stages inside and tells them
what follows from it (`Suspected`, `Ended`). Each life watches over the few before it on a ring, so that what
is read of renewals grows with the fleet. Where one of them is suspect it watches all for a while: of any run
of lost lives the last one stands right before a living one, so that nobody is lost unseen, and the rest of
the run is found within another term.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from meadowpulley.interface import SetTimer, Timer
from meadowpulley.ledger.model import (
    Changed,
    Commit,
    Committed,
    Ended,
    How,
    Leave,
    LedgerBack,
    Life,
    Member,
    Renew,
    Seal,
    Step,
    Suspected,
    Watched,
)
from meadowpulley.ledger.rendezvous import place

TIMER = 5
OWNER = "keeper"


class Stage(Protocol):
    def handle(self, now: float, event: Any) -> list[Any]: ...


@dataclass(frozen=True, slots=True)
class Terms:
    """How long what holds. `drift` bounds how far two clocks' seconds differ in length, as a part."""

    term_ms: float = 2000.0
    renew_part: float = 0.2  # of the term, between two renewals
    act_part: float = 0.7  # of the term, for which a life may act on a renewal from when it began it
    drift: float = 0.02
    neighbours: int = 3  # whom a life watches
    back_off_part: float = 0.1  # of the term, by which the next one waits before it seals a suspect

    @property
    def suspect_ms(self) -> float:
        """From seeing a renewal to suspecting the life, where that life has the same term."""
        return self.term_ms * (1.0 + self.drift)


@dataclass(slots=True)
class _Seen:
    member: Member
    place: int  # on the ring
    since: float  # when its last renewal was first seen, or all were counted anew
    suspect: bool = False


class Keeper:
    """Stage round the others. `start` first; then every event. Whatever it does not know it passes on."""

    def __init__(self, me: Life, terms: Terms, inner: Stage) -> None:
        self.me, self.terms, self.inner = me, terms, inner
        self.ended = self.leaving = False
        self.seen: dict[str, _Seen] = {}
        self._acts_until = -math.inf
        self._tickets = 0
        self._renewing: dict[int, float] = {}  # ticket: when it began
        self._seal_at: dict[str, float] = {}  # suspects, and when this life tries to end theirs
        self._watch: tuple[str, ...] = ()
        self._ring: list[str] = []  # names of lives that are not sealed, by their place
        self._wide, self._wide_until = False, -math.inf  # whether it watches all, and how long
        self._looked = -math.inf
        self._own: dict[type, Callable[[float, Any], list[Any]]] = {
            Timer: self._timer,
            Committed: self._committed,
            Changed: self._changed,
            LedgerBack: self._back,
        }

    def start(self, now: float) -> list[Any]:
        """The first actions: the own lease renewed at once, as a life that has only begun may not act."""
        return [*self._renew(now), Watched(())]

    def leave(self) -> list[Any]:
        """A planned stop, once whatever is to be handed over was asked for: the lease ends by itself."""
        self.leaving = True
        return [self._commit(Step((Leave(),)))]

    def may_act(self, now: float) -> bool:
        """Whether what rests on the own lease may be done now. False from the wake of a process that slept
        over it, until a renewal begun since then has won."""
        return not self.ended and now < self._acts_until

    def living(self) -> list[Life]:
        """This life and all that are neither sealed nor suspect, in the ring's order."""
        return [self.seen[name].member.life for name in self._ring if not self.seen[name].suspect]

    def handle(self, now: float, event: Any) -> list[Any]:
        own = self._own.get(type(event))
        return own(now, event) if own is not None else self.inner.handle(now, event)

    # The own lease

    def _commit(self, *steps: Step) -> Commit:
        self._tickets += 1
        return Commit(self._tickets, steps, OWNER)

    def _renew(self, now: float) -> list[Any]:
        if self.ended or self.leaving:
            return []
        actions: list[Any] = [SetTimer(self.terms.term_ms * self.terms.renew_part, TIMER)]
        if not self._renewing:  # one at a time: each is answered, UNKNOWN at worst
            renew = self._commit(Step((Renew(),)))
            self._renewing[renew.ticket] = now
            actions.append(renew)
        return actions

    def _timer(self, now: float, event: Timer) -> list[Any]:
        if event.token != TIMER:
            return self.inner.handle(now, event)
        return [*self._renew(now), *self._seal_due(now)]

    def _committed(self, now: float, event: Committed) -> list[Any]:
        actions = self.inner.handle(now, event) if event.owner != OWNER else []
        if any(done.how is How.SEALED for done in event.done):
            return [*actions, *self._end(now)]
        began = self._renewing.pop(event.ticket, None) if event.owner == OWNER else None
        if began is not None and event.done[0].how is How.WON:
            self._acts_until = max(self._acts_until, began + self.terms.term_ms * self.terms.act_part)
        return actions

    def _end(self, now: float) -> list[Any]:
        if self.ended or self.leaving:
            return []
        self.ended = True
        return self.inner.handle(now, Ended())

    def _back(self, now: float, event: LedgerBack) -> list[Any]:
        """Nobody could renew: all are counted anew."""
        self._looked = -math.inf
        return self.inner.handle(now, event)

    # The others

    def _changed(self, now: float, event: Changed) -> list[Any]:
        actions = self.inner.handle(now, event)
        if self.ended:
            return actions
        began = now if event.began_ms is None else event.began_ms
        if began - self._looked > self.terms.term_ms / 2:
            # Who has not looked for long (stopped, or the ledger away) knows nothing of what was missed: a
            # whole machine that slept must not find all others lost as it wakes.
            for seen in self.seen.values():
                seen.since = now
        self._looked = began
        over, turned = self._learn(now, event)
        if turned:
            self._ring = sorted(
                (n for n, s in self.seen.items() if not s.member.sealed),
                key=lambda n: self.seen[n].place,
            )
        mine = self.seen.get(self.me.name)
        if mine is not None and (mine.member.life != self.me or mine.member.sealed):
            return [*actions, *self._end(now)]
        suspects = self._suspects(now, began, event.changes.over)
        if over or suspects:
            actions += self.inner.handle(now, Suspected((*over, *suspects)))
        return [*actions, *self._watch_over(now, turned or bool(suspects)), *self._seal_due(now)]

    def _learn(self, now: float, event: Changed) -> tuple[list[Member], bool]:
        """Lives found sealed, and whether any began or was sealed."""
        over, turned = list[Member](), False
        for member in event.changes.members:
            name, seen = member.life.name, self.seen.get(member.life.name)
            if seen is not None and seen.member.life == member.life and seen.member.sealed == member.sealed:
                if seen.member.renewal != member.renewal:
                    seen.since, seen.suspect = now, False
                    self._seal_at.pop(name, None)
                seen.member = member
                continue
            turned = True
            self._seal_at.pop(name, None)
            self.seen[name] = _Seen(member, place(member.life), now)
            if seen is not None and not seen.member.sealed and seen.member.life != member.life:
                old = seen.member  # its name was begun anew: that life is over
                over.append(Member(old.life, old.renewal, True, old.term_ms, member.version))
            if member.sealed and member.life != self.me:
                over.append(member)
        return over, turned

    def _suspects(self, now: float, began: float, dead: tuple[Life, ...]) -> list[Member]:
        """Lives whose lease has run out by a look that began late enough, or whose process has ended."""
        found = []
        gone = {life.name for life in dead}
        for name in {*self._watch, *gone}:
            seen = self.seen.get(name)
            if seen is None or seen.suspect or seen.member.sealed or name == self.me.name:
                continue
            late = began >= seen.since + seen.member.term_ms * (1.0 + self.terms.drift)
            if seen.member.life in dead or (late and name in self._watch):
                seen.suspect = True
                found.append(seen.member)
        living = self.living() if found else []
        for member in found:
            before = self._turns(member.life, living)
            back_off = self.terms.term_ms * self.terms.back_off_part
            self._seal_at[member.life.name] = now + before * back_off
        if found:
            self._wide_until = now + 2.0 * self.terms.suspect_ms
        return found

    def _turns(self, suspect: Life, living: list[Life]) -> int:
        """How many living ones come before this one at ending that life: the next ones on the ring first."""
        at = self.seen[suspect.name].place
        after = sum(self.seen[life.name].place < at for life in living)
        order = living[after:] + living[:after]
        return order.index(self.me) if self.me in order else len(order)

    def _watch_over(self, now: float, turned: bool) -> list[Any]:
        wide = now < self._wide_until
        if not turned and wide == self._wide:
            return []
        self._wide = wide
        names = tuple(self._ring)
        if not wide and self.me.name in names:
            at = names.index(self.me.name)
            before = names[at + 1 :] + names[:at]
            names = before[-self.terms.neighbours :]
        if names == self._watch:
            return []
        self._watch = names
        return [Watched(names)]

    def _seal_due(self, now: float) -> list[Any]:
        if self.ended or self.leaving:
            return []
        due = [self.seen[name].member for name, at in self._seal_at.items() if at <= now]
        if not due:
            return []
        for member in due:
            self._seal_at[member.life.name] = now + self.terms.term_ms  # once more if it is UNKNOWN
        return [self._commit(*(Step((Seal(m.life, m.renewal),)) for m in due))]
