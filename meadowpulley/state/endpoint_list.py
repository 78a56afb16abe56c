"""State of the endpoint list as a whole: how recent it is, and when to poll for it again."""

from __future__ import annotations

import math


class EndpointListState:
    """The age of the list, the state of its watch, and the time of the next poll. Times are in ms."""

    def __init__(self, must_poll: bool) -> None:
        """Start without a list; `must_poll` is true where discovery does not push updates."""
        self.confirmed_at = -math.inf  # the list contains all changes up to this time
        self.watch_covers_until = -math.inf  # time by which discovery responds to the outstanding watch call
        self.lost_at = -math.inf  # time of the last loss of a list that discovery may have sent
        self.poll_at = -math.inf if must_poll else math.inf  # when to poll discovery for the list
        self.consecutive_failures = 0
        self.lease_expired = False  # whether the last logged event said that the lease had expired
