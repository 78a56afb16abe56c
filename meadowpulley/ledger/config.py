"""What a gateway is told of its ledger at its start: variables of the environment, checked in full.

`deploy/ledger.env` documents them. Nothing here is read unless `MEADOWPULLEY_LEDGER` names a folder.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from meadowpulley.ledger.failpoints import ENV as ENV_FAILPOINTS, Fail, failpoints
from meadowpulley.ledger.keeper import Terms
from meadowpulley.ledger.model import RefusedError

ENV = "MEADOWPULLEY_LEDGER"
LEAST_POLL_MS = 5.0


@dataclass(frozen=True, slots=True)
class LedgerSettings:
    """`wait_ms`: what a look or a group of commits may take before the ledger counts as lost."""

    folder: str
    terms: Terms
    poll_ms: float
    wait_ms: float
    sync: bool
    installation: str
    most_bytes: int
    fail: Fail

    @property
    def unknown_ms(self) -> float:
        """By when every commit is answered: one may wait for another's whole wait, and then its own."""
        return 2.0 * self.wait_ms + self.poll_ms


def _number(environ: Mapping[str, str], name: str, usual: float, least: float) -> float:
    text = environ.get(f"{ENV}_{name}", "") or str(usual)
    try:
        value = float(text)
    except ValueError:
        value = float("nan")
    if not least <= value < float("inf"):
        raise RefusedError(f"{ENV}_{name}: '{text}' is no number from {least:g}: set it, or leave it out")
    return value


def read_settings(environ: Mapping[str, str]) -> LedgerSettings | None:
    """None where no ledger is wanted. Raises `RefusedError`: one line that says what, where, what to do."""
    folder = environ.get(ENV, "")
    if not folder:
        return None
    sync = environ.get(f"{ENV}_SYNC", "") or "0"
    if sync not in ("0", "1"):
        raise RefusedError(f"{ENV}_SYNC: '{sync}' is neither 0 nor 1: set it, or leave it out")
    try:
        fail = failpoints(environ.get(ENV_FAILPOINTS, ""))
    except ValueError as bad:
        raise RefusedError(str(bad)) from None
    settings = LedgerSettings(
        folder=folder,
        terms=Terms(term_ms=_number(environ, "TERM_MS", 2000.0, 1.0)),
        poll_ms=_number(environ, "POLL_MS", 50.0, LEAST_POLL_MS),
        wait_ms=_number(environ, "WAIT_MS", 400.0, 1.0),
        sync=sync == "1",
        installation=environ.get(f"{ENV}_INSTALLATION", ""),
        most_bytes=int(_number(environ, "MB", 32.0, 1.0) * (1 << 20)),
        fail=fail,
    )
    terms = settings.terms
    slack = terms.act_part - terms.renew_part
    if settings.unknown_ms > slack * terms.term_ms:
        raise RefusedError(
            f"{ENV}_TERM_MS: {terms.term_ms:g} is too short for renewals that may take"
            f" {settings.unknown_ms:g} ({ENV}_WAIT_MS, _POLL_MS): at least {settings.unknown_ms / slack:g}"
        )
    return settings
