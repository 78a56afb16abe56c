"""Targets of fuzzing, and playing them: the corpus first, then made input, shrunk where it fails."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path

from hypothesis import HealthCheck, given, seed, settings, strategies as st


class FuzzError(AssertionError):
    """A reader broke its word; the text says how."""


@dataclass(frozen=True, slots=True)
class Target:
    """`check` takes bytes; `make` is where they come from."""

    name: str
    about: str
    check: Callable[[bytes], None]
    make: st.SearchStrategy[bytes]


@dataclass(slots=True)
class Fuzzed:
    """What came of one target: examples played, and the smallest input that fails, if any, with the
    reason."""

    target: str
    corpus: int = 0
    examples: int = 0
    failing: bytes | None = None
    why: str = ""


def corpus_of(folder: Path, target: str) -> Iterator[tuple[str, bytes]]:
    """Kept inputs of a target, by name."""
    for path in sorted((folder / target).glob("*")):
        yield path.name, path.read_bytes()


def fuzz(target: Target, examples: int, number: int, corpus: Sequence[tuple[str, bytes]] = ()) -> Fuzzed:
    """Plays the corpus, then so many made inputs by the seed `number`; stops at the first failure, shrunk."""
    found = Fuzzed(target.name)
    for name, data in corpus:
        found.corpus += 1
        try:
            target.check(data)
        except FuzzError as error:
            found.failing, found.why = data, f"corpus {name}: {error}"
            return found
    last: list[bytes] = [b""]

    @seed(number)
    @settings(
        max_examples=examples,
        database=None,
        deadline=None,
        suppress_health_check=list(HealthCheck),
        print_blob=False,
    )
    @given(target.make)
    def play(data: bytes) -> None:
        found.examples += 1
        last[0] = data
        target.check(data)

    try:
        play()
    except FuzzError as error:
        found.failing, found.why = last[0], str(error)
    return found
