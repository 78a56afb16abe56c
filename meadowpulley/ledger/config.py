"""What a gateway is told of its ledger at its start: variables of the environment, checked in full.

`deploy/ledger.env` documents them. Nothing here is read unless `MEADOWPULLEY_LEDGER` names a folder.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from meadowpulley.ledger.failpoints import (
    FAILPOINTS_VARIABLE as ENV_FAILPOINTS,
    FailpointHook,
    parse_failpoints,
)
from meadowpulley.ledger.lease_manager import LeaseTimings
from meadowpulley.ledger.model import LedgerUnusableError

LEDGER_VARIABLE = "MEADOWPULLEY_LEDGER"
MIN_POLL_INTERVAL_MS = 5.0


@dataclass(frozen=True, slots=True)
class LedgerSettings:
    """`wait_ms`: what a look or a group of commits may take before the ledger counts as lost."""

    folder: str
    timings: LeaseTimings
    poll_interval_ms: float
    timeout_ms: float
    sync: bool
    installation: str
    max_log_bytes: int
    failpoint: FailpointHook

    @property
    def commit_timeout_ms(self) -> float:
        """By when every commit is answered: one may wait for another's whole wait, and then its own."""
        return 2.0 * self.timeout_ms + self.poll_interval_ms


def _read_number(environ: Mapping[str, str], name: str, default: float, minimum: float) -> float:
    text = environ.get(f"{LEDGER_VARIABLE}_{name}", "") or str(default)
    try:
        value = float(text)
    except ValueError:
        value = float("nan")
    if not minimum <= value < float("inf"):
        raise LedgerUnusableError(
            f"{LEDGER_VARIABLE}_{name}: '{text}' is no number from {minimum:g}: set it, or leave it out"
        )
    return value


def read_settings(environ: Mapping[str, str]) -> LedgerSettings | None:
    """None where no ledger is wanted. Raises `RefusedError`: one line that says what, where, what to do."""
    folder = environ.get(LEDGER_VARIABLE, "")
    if not folder:
        return None
    sync = environ.get(f"{LEDGER_VARIABLE}_SYNC", "") or "0"
    if sync not in ("0", "1"):
        raise LedgerUnusableError(
            f"{LEDGER_VARIABLE}_SYNC: '{sync}' is neither 0 nor 1: set it, or leave it out"
        )
    try:
        failpoint = parse_failpoints(environ.get(ENV_FAILPOINTS, ""))
    except ValueError as error:
        raise LedgerUnusableError(str(error)) from None
    settings = LedgerSettings(
        folder=folder,
        timings=LeaseTimings(term_ms=_read_number(environ, "TERM_MS", 2000.0, 1.0)),
        poll_interval_ms=_read_number(environ, "POLL_MS", 50.0, MIN_POLL_INTERVAL_MS),
        timeout_ms=_read_number(environ, "WAIT_MS", 400.0, 1.0),
        sync=sync == "1",
        installation=environ.get(f"{LEDGER_VARIABLE}_INSTALLATION", ""),
        max_log_bytes=int(_read_number(environ, "MB", 32.0, 1.0) * (1 << 20)),
        failpoint=failpoint,
    )
    timings = settings.timings
    slack_fraction = timings.hold_fraction - timings.renewal_fraction
    if settings.commit_timeout_ms > slack_fraction * timings.term_ms:
        min_term_ms = settings.commit_timeout_ms / slack_fraction
        raise LedgerUnusableError(
            f"{LEDGER_VARIABLE}_TERM_MS: {timings.term_ms:g} is too short for renewals that may take"
            f" {settings.commit_timeout_ms:g} ({LEDGER_VARIABLE}_WAIT_MS, _POLL_MS): at least {min_term_ms:g}"
        )
    return settings
