"""The vocabularies of events and actions: results, states, phases and verdicts.

The numbers are those of the simulator's wire.
"""

from __future__ import annotations

from enum import IntEnum


class Result(IntEnum):
    """How an attempt, a probe or a vote ended."""

    OK = 200
    NOT_SENT = 409
    REJECTED = 429
    TIMEOUT = 408
    CANCELLED = 444
    ERROR = 502
    RESET = 520
    CONNECT_FAILED = 521


class ServerState(IntEnum):
    """Where a server stands in its life cycle, as discovery lists it."""

    REMOVED = 0
    DRAINING = 1
    READY = 2


class Phase(IntEnum):
    """The state of the newest build's rollout."""

    TRIAL = 0
    ROLLING_BACK = 1
    RELEASED = 2
    ROLLED_BACK = 3


class Verdict(IntEnum):
    """What a gateway votes about the current stage of a rollout."""

    NONE = 0
    ADVANCE = 1
    HOLD = 2
    ROLL_BACK = 3


class EndpointUpdateKind(IntEnum):
    """How an update of the endpoint list is to be read."""

    INCREMENTAL = 0
    FULL = 1
    CACHED = 2
    FAILED = 3
    TIMED_OUT = 4  # a poll or a watch got no answer within its time-out
    BROKEN = 5  # its connection broke, or what came can't be read: a list may have been lost
