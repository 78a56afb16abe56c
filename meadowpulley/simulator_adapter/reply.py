"""Encodes actions as replies in the simulator's wire format.

A reply is a header, records of fixed size and a tail with data of variable length, to which records refer by
offset and size. All numbers are big-endian.
"""

from __future__ import annotations

import struct
from enum import IntEnum

from meadowpulley.interface import (
    Action,
    Cancel,
    CloseIdleConnections,
    Fail,
    FetchEndpoints,
    Probe,
    Reject,
    Send,
    SendGossip,
    SetTimer,
    Vote,
    Watch,
)
from meadowpulley.interface.log_wording import log_text

ACTION_SIZE = 32  # bytes of one action record
ALL_PEERS = 0xFFFF  # receiver number that stands for all peers

_REPLY_HEADER = struct.Struct(">II")


class ActionCode(IntEnum):
    """The first byte of an action record."""

    VOTE = 16
    SEND_GOSSIP = 17
    REJECT = 18
    PROBE = 19
    SEND = 20
    CLOSE_IDLE_CONNECTIONS = 21
    WATCH = 22
    FAIL = 23
    CANCEL = 24
    FETCH_ENDPOINTS = 25
    LOG_LINE = 26
    SET_TIMER = 27
    FAULT = 28


class ActionReply:
    """Collects the actions of one reply and encodes them."""

    def __init__(self) -> None:
        self._records: list[bytes] = []
        self._tail = bytearray()

    def _append_record(self, code: ActionCode, layout: str, *fields: float) -> None:
        self._records.append(struct.pack(">B" + layout, code, *fields).ljust(ACTION_SIZE, b"\0"))

    def _append_to_tail(self, data: bytes) -> tuple[int, int]:
        """Append data of variable length to the tail, and return its offset and size."""
        offset = len(self._tail)
        self._tail += data
        return offset, len(data)

    def add_fault(self, gateway: int, text: str) -> None:
        """Add a record which reports that a gateway's policy raised an exception."""
        self._append_record(ActionCode.FAULT, "III", gateway, *self._append_to_tail(text.encode()))

    def add_action(self, gateway: int, action: Action) -> None:
        """Add an action of a gateway."""
        match action:
            case Send(request, server, limit_ms):
                self._append_record(ActionCode.SEND, "IQId", gateway, request, server, limit_ms)
            case Cancel(request, attempt):
                self._append_record(ActionCode.CANCEL, "IQB", gateway, request, attempt)
            case Reject(request, retry_after_ms):
                self._append_record(ActionCode.REJECT, "IQd", gateway, request, retry_after_ms)
            case Fail(request):
                self._append_record(ActionCode.FAIL, "IQ", gateway, request)
            case Probe(server):
                self._append_record(ActionCode.PROBE, "II", gateway, server)
            case Vote(build, stage, verdict):
                self._append_record(ActionCode.VOTE, "IHBB", gateway, build, stage, verdict)
            case SetTimer(delay_ms, token):
                self._append_record(ActionCode.SET_TIMER, "IdQ", gateway, delay_ms, token)
            case Watch(on):
                self._append_record(ActionCode.WATCH, "IB", gateway, on)
            case FetchEndpoints():
                self._append_record(ActionCode.FETCH_ENDPOINTS, "I", gateway)
            case SendGossip(peer, data):
                receiver = ALL_PEERS if peer is None else peer
                self._append_record(
                    ActionCode.SEND_GOSSIP, "IHII", gateway, receiver, *self._append_to_tail(data)
                )
            case CloseIdleConnections(server):
                self._append_record(ActionCode.CLOSE_IDLE_CONNECTIONS, "II", gateway, server)
            case _:
                self._add_log_line(gateway, log_text(action))

    def _add_log_line(self, gateway: int, text: str) -> None:
        self._append_record(ActionCode.LOG_LINE, "III", gateway, *self._append_to_tail(text.encode()))

    def encode(self) -> bytes:
        """Return the reply encoded as one frame."""
        body = b"".join(self._records)
        size = _REPLY_HEADER.size + len(body) + len(self._tail)
        return _REPLY_HEADER.pack(size, len(self._records)) + body + bytes(self._tail)
