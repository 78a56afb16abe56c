"""Define the exceptions that lending raises."""

from __future__ import annotations

from meadowpulley.errors import MeadowpulleyError


class LendingError(MeadowpulleyError):
    """Serve as the base class of all errors that lending raises."""


class QuotaPlanError(LendingError, ValueError):
    """Report an invalid quota plan in one line: what is wrong, where, and how to correct it."""


class RecordFormatError(LendingError, ValueError):
    """Report a ledger record that can't be decoded in this package's format."""
