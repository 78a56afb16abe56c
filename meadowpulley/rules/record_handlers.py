"""Which method of a checker handles which type of record."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

from meadowpulley.rules.trace import Record

RecordT = TypeVar("RecordT")


class RecordHandlers:
    """A handler by type of record; records of other types are ignored."""

    def __init__(self) -> None:
        self._handlers: dict[type, Callable[..., None]] = {}

    def add(self, record_type: type[RecordT], handler: Callable[[RecordT], None]) -> None:
        """Handle all records of a type by `handler`."""
        self._handlers[record_type] = handler

    def handle(self, record: Record) -> None:
        """Call the handler of a record's type."""
        handler = self._handlers.get(type(record))
        if handler is not None:
            handler(record)
