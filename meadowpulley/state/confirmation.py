"""State of list confirmation: queries to other gateways on whether discovery still lists servers."""

from __future__ import annotations

import math
from random import Random

from meadowpulley.state.servers import Server


class ConfirmationState:
    """The gateway's confirmation queries and its ready servers. Times are ms on the gateway's clock."""

    def __init__(self, rng: Random) -> None:
        """Start without any query sent; `rng` is used only to create queries."""
        # Queries have their own random generator, so that they do not change the random numbers drawn by
        # other modules.
        self.rng = rng
        self.queried_at = -math.inf  # time of the last query to other gateways
        self.queried_range = -1  # index of the last queried range of servers; -1 before the first query
        self.open_queries: dict[int, float] = {}  # sending time of recent queries by nonce, oldest first
        self.last_confirmed_by = -1  # index of the gateway that replied last; -1 before the first reply
        # The ready servers sorted by number, or None if the sorted list must be computed again.
        self.ready_servers: list[Server] | None = None
