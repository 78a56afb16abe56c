"""Load shedding: which clients give way while the memory budget is exceeded.

Usual clients send a small request at once and read its response, so they hold next to nothing and are not
affected. Memory is taken, until a low watermark is reached, from

1. input behind a request that has no response yet: the connection ends after that response,
2. partial requests, the oldest first, which are refused with 503,
3. responses that a client doesn't read, the oldest first, whose connections are reset.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from meadowpulley.net.client_connection import ClientConnection
from meadowpulley.net.client_connection_state import ClientConnectionState
from meadowpulley.net.gateway_context import GatewayContext
from meadowpulley.net.http1 import SMALL_MESSAGE_BYTES
from meadowpulley.net.memory_budget import MemoryBudget

LOG_INTERVAL_MS = 1_000.0


class LoadShedder:
    """Sheds load of client connections while the memory budget is exceeded."""

    def __init__(self, gateway: GatewayContext, connections: Iterable[ClientConnection]) -> None:
        self._gateway = gateway
        self._connections = connections
        self._is_shedding = False
        self._shed_since_log = 0
        self._next_log_at = 0.0

    @property
    def _budget(self) -> MemoryBudget:
        return self._gateway.memory_budget

    def shed(self, target_bytes: float) -> None:
        """Shed load until at most `target_bytes` are in use, or nothing is left to shed."""
        if self._is_shedding:  # the responses below change charges
            return
        self._is_shedding = True
        try:
            holders = [c for c in self._connections if c.held_bytes() > SMALL_MESSAGE_BYTES]
            ahead = [c for c in holders if c.has_input_ahead]
            self._take_from(ahead, target_bytes, "input_ahead", ClientConnection.drop_input_ahead)
            partial = sorted((c for c in holders if c.has_partial_request), key=lambda c: c.partial_since)
            self._take_from(
                partial, target_bytes, "partial_requests", ClientConnection.refuse_partial_request
            )
            unread = [c for c in holders if c.is_open and c.state is ClientConnectionState.RESPONDING]
            unread.sort(key=lambda c: c.responding_since)
            self._take_from(unread, target_bytes, "unread_responses", ClientConnection.abort)
        finally:
            self._is_shedding = False
        self._log()

    def _take_from(
        self,
        connections: list[ClientConnection],
        target_bytes: float,
        kind: str,
        shed: Callable[[ClientConnection], None],
    ) -> None:
        for connection in connections:
            if self._budget.used_bytes <= target_bytes:
                return
            shed(connection)
            self._shed_since_log += 1
            self._gateway.counters.add(f"memory.shed.{kind}")

    def _log(self) -> None:
        """Log the state of the budget, at most once per interval."""
        now = self._gateway.deadlines.now()
        if now < self._next_log_at:
            return
        self._next_log_at = now + LOG_INTERVAL_MS
        self._gateway.log.warning(
            "load_shed",
            shed=self._shed_since_log,
            limit_bytes=self._budget.limit_bytes,
            used_bytes=self._budget.used_bytes,
            **{f"{use.value}_bytes": size for use, size in self._budget.used_by.items()},
        )
        self._shed_since_log = 0
