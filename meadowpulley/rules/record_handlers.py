"""Dispatches trace records to the handlers of a checker."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

from meadowpulley.rules.trace import Record

RecordT = TypeVar("RecordT")


class RecordHandlers:
    """Maps record types to handlers; records of other types are ignored."""

    def __init__(self) -> None:
        self._handlers: dict[type, Callable[..., None]] = {}

    def add(self, record_type: type[RecordT], handler: Callable[[RecordT], None]) -> None:
        """Register the handler that receives all records of a type."""
        self._handlers[record_type] = handler

    def handle(self, record: Record) -> None:
        """Call the handler registered for a record's type, if there is one."""
        handler = self._handlers.get(type(record))
        if handler is not None:
            handler(record)
