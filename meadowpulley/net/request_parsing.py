"""Parsing of the header values of requests."""

from __future__ import annotations

import hashlib
import math
import re

from meadowpulley.net import protocol
from meadowpulley.net.http1 import BadMessageError, Message

_REMAINING_TIME = re.compile(r"([0-9]{1,12}(?:\.[0-9]{1,6})?)([mu])")
_MS_PER_UNIT = {"m": 1.0, "u": 0.001}
_REQUEST_ID = re.compile(r"[!-+\--~]{1,128}")  # an id has no space or comma: they separate several ids
_HEX_KEY = re.compile(r"[0-9a-fA-F]{1,16}")
_KEY_BYTES = 8  # length in bytes of the hash of a key that is not a hexadecimal number


def is_request_id(text: str) -> bool:
    """Return whether `text` is a single, well-formed request id."""
    return _REQUEST_ID.fullmatch(text) is not None


def parse_remaining(text: str) -> float:
    """Return the remaining time of a request in milliseconds.

    Raises:
        BadMessageError: the text is not a number with the unit 'm' (milliseconds) or 'u' (microseconds).
    """
    matched = _REMAINING_TIME.fullmatch(text)
    if matched is None:
        raise BadMessageError(400, f"'{protocol.REMAINING_TIME_HEADER}' is no time")
    number, unit = matched.groups()
    return float(number) * _MS_PER_UNIT[unit]


def parse_key(text: str) -> int:
    """Convert an entity key to a number that is the same in all gateways; an empty key gives 0.

    A text of up to 16 hexadecimal digits is parsed as a number; any other text is hashed to 64 bits.
    """
    if not text:
        return 0
    if _HEX_KEY.fullmatch(text):
        return int(text, 16)
    digest = hashlib.blake2b(text.encode(), digest_size=_KEY_BYTES).digest()
    return int.from_bytes(digest, "big")


def parse_work_estimate(message: Message) -> float | None:
    """Return the client's estimate of the work in milliseconds, or None if it is missing or invalid."""
    try:
        estimate_ms = float(message.headers[protocol.WORK_ESTIMATE_HEADER])
    except (KeyError, ValueError):
        return None
    is_usable = math.isfinite(estimate_ms) and estimate_ms >= 0
    return estimate_ms if is_usable else None
