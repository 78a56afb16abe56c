"""The stage before the decisions that writes work in hand down, and takes over that of lost gateways.

`handle(now, event) -> actions`, wrapped round the next stage; all times on its gateway's own clock.

Told: the decisions' events, with `Taken` in place of `i.Request`; `AnswerReady` before each good answer is
passed on; `ClientGone`, `Placed`, `Stopping`; of the ledger `Committed`, `Changed` (under `WATCHED`),
`Suspected`, `Ended`, `LedgerLost`, `LedgerBack`. Asks for: the decisions' actions, `Pass`, `Drop`, `Adopt`,
and one `Commit` a turn (of `OWNER`). The keeper stands before this stage: it seals lost lives.

Every `Send`, `Refuse` and `Fail` was decided by the decisions; for written requests `hands.py` holds it until
the ledger has what it rests on. An ask for an id that is known is not told to them: it gets that work's
answer.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable
from typing import Any

from meadowpulley.interface import (
    ClientDisconnected,
    Effect,
    EndpointUpdate,
    EndpointUpdateKind,
    Fail,
    LogLine,
    Outcome,
    Request,
    ResponseStarted,
    ServerState,
    SetTimer,
    Settings,
    Timer,
)
from meadowpulley.ledger import (
    Changed,
    Commit,
    Committed,
    Ended,
    How,
    LedgerBack,
    LedgerLost,
    Life,
    Stage,
    Suspected,
)
from meadowpulley.takeover import adopt, model as m
from meadowpulley.takeover.answers import Asks, Keeping
from meadowpulley.takeover.hand import Final, Hand
from meadowpulley.takeover.hands import Hands
from meadowpulley.takeover.mirror import Mirror
from meadowpulley.takeover.model import State
from meadowpulley.takeover.orphans import Orphans
from meadowpulley.takeover.turn import For, Turn, What

EARLY_MS = 1.0  # by which clocks may wake it before its time


class Takeover:
    """`may_act(now)`: whether this life's lease holds, asked at the last moment before anything goes out."""

    def __init__(
        self,
        settings: Settings,
        inner: Stage,
        me: Life,
        may_act: Callable[[float], bool],
        terms: m.Terms | None = None,
    ) -> None:
        self.s, self.terms = settings, terms or m.Terms()
        self.turn, self.mirror = Turn(), Mirror()
        self.asks = Asks(self.terms, self.mirror)
        self.keeping = Keeping(self.terms)
        self.hands = Hands(settings, inner, me, may_act, self.terms, self.turn, self.asks, self.keeping)
        self.orphans = Orphans(settings, me, self.terms, self.mirror, self.keeping)
        self.give_at = math.inf  # when what is left is given away, as this gateway stops
        self.stops = False
        # Until then what others have served unwritten, as the ledger was lost, may be asked for once more.
        self.unsure_until = -math.inf
        self.timer_at = math.inf
        self.ticket = 0
        self.asked: dict[int, list[For]] = {}
        self.handlers: dict[type, Callable[[Any], None]] = {
            m.Taken: self._taken,
            m.AnswerReady: self.hands.ready,
            m.ClientGone: self._client_gone,
            m.Placed: self._placed,
            m.Stopping: self._stopping,
            Outcome: self.hands.outcome,
            ResponseStarted: self.hands.started,
            ClientDisconnected: self._request_gone,
            EndpointUpdate: self._list,
            Timer: self._tick,
            Committed: self._committed,
            Changed: self._changed,
            Suspected: self._suspected,
            Ended: self._sealed,
            LedgerLost: self._ledger_lost,
            LedgerBack: self._ledger_back,
        }

    def handle(self, now: float, event: Any) -> list[Any]:
        turn = self.turn
        turn.begin(now)
        self.handlers.get(type(event), self.hands.pass_on)(event)
        if self.orphans.due_at <= now and not (self.hands.ended or self.hands.lost):
            if self.stops:  # claims of which it does not know are still its own; the rest is for the others
                self.orphans.pass_over()
            adopted = sum(h.request.adopted and not h.told for h in self.hands.by_name.values())
            self.orphans.look(turn, adopted, self.hands.usual_ms)
        if turn.steps:
            self.ticket += 1
            self.asked[self.ticket] = turn.whys
            turn.acts.append(Commit(self.ticket, tuple(turn.steps), m.OWNER))
        self._set_timer()
        return turn.acts

    # What its adapter may ask

    def knows(self, name: str) -> bool:
        """Whether a request of that id is in hand here, or waits here for work in hand elsewhere."""
        return name in self.hands.by_name or name in self.asks.by_name

    def writes(self, cls: int, size: int) -> bool:
        """Whether a request of that class with a body of so many bytes is written down."""
        which, safe = self.terms.written, self.s.classes[cls].effect is Effect.IDEMPOTENT
        wanted = which is m.Written.ALL or (which is m.Written.UNREPEATABLE and not safe)
        return wanted and size <= m.BODY_MAX

    def has(self, request: int) -> bool:
        """Whether it is written, or has been: then its answer passes here."""
        return request in self.hands.by_request

    def keeps(self, request: int) -> bool:
        """Whether the work of this request goes on without its client."""
        hand = self.hands.by_request.get(request)
        return hand is not None and not hand.gone

    def origin_of(self, request: int) -> tuple[m.First, float] | None:
        """Who took a written request first, and when on this gateway's clock, no later than it was; None for
        what is not written. For the stages inside this one, from when they are told of it until its end."""
        hand = self.hands.by_request.get(request)
        return (hand.first, hand.taken_ms) if hand is not None else None

    def moved(self, request: int) -> bool | None:
        """Whether a request of which the stages inside are told that it is gone goes on elsewhere. False: its
        id was known and it never was one of its own. None: it is gone with its client."""
        hand = self.hands.by_request.get(request)
        if hand is None or not (hand.gone or hand.giving):
            return None
        return hand.giving or hand.unsure or hand.version > 0

    # Intake

    def _taken(self, t: m.Taken) -> None:
        r, cls = t.request, self.s.classes[t.request.class_index]
        safe = cls.effect is Effect.IDEMPOTENT
        if not self.writes(r.class_index, len(t.body)):
            self.hands.pass_on(r)
            return
        digest, known = m.digest_of(t.method, t.target, t.body), self.hands.by_name.get(t.name)
        if known is not None and known.digest == digest:
            self.hands.join(t.name, r)
            self.hands.say_again(known)
        elif known is not None:
            self.turn.acts.append(Fail(r.request))
        elif (self.hands.lost and r.client_retry) or (self.hands.ended and (r.client_retry or not safe)):
            # Whether it is in hand elsewhere can't be known; and what ran here unwritten, while the others
            # have the ledger, would run again where its client asks next.
            self.turn.acts.append(Fail(r.request))
        elif self.hands.lost or self.hands.ended:
            self.hands.pass_on(r)  # as without a ledger: nobody adopts what is not written
        else:
            tenant = self.s.tenants[r.tenant].name if r.tenant < len(self.s.tenants) else ""
            content = m.Content(m.FORMAT, t.method, t.target, t.headers, t.body)
            mark = self.turn.mark()
            first = m.First(str(self.hands.me), mark)
            hand = Hand(r, t.name, cls, tenant, content, digest, mark, first, self.turn.now)
            if r.client_retry and not safe and self.turn.now < self.unsure_until:
                self.hands.fail_unknown(hand)
            else:
                self.hands.begin(hand)

    def _list(self, event: EndpointUpdate) -> None:
        if event.kind is EndpointUpdateKind.FULL or event.kind is EndpointUpdateKind.CACHED:
            self.hands.servers = {}
        self.hands.servers |= {e.server: e for e in event.entries}
        for gone in [e.server for e in event.entries if e.state is ServerState.REMOVED]:
            del self.hands.servers[gone]
        self.hands.pass_on(event)

    def _client_gone(self, e: m.ClientGone) -> None:
        hand = self.hands.by_request.get(e.request)
        if hand is not None and not hand.gone:
            hand.client = False  # the work ends once, and its answer is kept
        elif self.asks.leave(e.request):
            self.turn.acts.append(m.Drop(e.request))
        elif hand is None:
            self.turn.acts.append(m.Drop(e.request))
            self.hands.pass_on(ClientDisconnected(e.request))

    def _request_gone(self, e: ClientDisconnected) -> None:
        """The adapter has answered it as failed, past its deadline."""
        hand = self.hands.by_request.get(e.request)
        if self.asks.leave(e.request):
            return
        self.hands.pass_on(e)
        if hand is not None and not hand.gone:
            hand.told = True
            hand.earlier_final, hand.final = hand.earlier_final or hand.final, None
            self.hands.final(hand, Final(State.FAILED, Fail(e.request)))

    # The ledger

    def _committed(self, event: Committed) -> None:
        if event.owner != m.OWNER:
            self.hands.pass_on(event)
            return
        turn, orphans = self.turn, self.orphans
        for why, done in zip(self.asked.pop(event.ticket), event.done, strict=True):
            if done.how is How.SEALED:
                self.hands.end_life()
            elif why.what is What.WRITE:
                self.hands.written(self.hands.by_request.get(why.request), done)
            elif why.what is What.ANSWER:
                self.asks.answered(turn, why.name, done)
            elif why.what is What.CLAIM:
                orphans.claimed(turn, why.name, done)
            elif why.what is What.CONTENT:
                orphans.read(turn, why.name, done)
            elif why.what is What.OLD:
                self.keeping.read(turn, why.name, done)

    def _changed(self, event: Changed) -> None:
        began = self.turn.now if event.began_ms is None else event.began_ms
        news = self.mirror.changed(began, event.changes)
        self.turn.acts += [LogLine(line) for line in news.bad]
        for name in news.names:
            if name not in self.hands.by_name:
                self.asks.changed(self.turn, name)
        self.orphans.changed(self.turn.now, news.names, news.died, self.hands.by_name)
        self.keeping.inherit(self.turn.now, news.left)
        self.hands.pass_on(event)

    def _suspected(self, event: Suspected) -> None:
        self.orphans.suspected(self.turn.now, event.members)
        self.hands.pass_on(event)

    def _sealed(self, event: Ended) -> None:
        self.hands.end_life()
        self.hands.pass_on(event)

    def _ledger_lost(self, event: LedgerLost) -> None:
        self.hands.lost = True
        self.hands.pass_on(event)

    def _ledger_back(self, event: LedgerBack) -> None:
        self.hands.lost = False
        longest = max(
            (c.deadline_ms for c in self.s.classes if c.effect is not Effect.IDEMPOTENT), default=0.0
        )
        self.unsure_until = self.turn.now + longest  # by when the last client of those waits no longer
        for hand in list(self.hands.by_name.values()):
            self.hands.flush(hand)
        self.hands.pass_on(event)

    # Taking over, giving away

    def _placed(self, event: m.Placed) -> None:
        claim = self.orphans.placed(self.turn, event.name, event.request is not None)
        if claim is None or claim.content is None or event.request is None:
            return
        if self.hands.ended:
            self.turn.acts.append(m.Drop(event.request))
            return
        work, (n, cls) = claim.seen.work, self.orphans.classes[claim.seen.work.cls]
        tenant = self.orphans.tenants.get(work.tenant, len(self.s.tenants))
        request = Request(
            event.request,
            n,
            tenant,
            work.key,
            claim.deadline_ms,
            work.hint_ms,
            write=work.write,
            adopted=True,
            prior_attempt_count=work.tries,
            prior_attempts=adopt.tried(claim.seen),
            arm=work.arm,
        )
        taken = max(claim.seen.floor_ms - work.waited_ms, -m.LONG_MS)
        hand = Hand(
            request, event.name, cls, work.tenant, claim.content, work.digest, claim.mark, work.first, taken
        )
        hand.lives, hand.version, hand.content_version = work.lives + 1, claim.version, claim.content_version
        hand.earlier, hand.tries, hand.client = claim.rights, work.tries, False
        self.hands.begin(hand)
        if self.stops:
            self.hands.give(hand)

    def _stopping(self, event: m.Stopping) -> None:
        self.stops = True
        self.give_at = self.turn.now + max(event.left_ms - self.terms.release_ms, 0.0)
        for hand in list(self.hands.by_name.values()):
            if not hand.out and not hand.waiting:
                self.hands.give(hand)

    # Time

    def _tick(self, event: Timer) -> None:
        if event.token != m.TOKEN:
            self.hands.pass_on(event)
            return
        turn, now = self.turn, self.turn.now
        if now > self.timer_at - EARLY_MS:
            self.timer_at = math.inf
        while self.hands.due and self.hands.due[0][0] <= now:
            self.hands.look_at(heapq.heappop(self.hands.due)[1])
        if now >= self.give_at:
            self.give_at = math.inf
            for hand in list(self.hands.by_name.values()):
                self.hands.give(hand)
        self.asks.tick(turn)
        if not (self.hands.lost or self.hands.ended):
            self.keeping.tick(turn)

    def _set_timer(self) -> None:
        now = self.turn.now
        works = not (self.hands.ended or self.hands.lost)
        at = min(
            self.hands.due[0][0] if self.hands.due else math.inf,
            self.asks.due_at(),
            self.keeping.due_at() if works else math.inf,
            self.orphans.due_at if works else math.inf,
            self.give_at,
        )
        if at < self.timer_at:
            self.timer_at = max(at, now)
            self.turn.acts.append(SetTimer(self.timer_at - now, m.TOKEN))
