"""What the policy keeps of its own votes on a rollout."""

from __future__ import annotations

import math

from meadowpulley.interface import Result, Verdict, Vote

NO_BUILD = -1


class VoteState:
    """The vote that was sent last, and what became of it. Times are milliseconds."""

    def __init__(self) -> None:
        """Begin without a vote."""
        self.last_vote = Vote(NO_BUILD, 0, Verdict.NONE)
        self.sent_at = -math.inf
        self.valid_until = -math.inf
        self.backoff_until = -math.inf  # no vote before, as the platform got too many
        self.acknowledged = True

    def acknowledge(self, result: Result, valid_until: float) -> None:
        """Take in the platform's reply to the vote, which counts for a while if it was accepted."""
        self.acknowledged = True
        if result is Result.OK:
            self.valid_until = valid_until

    def record(self, vote: Vote, now: float) -> None:
        """Note a vote that is sent now."""
        self.last_vote = vote
        self.sent_at = now
        self.acknowledged = False
        self.valid_until = -math.inf
