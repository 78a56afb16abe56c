"""The states of a client connection."""

from __future__ import annotations

from enum import Enum


class ClientConnectionState(Enum):
    """State of a client connection, named after what it waits for.

    | from | on | to |
    | --- | --- | --- |
    | WAITING | a complete request | PROCESSING |
    | WAITING | input that is not a valid request | RESPONDING |
    | WAITING | idle too long, evicted or draining | LINGERING |
    | PROCESSING | the final response | RESPONDING |
    | RESPONDING | the kernel has accepted the whole response | WAITING, or LINGERING after the last one |

    The connection may be lost in any state.
    """

    WAITING = "waiting"  # waits for a request or for the rest of a partial request
    PROCESSING = "processing"  # waits for the response to an accepted request
    RESPONDING = "responding"  # waits until the kernel has accepted the whole response
    LINGERING = "lingering"  # waits, after the last response, for the client to close; discards input
