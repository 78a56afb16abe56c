"""Errors of the emulator."""

from __future__ import annotations

from meadowpulley.errors import MeadowpulleyError


class EmulationError(MeadowpulleyError):
    """The base of the errors of an emulated run."""


class MissingFaultSiteError(EmulationError):
    """A fault that affects a site names none."""

    def __init__(self, kind: str) -> None:
        super().__init__(f"fault {kind}: it names no site; set `site` in the scenario")
        self.kind = kind


class NoTakeoverStageError(EmulationError):
    """A gateway was asked for a takeover stage that it does not have."""

    def __init__(self, gateway: int) -> None:
        super().__init__(f"gateway {gateway}: no takeover stage; set `takeover` of the shared state")
        self.gateway = gateway
