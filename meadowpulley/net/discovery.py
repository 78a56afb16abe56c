"""The list of instances: fetched once, or watched, over one kept connection to discovery."""

from __future__ import annotations

import json
import math
import random
from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from meadowpulley.interface import EndpointUpdate, EndpointUpdateKind, ServerState
from meadowpulley.net import names
from meadowpulley.net.config import Address
from meadowpulley.net.deadlines import Deadline
from meadowpulley.net.entries import CallFailedError, Entries, OvertakenError
from meadowpulley.net.host import Host
from meadowpulley.net.http1 import BadMessageError, Message, Parser, request_bytes
from meadowpulley.net.link import Link, connect

PART_MS = 500.0  # for the rest of an answer that has begun: answers are written whole
WAIT_MS = 10_000.0  # how long a watch waits for news, unless the settings have it ask more often
MOST_WAIT_MS = 60_000.0
# Beyond the wait, until a call without an answer has failed. Longer than discovery keeps a call waiting: one
# given up just before its answer costs discovery as much as one that is heard, and is asked again.
GRACE_MS = 4_000.0
# The same for a call that may wait for news: discovery counts what a silent one misses as told 2 s after its
# wait, and the next call has to be answered by then.
SILENT_MS = 1_500.0
# Where the list comes unasked: first and longest pause after failed watches but the first. What is told when
# discovery is back counts at once, and after the settings' time for that nothing may be sent any more to what
# drains: no pause is longer than half of that time, so that the other half is left for the call itself.
AGAIN_MS = (500.0, 4_000.0)
LIST_BOUND = 8 * 1024 * 1024  # a list of thousands of instances


class Places(Protocol):
    """Who has to know where the instances are."""

    def place(self, server: int, address: Address, start: tuple[int, float]) -> None: ...

    def close_idle(self, server: int) -> None: ...

    def forget(self, server: int) -> None: ...


class DiscoveryLink(Link):
    def __init__(self, discovery: Discovery) -> None:
        super().__init__(discovery.gateway.deadlines, LIST_BOUND, 4096)
        self.parser = Parser(self.inward, requests=False, body_max=LIST_BOUND)
        self.answer: Deferred[Message] | None = None

    def ask(self, target: str) -> Deferred[Message]:
        answer: Deferred[Message] = Deferred()
        self.answer = answer
        self.send(request_bytes("GET", target, {"host": "discovery"}))
        return answer

    def received(self) -> None:
        try:
            message = self.parser.next()
        except BadMessageError as error:
            self._fail(error)
            self.drop()
            return
        if message is not None:
            self._give(message)
        elif self.parser.begun and self.limit.at == math.inf:
            self.limit.set(PART_MS, self._cut_short)

    def _cut_short(self) -> None:
        if self.unread():  # this gateway is late, not the rest of the answer
            self.limit.set(PART_MS, self._cut_short)
            return
        self._fail(CallFailedError("only a part of an answer"))
        self.drop()

    def _give(self, message: Message) -> None:
        answer, self.answer = self.answer, None
        self.limit.lift()
        if not message.keep_alive or answer is None or self.parser.begun:
            self.drop()
        if answer is not None:
            answer.callback(message)

    def _fail(self, error: Exception) -> None:
        answer, self.answer = self.answer, None
        if answer is not None:
            answer.errback(CallFailedError(str(error)))

    def closed(self) -> None:
        message = self.parser.end()
        if message is not None:
            self._give(message)
        else:
            self._fail(CallFailedError("the connection broke"))

    def overflowed(self) -> None:
        self._fail(CallFailedError("the list is too long"))
        self.drop()


class Call:
    """One call, from the connection it may need to its answer, with one deadline over all of it."""

    def __init__(
        self,
        discovery: Discovery,
        target: str,
        limit_ms: float,
        done: Callable[[Any, int], None],
        failed: Callable[[str, EndpointUpdateKind], None],
    ) -> None:
        self.discovery, self.target = discovery, target
        self._done, self._failed = done, failed
        self.over = False
        self._lists = 0  # that had been read when the call was written
        self.link: DiscoveryLink | None = None
        self.opening: Deferred[Any] | None = None
        self.limit: Deadline = discovery.gateway.deadlines.after(limit_ms, self._late)

    def start(self) -> None:
        """Once the call is stored: one that fails at once would be stored after its failure was told."""
        discovery = self.discovery
        kept, discovery.kept = discovery.kept, None
        if kept is not None and kept.up and not kept.parser.begun and not kept.unread():
            self._ask(kept)
            return
        if kept is not None:
            kept.drop()
        gateway = discovery.gateway
        opening = connect(gateway.reactor, gateway.config.discovery, lambda: DiscoveryLink(discovery))
        self.opening = opening
        opening.addCallbacks(self._ask, self._broke).addErrback(lambda _: gateway.failed("discovery"))

    def _ask(self, link: DiscoveryLink) -> None:
        self.opening = None
        if self.over:
            link.drop()
            return
        self.link, self._lists = link, self.discovery.lists
        link.ask(self.target).addCallbacks(self._answered, self._broke).addErrback(
            lambda _: self.discovery.gateway.failed("discovery")
        )

    def _answered(self, message: Message) -> None:
        if self.over:
            return
        link, self.link = self.link, None
        if message.status != 200:
            self._finish(f"status {message.status}", link)
            return
        try:
            raw = json.loads(message.body)
        except (ValueError, RecursionError):
            self._finish("no JSON", link)
            return
        self._close_call()
        if link is not None and link.up:
            spare, self.discovery.kept = self.discovery.kept, link
            if spare is not None:  # of another call, over meanwhile
                spare.drop()
        self._done(raw, self._lists)

    def _broke(self, failure: Failure) -> None:
        self.opening = None
        if not self.over:
            self._finish(failure.getErrorMessage(), None)

    def _late(self) -> None:
        if self.link is not None and self.link.unread():  # this gateway is late, not the answer
            self.limit = self.discovery.gateway.deadlines.after(PART_MS, self._late)
            return
        self._finish("no answer in time", self.link, EndpointUpdateKind.TIMED_OUT)

    def _close_call(self) -> None:
        self.over = True
        self.discovery.gateway.deadlines.call_off(self.limit)

    def _finish(
        self, why: str, link: DiscoveryLink | None, kind: EndpointUpdateKind = EndpointUpdateKind.FAILED
    ) -> None:
        self.abandon()
        if link is not None:
            link.drop()
        self._failed(why, kind)

    def abandon(self) -> None:
        """Ends the call without a word to anyone."""
        self._close_call()
        opening, self.opening = self.opening, None
        link, self.link = self.link, None
        if opening is not None:
            opening.cancel()
        if link is not None:
            link.drop()


class Discovery:
    def __init__(self, gateway: Host, instances: Places, clock_offset: float) -> None:
        self.gateway, self.instances = gateway, instances
        self.entries = Entries(gateway.config.settings, clock_offset)
        self.kept: DiscoveryLink | None = None
        self.version = 0
        self.lists = 0  # read so far; a call that is answered was written when so many had been
        self._after = 0  # the version that the watch asked with
        self._watch: Call | None = None
        self._fetch: Call | None = None
        self._wanted = False  # a watch, by the decisions' last word
        self._answer_due = False  # the decisions asked, and are owed one list, be it empty
        self._failures = 0
        self._again: Deadline | None = None  # the one next try after a failed watch
        ask_within = gateway.config.settings.rules.max_poll_interval_ms
        self._longest = min(gateway.config.settings.rules.drain_grace_ms / 2 or AGAIN_MS[1], AGAIN_MS[1])
        self._wait = min(ask_within or WAIT_MS, MOST_WAIT_MS)
        self._random = random.Random(gateway.config.seed)

    def start(self) -> None:
        known = self.gateway.config.known
        if known is not None:
            try:
                self._tell(known, EndpointUpdateKind.CACHED)
            except CallFailedError as error:
                self.gateway.counters.add("list.garbage")
                self.gateway.log.warning("known list passed over", why=str(error))
        if not self.gateway.config.settings.must_poll:
            self.watch(True)

    def stop(self) -> None:
        self.gateway.deadlines.call_off(self._again)
        for call in (self._watch, self._fetch):
            if call is not None:
                call.abandon()
        self._watch = self._fetch = None
        if self.kept is not None:
            self.kept.drop()

    def moved(self) -> None:
        """Discovery is elsewhere now: what was asked of the old address is asked of the new one at once."""
        kept, self.kept = self.kept, None
        if kept is not None:
            kept.drop()
        self._failures = 0
        fetch, self._fetch = self._fetch, None
        if fetch is not None:
            fetch.abandon()
            self.fetch()
        if self._wanted:
            self.watch(True)

    # Watching

    def watch(self, on: bool) -> None:
        """What changed since the last list comes first, at once, and after that every change."""
        self._wanted = on
        # A next try that was left pending abandoned the newer watch, or opened one that nobody wanted.
        self.gateway.deadlines.call_off(self._again)
        if self._watch is not None:
            self._watch.abandon()
            self._watch = None
        if on and not self.gateway.stopping:
            self._answer_due = True
            self._ask(0.0)

    def _ask(self, wait: float) -> None:
        self._after = self.version
        target = f"{names.LIST}?{names.AFTER}={self._after}&{names.WAIT}={wait:.0f}"
        self.gateway.counters.add("list.watches")
        limit = wait + SILENT_MS if wait else GRACE_MS
        self._watch = Call(self, target, limit, self._news, self._watch_failed)
        self._watch.start()

    def _news(self, raw: Any, lists: int) -> None:
        self._watch = None
        try:
            self._tell(raw, None, lists)
        except OvertakenError:
            self._ask(0.0)
            return
        except CallFailedError as error:
            self._spoilt()
            self._watch_failed(str(error))
            return
        except Exception:  # a fault of ours: the list was not taken, and nobody else would ask for it again
            self.gateway.failed("discovery")
            if self._watch is None:
                self._watch_failed("a fault of this gateway")
            return
        self._failures = 0
        if self._watch is None and self._wanted and not self.gateway.stopping:
            self._ask(self._wait)

    def _watch_failed(self, why: str, kind: EndpointUpdateKind = EndpointUpdateKind.FAILED) -> None:
        self._watch = None
        self._failed(why, kind)
        if self._watch is not None or not self._wanted:  # by what the decisions said to that
            return
        if not self.gateway.config.settings.must_poll and not self.gateway.stopping:
            pause = min(AGAIN_MS[0] * 2 ** min(self._failures, 10), self._longest) if self._failures else 0.0
            if (
                kind is EndpointUpdateKind.TIMED_OUT
            ):  # found after seconds, by each at its own time: it is late already
                pause = 0.0
            else:
                self._failures += 1
            wait = pause * self._random.uniform(0.5, 1.0)
            self._again = self.gateway.deadlines.after(wait, lambda: self.watch(True))

    def _failed(self, why: str, kind: EndpointUpdateKind) -> None:
        self.gateway.counters.add("list.failed")
        self.gateway.log.warning("discovery call failed", why=why)
        self._answer_due = False
        self.gateway.tell(EndpointUpdate(kind, self.version))

    def _spoilt(self) -> None:
        """After a list that can't be read its connection is of no further use."""
        self.gateway.counters.add("list.garbage")
        kept, self.kept = self.kept, None
        if kept is not None:
            kept.drop()

    # Fetching

    def fetch(self) -> None:
        if self._fetch is None:
            self.gateway.counters.add("list.fetches")
            self._fetch = Call(self, names.LIST, GRACE_MS, self._fetched, self._fetch_failed)
            self._fetch.start()

    def _fetched(self, raw: Any, lists: int) -> None:
        self._fetch = None
        try:
            self._tell(raw, None, lists)
        except OvertakenError:
            self.fetch()
        except CallFailedError as error:
            self._spoilt()
            self._fetch_failed(str(error))

    def _fetch_failed(self, why: str, kind: EndpointUpdateKind = EndpointUpdateKind.FAILED) -> None:
        self._fetch = None
        self._failed(why, kind)

    def _tell(self, raw: Any, kind: EndpointUpdateKind | None, lists: int = 0) -> None:
        """Discovery handles calls in turn, so its versions rise; they fall only when it was restarted or has
        moved. A call written after all that was read is answered with what is true by then, whatever its
        version. An answer with a lower version to a call written before that is from before the newer list,
        or from after a restart: as nobody can tell, it is not believed, and asked for again, which tells."""
        whole, version, found = self.entries.read(raw)
        found = list({entry.server: (entry, address) for entry, address in found}.values())  # last word holds
        if version < self.version and lists < self.lists:
            self.gateway.counters.add("list.overtaken")
            raise OvertakenError
        for entry, address in found:
            if address is not None and entry.state is not ServerState.REMOVED:
                self.instances.place(entry.server, address, (entry.build, entry.started_ms))
        listed = {entry.server for entry, _ in found if entry.state is not ServerState.REMOVED}
        gone = {entry.server for entry, _ in found if entry.state is ServerState.REMOVED}
        if whole or kind is EndpointUpdateKind.CACHED:
            gone |= set(self.entries.numbers.values()) - listed
        for entry, _ in found:
            if entry.state is ServerState.DRAINING:
                self.instances.close_idle(entry.server)
        # Changes since a version that discovery has not reached, or that this gateway no longer has: it was
        # restarted, and of what it forgot or never knew they say nothing. The next watch asks for everything.
        gap = kind is None and not whole and self._after > min(version, self.version)
        self.version = 0 if gap else version
        self.lists += 1
        if kind is None:
            kind = EndpointUpdateKind.FULL if whole else EndpointUpdateKind.INCREMENTAL
        self.gateway.counters.add("list.entries", len(found))
        if found or whole or self._answer_due:
            if kind is not EndpointUpdateKind.CACHED:
                self._answer_due = False
            self.gateway.tell(EndpointUpdate(kind, version, tuple(entry for entry, _ in found)))
        for server in gone:
            self.instances.forget(server)
        self.entries.forget(gone)
