"""State of list confirmation: asking other gateways whether servers are still listed by discovery."""

from __future__ import annotations

import math
from random import Random

from meadowpulley.state.servers import Server


class ConfirmationState:
    """The queries that this gateway sent, and its ready servers. Times are ms on its own clock."""

    def __init__(self, rng: Random) -> None:
        """Start without any query; `rng` is used for queries only."""
        # A generator for queries alone, so that they do not change the random numbers drawn elsewhere.
        self.rng = rng
        self.queried_at = -math.inf  # when other gateways were last queried
        self.queried_range = -1  # index of the range of servers in the last query; -1 before the first
        self.open_queries: dict[int, float] = {}  # time of each query by its nonce, oldest first
        self.last_confirmed_by = -1  # index of the gateway that replied last; -1 before the first reply
        self.ready_servers: list[Server] | None = None  # sorted by number; None: to be computed
