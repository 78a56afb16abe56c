"""The models of the model checker, and counterexamples as people get them."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner, Result

from meadowpulley.cli import main
from meadowpulley.interface import Action, ClientDisconnected, Event, GossipReceived, Request, SendGossip
from meadowpulley.model_checking import ModelSettings, counterexample as counterexamples
from meadowpulley.model_checking.connection_model import ConnectionModel, cut_points, request_bytes_of
from meadowpulley.model_checking.graph import Copier, FormRules, FormWriter, fingerprint_of
from meadowpulley.model_checking.model import Step
from meadowpulley.model_checking.policy_model import PolicyModel
from meadowpulley.policy import RolloutPolicy

TINY = ModelSettings(configuration="attempts", gateways=1, servers=2, requests=1, faults=1, time_advances=1)


def run(*args: object) -> Result:
    return CliRunner().invoke(main, [str(a) for a in args])


# Copies and forms


def test_a_copy_of_a_policy_is_its_own_and_decides_the_same() -> None:
    model = PolicyModel(ModelSettings(configuration="release", gateways=1, requests=3))
    model.apply(Step("ask", (0, 0)))
    twin = model.copy()
    before = model.fingerprint()
    assert twin.fingerprint() == before
    twin.apply(Step("ask", (0, 1)))
    assert model.fingerprint() == before != twin.fingerprint()
    again = model.copy()
    again.apply(Step("ask", (0, 1)))
    assert again.fingerprint() == twin.fingerprint()


def test_a_copied_connection_model_goes_on_as_the_played_one() -> None:
    settings = ModelSettings(model="connection", configuration="unsafe", servers=1, requests=1)
    length = len(request_bytes_of("post", "c0r0"))
    steps = [Step("connect", (0,)), Step("write", (0, 1)), Step("write", (0, length))]
    played, copied = ConnectionModel(settings), ConnectionModel(settings)
    for step in steps:
        copied = copied.copy()
        assert played.apply(step) == copied.apply(step) == ((), ())
        assert played.fingerprint() == copied.fingerprint()
    copied.apply(Step("answer", (0, "ok")))
    assert played.fingerprint() != copied.fingerprint()
    assert ("gateway", "client 0", "answers 200") in copied.messages


class Thing:
    def __init__(self) -> None:
        self.parts: list[Any] = [{"a": 1}, (2, 3)]
        self.me = self
        self.call = lambda: self.parts


def test_graphs_with_circles_and_captured_names_are_copied() -> None:
    thing = Thing()
    twin = Copier().copy(thing)
    twin.parts.append(4)
    assert twin.me is twin and twin.call() is twin.parts and len(thing.parts) == 2
    forms = FormRules({}, {})
    assert FormWriter(forms).write(thing) != FormWriter(forms).write(twin)
    assert fingerprint_of(FormWriter(forms).write(thing)) == fingerprint_of(FormWriter(forms).write(Thing()))


def test_a_new_field_of_the_policy_makes_another_state() -> None:
    model = PolicyModel(TINY)
    before = model.fingerprint()
    gateway = model.gateways[0] = model.gateways[0].copy()
    policy: Any = gateway.policy
    policy.some_new_note = 1
    assert model.fingerprint() != before


# The models


class GossipingPolicy(RolloutPolicy):
    """A policy that sends gossip on each request, which the real one never does."""

    heard = 0

    def handle(self, now: float, event: Event) -> list[Action]:
        if isinstance(event, GossipReceived):
            self.heard += 1
        gossip: list[Action] = [SendGossip(None, b"x")] if isinstance(event, Request) else []
        return super().handle(now, event) + gossip


def test_datagrams_arrive_get_lost_and_come_again() -> None:
    model = PolicyModel(ModelSettings(configuration="all", gateways=2, faults=3), make_policy=GossipingPolicy)
    model.apply(Step("ask", (0, 0)))
    model.apply(Step("repeat_datagram", (0, 0)))
    model.apply(Step("datagram", (0, 0)))
    model.apply(Step("ask", (1, 1)))
    model.apply(Step("lose_datagram", (1, 0)))
    policies = [gateway.policy for gateway in model.gateways]
    assert [policy.heard for policy in policies if isinstance(policy, GossipingPolicy)] == [0, 2]


def test_edges_are_met_just_before_at_and_just_after() -> None:
    model = PolicyModel(
        ModelSettings(configuration="members", gateways=1, requests=1, faults=1, time_advances=9)
    )
    model.apply(Step("drain", (1,)))
    model.apply(Step("list", (0, 1)))
    places = {
        s.arguments: s for s in model.enabled_steps() if s.action == "wait" and s.arguments[0] == "drain"
    }
    assert set(places) == {("drain", "before"), ("drain", "at"), ("drain", "after")}
    began = model.now
    for place, at in (("before", 99.0), ("at", 100.0), ("after", 101.0)):
        twin = model.copy()
        twin.apply(Step("wait", ("drain", place)))
        assert twin.now - began == at


def test_requests_are_cut_at_the_boundaries_that_matter() -> None:
    text = request_bytes_of("post", "c0r0")
    cuts = cut_points(text)
    line, head = text.find(b"\r\n"), text.find(b"\r\n\r\n")
    assert {1, line + 1, line + 2, head + 3, head + 4, len(text)} <= set(cuts) and cuts == tuple(sorted(cuts))


# Counterexamples


@pytest.fixture(scope="module")
def counterexample(tmp_path_factory: pytest.TempPathFactory) -> Path:
    folder = tmp_path_factory.mktemp("tales")
    done = run("check", "mutants", "--mutant", "memory-overrun", "--out", folder, "--workers", 1, "--json")
    assert done.exit_code == 0, done.output
    [caught] = json.loads(done.stdout)
    assert caught["by"] == "effects" and caught["expected"]
    return folder / "memory-overrun-1.json"


def test_a_counterexample_replays_and_does_not_break_todays_code(counterexample: Path) -> None:
    done = run("check", "replay", counterexample)
    assert done.exit_code == 0 and "nothing breaks on today's code" in done.stdout
    assert "  1. a client sends gateway 0 a" in done.stdout


def test_a_stored_counterexample_is_replayed_by_the_tests(counterexample: Path, tmp_path: Path) -> None:
    done = run("check", "keep", counterexample, "--into", tmp_path, "--json")
    kept = Path(json.loads(done.stdout)["file"])
    assert (
        kept.read_bytes() == counterexample.read_bytes()
        and counterexamples.violations_of(counterexamples.read_counterexample(kept)) == []
    )
    assert run("check", "keep", counterexample, "--into", tmp_path).exit_code == 2


def test_a_report_draws_who_spoke_to_whom(counterexample: Path, tmp_path: Path) -> None:
    page = tmp_path / "story.html"
    assert run("check", "report", counterexample, "--out", page).exit_code == 0
    drawn = (tmp_path / "story.svg").read_text()
    assert drawn.startswith("<svg") and "gateway 0" in drawn and "order" in page.read_text()


def test_shrinking_leaves_out_what_is_not_needed() -> None:
    class LeakingPolicy(RolloutPolicy):
        def handle(self, now: float, event: Event) -> list[Action]:  # what left is kept: the planted bug
            return [] if isinstance(event, ClientDisconnected) else super().handle(now, event)

    def make_leaking_model(settings: ModelSettings, **_: Any) -> PolicyModel:
        return PolicyModel(settings, make_policy=LeakingPolicy)

    settings = ModelSettings(
        configuration="members", gateways=2, servers=1, requests=2, faults=2, ordered_gateways=False
    )
    steps = (
        Step("gone", (1,)),
        Step("ask", (1, 1)),
        Step("list", (0, 1)),
        Step("ask", (0, 0)),
        Step("leave", (0, 1)),
    )
    monkeypatch = pytest.MonkeyPatch()
    monkeypatch.setattr(counterexamples, "make_model", make_leaking_model)
    try:
        long = counterexamples.violating_prefix(settings, steps, "leftovers")
        assert long is not None and len(long) == 5
        found = counterexamples.shrink(counterexamples.Counterexample(1, settings, "leftovers", "", long))
    finally:
        monkeypatch.undo()
    assert [s.action for s in found.steps] == ["gone", "list", "ask", "leave"]


@pytest.mark.parametrize(
    ("raw", "printed"),
    [
        (b"{", "Input data was truncated"),
        (b'{"version": 9, "setting": {}, "property": "answers", "text": "", "steps": []}', "version 9"),
        (b'{"version": 1, "setting": {}, "property": "x", "text": "", "steps": []}', "property 'x'"),
        (b'{"version": 1, "setting": {"gates": 2}, "property": "x", "text": "", "steps": []}', "gates"),
    ],
)
def test_a_bad_counterexample_is_one_line(tmp_path: Path, raw: bytes, printed: str) -> None:
    path = tmp_path / "bad.json"
    path.write_bytes(raw)
    done = run("check", "replay", path)
    assert done.exit_code == 2 and printed in done.stderr and len(done.stderr.splitlines()) == 1


def test_the_command_tells_what_was_covered() -> None:
    done = run(
        "check",
        "run",
        "--scene",
        "window",
        "--gateways",
        1,
        "--servers",
        2,
        "--requests",
        2,
        "--troubles",
        0,
        "--workers",
        1,
        "--walks",
        3,
        "--walk-steps",
        10,
        "--json",
    )
    [printed] = json.loads(done.stdout)
    assert done.exit_code == 0 and printed["complete"] and printed["walks"] == 3
    assert printed["covered"] == "all within at most 0 troubles and 1 waits a path"
    assert run("check", "run", "--scene", "nowhere").exit_code == 2
    assert run("check", "mutants", "--mutant", "nowhere").exit_code == 2
