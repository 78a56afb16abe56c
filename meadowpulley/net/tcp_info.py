"""What the kernel knows of a TCP connection: whether the peer has closed it, and when input last arrived.

A process that was held up finds input in the kernel whose age it can't tell from its own clock, and reads
the end of a connection only after the input before it. Linux tells both at once with the socket option
TCP_INFO (tcp(7)); other systems may not have that option.
"""

from __future__ import annotations

import socket
import struct
from dataclasses import dataclass
from typing import Protocol

# `struct tcp_info` of <linux/tcp.h>: `tcpi_state` in the first byte, `tcpi_last_data_recv` (ms) 52 bytes in.
_LAYOUT = struct.Struct("=B51xI")
_TCP_INFO = getattr(socket, "TCP_INFO", None)
# Values of `tcpi_state` once the peer has closed or reset the connection: CLOSE, CLOSE_WAIT, LAST_ACK and
# CLOSING of <net/tcp_states.h>.
_ENDED_STATES = frozenset((7, 8, 9, 11))


class SocketWithOptions(Protocol):
    """The part of a socket that is used here."""

    def getsockopt(self, level: int, option: int, size: int, /) -> bytes:
        """Return the value of a socket option. Raises OSError."""


@dataclass(frozen=True, slots=True)
class TcpInfo:
    """State of a TCP connection, as the kernel has it."""

    peer_has_closed: bool  # whether the end of the connection has arrived, even if it was not read yet
    input_age_ms: int  # time since the last input arrived, at the resolution of the kernel's tick


def read_tcp_info(handle: SocketWithOptions) -> TcpInfo | None:
    """Return the kernel's state of a connected socket, or None where the system doesn't tell it."""
    if _TCP_INFO is None:
        return None
    try:
        raw = handle.getsockopt(socket.IPPROTO_TCP, _TCP_INFO, _LAYOUT.size)
    except OSError:
        return None
    if len(raw) < _LAYOUT.size:
        return None
    state, input_age_ms = _LAYOUT.unpack(raw)
    return TcpInfo(state in _ENDED_STATES, input_age_ms) if state else None
