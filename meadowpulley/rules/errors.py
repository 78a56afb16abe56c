"""Errors of the rules package. The text of each error is one line that says what is wrong and where."""

from __future__ import annotations

from meadowpulley.errors import MeadowpulleyError


class RulesError(MeadowpulleyError):
    """Base class of all errors of the rules package."""


class TraceFormatError(RulesError, ValueError):
    """A line of a trace file cannot be decoded as a record."""
