"""Discovery: a list that lags behind the servers, asked for as a whole or watched, and out of reach at
times."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

import numpy as np

from meadowpulley.emulator.clock import Timeline, uniform
from meadowpulley.fleet import DiscoveryModel
from meadowpulley.interface import EndpointUpdate, EndpointUpdateKind, ServerEntry, ServerState


@dataclass(slots=True)
class _Watch:
    last_version: int  # the version told last
    update_pending: bool = False


class SimulatedDiscovery:
    """Keeps the list as discovery knows it, and tells it to those who ask: `tell(gateway, news)`."""

    def __init__(
        self,
        clock: Timeline,
        rng: np.random.Generator,
        model: DiscoveryModel,
        notify: Callable[[int, EndpointUpdate], None],
    ) -> None:
        self._clock, self._rng, self.model, self._notify_gateway = clock, rng, model, notify
        self.on_change: Callable[[], None] = lambda: None  # called when the list has changed
        self.unavailable = False
        self.extra_delay_ms = 0.0  # on top of the usual
        self.version = 1
        self._entries: dict[int, tuple[int, ServerEntry]] = {}
        self._listed_at: dict[int, float] = {}  # when the latest change of a server is listed
        self._watches: dict[int, _Watch] = {}
        self._stalled_watches: dict[int, _Watch] = {}  # that stand, and tell nothing any more
        self.on_presumed_update: Callable[[int, EndpointUpdate], None] = lambda gateway, news: (
            None
        )  # as told, heard or not

    # The list

    def current_entries(self) -> tuple[ServerEntry, ...]:
        """The whole list as it stands."""
        return tuple(e for _, e in self._entries.values() if e.state is not ServerState.REMOVED)

    def changes_since(self, version: int) -> tuple[ServerEntry, ...]:
        """What changed after a version."""
        return tuple(e for v, e in self._entries.values() if v > version)

    def add_initial(self, entry: ServerEntry) -> None:
        """A server that has been listed for long."""
        self._entries[entry.server] = (self.version, entry)

    def schedule_change(self, entry: ServerEntry) -> None:
        """A server has changed; discovery will know of it in its own time, in the order of its changes."""
        is_new = entry.server not in self._listed_at and entry.server not in self._entries
        delay_bounds = self.model.add_delay_ms if is_new else self.model.change_delay_ms
        when = self._clock.now + uniform(self._rng, delay_bounds) + self.extra_delay_ms
        when = max(when, self._listed_at.get(entry.server, 0.0))
        self._listed_at[entry.server] = when
        self._clock.call_at(when, lambda: self._publish(entry))

    def _publish(self, entry: ServerEntry) -> None:
        self.version += 1
        self._entries[entry.server] = (self.version, entry)
        self.on_change()
        for gateway, watch in list(self._watches.items()):
            self._schedule_update(gateway, watch)
        for gateway, watch in self._stalled_watches.items():
            if watch.update_pending:  # the time is over in which it need not have known
                self._presume_known(gateway, watch)

    # Those who ask

    def unsubscribe(self, gateway: int) -> None:
        self._watches.pop(gateway, None)
        self._stalled_watches.pop(gateway, None)

    def stall_watch(self, gateway: int) -> None:
        """Its watch stands and tells nothing any more. The gateway finds out once the call is overdue; what
        it misses counts as told after a while, and so does every later change until it has asked anew."""
        watch = self._watches.pop(gateway, None)
        if watch is None:
            return
        self._stalled_watches[gateway] = stalled = _Watch(watch.last_version)
        remaining_ms = float(self._rng.random()) * self.model.long_poll_ms

        def while_stalled(callback: Callable[[], None]) -> Callable[[], None]:
            return lambda: callback() if self._stalled_watches.get(gateway) is stalled else None

        def detect() -> None:
            self._notify_gateway(gateway, EndpointUpdate(EndpointUpdateKind.TIMED_OUT, stalled.last_version))
            if not self.model.must_subscribe:
                self.subscribe(gateway)

        def presume_known() -> None:
            stalled.update_pending = True
            self._presume_known(gateway, stalled)

        after_wait, after_silence = self.model.presumed_known_ms
        self._clock.call_later(remaining_ms + self.model.silence_timeout_ms, while_stalled(detect))
        self._clock.call_later(max(remaining_ms + after_wait, after_silence), while_stalled(presume_known))

    def _presume_known(self, gateway: int, watch: _Watch) -> None:
        """Drains and ends alone: which build a server runs is a matter of the list that was heard."""
        missed, watch.last_version = self.changes_since(watch.last_version), self.version
        removals = tuple(e for e in missed if e.state is not ServerState.READY)
        if removals:
            self.on_presumed_update(
                gateway, EndpointUpdate(EndpointUpdateKind.INCREMENTAL, self.version, removals)
            )

    def subscribe(self, gateway: int) -> None:
        self._stalled_watches.pop(gateway, None)
        if self.unavailable:
            self._clock.call_later(self.model.timeout_ms, lambda: self._notify_failure(gateway))
            return
        watch = self._watches.get(gateway)
        if watch is None:
            self._watches[gateway] = watch = _Watch(0)
            self._schedule_update(gateway, watch)

    def fetch_full_list(self, gateway: int) -> None:
        """The whole list, once."""
        self._clock.call_later(
            uniform(self._rng, self.model.update_interval_ms), lambda: self._send_full_list(gateway)
        )

    def fail(self) -> None:
        self.unavailable = True
        for gateway in list(self._watches):
            delay_ms = float(self._rng.random()) * self.model.timeout_ms
            self._clock.call_later(delay_ms, partial(self._notify_failure, gateway))
        self._watches.clear()

    def _notify_failure(self, gateway: int) -> None:
        self._notify_gateway(gateway, EndpointUpdate(EndpointUpdateKind.FAILED, self.version))

    def _schedule_update(self, gateway: int, watch: _Watch) -> None:
        if not watch.update_pending:
            watch.update_pending = True
            self._clock.call_later(
                uniform(self._rng, self.model.update_interval_ms), lambda: self._send_update(gateway, watch)
            )

    def _send_update(self, gateway: int, watch: _Watch) -> None:
        watch.update_pending = False
        if self._watches.get(gateway) is not watch:
            return
        if not watch.last_version:
            watch.last_version = self.version
            self._send_full_list(gateway)
            return
        entries = self.changes_since(watch.last_version)
        watch.last_version = self.version
        if entries:
            self._notify_gateway(
                gateway, EndpointUpdate(EndpointUpdateKind.INCREMENTAL, self.version, entries)
            )

    def _send_full_list(self, gateway: int) -> None:
        if self.unavailable:
            self._notify_failure(gateway)
        else:
            self._notify_gateway(
                gateway, EndpointUpdate(EndpointUpdateKind.FULL, self.version, self.current_entries())
            )
