"""Check, immediately before the write, whether an attempt may be written to its instance.

The policy's decision to send may become outdated while the connection is being established: the client may
disconnect, the instance may start draining, or the information about the instance may expire.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from meadowpulley.interface import Result
from meadowpulley.net.instance_connection import InstanceConnection


class WriteRefusal(Enum):
    """Reason why an attempt may not be written; the value is part of a counter's name."""

    REQUEST_FINISHED = "request_finished"
    DEADLINE_PASSED = "deadline_passed"
    ENDPOINT_EXPIRED = "endpoint_expired"  # `write_by` has passed, whatever reason the policy had to set it
    ENDPOINT_REPLACED = "endpoint_replaced"
    CONNECTION_CLOSED = "connection_closed"
    MAY_HAVE_EXECUTED = "may_have_executed"

    @property
    def is_violation(self) -> bool:
        """Whether the refusal shows an error of the policy.

        Only MAY_HAVE_EXECUTED does, since it can't arise after the policy has decided to send. All other
        reasons can arise after that.
        """
        return self is WriteRefusal.MAY_HAVE_EXECUTED

    @property
    def result(self) -> Result:
        """Result of the refused attempt, CONNECT_FAILED or NOT_SENT.

        CONNECT_FAILED means that the instance, the information about it, or its connection was the reason.
        The policy treats this as a failure of the server and selects another server. NOT_SENT stands for all
        other reasons and doesn't count against the server.
        """
        instance_refused = self in (
            WriteRefusal.ENDPOINT_EXPIRED,
            WriteRefusal.ENDPOINT_REPLACED,
            WriteRefusal.CONNECTION_CLOSED,
        )
        return Result.CONNECT_FAILED if instance_refused else Result.NOT_SENT


@dataclass(frozen=True, slots=True)
class WriteConditions:
    """Conditions for writing one attempt. Times are milliseconds on the gateway's clock."""

    request_finished: bool  # whether the client has its response or has disconnected
    may_have_executed: bool  # whether another attempt of a non-idempotent request may have executed
    deadline: float  # deadline of the attempt
    write_by: float  # the policy allows the write only before this time


def write_refusal(
    conditions: WriteConditions, connection: InstanceConnection, now: float
) -> WriteRefusal | None:
    """Return why an attempt may not be written to a connection at time `now`, or None if it may."""
    if conditions.request_finished:
        return WriteRefusal.REQUEST_FINISHED
    if conditions.may_have_executed:
        return WriteRefusal.MAY_HAVE_EXECUTED
    if now >= conditions.deadline:
        return WriteRefusal.DEADLINE_PASSED
    if now >= conditions.write_by:
        return WriteRefusal.ENDPOINT_EXPIRED
    if connection.pool.retired:  # the instance is draining, was removed or was replaced
        return WriteRefusal.ENDPOINT_REPLACED
    if not connection.is_open:
        return WriteRefusal.CONNECTION_CLOSED
    return None
