"""What the policy keeps of the confirmation of its servers by other gateways."""

from __future__ import annotations

import math
from random import Random

from meadowpulley.state.servers import Server


class ConfirmationState:
    """The questions that this gateway has asked, and its ready servers. Times are on its clock."""

    def __init__(self, rng: Random) -> None:
        """Begin with nothing asked; `rng` draws for questions alone."""
        self.rng = rng  # of its own: questions change no other draw
        self.queried_at = -math.inf  # when others were last asked
        self.queried_range = -1  # of the servers, in the last question
        self.open_queries: dict[int, float] = {}  # by nonce, when it was asked; oldest first
        self.last_confirmed_by = -1  # the gateway whose reply was the latest
        self.ready_servers: list[Server] | None = None  # by number; None until they are needed
