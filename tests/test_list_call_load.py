"""Calls for the endpoint list by a whole fleet, with a discovery that handles one call at a time."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from functools import partial
from itertools import product

from meadowpulley.interface import (
    Action,
    EndpointUpdate,
    EndpointUpdateKind,
    EndpointWatchOpened,
    Event,
    SetTimer,
    Timer,
    Watch,
)
from meadowpulley.policy import RolloutPolicy
from tests.driver import server_entry, settings

ENTRIES = (server_entry(1), server_entry(2))
FLEET_SERVICE_MS = 7_000.0  # time in which discovery can answer one call of each gateway
CALL_TIMEOUT_MS = 2_000.0  # time after which a waiting call fails, but still takes its turn
MAX_BACKLOG_MS = 2 * CALL_TIMEOUT_MS  # with a longer queue calls fail at once, without taking a turn
WATCH_MS = 10_000.0
OUTAGE_MS = 8_000.0
MIN_WATCHING_FRACTION = 0.9
RECOVERY_MS = 10_000.0
SEEDS = range(5)


class FleetWithLimitedDiscovery:
    """The policies of a fleet on a virtual clock, and the discovery of limited capacity that they call.

    Discovery works as the documentation of the test bench describes it: it handles calls in turn, a call
    that waits too long fails, and a change takes one turn for each open watch.
    """

    def __init__(self, gateway_count: int, seed: int) -> None:
        self.now, self._events = 0.0, list[tuple[float, int, Callable[[], None]]]()
        self._sequence = 0
        self._turn_ms = FLEET_SERVICE_MS / gateway_count
        self._free_at = 0.0  # when discovery will have handled all calls that it has accepted
        self._down_until = 0.0
        self.policies = [
            RolloutPolicy(settings(must_poll=True, gateway_count=gateway_count), seed * 1000 + n)
            for n in range(gateway_count)
        ]
        # The number of each gateway's latest call; the gateway has abandoned its earlier calls.
        self._epochs = [0] * gateway_count
        self.watching: set[int] = set()
        for number in range(gateway_count):
            self._dispatch(number, EndpointUpdate(EndpointUpdateKind.CACHED, 0, ENTRIES))

    def _call_at(self, when: float, callback: Callable[[], None]) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (when, self._sequence, callback))

    def run_until(self, end: float) -> None:
        while self._events and self._events[0][0] <= end:
            self.now, _, callback = heapq.heappop(self._events)
            callback()
        self.now = end

    def _dispatch(self, number: int, event: Event) -> None:
        for action in self.policies[number].handle(self.now, event):
            self._carry_out(number, action)

    def _carry_out(self, number: int, action: Action) -> None:
        if isinstance(action, SetTimer):
            timer = partial(self._dispatch, number, Timer(action.token))
            self._call_at(self.now + action.delay_ms, timer)
        elif isinstance(action, Watch):
            self._epochs[number] += 1
            self.watching.discard(number)
            self._call(number, self._epochs[number])

    def _call(self, number: int, epoch: int) -> None:
        backlog_ms = max(self._free_at - self.now, 0.0)
        if self.now < self._down_until:
            self._call_at(self.now + CALL_TIMEOUT_MS, partial(self._fail, number, epoch))
        elif backlog_ms > MAX_BACKLOG_MS:
            self._fail(number, epoch)
        else:
            self._free_at = self.now + backlog_ms + self._turn_ms
            in_time = self._free_at - self.now <= CALL_TIMEOUT_MS
            respond = (
                partial(self._respond, number, epoch, self.now)
                if in_time
                else partial(self._fail, number, epoch)
            )
            self._call_at(min(self._free_at, self.now + CALL_TIMEOUT_MS), respond)

    def _fail(self, number: int, epoch: int) -> None:
        if epoch == self._epochs[number]:
            as_of_ms = self.policies[number].endpoint_list.confirmed_at
            self._dispatch(number, EndpointUpdate(EndpointUpdateKind.FAILED, 0, as_of_ms=as_of_ms))

    def _respond(self, number: int, epoch: int, as_of_ms: float) -> None:
        if epoch == self._epochs[number]:
            self._dispatch(number, EndpointUpdate(EndpointUpdateKind.FULL, 1, ENTRIES, as_of_ms))
            self._open_watch(number, epoch, as_of_ms)

    def _open_watch(self, number: int, epoch: int, as_of_ms: float) -> None:
        """Open the next long poll at once, which continues the watch; only its answer takes a turn."""
        if epoch == self._epochs[number]:
            self.watching.add(number)
            self._dispatch(number, EndpointWatchOpened(WATCH_MS, as_of_ms))

    def fail(self, duration_ms: float) -> None:
        """Make discovery unavailable for some time, which ends all watches."""
        self._down_until, self._free_at = self.now + duration_ms, 0.0
        watching, self.watching = sorted(self.watching), set[int]()
        for number in watching:
            self._fail(number, self._epochs[number])


def test_failing_calls_do_not_keep_the_queue_of_discovery_full() -> None:
    # After an outage calls failed with 503 until the end of the day: calls that had already timed out
    # filled the queue, so that later calls timed out too. A start of the whole fleet had the same effect.
    watching_fractions = {}
    for gateway_count, seed in product((60, 200), SEEDS):
        fleet = FleetWithLimitedDiscovery(gateway_count, seed)
        fleet.run_until(RECOVERY_MS)
        watching_fractions["start", gateway_count, seed] = len(fleet.watching) / gateway_count
        fleet.run_until(2 * RECOVERY_MS)
        fleet.fail(OUTAGE_MS)
        fleet.run_until(fleet.now + OUTAGE_MS + RECOVERY_MS)
        watching_fractions["outage", gateway_count, seed] = len(fleet.watching) / gateway_count
    assert min(watching_fractions.values()) >= MIN_WATCHING_FRACTION, watching_fractions
