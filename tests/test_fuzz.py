"""Fuzzing at the edges: the corpus and some hundred made inputs, the same every time; and that it finds."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from click.testing import CliRunner

from meadowpulley.cli import main
from meadowpulley.model_checking.fuzz import (
    TARGETS,
    FuzzError,
    Target,
    control_plane,
    corpus_of,
    http,
    parse_pieces,
    run_target,
)
from meadowpulley.net.http1 import Message, Parser

CORPUS = Path(__file__).parent / "corpus"


@pytest.mark.parametrize("name", TARGETS)
def test_readers_keep_their_word(name: str) -> None:
    found = run_target(TARGETS[name], 150, 20261201, list(corpus_of(CORPUS, name)))
    assert found.failing_input is None, (found.reason, found.failing_input)
    assert found.corpus_count > 0 and found.example_count >= 150


def test_the_same_seed_plays_the_same_inputs(monkeypatch: pytest.MonkeyPatch) -> None:
    played: list[list[bytes]] = []
    for _ in range(2):
        seen: list[bytes] = []
        target = Target("x", "", seen.append, TARGETS["answers"].inputs)
        run_target(target, 30, 5)
        played.append(seen)
    assert played[0] == played[1] and len(set(played[0])) > 10


def test_a_parser_that_depends_on_the_pieces_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    real = Parser.next_message

    def hasty(self: Parser) -> Message | None:  # the planted bug: a body is whole once any of it is there
        if self._remaining and 0 < len(self._buffer) < self._remaining:
            self._remaining = len(self._buffer)
        return real(self)

    monkeypatch.setattr(Parser, "next_message", hasty)
    found = run_target(TARGETS["requests"], 500, 1)
    assert found.failing_input is not None and ("in pieces" in found.reason or "passed on" in found.reason)


def test_an_exception_of_another_kind_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    class Stand:
        def server_id(self, name: str) -> int:
            return 1

        def decode(self, raw: object) -> None:
            raise IndexError("planted")

    monkeypatch.setattr(control_plane, "EndpointListDecoder", lambda *_: Stand())
    with pytest.raises(FuzzError, match="IndexError: planted"):
        control_plane.check_endpoint_list(b"{}")


def test_work_beyond_its_bound_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(http, "MAX_BYTES_READ_PER_PIECE", 10)
    with pytest.raises(FuzzError, match="bytes looked at"):
        parse_pieces(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n" * 20, True, 30)


def test_what_fails_is_kept_in_the_corpus(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    def fails(data: bytes) -> None:
        if b"H" in data:
            raise FuzzError("planted")

    target = TARGETS["answers"]
    monkeypatch.setitem(TARGETS, "answers", Target("answers", "", fails, target.inputs))
    args = ["check", "fuzz", "--target", "answers", "--examples", "50", "--corpus", str(tmp_path), "--json"]
    done = CliRunner().invoke(main, args)
    [told] = json.loads(done.stdout)
    [kept] = list((tmp_path / "answers").iterdir())
    assert done.exit_code == 1 and told["why"] == "planted" and b"H" in kept.read_bytes()
    assert CliRunner().invoke(main, ["check", "fuzz", "--target", "nowhere"]).exit_code == 2
