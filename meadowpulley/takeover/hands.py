"""The written requests in this gateway's hands, between the decisions and the adapter.

- A `Send` is held until the record that names its server and build is won, and dropped as MOOT when that
  takes too long, is lost, or the lease has run out by then.
- The final answer is held until it is recorded. What is refused before anything of it was written is only
  looked up: its id may be known by others.
- The adapter counts the attempts it was told to send, the decisions all that they chose: numbers are
  translated here.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from meadowpulley.interface import (
    Cancel,
    ClientDisconnected,
    Fail,
    LogLine,
    Outcome,
    Reject,
    Request,
    ResponseStarted,
    Result,
    Send,
    ServerEntry,
    Settings,
)
from meadowpulley.ledger import Done, How, Life, Record, Stage
from meadowpulley.takeover import model as m
from meadowpulley.takeover.answers import Asks, Keeping, Kept
from meadowpulley.takeover.hand import Final, Flight, Hand, Wait
from meadowpulley.takeover.model import State
from meadowpulley.takeover.turn import For, Turn, What

NEVER_RAN = (Result.REJECTED, Result.CONNECT_FAILED, Result.NOT_SENT)
USUAL_STEP = 0.1  # weight of the newest


class Hands:
    """`inner` is the next stage; `may_act(now)` whether this life's lease holds."""

    def __init__(
        self,
        settings: Settings,
        inner: Stage,
        me: Life,
        may_act: Callable[[float], bool],
        terms: m.Terms,
        turn: Turn,
        asks: Asks,
        keeping: Keeping,
    ) -> None:
        self.inner, self.me, self.may_act, self.terms = inner, me, may_act, terms
        self.slack_ms = settings.rules.response_slack_ms
        self.turn, self.asks, self.keeping = turn, asks, keeping
        self.by_request: dict[int, Hand] = {}  # until the last outcome of their attempts
        self.by_name: dict[str, Hand] = {}  # those that are this gateway's to end
        self.servers: dict[int, ServerEntry] = {}
        self.usual_ms: dict[str, float] = {}  # of good attempts, by class
        self.due: list[tuple[float, int]] = []  # when to look at a request; one that is over is passed by
        self.lost = self.ended = False  # the ledger does not answer; this life was sealed

    def pass_on(self, event: Any) -> None:
        """To the next stage; what it decides for requests that are not written passes as it is."""
        for action in self.inner.handle(self.turn.now, event):
            ours = isinstance(action, Send | Cancel | Reject | Fail)
            hand = self.by_request.get(action.request) if ours else None
            if hand is None:
                self.turn.acts.append(action)
            elif isinstance(action, Send):
                self._send(hand, action)
            elif isinstance(action, Cancel):
                if action.attempt in hand.passed:
                    self.turn.acts.append(replace(action, attempt=hand.passed.index(action.attempt)))
            elif not hand.gone:
                state = State.REFUSED if isinstance(action, Reject) else State.FAILED
                self.final(hand, Final(state, action))

    def begin(self, hand: Hand) -> None:
        if hand.name in self.by_name:  # an ask for what this gateway has just taken over
            self._lose(self.by_name[hand.name])
        self.by_request[hand.request.request] = self.by_name[hand.name] = hand
        self.pass_on(hand.request)
        self.flush(hand)

    def fail_unknown(self, hand: Hand) -> None:
        """Only looked up: a record of its id answers it; where there is none it may have run unwritten."""
        self.by_request[hand.request.request] = self.by_name[hand.name] = hand
        self.final(hand, Final(State.FAILED, Fail(hand.request.request)))

    def _known(self, hand: Hand, found: Record) -> None:
        """The id of a request just taken has a record already: another gateway's, or of an earlier ask."""
        work: m.Work | None = None
        try:
            work = m.decode_work(found.value)
        except m.RecordError as error:
            self.turn.acts.append(LogLine(f"takeover: record {found.key!r} left alone: {error}"))
        if work is None or work.digest != hand.digest:
            self._tell(hand, Fail(hand.request.request))
            self._withdraw(hand)
        elif work.state is State.REFUSED and not work.rights and hand.final is None:
            hand.version = found.version  # it never ran, and may be asked anew
            self.flush(hand)
        else:
            self._lose(hand)
            self.asks.look(self.turn, hand.name, work.state, found.version)

    # Attempts

    def _send(self, hand: Hand, send: Send) -> None:
        # The decisions number the attempts of each life from 0.
        n, server = hand.tries - hand.request.prior_attempt_count, self.servers.get(send.server)
        where = (server.build, server.zone, server.cell) if server is not None else (0, 0, 0)
        hand.tries += 1
        hand.rights[n] = m.Right(send.server, *where)
        hand.waiting[n] = Wait(send, self.turn.now + self.terms.right_ms)
        self._due(hand.waiting[n].until_ms, hand)
        self.flush(hand)

    def _release(self, hand: Hand, n: int) -> None:
        """The right is won; one that was stopped since then finds out here, at the last moment."""
        now, until = self.turn.now, hand.request.deadline_ms
        if self.ended or hand.final is not None or hand.gone or now >= until or not self.may_act(now):
            self._moot(hand, n)
        else:
            hand.out.add(len(hand.passed))
            hand.passed.append(n)
            self.turn.acts.append(hand.waiting.pop(n).action)

    def _moot(self, hand: Hand, n: int) -> None:
        """That attempt never goes out; the decisions choose anew."""
        server = hand.waiting.pop(n).action.server
        del hand.rights[n]
        over = hand.gone or hand.final is not None
        self.pass_on(Outcome(hand.request.request, n, server, Result.NOT_SENT, 0.0, over))

    def outcome(self, o: Outcome) -> None:
        hand = self.by_request.get(o.request)
        if hand is None:
            self.pass_on(o)
            return
        n = hand.passed[o.attempt]
        hand.out.discard(o.attempt)
        if o.result is Result.OK:
            usual = self.usual_ms.setdefault(hand.cls.name, o.elapsed_ms)
            self.usual_ms[hand.cls.name] += USUAL_STEP * (o.elapsed_ms - usual)
        if o.result in NEVER_RAN:
            hand.rights.pop(n, None)
        over = o.request_complete or hand.final is not None or hand.gone
        self.pass_on(
            o
            if (n, over) == (o.attempt, o.request_complete)
            else replace(o, attempt=n, request_complete=over)
        )
        self._forget(hand)

    def started(self, a: ResponseStarted) -> None:
        hand = self.by_request.get(a.request)
        self.pass_on(a if hand is None else replace(a, attempt=hand.passed[a.attempt]))

    # Answers

    def ready(self, a: m.AnswerReady) -> None:
        hand = self.by_request.get(a.request)
        if hand is None:
            self.turn.acts.append(m.Pass(a.request, a.status, a.headers, a.body))
        elif not hand.gone:
            whole = len(a.body) <= m.BODY_MAX  # a longer one is recorded as served, and not kept
            answer = m.Answer(m.FORMAT, a.status, a.headers, a.body) if whole else None
            self.final(hand, Final(State.SERVED, m.Pass(a.request, a.status, a.headers, a.body), answer))

    def final(self, hand: Hand, final: Final) -> None:
        if hand.final is None:
            hand.final = final
            late = hand.request.deadline_ms + self.slack_ms / 2
            hand.hold_until = min(self.turn.now + self.terms.hold_ms, max(late, self.turn.now))
            self._due(hand.hold_until, hand)
            for n in list(hand.waiting):
                self._moot(hand, n)
            self.flush(hand)

    def _hold_over(self, hand: Hand) -> None:
        """The answer is not known to be recorded, and its client can wait no longer. While the lease holds
        nobody else can have ended this work, unless it was given away, and what was served is told. That it
        never ran is not: whoever finds its record may yet run it."""
        final, ours = hand.final, self.may_act(self.turn.now) and not hand.giving
        if final is not None and (final.state is State.REFUSED or not ours):
            hand.earlier_final = hand.earlier_final or final
            hand.final = Final(State.FAILED, Fail(hand.request.request))
        self._say(hand)

    def _say(self, hand: Hand) -> None:
        final = hand.final
        assert final is not None
        self._tell(hand, final.action)

    def say_again(self, hand: Hand) -> None:
        """To asks that come while what the client was told is still to be recorded; where another end of it
        may be recorded they wait for the record."""
        sure = hand.told and hand.earlier_final is None and self.may_act(self.turn.now)
        if sure and hand.final is not None:
            self.asks.end(self.turn, hand.name, hand.final.state, hand.final.answer)

    def _tell(self, hand: Hand, action: Any) -> None:
        """The one final answer of its own client, or the end of its slot."""
        if not hand.told:
            hand.told = True
            self.turn.acts.append(action)

    def _recorded(self, hand: Hand, final: Final) -> None:
        """This final answer is in the ledger, or stands without one: whoever waits gets it. It is left as it
        is, also where the own client was told another since: asks that came first have heard it."""
        self._say(hand)
        self._leave(hand)
        self.asks.end(self.turn, hand.name, final.state, final.answer)
        if hand.version:
            size = len(final.answer.body) if final.answer is not None else 0
            until = self.turn.now + self.terms.keep_ms
            self.keeping.add(self.turn, Kept(hand.name, until, hand.version, hand.answer_version, 0, size))

    def _leave(self, hand: Hand) -> None:
        hand.gone = True
        if self.by_name.get(hand.name) is hand:
            del self.by_name[hand.name]
        self._forget(hand)

    def _forget(self, hand: Hand) -> None:
        if hand.gone and not hand.out and not hand.waiting:
            self.by_request.pop(hand.request.request, None)

    def _withdraw(self, hand: Hand) -> None:
        """The decisions have nothing more to do with it."""
        hand.gone = True
        self.pass_on(ClientDisconnected(hand.request.request))
        for n in list(hand.waiting):
            self._moot(hand, n)
        self._leave(hand)

    def _lose(self, hand: Hand) -> None:
        """Another's now: its client is answered as one that asked again."""
        self._withdraw(hand)
        if not hand.told and hand.client and not hand.request.adopted:
            self.join(hand.name, hand.request)
        else:
            self._tell(hand, m.Drop(hand.request.request))

    # Records

    def flush(self, hand: Hand) -> None:
        """Writes what is not written, one write at a time."""
        if hand.behind and hand.flight is None and not (hand.gone or self.lost or self.ended):
            hand.again_at = math.inf
            self.turn.step(hand.write(self.turn.now), For(What.WRITE, hand.name, hand.request.request))

    def written(self, hand: Hand | None, done: Done) -> None:
        if hand is None or hand.flight is None or hand.gone:
            return
        flight, hand.flight = hand.flight, None
        if done.how is How.UNKNOWN:
            hand.unsure, hand.again_at = True, self.turn.now + self.terms.again_ms
            self._due(hand.again_at, hand)
        elif done.how is How.WON:
            hand.won(flight, done.version)
            self._proven(hand, flight)
        elif done.found is None or done.found.key != hand.key:
            self._lose(hand)
        elif hand.unsure and done.found.by == self.me and (state := hand.had_won(done.found)) is not None:
            if (final := hand.end_of(state)) is not None:
                self._recorded(hand, final)
            else:
                self.flush(hand)
        elif not hand.version:
            self._known(hand, done.found)
        else:
            self._lose(hand)

    def _proven(self, hand: Hand, flight: Flight) -> None:
        for n in sorted(flight.covers & hand.waiting.keys()):
            self._release(hand, n)
        if flight.gives:
            self._lose(hand)
        elif flight.final is not None:
            self._recorded(hand, flight.final)
        else:
            hand.stale = self.turn.now - flight.made_ms > self.terms.right_ms
            self.flush(hand)

    # Ends

    def give(self, hand: Hand) -> None:
        """To the others, with what is proven of it."""
        if hand.final is None and not hand.giving:
            hand.giving = True
            self.pass_on(ClientDisconnected(hand.request.request))
            for n in list(hand.waiting):
                self._moot(hand, n)
            self.flush(hand)

    def end_life(self) -> None:
        """Others have the written work now, and what they do with it can't be known here."""
        if not self.ended:
            self.ended = True
            for hand in list(self.by_name.values()):
                self._tell(hand, Fail(hand.request.request))
                self._withdraw(hand)
            self.asks.end_all(self.turn)

    # Time

    def _due(self, at: float, hand: Hand) -> None:
        heapq.heappush(self.due, (at, hand.request.request))

    def join(self, name: str, r: Request) -> None:
        self.asks.add(name, r.request, r.deadline_ms)
        heapq.heappush(self.due, (r.deadline_ms, r.request))

    def look_at(self, request: int) -> None:
        hand, now = self.by_request.get(request), self.turn.now
        if hand is None or hand.gone:
            self.asks.overdue(self.turn, request)
            return
        for n in [n for n, wait in hand.waiting.items() if wait.until_ms <= now]:
            self._moot(hand, n)
        if hand.hold_until <= now and not hand.told:
            self._hold_over(hand)
        if hand.again_at <= now:
            self.flush(hand)
