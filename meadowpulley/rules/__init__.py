"""The five rules as invariants over a trace, for every rig: emulator, stand-ins on loopback, model checker.

Reading order: `trace` (what a rig writes down), `checker` (what must hold of it).
"""

from meadowpulley.rules.checker import Breach, Checker, Figures
from meadowpulley.rules.trace import (
    Answered,
    Died,
    Fell,
    Gone,
    KeyAnswered,
    Listed,
    News,
    Outcome,
    Record,
    Sent,
    Started,
    Taken,
    read_trace,
    trace_line,
)

__all__ = [
    "Answered",
    "Breach",
    "Checker",
    "Died",
    "Fell",
    "Figures",
    "Gone",
    "KeyAnswered",
    "Listed",
    "News",
    "Outcome",
    "Record",
    "Sent",
    "Started",
    "Taken",
    "read_trace",
    "trace_line",
]
