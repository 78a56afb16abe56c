"""The platform: news of builds on one followed connection, and votes written one behind another on it."""

from __future__ import annotations

import json
import math
import random
from collections import deque
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from typing import Any

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from meadowpulley.interface import BuildStatistics, IncorrectResponse, Phase, Result, RolloutUpdate, Vote
from meadowpulley.net import names
from meadowpulley.net.deadlines import Deadline
from meadowpulley.net.host import Host
from meadowpulley.net.link import Link, connect

LINE_MAX = 8 * 1024
RING_BOUND = LINE_MAX + 64 * 1024
CONNECT_MS = 2_000.0
SILENT_MS = 3_500.0  # a sign of life comes every second: after three that failed to, the line is dead
PART_MS = 500.0  # for the rest of a line that has begun: lines are written whole
STEADY_MS = 1_000.0  # a connection that lasted so long is followed by the next at once
AGAIN_MS = (100.0, 2_000.0)  # first and longest pause before the next connection, after others
CALL_MS = 5_000.0  # for a vote's answer, where the settings name no time


class UnreadableError(ValueError):
    """A line, or what it says of a build, that can't be read."""


def read_news(raw: Any, answers_vote: bool = False) -> RolloutUpdate:
    try:
        cap, age = float(raw[names.NEWS_CAP]), float(raw[names.NEWS_AGE])
        build, stage = int(raw[names.NEWS_BUILD]), int(raw[names.NEWS_STAGE])
        if not (0.0 <= cap <= 1.0 and math.isfinite(age) and stage >= 0):
            raise ValueError("a figure is out of its range")
        phase = names.PHASES[raw[names.NEWS_PHASE]]
        return RolloutUpdate(build, stage, phase, cap, max(age, 0.0), Result.OK, answers_vote)
    except (KeyError, TypeError, ValueError, OverflowError) as error:
        raise UnreadableError(f"news of a build: {type(error).__name__}: {error}") from None


class Call:
    """A line that awaits its answer; votes carry what was voted."""

    def __init__(self, number: int, vote: Vote | None) -> None:
        self.number, self.vote = number, vote
        self.written = self.over = False
        self.limit: Deadline | None = None


class PlatformLink(Link):
    def __init__(self, platform: Platform) -> None:
        super().__init__(platform.gateway.deadlines, RING_BOUND, RING_BOUND)
        self.platform = platform
        self.calls: deque[Call] = deque()  # in the order they were written, which that of answers is too
        self.retired = False  # the platform has moved: what was asked here is still answered here
        self._seen = 0
        self._partly = False

    def opened(self) -> None:
        self._alive()

    def retire(self) -> None:
        self.retired = True
        if not any(call.vote is not None and not call.over for call in self.calls):
            self.drop()

    def _alive(self) -> None:
        self.limit.set(SILENT_MS, self._is_silent)

    def _is_silent(self) -> None:
        if self.unread():  # this gateway is late, not the platform
            self._alive()
            return
        self.platform.gateway.counters.add("platform.silent")
        self.drop()

    def write(self, call: Call, method: str, params: dict[str, Any] | None) -> None:
        line: dict[str, Any] = {"jsonrpc": "2.0", "id": call.number, "method": method}
        if params is not None:
            line["params"] = params
        self.calls.append(call)
        self.send(json.dumps(line, separators=(",", ":")).encode() + b"\n")

    def flushed(self) -> None:
        for call in self.calls:
            call.written = True

    def received(self) -> None:
        while self.up:
            end = self.inward.find(b"\n", self._seen)
            if end < 0 and len(self.inward) < LINE_MAX:
                self._seen = len(self.inward)
                if self._seen and not self._partly:
                    self._partly = True
                    self.limit.set(PART_MS, self._cut_short)
                return
            if end < 0 or end >= LINE_MAX:
                self.platform.spoilt(self, "line too long")
                return
            self._seen, self._partly = 0, False
            line = self.inward.take(end + 1).strip()
            self._alive()
            if line:
                self.platform.read(self, line)

    def _cut_short(self) -> None:
        if self.unread():  # this gateway is late, not the rest of the line
            self.limit.set(PART_MS, self._cut_short)
        else:
            self.platform.spoilt(self, "only a part of a line")

    def closed(self) -> None:
        self.platform.left(self)

    def drop(self) -> None:
        was_up = self.up
        super().drop()
        if was_up:
            self.closed()


class Platform:
    def __init__(self, gateway: Host, number_of: Callable[[str], int | None]) -> None:
        self.gateway, self._number_of = gateway, number_of
        self.link: PlatformLink | None = None
        self.opening: Deferred[Any] | None = None
        self._retired: list[PlatformLink] = []
        self._limit: Deadline | None = None
        self._again: Deadline | None = None
        self._told: tuple[float, RolloutUpdate] | None = None  # since the last move: when, and what
        self._began = -math.inf
        self._failures = self._numbers = 0
        self._random = random.Random(gateway.config.seed + 1)
        self._classes = {c.name: n for n, c in enumerate(gateway.config.settings.classes)}

    def start(self) -> None:
        news = self.gateway.config.news
        if news is not None:
            try:
                self.gateway.tell(read_news(news))
            except UnreadableError as error:
                self.garbage(str(error))
        self._connect()

    def stop(self) -> None:
        self.gateway.deadlines.call_off(self._again)
        if self.opening is not None:
            self.opening.cancel()
        for link in (self.link, *self._retired):
            if link is not None:
                link.drop()

    def moved(self) -> None:
        """The platform is elsewhere now. Its news is followed there at once; votes under way are neither
        dropped nor sent twice: they are answered where they were cast, for as long as that lasts."""
        if self.opening is not None:
            self.opening.cancel()
        link, self.link = self.link, None
        if link is not None:
            self._retired.append(link)
            link.retire()
        self._told = None
        self.gateway.deadlines.call_off(self._again)
        self._failures = 0
        self._connect()

    # The connection

    def _connect(self) -> None:
        address = self.gateway.config.platform
        if address is None or self.gateway.stopping:
            return
        self.gateway.counters.add("platform.connects")
        self._began = self.gateway.deadlines.now()
        self._limit = self.gateway.deadlines.after(CONNECT_MS, self._never_up)
        self.opening = opening = connect(self.gateway.reactor, address, lambda: PlatformLink(self))
        opening.addCallbacks(self._connected, self._refused)
        opening.addErrback(lambda _: self.gateway.failed("platform"))

    def _connected(self, link: PlatformLink) -> None:
        self.opening = None
        self.gateway.deadlines.call_off(self._limit)
        if not link.up or self.gateway.stopping:
            link.drop()
            self._later()
            return
        self.link = link
        link.write(self._call(None), names.FOLLOW, None)

    def _never_up(self) -> None:
        if self.opening is not None:
            self.opening.cancel()

    def _refused(self, _: Failure) -> None:
        self.opening = None
        self.gateway.deadlines.call_off(self._limit)
        self._later()

    def left(self, link: PlatformLink) -> None:
        followed = self.link is link
        if followed:
            self.link = None
            self.gateway.log.warning("platform connection lost", calls=len(link.calls))
        elif link in self._retired:
            self._retired.remove(link)
        calls, link.calls = link.calls, deque()
        for call in calls:
            # A line that was never written whole was not carried out; of any other nobody knows.
            self._finish(call, Result.TIMEOUT if call.written else Result.CONNECT_FAILED)
        if followed:
            self._later()

    def _later(self) -> None:
        if self.gateway.stopping:
            return
        now = self.gateway.deadlines.now()
        self._failures = 0 if now - self._began >= STEADY_MS else self._failures + 1
        pause = min(AGAIN_MS[0] * 2 ** min(self._failures, 10), AGAIN_MS[1]) if self._failures else 0.0
        self._again = self.gateway.deadlines.after(pause * self._random.uniform(0.5, 1.5), self._connect)

    # Calls

    def _call(self, vote: Vote | None) -> Call:
        self._numbers += 1
        return Call(self._numbers, vote)

    def vote(self, vote: Vote) -> None:
        self.gateway.counters.add("platform.votes")
        call = self._call(vote)
        if self.link is None:
            self._finish(call, Result.CONNECT_FAILED)
            return
        limit = self.gateway.config.settings.rollout.call_timeout_ms or CALL_MS
        call.limit = self.gateway.deadlines.after(limit, partial(self._overdue, call, self.link))
        params = {
            names.NEWS_BUILD: vote.build,
            names.NEWS_STAGE: vote.stage,
            names.VERDICT: names.VERDICTS[vote.verdict],
        }
        self.link.write(call, names.VOTE, params)

    def _overdue(self, call: Call, link: PlatformLink) -> None:
        if link.up and link.unread():  # this gateway is late, not the platform
            call.limit = self.gateway.deadlines.after(PART_MS, partial(self._overdue, call, link))
        else:
            self._finish(call, Result.TIMEOUT)

    def _finish(self, call: Call, result: Result, news: RolloutUpdate | None = None) -> None:
        """The one reply to a vote; news that comes with a late one is still news."""
        self.gateway.deadlines.call_off(call.limit)
        if call.vote is None or call.over:
            if news is not None:
                self.gateway.tell(RolloutUpdate(news.build, news.stage, news.phase, news.cap, news.age_ms))
            return
        call.over = True
        self.gateway.counters.add(f"platform.vote_{result.name.lower()}")
        if news is None:
            news = RolloutUpdate(
                call.vote.build, call.vote.stage, Phase.TRIAL, 0.0, 0.0, result, is_vote_reply=True
            )
        self.gateway.tell(news)

    # Lines

    def garbage(self, why: str) -> None:
        self.gateway.counters.add("platform.garbage")
        self.gateway.log.warning("platform wrote what can't be read", why=why)

    def spoilt(self, link: PlatformLink, why: str) -> None:
        """After a line that can't be read nothing more of use comes on its connection: whatever waits there
        has no answer, and the next connection is made."""
        self.garbage(why)
        link.drop()

    def read(self, link: PlatformLink, line: bytes) -> None:
        try:
            raw = json.loads(line)
            if not isinstance(raw, dict):
                raise UnreadableError("a line is no object")
        except (ValueError, RecursionError):
            self.spoilt(link, "a line is no JSON object")
            return
        try:
            if "method" not in raw:
                self._answered(link, raw)
            elif not link.retired:  # the new connection tells it too, and later
                self._notified(raw)
        except UnreadableError as error:
            self.spoilt(link, str(error))
            return
        if link.retired and not link.calls:
            link.drop()

    def _answered(self, link: PlatformLink, raw: dict[str, Any]) -> None:
        number = raw.get("id")
        if number not in [call.number for call in link.calls]:
            raise UnreadableError("an answer to no call")
        while link.calls[0].number != number:
            self._finish(link.calls.popleft(), Result.TIMEOUT)  # its answer was passed over
        call, error, news = link.calls[0], raw.get("error"), None
        if (
            call.vote is not None
            and isinstance(error, dict)
            and str(error.get("message")) in names.CALL_ERRORS
        ):
            result = names.CALL_ERRORS[str(error["message"])]
        elif call.vote is not None:
            result, news = Result.OK, read_news(raw.get("result"), answers_vote=True)
        elif raw.get("result") is not True:
            raise UnreadableError("no answer to the call that follows news")
        else:
            result = Result.OK
        link.calls.popleft()
        if link.retired and news is not None and self._told is not None:
            # The platform is followed elsewhere and has told all this there, or will: what it wrote here may
            # be from before that, and a build's earlier state told last would raise its cap again.
            at, last = self._told
            age = last.age_ms + self.gateway.deadlines.now() - at
            news = replace(last, age_ms=age, is_vote_reply=True) if not call.over else None
        elif news is not None and not link.retired:
            self._told = self.gateway.deadlines.now(), news
        self._finish(call, result, news)

    def _notified(self, raw: dict[str, Any]) -> None:
        method, params = raw.get("method"), raw.get("params")
        if method == names.NEWS:
            self.gateway.counters.add("platform.news")
            news = read_news(params)
            self._told = self.gateway.deadlines.now(), news
            self.gateway.tell(news)
        elif method == names.TALLY:
            self.gateway.tell(self._tally(params))
        elif method == names.WRONG:
            wrong = self._wrong(params)
            if wrong is not None:
                self.gateway.tell(wrong)
        elif method != names.ALIVE:
            raise UnreadableError(f"unknown notification {str(method)[:40]!r}")

    def _class(self, raw: Any) -> int:
        if isinstance(raw, str) and raw in self._classes:
            return self._classes[raw]
        if isinstance(raw, int) and 0 <= raw < len(self._classes):
            return raw
        raise UnreadableError(f"unknown class {str(raw)[:40]!r}")

    def _tally(self, raw: Any) -> BuildStatistics:
        try:
            many, failed = int(raw[names.TALLY_MANY]), int(raw[names.TALLY_FAILED])
            mean, age = float(raw[names.TALLY_MEAN]), float(raw[names.NEWS_AGE])
            if not (0 <= failed <= many and math.isfinite(mean) and math.isfinite(age)):
                raise ValueError("a figure is out of its range")
            return BuildStatistics(
                int(raw[names.NEWS_BUILD]), self._class(raw[names.CLASS]), many, failed, mean, age
            )
        except (KeyError, TypeError, ValueError, OverflowError) as error:
            raise UnreadableError(f"tally: {type(error).__name__}: {error}") from None

    def _wrong(self, raw: Any) -> IncorrectResponse | None:
        """None for an instance that this gateway does not know."""
        try:
            server = self._number_of(str(raw[names.WRONG_SERVER]))
            cls, age = self._class(raw[names.CLASS]), float(raw[names.NEWS_AGE])
        except (KeyError, TypeError, ValueError, OverflowError) as error:
            raise UnreadableError(f"wrong answer: {type(error).__name__}: {error}") from None
        return None if server is None else IncorrectResponse(server, cls, age)
