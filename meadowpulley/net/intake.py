"""Intake: what a client's message asks for, and whether it is taken."""

from __future__ import annotations

import hashlib
import math
import re
from collections.abc import Callable
from dataclasses import replace

from meadowpulley.interface import Effect, PriorAttempt, Request
from meadowpulley.net import names
from meadowpulley.net.hook import Answer, Asked, Hook
from meadowpulley.net.host import Host
from meadowpulley.net.http1 import BadMessageError, Message
from meadowpulley.net.requests import Asker, Requests, Taken

REMAINING_OVER_MS = 1_000.0  # what a request may claim beyond its class's limit: clients round
_REMAINING = re.compile(r"([0-9]{1,12}(?:\.[0-9]{1,6})?)([mu])")
_ID = re.compile(r"[!-+\--~]{1,128}")  # neither blanks nor commas: those would be two ids in one
_KEY = re.compile(r"[0-9a-fA-F]{1,16}")
# That one goes on, and an attempt for another would be its second copy.
_SECOND = f"'{names.ID}' is that of an open request"
_METHODS = {
    Effect.IDEMPOTENT: ("GET",),
    Effect.IDEMPOTENT_WITH_KEY: ("POST", "PUT"),
    Effect.NON_IDEMPOTENT: ("POST",),
}


def parse_remaining(text: str) -> float:
    found = _REMAINING.fullmatch(text)
    if found is None:
        raise BadMessageError(400, f"'{names.REMAINING}' is no time")
    return float(found[1]) * (1.0 if found[2] == "m" else 0.001)


def parse_key(text: str) -> int:
    """Keys are numbers to the decisions; one in another form stands for the same number everywhere."""
    if not text:
        return 0
    if _KEY.fullmatch(text):
        return int(text, 16)
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")


def parse_hint(message: Message) -> float | None:
    try:
        hint = float(message.headers[names.HINT])
    except (KeyError, ValueError):
        return None
    return hint if math.isfinite(hint) and hint >= 0 else None


class Elsewhere:
    """Who asked for a request that no client's connection stands behind."""

    up, closing = True, False

    def __init__(self, done: Callable[[Answer], None]) -> None:
        self.taken: Taken | None = None
        self._done = done

    def answer(self, status: int, headers: dict[str, str], body: bytes) -> None:
        self.taken = None
        self._done(Answer(status, headers, body))


class Intake:
    def __init__(self, gateway: Host, requests: Requests) -> None:
        self.gateway, self.requests = gateway, requests
        self.classes = {c.name: n for n, c in enumerate(gateway.config.settings.classes)}
        self.tenants = {t.name: n for n, t in enumerate(gateway.config.settings.tenants)}
        # Whoever names no tenant of ours: place 0 is a tenant's, who would be charged for it.
        self.stranger = len(gateway.config.settings.tenants)

    def take(self, link: Asker, message: Message) -> None:
        """Answers a message at once, or takes it as a request. Raises BadMessageError."""
        # Before any answer, a health check's too. One to HEAD ends the connection: its body is not expected.
        link.closing = link.closing or not message.keep_alive or message.method == "HEAD"
        path = message.target.partition("?")[0]
        if not path.startswith("/"):
            raise BadMessageError(400, "the target is no path")
        if path in (names.READY, names.HEALTH):
            well = path == names.HEALTH or self.gateway.ready
            link.answer(200 if well else 503, {}, b"ok\n" if well else b"not ready\n")
            return
        cls = self._class(path)
        if cls is None:
            self.gateway.counters.add("in.unknown_path")
            link.answer(404, {}, b"unknown path\n")
            return
        settings = self.gateway.config.settings
        allowed = _METHODS[settings.classes[cls].effect]
        if message.method == "GET" and message.body:
            raise BadMessageError(400, "a GET with a body")
        if message.method not in allowed:
            self.gateway.counters.add("in.wrong_method")
            link.answer(405, {"allow": ", ".join(allowed)}, b"wrong method\n")
            return
        request = self._request(link, message, cls)
        self.gateway.counters.add("in.requests")
        event = self._event(request)
        if self.gateway.capture is not None:
            self.gateway.capture.note(event, request.arrived, len(message.body))
        if self.gateway.hook is None or self._passes(self.gateway.hook, link, request, event):
            self.gateway.tell(event)

    def _class(self, path: str) -> int | None:
        return self.classes.get(path[1:].partition("/")[0])

    def _event(self, taken: Taken) -> Request:
        message = taken.message
        return Request(
            request=taken.handle,
            class_index=taken.cls,
            tenant=self.tenants.get(message.headers.get(names.TENANT, ""), self.stranger),
            key=parse_key(message.headers.get(names.KEY, "")),
            deadline_ms=taken.deadline,
            expected_work_ms=parse_hint(message),
            client_retry=message.headers.get(names.REPEAT) == "1",
            write=message.method != "GET",
        )

    def _passes(self, hook: Hook, link: Asker, taken: Taken, event: Request) -> bool:
        name = taken.message.headers[names.ID]
        second = self.requests.ids[name] > 1
        if not hook.asked(Asked(name, event, taken.message, taken.arrived, second)):
            return False
        if second:
            link.closing = True
            self.requests.settle(taken.handle, Answer(409, {}, _SECOND.encode()))
        return not second

    def put_in(
        self,
        message: Message,
        deadline_ms: float,
        done: Callable[[Answer], None],
        tries: int = 0,
        tried: tuple[PriorAttempt, ...] = (),
        arm: int = 0,
    ) -> int:
        """Takes a request over that a lost gateway had taken, and gives its handle; the deadline is on this
        gateway's clock, `tries` to `arm` as in `i.Request`. It is shown to the hook only when answered; then
        `done` has the answer, before this returns where the decisions refuse it at once. Raises ValueError
        where it has no id or no class takes such a path, SlotsFullError."""
        cls = self._class(message.target.partition("?")[0])
        if cls is None or not _ID.fullmatch(message.headers.get(names.ID, "")):
            raise ValueError(f"no request of ours: {message.target[:40]!r}")
        link = Elsewhere(done)
        taken = Taken(message, cls, link, self.gateway.deadlines.now(), deadline_ms)
        taken.tries = tries  # attempts are numbered on
        self.requests.add(taken)
        link.taken = taken
        self.gateway.counters.add("in.adopted")
        event = replace(
            self._event(taken), adopted=True, prior_attempt_count=tries, prior_attempts=tried, arm=arm
        )
        self.gateway.tell(event)
        return taken.handle

    def _request(self, link: Asker, message: Message, cls: int) -> Taken:
        name = message.headers.get(names.ID, "")
        hop = {option.strip().lower() for option in message.headers.get("connection", "").split(",")}
        if not _ID.fullmatch(name) or names.ID in hop:  # one of this connection alone would not be sent on
            raise BadMessageError(400, f"no '{names.ID}', or not just one")
        open_ = name in self.requests.ids or name in self.requests.still_out
        if open_ and self.gateway.hook is None:
            raise BadMessageError(409, _SECOND)
        now, settings = self.gateway.deadlines.came(), self.gateway.config.settings
        told = message.headers.get(names.REMAINING)
        most = settings.classes[cls].deadline_ms
        remaining = most if told is None else parse_remaining(told)
        if remaining > most + REMAINING_OVER_MS:
            raise BadMessageError(400, f"'{names.REMAINING}' is more than its class may take")
        taken = Taken(message, cls, link, now, now + remaining)
        self.requests.add(taken)
        link.taken = taken
        return taken
