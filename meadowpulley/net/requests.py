"""The requests that the gateway took: each is owed exactly one final answer, by its deadline."""

from __future__ import annotations

import math
from functools import partial
from typing import Protocol

from meadowpulley.interface import ClientDisconnected, Fail, Reject
from meadowpulley.net import names
from meadowpulley.net.deadlines import Deadline
from meadowpulley.net.hook import Answer, Hook
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

    sent: float

    def time_out(self) -> None: ...

    def cancel(self) -> None: ...


class Taken:
    """One request that the gateway took: it is owed exactly one final answer."""

    def __init__(self, message: Message, cls: int, link: Asker, arrived: float, deadline: float) -> None:
        self.message, self.cls, self.arrived, self.deadline = message, cls, arrived, deadline
        self.link: Asker | None = link
        self.handle = -1
        self.tries = 0
        self.ran = math.inf  # when the first attempt was sent that is over and may have run
        self.out: dict[int, Running] = {}
        self.over = False
        self.limit: Deadline | None = None


class Held:
    """An answer that the hook may hold: it goes out once, when released or by its deadline and slack."""

    def __init__(self, requests: Requests, taken: Taken, link: Asker | None, answer: Answer) -> None:
        self.requests, self.taken, self.link, self.answer = requests, taken, link, answer
        gateway = requests.gateway
        until = taken.deadline + gateway.config.settings.rules.response_slack_ms
        self.limit = gateway.deadlines.at(until, self._late)

    def release(self, answer: Answer) -> None:
        self.requests.gateway.deadlines.call_off(self.limit)
        self.requests.pass_on(self.taken, self.link, answer)

    def _late(self) -> None:
        self.requests.gateway.counters.add("out.held_late")
        self.release(self.answer)


class Requests:
    """`table`: all whose slot is in use, the answered ones with an attempt still out among them; `ids`: how
    many of each id are owed an answer, more than one only where a hook lets them in; `still_out`: the ids of
    those that are over with an attempt still out, whose second copy another one would be."""

    def __init__(self, gateway: Host, size: int) -> None:
        self.gateway = gateway
        self.table: Slots[Taken] = Slots(size)
        self.ids: dict[str, int] = {}
        self.still_out: set[str] = set()

    def add(self, taken: Taken) -> None:
        """From now on the request is owed an answer, whatever becomes of it."""
        taken.handle = self.table.put(taken)
        name = taken.message.headers[names.ID]
        self.ids[name] = self.ids.get(name, 0) + 1
        taken.limit = self.gateway.deadlines.at(taken.deadline, partial(self._due, taken))

    def _due(self, taken: Taken) -> None:
        """The client stops waiting: attempts end here, and the decisions have a little time left."""
        slack = self.gateway.config.settings.rules.response_slack_ms
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
        self.gateway.tell(ClientDisconnected(taken.handle))

    def answer(self, taken: Taken, status: int, headers: dict[str, str], body: bytes) -> None:
        """The one final answer; a second one is counted and goes nowhere."""
        if taken.over:
            self.gateway.counters.add("out.second_answers")
            return
        link = taken.link
        self._end(taken)
        self.gateway.counters.add(f"out.{status}")
        if self.gateway.hook is not None:
            self._show(self.gateway.hook, Held(self, taken, link, Answer(status, headers, body)))
        elif link is not None and link.up and link.taken is taken:
            link.answer(status, headers, body)

    def _show(self, hook: Hook, held: Held) -> None:
        try:
            hook.answering(held.taken.handle, held.answer, held.release)
        except Exception:
            self.gateway.failed("hook")
            held.release(held.answer)

    def pass_on(self, taken: Taken, link: Asker | None, answer: Answer) -> None:
        """To whoever still waits for it: once it has an answer a link holds no request, or the next one."""
        if link is not None and link.up and link.taken is taken:
            link.answer(answer.status, answer.headers, answer.body)
        self.gateway.settled()  # no connection may end behind this one

    def settle(self, request: int, answer: Answer) -> bool:
        """Gives a request an answer that is known from elsewhere, which the hook is not shown again. Attempts
        that are out are called off. False: it is over already."""
        taken = self.table.get(request)
        if taken is None or taken.over:
            return False
        link = taken.link
        self._end(taken)
        self.gateway.counters.add(f"out.{answer.status}")
        self.pass_on(taken, link, answer)
        self.gateway.tell(ClientDisconnected(request))
        return True

    def refuse(self, action: Reject) -> None:
        taken = self.table.get(action.request)
        if taken is None:
            self.gateway.counters.add("out.late_actions")
            return
        advice = action.retry_after_ms
        headers = {"retry-after": f"{advice / 1000:.3f}"} if advice > 0 else {}
        self.answer(taken, 503, headers, b"")

    def fail(self, action: Fail) -> None:
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
            self.gateway.tell(ClientDisconnected(request))

    def left(self, taken: Taken) -> None:
        """Its client has gone before the answer."""
        if taken.over:
            return
        if self.gateway.hook is not None and self._goes_on(self.gateway.hook, taken):
            self.gateway.counters.add("in.left")
        else:
            self.gateway.counters.add("in.gone")
            self._end(taken)
            self.gateway.tell(ClientDisconnected(taken.handle))

    def _goes_on(self, hook: Hook, taken: Taken) -> bool:
        try:
            return hook.left(taken.handle)
        except Exception:
            self.gateway.failed("hook")
            return False

    def _end(self, taken: Taken) -> None:
        taken.over, taken.link = True, None
        name = taken.message.headers[names.ID]
        left = self.ids.pop(name) - 1
        if left:
            self.ids[name] = left
        self.gateway.deadlines.call_off(taken.limit)
        if taken.out:
            self.still_out.add(name)
        self.release(taken)

    def release(self, taken: Taken) -> None:
        """Frees the slot once the answer is out and no attempt is."""
        if taken.over and not taken.out:
            self.table.free(taken.handle)
            self.still_out.discard(taken.message.headers[names.ID])
