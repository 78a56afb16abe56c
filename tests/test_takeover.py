"""Work in hand through the loss of its gateway: what runs, who takes it over, what clients are answered."""

from __future__ import annotations

from functools import partial
from random import Random

import pytest

from meadowpulley.interface import Result, Send
from meadowpulley.ledger import Commit, Create, Ended, LedgerBack, LedgerLost, Replace, Step
from meadowpulley.takeover import Pass, Stopping, Written, model
from meadowpulley.takeover.model import WORK, State, decode_work
from tests.takeover_fleet import ORDER, PAY, READ, TERM, Fleet, Gateway, stop_at

ONCE = ["200 run 1"]


def test_a_request_is_written_its_right_won_and_its_answer_recorded_before_each_goes_out() -> None:
    fleet = Fleet()
    seen: list[tuple[str, list[str], int]] = []
    fleet["a"].before = lambda a: seen.append((type(a).__name__, fleet.records(), sum(fleet.ran.values())))
    fleet["a"].ask("n", PAY)
    fleet.go(100)
    of = {name: (records, ran) for name, records, ran in seen if name in ("Send", "Pass")}
    assert of["Send"] == (["takeover/content/n", "takeover/work/n"], 0)
    assert of["Pass"] == (["takeover/answer/n", "takeover/work/n"], 1)
    assert fleet.steps["takeover"] == 2  # one with the right, one with the answer


ASKS: list[tuple[str, float, str, bytes, list[str]]] = [
    ("in hand here", 10, "a", b"b", ONCE * 2),
    ("in hand elsewhere", 10, "b", b"b", ONCE * 2),
    ("answered here", 100, "a", b"b", ONCE * 2),
    ("answered elsewhere", 100, "c", b"b", ONCE * 2),
    ("another body, in hand", 10, "b", b"x", ["200 run 1", "Fail"]),
    ("another body, in hand here", 10, "a", b"x", ["200 run 1", "Fail"]),
    ("another body, answered", 100, "b", b"x", ["200 run 1", "Fail"]),
]


@pytest.mark.parametrize(("after", "where", "body", "said"), [c[1:] for c in ASKS], ids=[c[0] for c in ASKS])
def test_an_ask_under_a_known_id_gets_that_works_answer_and_starts_nothing(
    after: float, where: str, body: bytes, said: list[str]
) -> None:
    fleet = Fleet()
    fleet["a"].ask("n", PAY)
    fleet.go(after)
    fleet[where].ask("n", PAY, body)
    fleet.go(500)
    assert (sorted(fleet.said("n")), fleet.ran["n"]) == (sorted(said), 1)


def test_two_gateways_asked_at_once_start_it_once() -> None:
    fleet = Fleet()
    for name in "abc":
        fleet[name].ask("n", PAY)
    fleet.go(500)
    assert (fleet.said("n"), fleet.ran["n"]) == (ONCE * 3, 1)


@pytest.mark.parametrize(("known", "said"), [(True, ONCE * 2), (False, ["Refuse"])])
def test_what_is_refused_at_once_is_looked_up_and_not_written(known: bool, said: list[str]) -> None:
    fleet = Fleet()
    if known:
        fleet["b"].ask("n", PAY)
        fleet.go(10)
    fleet["a"].decisions.refuses = True
    fleet["a"].ask("n", PAY)
    fleet.go(200)
    assert (fleet.said("n"), fleet.ran["n"], len(fleet.records())) == (said, int(known), 2 * known)


def test_what_was_refused_never_ran_and_may_be_asked_anew() -> None:
    fleet = Fleet()
    fleet.answers = [Result.REJECTED] * 3 + [Result.OK]
    fleet["a"].ask("n", PAY)
    fleet.go(200)
    fleet["b"].ask("n", PAY)
    fleet.go(200)
    assert (fleet.said("n"), fleet.ran["n"]) == (["Refuse", "200 run 1"], 1)


# By class: how the first attempts end; where a dies: before its n-th action of a kind, or with its attempt
# out, or with none chosen; what clients that ask again at b and c get; how often it ran; and of each adoption
# what is proven to the decisions: attempts used, and those that may have run.
OK, FULL = Result.OK, Result.REJECTED
LOSSES: dict[str, tuple[int, list[Result], tuple[type, int] | str, str, int, list[tuple[int, int]]]] = {
    "unsafe, no right taken": (PAY, [OK], "waits", "200 run 1", 1, [(0, 0)]),
    "unsafe, right taken, not sent": (PAY, [OK], (Send, 0), "Fail", 0, []),
    "unsafe, sent": (PAY, [OK], "out", "Fail", 1, []),
    "unsafe, one never ran, the next right taken": (PAY, [FULL, OK], (Send, 1), "Fail", 0, []),
    "unsafe, answer come, not recorded": (PAY, [OK], (Commit, 1), "Fail", 1, []),
    "unsafe, answer recorded, not passed": (PAY, [OK], (Pass, 0), "200 run 1", 1, []),
    "safe, right taken, not sent": (READ, [OK], (Send, 0), "200 run 1", 1, [(1, 1)]),
    "safe, sent": (READ, [OK], "out", "200 run 2", 2, [(1, 1)]),
    "keyed, sent, in its window": (ORDER, [OK], "out", "200 run 2", 2, [(1, 1)]),
    "keyed, one never ran, the next sent": (ORDER, [FULL, OK], "out", "200 run 2", 2, [(2, 1)]),
    "safe, one broken, the next sent": (READ, [Result.RESET, OK], "out", "200 run 3", 3, [(2, 2)]),
    "keyed, no right taken": (ORDER, [OK], "waits", "200 run 1", 1, [(0, 0)]),
}


@pytest.mark.parametrize(("cls", "results", "lost", "said", "runs", "proven"), LOSSES.values(), ids=LOSSES)
def test_what_an_adopter_does_follows_from_what_is_proven(
    cls: int,
    results: list[Result],
    lost: tuple[type, int] | str,
    said: str,
    runs: int,
    proven: list[tuple[int, int]],
) -> None:
    fleet = Fleet()
    fleet.answers, fleet.takes_ms = list(results), 30.0
    if isinstance(lost, tuple):
        stop_at(fleet, lost[0], lost[1], partial(fleet.kill, "a"))
    fleet["a"].decisions.waits = lost == "waits"
    fleet["a"].ask("n", cls)
    fleet.go(45 if len(results) > 1 and lost == "out" else 20)
    if isinstance(lost, str):
        fleet.kill("a")
    fleet.go(100)
    assert not fleet["a"].up
    for name in "bc":
        fleet[name].ask("n", cls)
    fleet.go(3500)
    assert (fleet.said("n"), fleet.ran["n"]) == ([said] * 2, runs)
    told = [r for name in "bc" for r in fleet[name].decisions.seen if r.adopted]
    assert [(r.prior_attempt_count, len(r.prior_attempts)) for r in told] == proven
    assert all(t.build == 7 and t.server == 1 for r in told for t in r.prior_attempts)


def test_a_keyed_request_is_not_repeated_outside_its_window() -> None:
    fleet = Fleet(step_ms=100.0)
    fleet["a"].ask("n", ORDER, left=8000.0)
    fleet.takes_ms = 9000.0
    fleet.go(2600)  # its lease and a term more pass before it is adopted: over 3500 ms may lie between
    fleet.kill("a")
    fleet["b"].ask("n", ORDER, left=6000.0)
    fleet.go(5000)
    assert (fleet.said("n"), fleet.ran["n"], len(fleet.adopted)) == (["Fail"], 1, 1)


@pytest.mark.parametrize("right_ms", [100.0, 1e6])
def test_one_that_wakes_between_its_right_and_its_send_sends_nothing(right_ms: float) -> None:
    fleet = Fleet(right_ms=right_ms)
    fleet["a"].ask("n", PAY)
    fleet.go(0.5)
    fleet["a"].asleep = True  # the right is won by then, and nobody has looked at the answer
    fleet["b"].ask("n", PAY)
    fleet.go(3 * TERM)
    assert fleet.said("n") == ["Fail"]
    fleet["a"].wake()
    fleet.go(TERM)
    assert (fleet.said("n"), fleet.ran["n"]) == (["Fail"] * 2, 0)


@pytest.mark.parametrize(("cls", "runs"), [(PAY, 1), (READ, 2)])
def test_what_is_left_to_the_instance_are_bytes_that_go_out_late(cls: int, runs: int) -> None:
    fleet = Fleet()

    # after the last check, before the first byte
    stop_at(fleet, Send, 0, partial(setattr, fleet["a"], "asleep", True))
    fleet["a"].ask("n", cls)
    fleet["b"].ask("n", cls)
    fleet.go(3 * TERM)
    fleet["a"].wake()
    fleet.go(TERM)
    assert fleet.ran["n"] == runs  # at most once by each life, and an unsafe one by one life alone


# Trouble with a's ledger from before the ask: what its client is told, how often it ran
TROUBLES = [("cut", ["Fail"], 0), ("unheard", ["Fail"], 0), ("slow", ["Fail"], 0)]


@pytest.mark.parametrize(("trouble", "said", "runs"), TROUBLES, ids=[t[0] for t in TROUBLES])
def test_without_a_won_right_in_time_nothing_goes_out(trouble: str, said: list[str], runs: int) -> None:
    fleet = Fleet()
    fleet["a"].trouble = trouble
    fleet["a"].ask("n", PAY)
    fleet.go(700)
    assert fleet.said("n") == said, "long before its time is over, however slow the ledger"
    fleet["a"].trouble = ""
    fleet.go(5000)
    assert (fleet.said("n"), fleet.ran["n"], fleet["b"].stage.mirror.open) == (said, runs, {})


# Trouble with a's ledger as the answer comes, and whether its lease holds when that was held for long enough;
# what its own client is told, and what those are who ask after that, and once all has been written.
HELD: dict[str, tuple[str, bool, list[str], list[str]]] = {
    "recorded, not heard of": ("unheard", True, ONCE, ONCE),
    "recorded, not heard of, its lease over": ("unheard", False, ["Fail"], ONCE),
    "recorded late": ("slow", True, ONCE, ONCE),
    "recorded late, its lease over": ("slow", False, ["Fail"], ONCE),
    "not recorded": ("cut", True, ONCE, ONCE),
    "not recorded, its lease over": ("cut", False, ["Fail"], ["Fail"]),
}


@pytest.mark.parametrize(("trouble", "holds", "said", "after"), HELD.values(), ids=HELD)
def test_an_answer_not_known_to_be_recorded_is_passed_only_under_the_own_lease_and_a_record_stands(
    trouble: str, holds: bool, said: list[str], after: list[str]
) -> None:
    fleet, written = Fleet(), list[State]()
    fleet.won = lambda g, step: written.extend(
        decode_work(w.value).state for w in step.writes if isinstance(w, Create | Replace) and WORK in w.key
    )
    fleet["a"].ask("n", PAY)
    fleet.go(20)
    fleet["a"].trouble = trouble
    if not holds:  # as after a sleep
        fleet["a"].keeper.terms = fleet["a"].keeper.terms.__class__(term_ms=TERM, act_part=0.0)
        fleet["a"].keeper._acts_until = 0.0
    fleet.go(360)
    assert fleet.said("n") == said
    for name in "bc":  # at b while a's own write is still to be made, at c after it
        fleet[name].ask("n", PAY)
        fleet.go(100 if trouble != "cut" else 240)
        fleet["a"].trouble = ""
        fleet.go(1000)
    assert (fleet["b"].said["n"], fleet["c"].said["n"], fleet.ran["n"]) == (after, after, 1)
    assert written == [State.OPEN, State.SERVED if after == ONCE else State.FAILED], "its end is written once"


def test_with_the_ledger_lost_new_work_is_served_unwritten_and_a_second_ask_fails() -> None:
    fleet = Fleet()
    fleet["a"].tell(LedgerLost("gone"))
    fleet["a"].ask("n", PAY)
    fleet["a"].ask("m", PAY, repeat=True)
    fleet.go(100)
    assert (fleet.said("n"), fleet.said("m"), fleet.records()) == (ONCE, ["Fail"], [])
    fleet["a"].tell(LedgerBack())
    fleet["a"].ask("o", PAY)
    fleet.go(100)
    assert fleet.records() == ["takeover/answer/o", "takeover/work/o"]


# A request runs at a while these gateways have lost their ledger, or before that, and a is lost with it. What
# its client gets that asks at b so long after the ledger is back, marked or not, and how often it ran.
UNWRITTEN: dict[str, tuple[int, str, bool, bool, float, str, int]] = {
    "unsafe": (PAY, "ab", False, True, 0, "Fail", 1),
    "keyed": (ORDER, "ab", False, True, 0, "Fail", 1),
    "safe": (READ, "ab", False, True, 0, "200 run 2", 2),
    "just before one deadline": (PAY, "ab", False, True, 5900, "Fail", 1),
    "written before": (PAY, "ab", True, True, 0, "200 run 1", 1),
    # What is left: nothing tells these from requests that nobody has seen.
    "after one deadline": (PAY, "ab", False, True, 6000, "200 run 2", 2),
    "not marked": (PAY, "ab", False, False, 0, "200 run 2", 2),
    "lost by its gateway alone": (PAY, "a", False, True, 0, "200 run 2", 2),
}


@pytest.mark.parametrize(
    ("cls", "lost", "written", "marked", "after", "said", "runs"), UNWRITTEN.values(), ids=UNWRITTEN
)
def test_what_ran_unwritten_runs_again_only_for_asks_that_nothing_tells_from_new_ones(
    cls: int, lost: str, written: bool, marked: bool, after: float, said: str, runs: int
) -> None:
    fleet = Fleet()
    if written:
        fleet["a"].ask("n", cls)
        fleet.go(100)
    for name in lost:
        fleet[name].tell(LedgerLost("gone"))
    if not written:
        fleet["a"].ask("n", cls)
    fleet.go(10)
    fleet.kill("a")
    for name in lost[1:]:
        fleet[name].tell(LedgerBack())
    fleet.go(after)
    fleet["b"].ask("n", cls, repeat=marked)
    fleet.go(200)
    assert (fleet["b"].said["n"], fleet.ran["n"]) == ([said], runs)


def test_a_planned_stop_gives_what_waits_away_at_once_and_the_rest_before_it_is_killed() -> None:
    fleet = Fleet()
    fleet["a"].decisions.waits = True
    fleet["a"].ask("n", PAY)
    fleet["a"].decisions.waits = False
    fleet.takes_ms = 2000.0
    fleet["a"].ask("m", READ)
    fleet.go(10)
    fleet.takes_ms = 30.0
    fleet["a"].tell(Stopping(500.0))
    fleet.go(150)
    assert (fleet.said("n"), fleet.ran["n"]) == (ONCE, 1)
    assert fleet.ran["m"] == 1
    fleet.go(250)
    assert (fleet.said("m"), fleet.ran["m"]) == (["200 run 2"], 2)


def test_kept_answers_are_bounded_in_time_and_bytes() -> None:
    fleet = Fleet(keep_ms=1000.0, keep_bytes=8)
    for name in ("n", "m"):
        fleet["a"].ask(name, PAY)
        fleet.go(100)
    assert fleet.records() == ["takeover/answer/m", "takeover/work/m", "takeover/work/n"]
    fleet["b"].ask("n", PAY)
    fleet.go(100)
    assert (fleet["b"].said["n"], fleet.ran["n"]) == (["Fail"], 1)
    fleet.go(1100)
    assert fleet.records() == []


def test_the_record_of_an_answer_too_long_to_be_kept_goes_too_where_its_write_was_not_heard_of(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(model, "BODY_MAX", len("run 1") - 1)
    fleet = Fleet(keep_ms=1000.0)
    fleet["a"].ask("n", PAY)
    fleet.go(20)
    fleet["a"].trouble = "unheard"
    fleet.go(50)
    fleet["a"].trouble = ""
    fleet.go(200)
    assert (fleet.said("n"), fleet.records()) == (ONCE, ["takeover/work/n"])
    fleet.go(1500)
    assert fleet.records() == []


def test_what_a_dead_life_has_kept_is_removed_by_one_that_starts_later() -> None:
    fleet = Fleet(keep_ms=1000.0)
    fleet["a"].ask("n", PAY)
    fleet.go(100)
    fleet.kill("a")
    fleet.go(3000)
    assert len(fleet.records()) == 2
    fleet.gateways["d"] = Gateway(fleet, "d")
    fleet.go(1500)
    assert fleet.records() == []


@pytest.mark.parametrize(
    ("written", "keys"), [(Written.NONE, 0), (Written.UNREPEATABLE, 4), (Written.ALL, 6)]
)
def test_which_classes_are_written_is_a_setting(written: Written, keys: int) -> None:
    fleet = Fleet(written=written)
    for cls in (READ, ORDER, PAY):
        fleet["a"].ask(f"n{cls}", cls)
    fleet.go(100)
    assert (len(fleet.records()), fleet.ran.total()) == (keys, 3)


def test_a_record_that_can_not_be_read_is_told_and_left_alone() -> None:
    fleet = Fleet()
    fleet.store.commit(fleet["c"].life, [Step((Create("takeover/work/n", b"\x81junk"),))])
    fleet.go(50)
    assert any("left alone" in line for line in fleet["a"].lines)
    fleet["a"].ask("n", PAY)
    fleet.go(100)
    assert (fleet.said("n"), fleet.ran["n"]) == (["Fail"], 0)
    assert fleet.store.read("takeover/work/n").value == b"\x81junk"  # type: ignore[union-attr]


@pytest.mark.parametrize(("cls", "said"), [(PAY, ["Fail"]), (ORDER, ["Fail"]), (READ, ONCE)])
def test_a_sealed_life_takes_on_nothing_that_may_not_be_repeated(cls: int, said: list[str]) -> None:
    # Served there unwritten, it ran a second time where its client asked next.
    fleet = Fleet("ab")
    fleet.gateways["a"].tell(Ended())
    fleet.gateways["a"].ask("n", cls)
    fleet.go(3000.0)
    assert fleet.said("n") == said and fleet.ran["n"] == (cls == READ)


@pytest.mark.parametrize("seed", range(40))
def test_whatever_fails_by_chance_no_effect_runs_twice_and_all_is_answered_and_ended(seed: int) -> None:
    rng, fleet = Random(seed), Fleet("abcd")
    fleet.takes_ms = rng.choice([10.0, 50.0, 300.0, 1500.0])
    asks: list[tuple[Gateway, int]] = []
    names = {f"n{n}": rng.randrange(3) for n in range(12)}
    until = fleet.now + 8000.0
    while fleet.now < until:
        fleet.go(rng.expovariate(1 / 40.0))
        up = [g for g in fleet.gateways.values() if g.up]
        g, chance, name = rng.choice(up), rng.random(), rng.choice(list(names))
        if chance < 0.6:
            if not (g.asleep or (g.stage.hands.ended and names[name] == READ)):  # served unwritten there
                asks.append((g, g.ask(name, names[name], left=rng.choice([500.0, 2000.0, 4000.0]))))
        elif chance < 0.63 and len(up) > 1:
            fleet.kill(g.name)
        elif chance < 0.68 and len(up) > 1 and not g.asleep:
            at, ms = rng.choice([Send, Pass, Commit]), rng.choice([100.0, 700.0, 3000.0])
            stop_at(fleet, at, 0, partial(fleet.pause, g.name, ms), g.name)
        elif chance < 0.72:
            g.trouble = rng.choice(["cut", "unheard", "slow"])
            fleet.at(fleet.now + rng.choice([100.0, 600.0, 2500.0]), partial(setattr, g, "trouble", ""))
        elif chance < 0.77:
            fleet.answers = [rng.choice(list(Result)) for _ in range(rng.randrange(6))] + [Result.OK]
        elif chance < 0.78 and len(up) > 2 and not g.asleep:
            g.tell(Stopping(800.0))
            fleet.at(fleet.now + 800.0, partial(fleet.kill, g.name))
    fleet.go(12_000)
    assert not [n for n, cls in names.items() if cls == PAY and fleet.ran[n] > 1]
    assert not [(g.name, request) for g, request in asks if g.up and request not in g.over]
    for g in [g for g in fleet.gateways.values() if g.up and not g.stage.hands.ended]:
        left = g.stage.hands.by_name, g.stage.hands.by_request, g.stage.orphans.claims, g.stage.asks.by_name
        assert left == ({}, {}, {}, {}) and g.stage.mirror.open == {}
