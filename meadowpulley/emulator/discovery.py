"""Discovery: a list that lags behind the servers, asked for as a whole or watched, and out of reach at
times."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

import numpy as np

from meadowpulley.emulator.clock import Timeline, between
from meadowpulley.fleet import DiscoveryModel
from meadowpulley.interface import EndpointUpdate, EndpointUpdateKind, ServerEntry, ServerState


@dataclass(slots=True)
class _Watch:
    told: int  # the version told last
    telling: bool = False


class Discovery:
    """Keeps the list as discovery knows it, and tells it to those who ask: `tell(gateway, news)`."""

    def __init__(
        self,
        clock: Timeline,
        rng: np.random.Generator,
        figures: DiscoveryModel,
        tell: Callable[[int, EndpointUpdate], None],
    ) -> None:
        self._clock, self._rng, self.figures, self._tell_gateway = clock, rng, figures, tell
        self.changed: Callable[[], None] = lambda: None  # called when the list has changed
        self.down = False
        self.lag_ms = 0.0  # on top of the usual
        self.version = 1
        self._entries: dict[int, tuple[int, ServerEntry]] = {}
        self._listed_at: dict[int, float] = {}  # when the latest change of a server is listed
        self._watches: dict[int, _Watch] = {}
        self._silent: dict[int, _Watch] = {}  # that stand, and tell nothing any more
        self.counts: Callable[[int, EndpointUpdate], None] = lambda gateway, news: (
            None
        )  # as told, heard or not

    # The list

    def known(self) -> tuple[ServerEntry, ...]:
        """The whole list as it stands."""
        return tuple(e for _, e in self._entries.values() if e.state is not ServerState.REMOVED)

    def since(self, version: int) -> tuple[ServerEntry, ...]:
        """What changed after a version."""
        return tuple(e for v, e in self._entries.values() if v > version)

    def begin(self, entry: ServerEntry) -> None:
        """A server that has been listed for long."""
        self._entries[entry.server] = (self.version, entry)

    def change(self, entry: ServerEntry) -> None:
        """A server has changed; discovery will know of it in its own time, in the order of its changes."""
        new = entry.server not in self._listed_at and entry.server not in self._entries
        span = self.figures.add_ms if new else self.figures.notice_ms
        when = self._clock.now + between(self._rng, span) + self.lag_ms
        when = max(when, self._listed_at.get(entry.server, 0.0))
        self._listed_at[entry.server] = when
        self._clock.at(when, lambda: self._list(entry))

    def _list(self, entry: ServerEntry) -> None:
        self.version += 1
        self._entries[entry.server] = (self.version, entry)
        self.changed()
        for gateway, watch in list(self._watches.items()):
            self._tell_soon(gateway, watch)
        for gateway, watch in self._silent.items():
            if watch.telling:  # the time is over in which it need not have known
                self._count(gateway, watch)

    # Those who ask

    def forget(self, gateway: int) -> None:
        self._watches.pop(gateway, None)
        self._silent.pop(gateway, None)

    def fall_silent(self, gateway: int) -> None:
        """Its watch stands and tells nothing any more. The gateway finds out once the call is overdue; what
        it misses counts as told after a while, and so does every later change until it has asked anew."""
        watch = self._watches.pop(gateway, None)
        if watch is None:
            return
        self._silent[gateway] = silent = _Watch(watch.told)
        left = float(self._rng.random()) * self.figures.wait_ms

        def of_this(call: Callable[[], None]) -> Callable[[], None]:
            return lambda: call() if self._silent.get(gateway) is silent else None

        def found() -> None:
            self._tell_gateway(gateway, EndpointUpdate(EndpointUpdateKind.TIMED_OUT, silent.told))
            if not self.figures.must_ask:
                self.watch(gateway)

        def counts() -> None:
            silent.telling = True
            self._count(gateway, silent)

        after_wait, after_silence = self.figures.told_ms
        self._clock.after(left + self.figures.silent_ms, of_this(found))
        self._clock.after(max(left + after_wait, after_silence), of_this(counts))

    def _count(self, gateway: int, watch: _Watch) -> None:
        """Drains and ends alone: which build a server runs is a matter of the list that was heard."""
        missed, watch.told = self.since(watch.told), self.version
        news = tuple(e for e in missed if e.state is not ServerState.READY)
        if news:
            self.counts(gateway, EndpointUpdate(EndpointUpdateKind.INCREMENTAL, self.version, news))

    def watch(self, gateway: int) -> None:
        self._silent.pop(gateway, None)
        if self.down:
            self._clock.after(self.figures.timeout_ms, lambda: self._fail(gateway))
            return
        watch = self._watches.get(gateway)
        if watch is None:
            self._watches[gateway] = watch = _Watch(0)
            self._tell_soon(gateway, watch)

    def fetch(self, gateway: int) -> None:
        """The whole list, once."""
        self._clock.after(between(self._rng, self.figures.period_ms), lambda: self._give_whole(gateway))

    def go_down(self) -> None:
        self.down = True
        for gateway in list(self._watches):
            wait = float(self._rng.random()) * self.figures.timeout_ms
            self._clock.after(wait, partial(self._fail, gateway))
        self._watches.clear()

    def _fail(self, gateway: int) -> None:
        self._tell_gateway(gateway, EndpointUpdate(EndpointUpdateKind.FAILED, self.version))

    def _tell_soon(self, gateway: int, watch: _Watch) -> None:
        if not watch.telling:
            watch.telling = True
            self._clock.after(between(self._rng, self.figures.period_ms), lambda: self._tell(gateway, watch))

    def _tell(self, gateway: int, watch: _Watch) -> None:
        watch.telling = False
        if self._watches.get(gateway) is not watch:
            return
        if not watch.told:
            watch.told = self.version
            self._give_whole(gateway)
            return
        news = self.since(watch.told)
        watch.told = self.version
        if news:
            self._tell_gateway(gateway, EndpointUpdate(EndpointUpdateKind.INCREMENTAL, self.version, news))

    def _give_whole(self, gateway: int) -> None:
        if self.down:
            self._fail(gateway)
        else:
            self._tell_gateway(gateway, EndpointUpdate(EndpointUpdateKind.FULL, self.version, self.known()))
