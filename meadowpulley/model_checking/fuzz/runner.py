"""Targets of fuzzing, and playing them: the corpus first, then made input, shrunk where it fails."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path

from hypothesis import HealthCheck, given, seed, settings, strategies as st

from meadowpulley.model_checking.errors import ModelCheckingError


class FuzzError(ModelCheckingError, AssertionError):
    """A parser failed its check; the text has the reason."""


@dataclass(frozen=True, slots=True)
class Target:
    """`check` takes bytes; `make` is where they come from."""

    name: str
    description: str
    check: Callable[[bytes], None]
    inputs: st.SearchStrategy[bytes]


@dataclass(slots=True)
class FuzzResult:
    """What came of one target: examples played, and the smallest input that fails, if any, with the
    reason."""

    target: str
    corpus_count: int = 0
    example_count: int = 0
    failing_input: bytes | None = None
    reason: str = ""


def corpus_of(folder: Path, target: str) -> Iterator[tuple[str, bytes]]:
    """Return the stored inputs of a target, by name."""
    for path in sorted((folder / target).glob("*")):
        yield path.name, path.read_bytes()


def run_target(
    target: Target, max_examples: int, seed_number: int, corpus: Sequence[tuple[str, bytes]] = ()
) -> FuzzResult:
    """Plays the corpus, then so many made inputs by the seed `number`; stops at the first failure, shrunk."""
    result = FuzzResult(target.name)
    for name, data in corpus:
        result.corpus_count += 1
        try:
            target.check(data)
        except FuzzError as error:
            result.failing_input = data
            result.reason = f"corpus {name}: {error}"
            return result
    last_input: list[bytes] = [b""]

    @seed(seed_number)
    @settings(
        max_examples=max_examples,
        database=None,
        deadline=None,
        suppress_health_check=list(HealthCheck),
        print_blob=False,
    )
    @given(target.inputs)
    def play(data: bytes) -> None:
        """Check one generated input."""
        result.example_count += 1
        last_input[0] = data
        target.check(data)

    try:
        play()
    except FuzzError as error:
        result.failing_input = last_input[0]
        result.reason = str(error)
    return result
