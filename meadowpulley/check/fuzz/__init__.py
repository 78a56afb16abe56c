"""Fuzzing at the edges: every reader of bytes that come from elsewhere, by grammar and by spoiling.

A target takes bytes and raises `FuzzError` where the reader breaks its word: an exception that is not its
own, another result when the same bytes come in other pieces, a message that does not survive being written
and read again, more work than its bound. Hypothesis makes the bytes and shrinks what fails; the corpus is
played first.

Reading order: `play` (targets and how they are played), `made` (what all grammars share), then the readers:
`http`, `lines` (lists and the platform's lines), `files` (configurations and captures).
"""

from meadowpulley.check.fuzz.files import FILES
from meadowpulley.check.fuzz.http import HTTP, parse_pieces
from meadowpulley.check.fuzz.lines import LINES
from meadowpulley.check.fuzz.play import Fuzzed, FuzzError, Target, corpus_of, fuzz

TARGETS = {t.name: t for t in (*HTTP, *LINES, *FILES)}

__all__ = ["TARGETS", "FuzzError", "Fuzzed", "Target", "corpus_of", "fuzz", "parse_pieces"]
