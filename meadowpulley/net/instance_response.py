"""Evaluation of an instance's response: the result of the attempt and the load report, without I/O."""

from __future__ import annotations

import math
from http import HTTPStatus

from meadowpulley.interface import Result
from meadowpulley.net import protocol
from meadowpulley.net.http1 import Message
from meadowpulley.settings import LOAD_REPORT_COLUMNS

# Together with the rejection header, these statuses prove that the request was not executed.
_REJECTION_STATUSES = (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.GATEWAY_TIMEOUT)


def classify_response(response: Message) -> Result:
    """Return the result of an attempt from the status and headers of its response."""
    if response.status == HTTPStatus.OK:
        return Result.OK
    has_rejected_header = response.headers.get(protocol.REJECTED_HEADER) == protocol.REJECTED_VALUE
    if response.status in _REJECTION_STATUSES and has_rejected_header:
        return Result.REJECTED
    return Result.ERROR


def parse_load_report(text: str, columns: tuple[str, ...]) -> tuple[float, ...]:
    """Return a load report's values in the order of `columns`, or () if one is missing or invalid."""
    values_by_column: dict[str, float] = {}
    for item in text.split(","):
        name, _, value = item.strip().partition("=")
        column = LOAD_REPORT_COLUMNS.get(name, name)
        try:
            values_by_column[column] = float(value)
        except ValueError:
            return ()
    values = tuple(values_by_column.get(column, math.nan) for column in columns)
    if not all(math.isfinite(value) for value in values):
        return ()
    return values
