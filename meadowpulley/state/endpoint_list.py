"""What the policy keeps of the endpoint list as a whole: what renews it, and when to ask for it."""

from __future__ import annotations

import math


class EndpointListState:
    """How old the list is, what discovery may have told since, and the next poll. Times are milliseconds."""

    def __init__(self, must_poll: bool) -> None:
        """Begin without a list; `must_poll` where discovery does not push it."""
        self.confirmed_at = -math.inf  # the list holds all changes up to then
        self.watch_covers_until = -math.inf  # by then discovery responds to the call that is out
        self.lost_at = -math.inf  # when a list was last lost that discovery may have written
        self.poll_at = -math.inf if must_poll else math.inf  # when to ask for the list
        self.consecutive_failures = 0
        self.lease_expired = False  # as it was last logged
