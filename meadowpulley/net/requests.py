"""The requests that the gateway took: each is owed exactly one final answer, by its deadline."""

from __future__ import annotations

from functools import partial
from typing import Protocol

from meadowpulley import interface as i
from meadowpulley.net import names
from meadowpulley.net.deadlines import Deadline
from meadowpulley.net.host import Host
from meadowpulley.net.http1 import Message
from meadowpulley.net.slots import Slots


class Asker(Protocol):
    """Who asked, and is answered: a client's connection."""

    up: bool
    taken: Taken | None
    closing: bool

    def answer(self, status: int, headers: dict[str, str], body: bytes) -> None: ...


class Running(Protocol):
    """An attempt that is out."""

    def time_out(self) -> None: ...

    def cancel(self) -> None: ...


class Taken:
    """One request that the gateway took: it is owed exactly one final answer."""

    def __init__(self, message: Message, cls: int, link: Asker, arrived: float, deadline: float) -> None:
        self.message, self.cls, self.arrived, self.deadline = message, cls, arrived, deadline
        self.link: Asker | None = link
        self.handle = -1
        self.tries = 0
        self.out: dict[int, Running] = {}
        self.over = False
        self.limit: Deadline | None = None


class Requests:
    """`table`: all whose slot is in use, the answered ones with an attempt still out among them; `ids`: those
    that are owed an answer."""

    def __init__(self, gateway: Host, size: int) -> None:
        self.gateway = gateway
        self.table: Slots[Taken] = Slots(size)
        self.ids: dict[str, Taken] = {}

    def add(self, taken: Taken) -> None:
        """From now on the request is owed an answer, whatever becomes of it."""
        taken.handle = self.table.put(taken)
        self.ids[taken.message.headers[names.ID]] = taken
        taken.limit = self.gateway.deadlines.at(taken.deadline, partial(self._due, taken))

    def _due(self, taken: Taken) -> None:
        """The client stops waiting: attempts end here, and the decisions have a little time left."""
        slack = self.gateway.config.settings.rules.answer_slack_ms
        # Whatever goes wrong before the answer, this one still comes in time.
        taken.limit = self.gateway.deadlines.at(taken.deadline + slack, partial(self._overdue, taken))
        for attempt in list(taken.out.values()):
            attempt.time_out()

    def _overdue(self, taken: Taken) -> None:
        if taken.over:
            return
        self.gateway.counters.add("out.overdue")
        self.gateway.log.error("request was still unanswered past its deadline", cls=taken.cls)
        self.answer(taken, 504, {}, b"")
        self.gateway.tell(i.RequestGone(taken.handle))

    def answer(self, taken: Taken, status: int, headers: dict[str, str], body: bytes) -> None:
        """The one final answer; a second one is counted and goes nowhere."""
        if taken.over:
            self.gateway.counters.add("out.second_answers")
            return
        link = taken.link
        self._end(taken)
        self.gateway.counters.add(f"out.{status}")
        if link is not None and link.up and link.taken is taken:
            link.answer(status, headers, body)

    def refuse(self, action: i.Refuse) -> None:
        taken = self.table.get(action.request)
        if taken is None:
            self.gateway.counters.add("out.late_actions")
            return
        advice = action.retry_after_ms
        headers = {"retry-after": f"{advice / 1000:.3f}"} if advice > 0 else {}
        self.answer(taken, 503, headers, b"")

    def fail(self, action: i.Fail) -> None:
        taken = self.table.get(action.request)
        if taken is None:
            self.gateway.counters.add("out.late_actions")
            return
        self.answer(taken, 502, {}, b"")

    def broke(self, request: int) -> None:
        """The decisions failed on this request: if nothing is under way for it, it fails now."""
        taken = self.table.get(request)
        if taken is not None and not taken.over and not taken.out:
            self.answer(taken, 502, {}, b"")
            self.gateway.tell(i.RequestGone(request))

    def left(self, taken: Taken) -> None:
        """Its client has gone before the answer."""
        if not taken.over:
            self.gateway.counters.add("in.gone")
            self._end(taken)
            self.gateway.tell(i.RequestGone(taken.handle))

    def _end(self, taken: Taken) -> None:
        taken.over, taken.link = True, None
        self.ids.pop(taken.message.headers[names.ID], None)
        self.gateway.deadlines.call_off(taken.limit)
        self.release(taken)

    def release(self, taken: Taken) -> None:
        """Frees the slot once the answer is out and no attempt is."""
        if taken.over and not taken.out:
            self.table.free(taken.handle)
