"""The errors of placement experiments."""

from __future__ import annotations

from meadowpulley.errors import MeadowpulleyError
from meadowpulley.fleet import FleetError


class PlacementError(MeadowpulleyError):
    """The base of all errors that placement experiments raise."""


class ExperimentError(PlacementError, FleetError):
    """Report an experiment that can't be run in one line: what is wrong, where, and what to do."""


class ModelOverloadError(PlacementError, ValueError):
    """Report a load that the supermarket model can't carry."""
