"""The errors of placement experiments."""

from __future__ import annotations

from meadowpulley.errors import MeadowpulleyError
from meadowpulley.fleet import FleetError


class PlacementError(MeadowpulleyError):
    """The base of all errors that placement experiments raise."""


class ExperimentError(PlacementError, FleetError):
    """An experiment can't be run; the message says in one line what is wrong, where, and what to do."""


class ModelOverloadError(PlacementError, ValueError):
    """A queue of the supermarket model has reached its bound: the load is too high to simulate."""
