"""Calls for the endpoint list by a whole fleet, at a discovery that handles them in turn."""

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
FLEET_SERVICE_MS = 7_000.0  # in which discovery can answer one call of each gateway
CALL_TIMEOUT_MS = 2_000.0  # after which a call that waits fails; its turn is used up all the same
MAX_BACKLOG_MS = 2 * CALL_TIMEOUT_MS  # beyond it calls fail at once, and cost nothing
WATCH_MS = 10_000.0
OUTAGE_MS = 8_000.0
CURRENT_FRACTION = 0.9
CURRENT_WITHIN_MS = 10_000.0
SEEDS = range(5)


class CrowdedFleet:
    """Policies of a fleet on a virtual clock, and a discovery of finite capacity that they call.

    As the bench's page describes it: calls take their turn, a call that waits too long fails, and a change
    costs a turn for each watch that is open.
    """

    def __init__(self, gateway_count: int, seed: int) -> None:
        self.now, self._events = 0.0, list[tuple[float, int, Callable[[], None]]]()
        self._sequence = 0
        self._turn_ms = FLEET_SERVICE_MS / gateway_count
        self._free_at = 0.0  # when discovery has handled all calls that it has accepted
        self._down_until = 0.0
        self.policies = [
            RolloutPolicy(settings(must_poll=True, gateway_count=gateway_count), seed * 1000 + n)
            for n in range(gateway_count)
        ]
        self._epochs = [0] * gateway_count  # of the calls of each gateway: an older one was given up
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
        """Open the next long poll within the time that continues a watch: it costs a turn once answered."""
        if epoch == self._epochs[number]:
            self.watching.add(number)
            self._dispatch(number, EndpointWatchOpened(WATCH_MS, as_of_ms))

    def fail(self, duration_ms: float) -> None:
        """Make discovery unavailable for a while: all watches end."""
        self._down_until, self._free_at = self.now + duration_ms, 0.0
        watching, self.watching = sorted(self.watching), set[int]()
        for number in watching:
            self._fail(number, self._epochs[number])


def test_no_queue_at_discovery_is_kept_full_by_calls_that_fail_in_it() -> None:
    # After an outage calls ended with 503 until the end of the day: those that had waited too long to be of
    # use filled the queue that made them wait. The same after a start of the whole fleet.
    current = {}
    for gateway_count, seed in product((60, 200), SEEDS):
        fleet = CrowdedFleet(gateway_count, seed)
        fleet.run_until(CURRENT_WITHIN_MS)
        current["start", gateway_count, seed] = len(fleet.watching) / gateway_count
        fleet.run_until(2 * CURRENT_WITHIN_MS)
        fleet.fail(OUTAGE_MS)
        fleet.run_until(fleet.now + OUTAGE_MS + CURRENT_WITHIN_MS)
        current["outage", gateway_count, seed] = len(fleet.watching) / gateway_count
    assert min(current.values()) >= CURRENT_FRACTION, current
