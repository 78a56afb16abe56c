"""Enums used in events and actions: results, states, phases and verdicts.

The values are the codes of the simulator's wire format.
"""

from __future__ import annotations

from enum import IntEnum


class Result(IntEnum):
    """The result of an attempt, a probe or a vote."""

    OK = 200
    NOT_SENT = 409
    REJECTED = 429
    TIMEOUT = 408
    CANCELLED = 444
    ERROR = 502
    RESET = 520
    CONNECT_FAILED = 521


class ServerState(IntEnum):
    """The state of a server in its life cycle, as discovery lists it."""

    REMOVED = 0
    DRAINING = 1
    READY = 2


class Phase(IntEnum):
    """The phase of a build's rollout."""

    TRIAL = 0
    ROLLING_BACK = 1
    RELEASED = 2
    ROLLED_BACK = 3


class ReloadOutcome(IntEnum):
    """What a reload of the configuration did to discovery's address."""

    UNCHANGED = 0
    MOVED = 1
    REFUSED = 2  # the file was not usable: discovery may have moved to an unknown address


class Verdict(IntEnum):
    """A gateway's vote on the current stage of a rollout."""

    NONE = 0
    ADVANCE = 1
    HOLD = 2
    ROLL_BACK = 3


class EndpointUpdateKind(IntEnum):
    """The kind of an endpoint list update, or of a failed attempt to get an update."""

    INCREMENTAL = 0
    FULL = 1
    CACHED = 2
    FAILED = 3
    TIMED_OUT = 4  # a poll or a watch got no response within its time-out
    BROKEN = 5  # the connection broke, or the response was malformed: an update may have been lost
