"""The errors of the ledger. The text of each is one line that says what failed, where, and what to do."""

from __future__ import annotations

from meadowpulley.errors import MeadowpulleyError


class LedgerError(MeadowpulleyError):
    """The ledger failed, or was used wrongly; the base of this package's errors."""


class LedgerUnusableError(LedgerError):
    """The ledger can't be used: foreign, damaged, of another format, or the name is taken.

    Nothing was changed.
    """


class InvalidTransactionError(LedgerError, ValueError):
    """A transaction combines writes that can't be applied together: a fault of its caller."""


class LogEntryError(LedgerError, ValueError):
    """The payload of a frame is no entry of a ledger of this format."""


class FailpointSyntaxError(LedgerError, ValueError):
    """A list of failpoints can't be read."""
