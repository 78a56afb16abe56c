"""Names of an experiment's records in the ledger, below `Experiment.record_key`: a stored format."""

from __future__ import annotations

DEFINITION = "running"  # the only one with a key of its own: `Experiment.definition_key`
FINISHED = "over"
COUNTERS = "count/"  # of an incarnation
SEGMENTS = "bins/"  # of an incarnation, numbered
ENDED_ARMS = "ended/"  # by the arm's index


def counters_name(incarnation: str) -> str:
    """Return the name of an incarnation's counters."""
    return f"{COUNTERS}{incarnation}"


def segment_name(incarnation: str, index: int) -> str:
    """Return the name of an incarnation's segment of time bins."""
    return f"{SEGMENTS}{incarnation}/{index}"


def ended_arm_name(arm: int) -> str:
    """Return the name of the record that an arm has ended."""
    return f"{ENDED_ARMS}{arm}"
