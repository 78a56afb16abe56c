"""Reads the settings of the takeover stage from the environment."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from meadowpulley.ledger import LedgerUnusableError
from meadowpulley.takeover.records import MAX_DURATION_MS
from meadowpulley.takeover.settings import JournalScope, TakeoverSettings

SCOPE_VARIABLE = "MEADOWPULLEY_TAKEOVER"


@dataclass(frozen=True, slots=True)
class _NumberSetting:
    field: str  # of `TakeoverSettings`
    minimum: float
    is_integer: bool = False


_NUMBER_SETTINGS = {
    f"{SCOPE_VARIABLE}_RIGHT_MS": _NumberSetting("grant_timeout_ms", 1.0),
    f"{SCOPE_VARIABLE}_HOLD_MS": _NumberSetting("response_hold_ms", 0.0),
    f"{SCOPE_VARIABLE}_STEP_MS": _NumberSetting("claim_stagger_ms", 1.0),
    f"{SCOPE_VARIABLE}_KEEP_MS": _NumberSetting("response_retention_ms", 1000.0),
    f"{SCOPE_VARIABLE}_IN_HAND": _NumberSetting("max_adopted", 1.0, is_integer=True),
    f"{SCOPE_VARIABLE}_PER_S": _NumberSetting("adoptions_per_s", 1.0),
    f"{SCOPE_VARIABLE}_LIVES": _NumberSetting("max_owners", 1.0, is_integer=True),
}


def read_settings(environ: Mapping[str, str]) -> TakeoverSettings | None:
    """Read the settings; None where takeover is off.

    Raises `LedgerUnusableError` with one line that says what is wrong, where, and what to do.
    """
    scope = environ.get(SCOPE_VARIABLE, "")
    if not scope:
        return None
    choices = [choice.value for choice in JournalScope]
    if scope not in choices:
        text = f"'{scope}' is none of {', '.join(choices)}: set one of them, or leave it out"
        raise LedgerUnusableError(f"{SCOPE_VARIABLE}: {text}")
    values: dict[str, Any] = {}
    for variable, setting in _NUMBER_SETTINGS.items():
        if environ.get(variable, ""):
            values[setting.field] = _read_number(variable, environ[variable], setting)
    return TakeoverSettings(journal_scope=JournalScope(scope), **values)


def _read_number(variable: str, text: str, setting: _NumberSetting) -> float:
    try:
        value = float(text)
    except ValueError:
        value = float("nan")
    if not setting.minimum <= value <= MAX_DURATION_MS:
        problem = f"'{text}' is no number from {setting.minimum:g}: set it, or leave it out"
        raise LedgerUnusableError(f"{variable}: {problem}")
    return int(value) if setting.is_integer else value
