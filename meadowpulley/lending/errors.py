"""The errors of lending."""

from __future__ import annotations

from meadowpulley.errors import MeadowpulleyError


class LendingError(MeadowpulleyError):
    """The base of all errors that lending raises."""


class QuotaPlanError(LendingError, ValueError):
    """Report an invalid plan in one line: what is wrong, where, and what to do."""


class RecordFormatError(LendingError, ValueError):
    """Report a record of the ledger that is not of this package's format."""
