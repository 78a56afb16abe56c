"""Simulated discovery service: an endpoint list that lags the servers, read in full or watched."""

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
    """State of one gateway's watch."""

    last_version: int  # version of the latest update
    update_pending: bool = False


class SimulatedDiscovery:
    """Maintains the endpoint list and sends updates by `notify(gateway, update)`."""

    def __init__(
        self,
        clock: Timeline,
        rng: np.random.Generator,
        model: DiscoveryModel,
        notify: Callable[[int, EndpointUpdate], None],
    ) -> None:
        self._clock = clock
        self._rng = rng
        self.model = model
        self._notify_gateway = notify
        self.on_change: Callable[[], None] = lambda: None  # called after each published change
        self.unavailable = False
        self.extra_delay_ms = 0.0  # added to the usual delay
        self.version = 1
        self._entries: dict[int, tuple[int, ServerEntry]] = {}
        self._listed_at: dict[int, float] = {}  # publication time of each server's latest change
        self._watches: dict[int, _Watch] = {}
        self._stalled_watches: dict[int, _Watch] = {}  # open, but send no updates
        # Called with updates that count as known though not received.
        self.on_presumed_update: Callable[[int, EndpointUpdate], None] = lambda gateway, update: None

    # Endpoint list

    def current_entries(self) -> tuple[ServerEntry, ...]:
        """Return all entries that are not removed."""
        entries = (entry for _, entry in self._entries.values())
        return tuple(entry for entry in entries if entry.state is not ServerState.REMOVED)

    def changes_since(self, version: int) -> tuple[ServerEntry, ...]:
        """Return the entries that changed after a version, removed ones included."""
        return tuple(entry for changed_in, entry in self._entries.values() if changed_in > version)

    def add_initial(self, entry: ServerEntry) -> None:
        """List a server that was there before the run."""
        self._entries[entry.server] = (self.version, entry)

    def schedule_change(self, entry: ServerEntry) -> None:
        """Publish a changed entry after the service's delay, in the order of the server's changes."""
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
            if watch.update_pending:  # past the time within which it may not know
                self._presume_known(gateway, watch)

    # Watches

    def unsubscribe(self, gateway: int) -> None:
        """End a gateway's watch."""
        self._watches.pop(gateway, None)
        self._stalled_watches.pop(gateway, None)

    def stall_watch(self, gateway: int) -> None:
        """Stop a watch from sending updates while its connection stays open.

        The gateway notices when its long poll is overdue. What it misses counts as known to it after a
        while, and so does each later change until it subscribes again.
        """
        watch = self._watches.pop(gateway, None)
        if watch is None:
            return
        self._stalled_watches[gateway] = stalled = _Watch(watch.last_version)
        remaining_ms = float(self._rng.random()) * self.model.long_poll_ms

        def while_stalled(callback: Callable[[], None]) -> Callable[[], None]:
            """Run a callback only while this watch is still stalled."""
            return lambda: callback() if self._stalled_watches.get(gateway) is stalled else None

        def detect() -> None:
            """Report the time-out to the gateway, which subscribes again."""
            self._notify_gateway(gateway, EndpointUpdate(EndpointUpdateKind.TIMED_OUT, stalled.last_version))
            if not self.model.must_subscribe:
                self.subscribe(gateway)

        def presume_known() -> None:
            """Count missed and later changes as known from now on."""
            stalled.update_pending = True
            self._presume_known(gateway, stalled)

        after_wait, after_silence = self.model.presumed_known_ms
        self._clock.call_later(remaining_ms + self.model.silence_timeout_ms, while_stalled(detect))
        self._clock.call_later(max(remaining_ms + after_wait, after_silence), while_stalled(presume_known))

    def _presume_known(self, gateway: int, watch: _Watch) -> None:
        """Report missed drains and removals as known. Builds count only from the list that was received."""
        missed = self.changes_since(watch.last_version)
        watch.last_version = self.version
        removals = tuple(entry for entry in missed if entry.state is not ServerState.READY)
        if removals:
            self.on_presumed_update(
                gateway, EndpointUpdate(EndpointUpdateKind.INCREMENTAL, self.version, removals)
            )

    def subscribe(self, gateway: int) -> None:
        """Start a gateway's watch; the first update is the full list."""
        self._stalled_watches.pop(gateway, None)
        if self.unavailable:
            self._clock.call_later(self.model.timeout_ms, lambda: self._notify_failure(gateway))
            return
        watch = self._watches.get(gateway)
        if watch is None:
            self._watches[gateway] = watch = _Watch(0)
            self._schedule_update(gateway, watch)

    def fetch_full_list(self, gateway: int) -> None:
        """Send the full list once."""
        self._clock.call_later(
            uniform(self._rng, self.model.update_interval_ms), lambda: self._send_full_list(gateway)
        )

    def fail(self) -> None:
        """Make the service unavailable; open watches fail within the time-out."""
        self.unavailable = True
        for gateway in list(self._watches):
            delay_ms = float(self._rng.random()) * self.model.timeout_ms
            self._clock.call_later(delay_ms, partial(self._notify_failure, gateway))
        self._watches.clear()

    def recover(self) -> None:
        """Make the service available again."""
        self.unavailable = False

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
