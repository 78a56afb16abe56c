"""Fuzzing of every parser of external bytes, with generated and with corrupted input.

A target takes bytes and raises `FuzzError` where the parser fails a check: an exception that is not its
own, another result when the same bytes come in other pieces, a message that does not survive being written
and read again, more work than its bound. Hypothesis makes the bytes and shrinks what fails; the corpus is
played first.

Reading order: `play` (targets and how they are played), `made` (what all grammars share), then the readers:
`http`, `lines` (lists and the platform's lines), `files` (configurations and captures).
"""

from meadowpulley.model_checking.fuzz.control_plane import LINES
from meadowpulley.model_checking.fuzz.files import FILES
from meadowpulley.model_checking.fuzz.http import HTTP, parse_pieces
from meadowpulley.model_checking.fuzz.runner import FuzzError, FuzzResult, Target, corpus_of, run_target

TARGETS = {t.name: t for t in (*HTTP, *LINES, *FILES)}

__all__ = ["TARGETS", "FuzzError", "FuzzResult", "Target", "corpus_of", "parse_pieces", "run_target"]
