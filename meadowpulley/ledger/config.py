"""The ledger settings of a gateway, read from environment variables and validated at startup.

`deploy/ledger.env` documents the variables. If `MEADOWPULLEY_LEDGER` names no folder, the
others are not read.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

from meadowpulley.ledger.errors import FailpointSyntaxError, LedgerUnusableError
from meadowpulley.ledger.failpoints import FAILPOINTS_VARIABLE, FailpointHook, parse_failpoints
from meadowpulley.ledger.lease_timings import LeaseTimings

LEDGER_VARIABLE = "MEADOWPULLEY_LEDGER"
DEFAULT_TERM_MS = 2000.0
DEFAULT_POLL_INTERVAL_MS = 50.0
DEFAULT_TIMEOUT_MS = 400.0
DEFAULT_MAX_LOG_MB = 32.0
MIN_POLL_INTERVAL_MS = 5.0
BYTES_PER_MB = 1 << 20


@dataclass(frozen=True, slots=True)
class LedgerSettings:
    """The validated ledger settings of one gateway."""

    folder: str
    timings: LeaseTimings
    poll_interval_ms: float
    timeout_ms: float  # for a poll or a batch of commits; if it is exceeded, the ledger counts as unavailable
    sync: bool  # whether acknowledged transactions survive a crash of the machine
    installation: str
    max_log_bytes: int
    failpoint: FailpointHook

    @property
    def commit_timeout_ms(self) -> float:
        """The longest time until a commit is answered (ms).

        A commit may wait for the timeout of the running job and then for that of its own job. A timeout is
        noticed only at the next poll.
        """
        return 2.0 * self.timeout_ms + self.poll_interval_ms


def read_settings(environ: Mapping[str, str]) -> LedgerSettings | None:
    """Return the settings, or None if no ledger is configured.

    Raises:
        LedgerUnusableError: a setting is invalid.
    """
    folder = environ.get(LEDGER_VARIABLE, "")
    if not folder:
        return None
    max_log_mb = _read_number(environ, "MB", DEFAULT_MAX_LOG_MB, minimum=1.0)
    settings = LedgerSettings(
        folder=folder,
        timings=LeaseTimings(term_ms=_read_number(environ, "TERM_MS", DEFAULT_TERM_MS, minimum=1.0)),
        poll_interval_ms=_read_number(environ, "POLL_MS", DEFAULT_POLL_INTERVAL_MS, MIN_POLL_INTERVAL_MS),
        timeout_ms=_read_number(environ, "WAIT_MS", DEFAULT_TIMEOUT_MS, minimum=1.0),
        sync=_read_sync(environ),
        installation=environ.get(f"{LEDGER_VARIABLE}_INSTALLATION", ""),
        max_log_bytes=int(max_log_mb * BYTES_PER_MB),
        failpoint=_read_failpoints(environ),
    )
    _check_term(settings)
    return settings


def _read_number(environ: Mapping[str, str], name: str, default: float, minimum: float) -> float:
    text = environ.get(f"{LEDGER_VARIABLE}_{name}", "") or str(default)
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not minimum <= value < math.inf:
        raise LedgerUnusableError(
            f"{LEDGER_VARIABLE}_{name}: '{text}' is no number from {minimum:g}: set it, or leave it out"
        )
    return value


def _read_sync(environ: Mapping[str, str]) -> bool:
    text = environ.get(f"{LEDGER_VARIABLE}_SYNC", "") or "0"
    if text not in ("0", "1"):
        raise LedgerUnusableError(
            f"{LEDGER_VARIABLE}_SYNC: '{text}' is neither 0 nor 1: set it, or leave it out"
        )
    return text == "1"


def _read_failpoints(environ: Mapping[str, str]) -> FailpointHook:
    try:
        return parse_failpoints(environ.get(FAILPOINTS_VARIABLE, ""))
    except FailpointSyntaxError as error:
        raise LedgerUnusableError(str(error)) from None


def _check_term(settings: LedgerSettings) -> None:
    """Check that even the slowest renewal is answered before the lease is no longer held."""
    timings = settings.timings
    slack_fraction = timings.hold_fraction - timings.renewal_fraction
    if settings.commit_timeout_ms > slack_fraction * timings.term_ms:
        min_term_ms = settings.commit_timeout_ms / slack_fraction
        raise LedgerUnusableError(
            f"{LEDGER_VARIABLE}_TERM_MS: {timings.term_ms:g} is too short for renewals that may take"
            f" {settings.commit_timeout_ms:g} ({LEDGER_VARIABLE}_WAIT_MS, _POLL_MS): at least {min_term_ms:g}"
        )
