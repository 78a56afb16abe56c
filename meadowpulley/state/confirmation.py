"""What the policy keeps of the confirmation of its endpoint list by other gateways."""

import math


class ConfirmationState:
    """The questions that this gateway has asked, and the checksums of its list. Times are on its clock."""

    def __init__(self) -> None:
        self.queried_at = -math.inf  # when others were last asked
        self.open_queries: dict[int, float] = {}  # by nonce, when it was asked; oldest first
        self.last_confirmed_by = -1  # the gateway whose reply was the latest
        self.checksums: tuple[int, ...] | None = None  # of the list in use; None until they are needed
