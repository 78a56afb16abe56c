"""The stored formats of the model checker: bytes of the version with the earlier names are read and kept."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest

from meadowpulley.model_checking.checkpoint import Checkpoint
from meadowpulley.model_checking.counterexample import TraceStep, read_counterexample, write_counterexample
from meadowpulley.model_checking.model import ModelSettings, Step
from meadowpulley.model_checking.mutation_testing import MutationResult

STORED = sorted((Path(__file__).parent / "counterexamples").glob("*.json"))
CHECKPOINT = (
    b"\x88\xa7version\x01\xa7setting\x8a\xa5world\xa9decisions\xa5scene\xa4keys\xa8gateways\x02\xa7servers\x03"
    b"\xa8requests\x04\xa8troubles\x01\xa5waits\x04\xa8symmetry\xc3\xa7ordered\xc3\xa6hashed\xc3\xa6mutant"
    b"\xaadrain-edge\xa4code\xa4c0de\xa8frontier\x91\xc4\x03\x00\x01\x00\xa4seen\xc4\x08\x07\x00\x00\x00\x00\x00"
    b"\x00\x00\xa5spent\xcb@\x04\x00\x00\x00\x00\x00\x00\xa6levels\x91\x95\x01\x01\x02\x01\xcb?\xe0\x00\x00\x00"
    b"\x00\x00\x00"
)
MUTATION_RESULT = (
    b'{"mutant":"drain-edge","seed":1,"by":"drains","text":"late","how":"walk","states":9,'
    b'"steps":[{"do":"wait","who":["at"],"draws":[1]}],"seconds":0.5,"expected":true}'
)
TRACE_STEP = b'{"number":1,"at_ms":2.5,"text":"time goes on","heard":[["a","b","c"]],"broken":["x"]}'


@pytest.mark.parametrize("file", STORED, ids=[path.stem for path in STORED])
def test_a_stored_counterexample_is_written_as_it_was_read(file: Path, tmp_path: Path) -> None:
    written = tmp_path / file.name
    write_counterexample(read_counterexample(file), written)
    assert written.read_bytes() == file.read_bytes()


def test_a_checkpoint_keeps_its_encoded_names() -> None:
    checkpoint = msgspec.msgpack.decode(CHECKPOINT, type=Checkpoint)
    assert checkpoint.settings == ModelSettings(configuration="keys", faults=1)
    assert (checkpoint.mutant, checkpoint.code_digest) == ("drain-edge", "c0de")
    assert checkpoint.visited_keys() == {7} and checkpoint.elapsed_s == 2.5
    assert msgspec.msgpack.encode(checkpoint) == CHECKPOINT


def test_what_the_commands_print_keeps_its_names() -> None:
    result = msgspec.json.decode(MUTATION_RESULT, type=MutationResult)
    assert (result.violated_property, result.search_method, result.as_expected) == ("drains", "walk", True)
    assert result.steps == (Step("wait", ("at",), (1,)),)
    assert msgspec.json.encode(result) == MUTATION_RESULT
    step = msgspec.json.decode(TRACE_STEP, type=TraceStep)
    assert step.messages == (("a", "b", "c"),) and step.violations == ("x",)
    assert msgspec.json.encode(step) == TRACE_STEP
