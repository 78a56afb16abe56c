"""The model checker: what it explores, what it finds, and that its reductions hide nothing."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner, Result
from msgspec.structs import replace

from meadowpulley import interface as i
from meadowpulley.balance import Balancer
from meadowpulley.check import (
    CheckpointError,
    Coverage,
    Search,
    Setting,
    explore as explorer,
    make_world,
    mutate,
    story as stories,
)
from meadowpulley.check.choices import Choices, ScriptError, alternatives
from meadowpulley.check.connection import SCENES as CONNECTIONS, Connection, cuts_of, request_text
from meadowpulley.check.decisions import Decisions
from meadowpulley.check.graph import Copier, Forms, Walker, digest
from meadowpulley.check.mutants import MUTANTS
from meadowpulley.check.plant import hunt_all
from meadowpulley.check.scenes import SCENES
from meadowpulley.check.worlds import Step
from meadowpulley.cli import main

KEPT = sorted((Path(__file__).parent / "counterexamples").glob("*.json"))
TINY = Setting(scene="attempts", gateways=1, servers=2, requests=1, troubles=1, waits=1)
PAIR = Setting(scene="release", gateways=2, servers=2, requests=2, troubles=0, waits=1)
FAST = ("unsafe-retried", "drain-edge", "window-edge", "late-answer-unbound", "timer-lost", "cold-ignored",
        "slot-kept", "split-head-missed", "noise-behind-kept", "drain-never-ends", "ends-twice")  # fmt: skip


def search(setting: Setting, workers: int = 1, **more: Any) -> Coverage:
    one = Search(setting, workers=workers, **more)
    try:
        return one.run()
    finally:
        one.close()


def run(*args: object) -> Result:
    return CliRunner().invoke(main, [str(a) for a in args])


def end_states(setting: Setting) -> set[Any]:
    """The states that a search comes to just after time has moved: whatever order led there."""
    found, world = set(), make_world(setting)
    todo, seen = [world], {world.fingerprint()}
    while todo:
        world = todo.pop()
        for step in world.steps():
            scripts: list[tuple[int, ...]] = [()]
            while scripts:
                script = scripts.pop()
                after = world.copy()
                made, among = after.take(replace(step, draws=script))
                scripts += alternatives(made, among, len(script))
                mark = after.fingerprint()
                if step.do == "wait":
                    found.add(mark)
                if mark not in seen:
                    seen.add(mark)
                    todo.append(after)
    return found


# Nothing breaks within small bounds


@pytest.mark.parametrize("scene", SCENES)
def test_no_property_of_the_decisions_breaks_within_small_bounds(scene: str) -> None:
    setting = Setting(scene=scene, gateways=1, servers=2, requests=2, troubles=1, waits=1)
    coverage = Search(setting, workers=1).run(depth=3 if scene == "all" else 4)
    assert coverage.counterexample is None, coverage.counterexample
    assert coverage.states > 50


@pytest.mark.parametrize("scene", CONNECTIONS)
def test_no_property_of_a_connection_breaks_within_small_bounds(scene: str) -> None:
    setting = Setting(world="connection", scene=scene, servers=1, requests=1, troubles=1, waits=1)
    coverage = Search(setting, workers=1).run(depth=4)
    assert coverage.counterexample is None, coverage.counterexample
    assert coverage.states > 10


@pytest.mark.parametrize("file", KEPT, ids=[p.stem for p in KEPT])
def test_a_kept_counterexample_breaks_nothing_today(file: Path) -> None:
    assert not stories.broken_of(stories.read_tale(file))


# Planted bugs


def test_planted_bugs_are_found_by_the_property_meant_for_them() -> None:
    found = hunt_all(FAST, [1, 2], 60.0, workers=4)
    assert [(c.mutant, c.seed) for c in found if not c.expected] == []
    shortest = {c.mutant: len(c.steps) for c in found if c.seed == 1}
    assert all(len(c.steps) == shortest[c.mutant] for c in found)  # breadth first: whatever the order


def test_every_mutant_can_be_planted_and_there_are_enough() -> None:
    assert len(MUTANTS) >= 40
    for mutant in MUTANTS.values():
        mutate.check(mutant)


def test_a_mutant_whose_piece_is_gone_is_named() -> None:
    piece = (("no such line", ""),)
    stale = mutate.Mutant("stale", "", "meadowpulley.balance", piece, ("answers",), "attempts")
    with pytest.raises(mutate.MutantError, match=r"mutant stale: 'no such line' stands 0 times"):
        mutate.check(stale)


# Reductions


def test_the_same_is_reached_without_hashing() -> None:
    hashed, whole = search(TINY), search(replace(TINY, hashed=False))
    assert hashed.complete and whole.complete and hashed.states == whole.states
    assert [v.states for v in hashed.levels] == [v.states for v in whole.levels]


def test_symmetry_merges_states_and_hides_no_kind_of_state() -> None:
    merged, plain = search(TINY), search(replace(TINY, symmetry=False))
    assert merged.complete and plain.complete and merged.states < plain.states
    named = replace(TINY, symmetry=False)
    kinds = set()
    todo, seen = [make_world(named)], set()
    while todo:  # every plain state, written in canonical form, is one of the merged ones
        world = todo.pop()
        for step in world.steps():
            scripts: list[tuple[int, ...]] = [()]
            while scripts:
                script = scripts.pop()
                after: Any = world.copy()
                made, among = after.take(replace(step, draws=script))
                scripts += alternatives(made, among, len(script))
                mark = after.fingerprint()
                after.setting = TINY
                kinds.add(after.fingerprint())
                after.setting = named
                if mark not in seen:
                    seen.add(mark)
                    todo.append(after)
    assert len(kinds) == merged.states


def test_the_order_of_gateways_within_a_moment_hides_no_state() -> None:
    plain = replace(PAIR, symmetry=False)
    ordered, free = end_states(plain), end_states(replace(plain, ordered=False))
    assert ordered == free and len(ordered) > 10


def test_workers_and_seeds_change_nothing_but_the_time() -> None:
    setting = replace(TINY, requests=2, waits=0)
    one, many = search(setting, seed=1), search(setting, workers=2, seed=9)
    assert one.complete and many.complete
    assert [(v.states, v.taken) for v in one.levels] == [(v.states, v.taken) for v in many.levels]


# Checkpoints and bounds


def test_an_interrupted_search_goes_on_from_its_checkpoint(tmp_path: Path) -> None:
    whole, path = search(TINY), tmp_path / "check.point"
    first = Search(TINY, workers=1, checkpoint=path)
    assert first.run(depth=2).stopped == "the depth of 2 steps"
    second = Search(TINY, workers=1, checkpoint=path)
    done = second.run()
    assert done.complete and done.states == whole.states
    with pytest.raises(CheckpointError, match="is of another run"):
        Search(replace(TINY, requests=2), workers=1, checkpoint=path)
    path.write_bytes(path.read_bytes()[:-1])
    with pytest.raises(CheckpointError, match="is not whole"):
        Search(TINY, workers=1, checkpoint=path)


def test_a_checkpoint_of_other_code_is_refused(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    path = tmp_path / "check.point"
    Search(TINY, workers=1, checkpoint=path).run(depth=1)
    monkeypatch.setattr(explorer, "code_digest", lambda: "other")
    with pytest.raises(CheckpointError, match="the code under test has changed"):
        Search(TINY, workers=1, checkpoint=path)


def test_seeded_walks_go_deeper_and_are_the_same_again() -> None:
    setting = replace(PAIR, requests=4, troubles=2, waits=4)
    walks = [Search(setting, seed=3, workers=1).walk(6, 40) for _ in range(2)]
    assert walks[0].walked == walks[1].walked > 6 * 5 and walks[0].counterexample is None


def test_paths_are_packed_and_unpacked() -> None:
    path = explorer.pack(3, (0, 2)) + explorer.pack(700, ()) + explorer.pack(0, (1,))
    assert explorer.unpack(path) == [(3, (0, 2)), (700, ()), (0, (1,))]


# Chance


def test_draws_are_explored_to_the_last() -> None:
    choices, seen = Choices(), set()
    scripts: list[tuple[int, ...]] = [()]
    while scripts:
        script = scripts.pop()
        choices.begin(script)
        pair = choices.sample([1, 2, 3], 2)
        seen.add((frozenset(pair), choices.random() < 0.5))
        scripts += alternatives(choices.made, choices.among, len(script))
    assert len(seen) == 6


def test_a_draw_that_nobody_explores_is_named_and_a_script_that_does_not_fit_is_refused() -> None:
    choices = Choices()
    with pytest.raises(AttributeError, match="'gauss', which is not explored"):
        choices.gauss(0, 1)
    choices.begin((7,))
    with pytest.raises(ScriptError, match="draw 1 is one of 2, not number 7"):
        choices.random()


# Copies and forms


def test_a_copy_of_a_balancer_is_its_own_and_decides_the_same() -> None:
    world = Decisions(Setting(scene="release", gateways=1, requests=3))
    world.take(Step("ask", (0, 0)))
    twin = world.copy()
    before = world.fingerprint()
    assert twin.fingerprint() == before
    twin.take(Step("ask", (0, 1)))
    assert world.fingerprint() == before != twin.fingerprint()
    again = world.copy()
    again.take(Step("ask", (0, 1)))
    assert again.fingerprint() == twin.fingerprint()


def test_a_copied_connection_world_goes_on_as_the_played_one() -> None:
    setting = Setting(world="connection", scene="unsafe", servers=1, requests=1)
    length = len(request_text("post", "c0r0"))
    steps = [Step("connect", (0,)), Step("write", (0, 1)), Step("write", (0, length))]
    played, copied = Connection(setting), Connection(setting)
    for step in steps:
        copied = copied.copy()
        assert played.take(step) == copied.take(step) == ((), ())
        assert played.fingerprint() == copied.fingerprint()
    copied.take(Step("answer", (0, "ok")))
    assert played.fingerprint() != copied.fingerprint()
    assert ("gateway", "client 0", "answers 200") in copied.heard


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
    forms = Forms({}, {})
    assert Walker(forms).walk(thing) != Walker(forms).walk(twin)
    assert digest(Walker(forms).walk(thing)) == digest(Walker(forms).walk(Thing()))


def test_a_new_field_of_the_decisions_makes_another_state() -> None:
    world = Decisions(TINY)
    before = world.fingerprint()
    host = world.hosts[0] = world.hosts[0].copy()
    host.balancer.some_new_note = 1
    assert world.fingerprint() != before


# The worlds


class Talker(Balancer):
    """Decisions that tell their peers of each request: today's never do."""

    heard = 0

    def handle(self, now: float, event: i.Event) -> list[i.Action]:
        if isinstance(event, i.PeerMessage):
            self.heard += 1
        told: list[i.Action] = [i.TellPeer(None, b"x")] if isinstance(event, i.Request) else []
        return super().handle(now, event) + told


def test_datagrams_arrive_get_lost_and_come_again() -> None:
    world = Decisions(Setting(scene="all", gateways=2, troubles=3), make=Talker)
    world.take(Step("ask", (0, 0)))
    world.take(Step("repeat_datagram", (0, 0)))
    world.take(Step("datagram", (0, 0)))
    world.take(Step("ask", (1, 1)))
    world.take(Step("lose_datagram", (1, 0)))
    assert [h.balancer.heard for h in world.hosts] == [0, 2]


def test_edges_are_met_just_before_at_and_just_after() -> None:
    world = Decisions(Setting(scene="members", gateways=1, requests=1, troubles=1, waits=9))
    world.take(Step("drain", (1,)))
    world.take(Step("list", (0, 1)))
    places = {s.who: s for s in world.steps() if s.do == "wait" and s.who[0] == "drain"}
    assert set(places) == {("drain", "before"), ("drain", "at"), ("drain", "after")}
    began = world.now
    for place, at in (("before", 99.0), ("at", 100.0), ("after", 101.0)):
        twin = world.copy()
        twin.take(Step("wait", ("drain", place)))
        assert twin.now - began == at


def test_requests_are_cut_at_the_boundaries_that_matter() -> None:
    text = request_text("post", "c0r0")
    cuts = cuts_of(text)
    line, head = text.find(b"\r\n"), text.find(b"\r\n\r\n")
    assert {1, line + 1, line + 2, head + 3, head + 4, len(text)} <= set(cuts) and cuts == tuple(sorted(cuts))


# Stories


@pytest.fixture(scope="module")
def tale(tmp_path_factory: pytest.TempPathFactory) -> Path:
    folder = tmp_path_factory.mktemp("tales")
    done = run("check", "mutants", "--mutant", "memory-overrun", "--out", folder, "--workers", 1, "--json")
    assert done.exit_code == 0, done.output
    [caught] = json.loads(done.stdout)
    assert caught["by"] == "effects" and caught["expected"]
    return folder / "memory-overrun-1.json"


def test_a_counterexample_replays_and_does_not_break_todays_code(tale: Path) -> None:
    done = run("check", "replay", tale)
    assert done.exit_code == 0 and "nothing breaks on today's code" in done.stdout
    assert "  1. a client sends gateway 0 a" in done.stdout


def test_a_kept_counterexample_is_played_by_the_tests(tale: Path, tmp_path: Path) -> None:
    done = run("check", "keep", tale, "--into", tmp_path, "--json")
    kept = Path(json.loads(done.stdout)["file"])
    assert kept.read_bytes() == tale.read_bytes() and stories.broken_of(stories.read_tale(kept)) == []
    assert run("check", "keep", tale, "--into", tmp_path).exit_code == 2


def test_a_report_draws_who_spoke_to_whom(tale: Path, tmp_path: Path) -> None:
    page = tmp_path / "story.html"
    assert run("check", "report", tale, "--out", page).exit_code == 0
    drawn = (tmp_path / "story.svg").read_text()
    assert drawn.startswith("<svg") and "gateway 0" in drawn and "order" in page.read_text()


def test_shrinking_leaves_out_what_is_not_needed() -> None:
    class Leaky(Balancer):
        def handle(self, now: float, event: i.Event) -> list[i.Action]:  # what left is kept: the planted bug
            return [] if isinstance(event, i.RequestGone) else super().handle(now, event)

    def worlds(setting: Setting, **_: Any) -> Decisions:
        return Decisions(setting, make=Leaky)

    setting = Setting(scene="members", gateways=2, servers=1, requests=2, troubles=2, ordered=False)
    steps = (Step("gone", (1,)), Step("ask", (1, 1)), Step("list", (0, 1)), Step("ask", (0, 0)),
             Step("leave", (0, 1)))  # fmt: skip
    patch = pytest.MonkeyPatch()
    patch.setattr(stories, "make_world", worlds)
    try:
        long = stories.still_breaks(setting, steps, "leftovers")
        assert long is not None and len(long) == 5
        found = stories.shrink(stories.Tale(1, setting, "leftovers", "", long))
    finally:
        patch.undo()
    assert [s.do for s in found.steps] == ["gone", "list", "ask", "leave"]


@pytest.mark.parametrize(
    ("raw", "told"),
    [
        (b"{", "Input data was truncated"),
        (b'{"version": 9, "setting": {}, "property": "answers", "text": "", "steps": []}', "version 9"),
        (b'{"version": 1, "setting": {}, "property": "x", "text": "", "steps": []}', "property 'x'"),
        (b'{"version": 1, "setting": {"gates": 2}, "property": "x", "text": "", "steps": []}', "gates"),
    ],
)
def test_a_bad_counterexample_is_one_line(tmp_path: Path, raw: bytes, told: str) -> None:
    path = tmp_path / "bad.json"
    path.write_bytes(raw)
    done = run("check", "replay", path)
    assert done.exit_code == 2 and told in done.stderr and len(done.stderr.splitlines()) == 1


def test_the_command_tells_what_was_covered() -> None:
    done = run("check", "run", "--scene", "window", "--gateways", 1, "--servers", 2, "--requests", 2,
               "--troubles", 0, "--workers", 1, "--walks", 3, "--walk-steps", 10, "--json")  # fmt: skip
    [told] = json.loads(done.stdout)
    assert done.exit_code == 0 and told["complete"] and told["walks"] == 3
    assert told["covered"] == "all within at most 0 troubles and 1 waits a path"
    assert run("check", "run", "--scene", "nowhere").exit_code == 2
    assert run("check", "mutants", "--mutant", "nowhere").exit_code == 2
