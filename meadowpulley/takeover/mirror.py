"""What this gateway has seen of the ledger: the work in hand of all, and who lives.

How old a record is, is bounded by the look it was missing from: one that is new in a look was written after
the look before it began. So each record has a moment on the own clock before which it was not written; one
that was there at the first look has none.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from meadowpulley.ledger import Changes, Life, Member, Record
from meadowpulley.takeover.model import WORK, RecordError, State, Work, decode_work

RECENT = 4096  # ended records: an ask may find one open that is known to have ended since


@dataclass(frozen=True, slots=True)
class Seen:
    """Work in hand, as of one version of its record."""

    name: str
    work: Work
    version: int
    by: Life
    floor_ms: float  # written no earlier than this on this gateway's clock; -inf: not known
    sent_ms: tuple[float, ...] = ()  # of each right: won no earlier than this


@dataclass(slots=True)
class News:
    """What one look has brought."""

    names: list[str] = field(default_factory=list)  # whose records are new or gone
    bad: list[str] = field(default_factory=list)  # a line for each that can't be read
    died: list[Life] = field(default_factory=list)
    left: list[tuple[str, int]] = field(default_factory=list)  # ended, their version, and nobody's to remove


class Mirror:
    def __init__(self) -> None:
        self.open: dict[str, Seen] = {}  # owed an answer
        self.ended: dict[str, tuple[int, State]] = {}  # the last ones: at which version, and how
        self.members: dict[str, Member] = {}  # the last life of each name
        self.began: dict[Life, int] = {}  # of those seen to begin: after which version
        self.suspected: dict[Life, int] = {}  # the renewal at which its lease ran out
        self._version = 0
        self._began = -math.inf  # when the last look began

    def changed(self, began: float, changes: Changes) -> News:
        news = News()
        news.died = [life for member in changes.members for life in self.member(member)]
        if changes.whole:
            there = {record.key for record in changes.records}
            gone = [k for known in (self.open, self.ended) for k in known if WORK + k not in there]
        else:
            gone = [key[len(WORK) :] for key in changes.removed if key.startswith(WORK)]
        for name in gone:
            known = self.open.pop(name, None) or self.ended.pop(name, None)
            news.names += [name] if known is not None else []
        for record in changes.records:
            if not record.key.startswith(WORK) or self.version_of(record.key[len(WORK) :]) >= record.version:
                continue
            try:
                news.names.append(self._put(record))
            except RecordError as error:
                news.bad.append(f"takeover: record {record.key!r} by {record.by} left alone: {error}")
                continue
            if changes.whole and news.names[-1] in self.ended and self.dead(record.by):
                news.left.append((news.names[-1], record.version))
        self._version = max(self._version, changes.version)
        self._began = began
        return news

    def _put(self, record: Record) -> str:
        name, work = record.key[len(WORK) :], decode_work(record.value)
        before = self.open.pop(name, None)
        self.ended.pop(name, None)
        if work.ended:
            self.ended[name] = (record.version, work.state)
            if len(self.ended) > RECENT:
                del self.ended[next(iter(self.ended))]
        else:
            floor, sent = self._floor(record.version), self._sent(work, record.version, before)
            self.open[name] = Seen(name, work, record.version, record.by, floor, sent)
        return name

    def _floor(self, version: int) -> float:
        return self._began if version > self._version else -math.inf

    def _sent(self, work: Work, version: int, before: Seen | None) -> tuple[float, ...]:
        """When the rights were won at the earliest: what was seen of the record before knows it of some."""
        known = {}
        if before is not None:
            known = {
                r.won or before.version: at for r, at in zip(before.work.rights, before.sent_ms, strict=True)
            }
        return tuple(
            known[won] if won in known else self._floor(won)
            for won in (r.won or version for r in work.rights)
        )

    def version_of(self, name: str) -> int:
        if name in self.open:
            return self.open[name].version
        return self.ended[name][0] if name in self.ended else 0

    def member(self, member: Member) -> list[Life]:
        """Takes it in unless something newer is known; returns the lives that ended by it."""
        life, known = member.life, self.members.get(member.life.name)
        old = (known.life.epoch, known.sealed, known.renewal) if known is not None else (0, False, -1)
        if (life.epoch, member.sealed, member.renewal) <= old:
            return []
        self.members[life.name] = member
        if known is None or known.life != life:
            self.began[life] = self._version
        if member.renewal > self.suspected.get(life, member.renewal):
            del self.suspected[life]
        ended = [life] if member.sealed else []
        if known is not None and known.life != life:
            self.began.pop(known.life, None)
            ended += [] if known.sealed else [known.life]
        return ended

    def open_by(self, life: Life) -> list[str]:
        return [seen.name for seen in self.open.values() if seen.by == life]

    def suspect(self, member: Member) -> list[Life]:
        """Its lease ran out by this gateway's clock, or it was sealed; returns the lives that ended by it."""
        ended = self.member(member)
        if not member.sealed:
            self.suspected[member.life] = member.renewal
        return ended

    def dead(self, life: Life) -> bool:
        """Sealed, or followed by another life of its name: it commits nothing any more."""
        member = self.members.get(life.name)
        if member is None or member.life.epoch < life.epoch:
            return False
        return member.life.epoch > life.epoch or member.sealed

    def saw(self, life: Life, version: int) -> bool:
        """Whether that life was there when this was written, as far as is known: it knows how old it is."""
        return self.began.get(life, 0) < version

    def living(self, but: Life | None = None) -> list[Life]:
        """All that neither ended nor let their lease run out."""
        return [
            m.life
            for m in self.members.values()
            if not m.sealed and m.life not in self.suspected and m.life != but
        ]
