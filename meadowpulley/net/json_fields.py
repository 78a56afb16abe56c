"""Decoded JSON of discovery and the platform, whose fields may be of any type until they are checked."""

from __future__ import annotations

from typing import Any, TypeAlias

from meadowpulley.net.errors import NetError

# Any: the sender chooses the type of each field. Parsers convert what they use, and catch FIELD_ERRORS.
JsonObject: TypeAlias = dict[str, Any]

# What the conversion of a field raises that is missing, of a wrong type or out of range.
FIELD_ERRORS = (KeyError, TypeError, ValueError, OverflowError)


class FieldError(NetError, ValueError):
    """A field of a message holds what it may not; the text says which field and what it holds."""


def require_object(raw: object, subject: str) -> JsonObject:
    """Return decoded JSON that has to be an object. `subject` names it in the error.

    Raises:
        FieldError: it is not an object.
    """
    if not isinstance(raw, dict):
        raise FieldError(f"{subject} is no JSON object")
    return raw
