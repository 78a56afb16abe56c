"""Reads the settings of the takeover stage from the environment."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from meadowpulley.ledger import LedgerUnusableError
from meadowpulley.takeover.records import MAX_DURATION_MS
from meadowpulley.takeover.settings import JournalScope, TakeoverSettings

SCOPE_VARIABLE = "MEADOWPULLEY_TAKEOVER"


@dataclass(frozen=True, slots=True)
class _NumberSetting:
    field: str  # name of the attribute of `TakeoverSettings`
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
    """Read the settings; return None if takeover is off.

    Raises:
        LedgerUnusableError: a setting is invalid; the message names setting, problem and remedy.
    """
    scope = environ.get(SCOPE_VARIABLE, "")
    if not scope:
        return None
    values: dict[str, JournalScope | float] = {"journal_scope": _read_scope(scope)}
    for variable, setting in _NUMBER_SETTINGS.items():
        text = environ.get(variable, "")
        if text:
            values[setting.field] = _read_number(variable, text, setting)
    return msgspec.convert(values, TakeoverSettings)


def _read_scope(text: str) -> JournalScope:
    choices = [choice.value for choice in JournalScope]
    if text not in choices:
        raise _unusable(SCOPE_VARIABLE, f"'{text}' is none of {', '.join(choices)}: set one of them")
    return JournalScope(text)


def _read_number(variable: str, text: str, setting: _NumberSetting) -> float:
    try:
        value = float(text)
    except ValueError:
        value = math.nan  # fails the range check below, as does the text "nan"
    if not setting.minimum <= value <= MAX_DURATION_MS:
        raise _unusable(variable, f"'{text}' is no number from {setting.minimum:g}: set it")
    return int(value) if setting.is_integer else value


def _unusable(variable: str, problem: str) -> LedgerUnusableError:
    return LedgerUnusableError(f"{variable}: {problem}, or leave it out")
