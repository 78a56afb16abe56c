"""Types and checks for decoded JSON from discovery and the platform."""

from __future__ import annotations

from typing import Any, TypeAlias

from meadowpulley.net.errors import NetError

# The values are Any because the sender chooses the types: parsers convert fields and catch FIELD_ERRORS.
JsonObject: TypeAlias = dict[str, Any]

# Exceptions raised by converting a field that is missing, of a wrong type or out of range.
FIELD_ERRORS = (KeyError, TypeError, ValueError, OverflowError)


class FieldError(NetError, ValueError):
    """A field of a message has an invalid value; the error text names the field and the value."""


def require_object(raw: object, subject: str) -> JsonObject:
    """Return decoded JSON if it is an object. `subject` names it in the error message.

    Raises:
        FieldError: the decoded JSON is not an object.
    """
    if not isinstance(raw, dict):
        raise FieldError(f"{subject} is not a JSON object")
    return raw
