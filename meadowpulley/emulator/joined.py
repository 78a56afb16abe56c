"""A gateway whose work in hand is written down and taken over: what its adapter does beside the usual.

A request is told to the stages with the client's id and all it sent; a good answer is held until they pass it
on; work of lost gateways gets a slot without a client.
"""

from __future__ import annotations

from functools import partial
from typing import Any

import msgspec

from meadowpulley.emulator.clients import Ask, Try
from meadowpulley.emulator.gateway import Gateway
from meadowpulley.emulator.held import Attempt, Held
from meadowpulley.ledger import Life
from meadowpulley.load.arrivals import Arrival
from meadowpulley.rules import Adopted, Gone, Left
from meadowpulley.takeover import model as m

TARGET = "/"
LAST_MS = 60.0  # before its end a gateway that stops gives its lease back
LOOK_MS = 50.0  # between two looks whether all is over, as it stops
OK = 200


class JoinedGateway(Gateway):
    def __init__(self, world: Any, number: int) -> None:
        super().__init__(world, number)
        self._actions |= {m.Pass: self._pass, m.Drop: self._drop, m.Adopt: self._adopt}

    def _event_of(self, held: Held) -> Any:
        ask = held.request.ask
        body = msgspec.json.encode(ask.arrival)
        return m.Taken(super()._event_of(held), held.request.name, "POST", TARGET, (), body)

    # Answers

    def _serve(self, attempt: Attempt) -> None:
        """A good answer has come: the stages say when it goes out. A second one of it is of no use."""
        held = attempt.held
        if not held.ready:
            held.ready = True
            server = attempt.host.entry.server if attempt.host is not None else -1
            content = f"{held.request.number} {attempt.n} {server}".encode()
            self.tell(m.AnswerReady(held.request.number, OK, (), content))

    def _pass(self, action: m.Pass) -> None:
        held = self.held.get(action.request)
        if held is None or held.over or self.stopped_at("answer", partial(self._pass, action)):
            return
        if action.status == OK:
            self._answer(held, "served", 0.0, action.body.decode())
        else:
            self._answer(held, "failed", 0.0)

    def _drop(self, action: m.Drop) -> None:
        held = self.held.get(action.request)
        if held is not None and not held.over:
            self._over(held)
            self.world.record(Gone(self.clock.now, self.number, action.request))

    # Clients that leave

    def _left(self, held: Held) -> None:
        if held.over:
            return
        number = held.request.number
        if self.world.takeover_of(self).keeps(number):
            self.world.record(Left(self.clock.now, self.number, number))
            self.tell(m.ClientGone(number))
        else:
            super()._left(held)

    # Work of others

    def _adopt(self, action: m.Adopt) -> None:
        now, world = self.clock.now, self.world
        if self.owed >= self.client_slots:
            self.tell(m.Placed(action.name, None))
            return
        arrival = msgspec.json.decode(action.body, type=Arrival)
        ask = Ask(arrival, action.cls, self.site, now, over=True)
        number = world.clients.number()
        request = Try(number, ask, now, action.deadline_ms, action.name, answered=True)
        held = self.held[number] = Held(request, action.deadline_ms)
        self.owed += 1
        record = Adopted(now, self.number, number, action.cls, arrival.key, held.deadline, action.name)
        world.record(record)
        self.clock.at(held.deadline, self.this_life(partial(self._time_is_up, held)))
        self.tell(m.Placed(action.name, number))

    # A planned stop

    def stop(self, grace_ms: float) -> None:
        """What can't end in time is given away; the lease is given back before the end."""
        self.leaving = True
        self.tell(m.Stopping(grace_ms))
        self._stop_by(self.clock.now + grace_ms, self.life)

    def _stop_by(self, until: float, life: Life | None) -> None:
        if self.life != life:
            return
        if not self.held or self.clock.now >= until - LAST_MS:
            self.in_turn(self.world.leave(self), self.act)
            self.clock.after(LAST_MS, self.this_life(self.kill))
        else:
            self.clock.after(LOOK_MS, self.this_life(partial(self._stop_by, until, life)))
