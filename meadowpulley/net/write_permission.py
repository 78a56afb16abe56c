"""Whether an attempt may be written to its instance now: the check at the moment of the write.

The policy decides to send, and may be right only for a while: until the connection is established the client
may leave, the instance may drain, and what was known of it may become too old to act on.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from meadowpulley.interface import Result
from meadowpulley.net.instance_connection import InstanceConnection


class WriteRefusal(Enum):
    """Why an attempt may not be written now; the value names its counter."""

    REQUEST_FINISHED = "request_finished"
    DEADLINE_PASSED = "deadline_passed"
    ENDPOINT_EXPIRED = "endpoint_expired"  # the policy's `write_by` has passed, whatever set it
    ENDPOINT_REPLACED = "endpoint_replaced"
    CONNECTION_CLOSED = "connection_closed"
    MAY_HAVE_EXECUTED = "may_have_executed"

    @property
    def is_violation(self) -> bool:
        """Whether the policy should never have sent it: nothing that comes later can have made it wrong."""
        return self is WriteRefusal.MAY_HAVE_EXECUTED

    @property
    def result(self) -> Result:
        """The result of the attempt: whether the instance, or what is known of it, is to blame.

        The policy takes CONNECT_FAILED for a failure of the server, and looks for another one.
        """
        instance_refused = self in (
            WriteRefusal.ENDPOINT_EXPIRED,
            WriteRefusal.ENDPOINT_REPLACED,
            WriteRefusal.CONNECTION_CLOSED,
        )
        return Result.CONNECT_FAILED if instance_refused else Result.NOT_SENT


@dataclass(frozen=True, slots=True)
class WriteConditions:
    """What binds the write of one attempt. Times are milliseconds on the gateway's clock."""

    request_finished: bool  # its client has its response, or is gone
    may_have_executed: bool  # an earlier attempt of a request that must not run twice
    deadline: float  # of the attempt
    write_by: float  # until when the policy allows it


def write_refusal(
    conditions: WriteConditions, connection: InstanceConnection, now: float
) -> WriteRefusal | None:
    """Return why an attempt may not be written to a connection at a time; None if it may."""
    if conditions.request_finished:
        return WriteRefusal.REQUEST_FINISHED
    if conditions.may_have_executed:
        return WriteRefusal.MAY_HAVE_EXECUTED
    if now >= conditions.deadline:
        return WriteRefusal.DEADLINE_PASSED
    if now >= conditions.write_by:
        return WriteRefusal.ENDPOINT_EXPIRED
    if connection.pool.retired:  # the instance drains, is gone, or was replaced
        return WriteRefusal.ENDPOINT_REPLACED
    if not connection.is_open:
        return WriteRefusal.CONNECTION_CLOSED
    return None
