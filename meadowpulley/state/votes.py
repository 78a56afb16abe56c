"""State of this gateway's votes on a rollout."""

from __future__ import annotations

import math

from meadowpulley.interface import Result, Verdict, Vote

NO_BUILD = -1


class VoteState:
    """The last vote that was sent, and the platform's reply to that vote. Times are milliseconds."""

    def __init__(self) -> None:
        """Start without a vote."""
        self.last_vote = Vote(NO_BUILD, 0, Verdict.NONE)
        self.sent_at = -math.inf
        self.valid_until = -math.inf
        # No vote is sent before this time, since the platform rejected a vote for exceeding its rate limit.
        self.backoff_until = -math.inf
        self.acknowledged = True

    def acknowledge(self, result: Result, valid_until: float) -> None:
        """Process the platform's reply to the last vote; an accepted vote counts until `valid_until`."""
        self.acknowledged = True
        if result is Result.OK:
            self.valid_until = valid_until

    def record(self, vote: Vote, now: float) -> None:
        """Record a vote that is sent now."""
        self.last_vote = vote
        self.sent_at = now
        self.acknowledged = False
        self.valid_until = -math.inf
