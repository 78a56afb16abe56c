"""Names of an experiment's records in the ledger, below `Experiment.record_key`: a stored format."""

from __future__ import annotations

# Last part of the key of the running definition, `placement/{experiment}/running`. The keys of all other
# records also contain the version: `placement/{experiment}/{version}/{name}`.
DEFINITION = "running"
FINISHED = "over"
COUNTERS = "count/"  # prefix; followed by the incarnation
SEGMENTS = "bins/"  # prefix; followed by the incarnation and the segment's index
ENDED_ARMS = "ended/"  # prefix; followed by the arm's index


def counters_name(incarnation: str) -> str:
    """Return the name of the record with an incarnation's counters."""
    return f"{COUNTERS}{incarnation}"


def segment_name(incarnation: str, index: int) -> str:
    """Return the name of the record with one segment of an incarnation's time bins."""
    return f"{SEGMENTS}{incarnation}/{index}"


def ended_arm_name(arm: int) -> str:
    """Return the name of the record which states that an arm has ended."""
    return f"{ENDED_ARMS}{arm}"
