"""State of the endpoint list as a whole: how recent the list is, and when to poll for it again."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ReloadWindow:
    """The time after a reload of the configuration, in ms on the gateway's clock.

    What discovery has to tell counts as notified at `ends_at`. From `moved_at` on discovery has another
    address; it is infinity if the reload did not change the address.
    """

    moved_at: float
    ends_at: float


class EndpointListState:
    """The age of the endpoint list, the state of its watch, and the next poll. Times are in ms."""

    def __init__(self, must_poll: bool) -> None:
        """Start without an endpoint list; `must_poll` is true if discovery does not push updates."""
        self.confirmed_at = -math.inf  # the endpoint list contains all changes up to this time
        self.is_confirmed = False  # whether discovery has confirmed the list; False for the configuration's
        self.watch_covers_until = -math.inf  # time by which discovery responds to the outstanding watch call
        # When this gateway last noticed that it may have missed an endpoint list sent by discovery.
        self.lost_at = -math.inf
        self.reload_windows: list[ReloadWindow] = []  # of recent reloads, in their order
        # Whether the last reload was usable; otherwise discovery may be at an address that this gateway does
        # not know.
        self.is_address_known = True
        self.poll_at = -math.inf if must_poll else math.inf  # when to poll discovery for the endpoint list
        self.consecutive_failures = 0
        self.lease_expired = False  # whether the lease on the endpoint list had expired when last logged
