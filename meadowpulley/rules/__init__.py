"""The five rules as invariants over a trace, for every rig: emulator, stand-ins on loopback, model checker.

Reading order: `trace` (what a rig writes down), `figures`, `checker` (what must hold of it), `together` (what
must hold of gateways that stand in for each other).
"""

from meadowpulley.rules.checker import Breach, Checker
from meadowpulley.rules.figures import Figures
from meadowpulley.rules.together import SharedFigures
from meadowpulley.rules.trace import (
    Admitted,
    Adopted,
    Answered,
    Claimed,
    Closed,
    Counted,
    Died,
    Fell,
    Given,
    Gone,
    KeyAnswered,
    Left,
    Listed,
    News,
    Outcome,
    Record,
    Sealed,
    Sent,
    Started,
    Stopped,
    Taken,
    Woke,
    Written,
    read_trace,
    trace_line,
)

__all__ = [
    "Admitted",
    "Adopted",
    "Answered",
    "Breach",
    "Checker",
    "Claimed",
    "Closed",
    "Counted",
    "Died",
    "Fell",
    "Figures",
    "Given",
    "Gone",
    "KeyAnswered",
    "Left",
    "Listed",
    "News",
    "Outcome",
    "Record",
    "Sealed",
    "Sent",
    "SharedFigures",
    "Started",
    "Stopped",
    "Taken",
    "Woke",
    "Written",
    "read_trace",
    "trace_line",
]
