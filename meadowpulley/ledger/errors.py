"""The ledger's exceptions. Each message is one line that says what failed, where, and what to do."""

from __future__ import annotations

from meadowpulley.errors import MeadowpulleyError


class LedgerError(MeadowpulleyError):
    """The ledger failed or was used incorrectly; the base class of this package's exceptions."""


class LedgerUnusableError(LedgerError):
    """The ledger can't be used, and nothing in it was changed.

    The folder holds something else, is damaged or has another format, a setting is invalid, or the name of
    the gateway is in use.
    """


class InvalidTransactionError(LedgerError, ValueError):
    """A transaction combines writes that can't be applied together, which is a bug of the caller."""


class LogEntryError(LedgerError, ValueError):
    """The payload of a frame is not a valid log entry in the format of this version."""


class FailpointSyntaxError(LedgerError, ValueError):
    """The setting that lists failpoints has invalid syntax, or names an unknown failpoint or action."""
