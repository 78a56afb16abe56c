"""Errors of this package; the text of each is one line that says what is wrong and where."""

from __future__ import annotations

from meadowpulley.errors import MeadowpulleyError


class RulesError(MeadowpulleyError):
    """The base class of this package's errors."""


class TraceFormatError(RulesError, ValueError):
    """A line of a trace file cannot be decoded as a record."""
