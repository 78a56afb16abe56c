"""Tests of placement experiments: definitions, assignment, policies, and counters after crashes."""

from __future__ import annotations

import dataclasses
import itertools
import subprocess
import sys
from collections import Counter
from pathlib import Path
from random import Random
from typing import Any

import msgspec
import pytest
from msgspec.structs import replace
from scipy import stats

from meadowpulley.cli.demo import demo_fleet
from meadowpulley.fleet import FleetError, gateway_settings
from meadowpulley.interface import Candidate, Request
from meadowpulley.placement import (
    POLICIES,
    Arm,
    Assignment,
    EndCondition,
    Experiment,
    check_matches_running,
    decode_counters,
    merge_counters,
    parse_experiment,
    read_experiment,
)
from meadowpulley.placement.arm_counters import ArmCounters
from meadowpulley.placement.counter_records import (
    AdoptedCompletion,
    CountersRecord,
    OpenRequest,
    RequestEnding,
)

EXAMPLE = Path(__file__).parent.parent / "examples" / "placement.toml"


def experiment(**more: Any) -> Experiment:
    arms = (Arm("now", "two", 0.5), Arm("least", "least", 0.5))
    fields: dict[str, Any] = {"arms": arms, "end": EndCondition(requests=10_000)} | more
    return Experiment(1, "try", **fields)


def request(number: int, key: int = 0, **more: Any) -> Request:
    return Request(number, 0, 0, key, 1e9, **more)


# Definitions


def test_the_example_is_parsed_and_its_hash_covers_all_fields() -> None:
    found = parse_experiment(EXAMPLE.read_bytes(), "x.toml")
    assert found == parse_experiment(EXAMPLE.read_bytes() + b"# a comment\n", "y.toml")
    assert found.digest != replace(found, carry_ms=found.carry_ms + 1).digest


INVALID_DEFINITIONS = [
    ("version = 1", "version = 2", "x.toml: version: 2 is not known here"),
    ('unit = "request"', 'unit = "color"', "x.toml: unit: Invalid enum value 'color'"),
    ('unit = "request"', "units = 1", "unknown field `units`"),
    ("part = 0.5", "part = 0.7", "x.toml: arms: parts add up to 1.2, over 1; make them smaller"),
    (
        'policy = "least"',
        'policy = "best"',
        "x.toml: arms[1].policy: 'best' is not a policy; known are own, two",
    ),
    ('name = "fewest"', 'name = "now"', "x.toml: arms[0].name: 'now' is used twice; names must differ"),
    ("requests = 200000", "", "x.toml: end: neither 'at' nor 'requests' is set"),
    ("requests = 200000", "at = 2027-01-01T00:00:00", "x.toml: end.at: the time has no zone"),
    ("classes = []", 'classes = ["none"]', "x.toml: classes: 'none' is not a class; known are look, buy"),
    ("worse = 0.1", "worse = 0.0", "x.toml: guard.worse: Expected `float` > 0"),
]


@pytest.mark.parametrize(("before", "after", "message"), INVALID_DEFINITIONS)
def test_invalid_definitions_are_refused_in_one_line(before: str, after: str, message: str) -> None:
    raw = EXAMPLE.read_text()
    assert before in raw
    with pytest.raises(FleetError) as error:
        parse_experiment(raw.replace(before, after, 1).encode(), "x.toml", ["look", "buy"])
    assert message in str(error.value)
    assert "\n" not in str(error.value)


def test_the_experiment_is_read_from_the_file_that_the_environment_names() -> None:
    settings = gateway_settings(demo_fleet(), 0)
    assert read_experiment({}, settings) is None
    assert read_experiment({"MEADOWPULLEY_PLACEMENT": str(EXAMPLE)}, settings) is not None
    with pytest.raises(FleetError, match="MEADOWPULLEY_PLACEMENT: /none: No such file or directory: name a"):
        read_experiment({"MEADOWPULLEY_PLACEMENT": "/none"}, settings)


def test_a_definition_that_contradicts_the_running_one_is_refused() -> None:
    own, running = experiment(), experiment(carry_ms=1000.0)
    check_matches_running(own, msgspec.json.encode(own), "x.toml")
    with pytest.raises(FleetError, match="'try' runs as version"):
        check_matches_running(own, msgspec.json.encode(running), "x.toml")
    with pytest.raises(FleetError, match="can't be read"):
        check_matches_running(own, b"\x00", "x.toml")


# Assignment


def test_arms_depend_on_unit_and_version_only_and_match_their_parts() -> None:
    parts = (Arm("a", "two", 0.5), Arm("b", "least", 0.2), Arm("c", "zone", 0.1))
    e = experiment(arms=parts)
    units = [b"%d" % n for n in range(20_000)]
    found = [Assignment(e).arm(u) for u in units]
    assert found == [Assignment(e).arm(u) for u in units]
    counts = Counter(found)
    assert stats.chisquare([counts[k] for k in (0, 1, 2, -1)], [10_000, 4000, 2000, 4000]).pvalue > 0.01
    other = [Assignment(replace(e, carry_ms=1.0)).arm(u) for u in units]
    both = [[Counter(zip(found, other, strict=True))[a, b] for b in (0, 1, 2)] for a in (0, 1, 2)]
    assert stats.chi2_contingency(both).pvalue > 0.01


@pytest.mark.parametrize("unit", ["request", "key", "tenant", "time"])
def test_a_unit_has_the_same_arm_at_every_gateway(unit: Any) -> None:
    at = Assignment(experiment(unit=unit, block_ms=1000.0, settle_ms=0.0))
    same = [at.unit(request(n, 7), "a.1", 5, 1500.0) for n in (1, 2)]
    assert same[0] == same[1]  # the unit does not depend on the id that this gateway gave the request
    other = at.unit(replace_request(request(3, 8), tenant=1), "b.1", 6, 2500.0)
    assert other != same[0]


def replace_request(r: Request, **more: Any) -> Request:
    return dataclasses.replace(r, **more)


# Policies


def candidates(rng: Random, n: int) -> list[Candidate]:
    return [
        Candidate(s, 0, 0, 0, 1, rng.randrange(6), 1.0, 50.0, rng.random() < 0.5)
        for s in rng.sample(range(100), n)
    ]


@pytest.mark.parametrize("name", sorted(POLICIES))
def test_a_policy_orders_each_server_once_and_is_deterministic(name: str) -> None:
    def orders(seed: int) -> list[list[int]]:
        rng, policy = Random(5), POLICIES[name](seed)
        return [list(policy(0.0, request(n, n % 3), candidates(rng, n % 9))) for n in range(60)]

    for n, order in enumerate(orders(1)):
        assert sorted(order) == list(range(n % 9))
    assert orders(1) == orders(1)


def test_each_policy_prefers_the_expected_servers() -> None:
    servers = [Candidate(s, 0, 0, s % 2, 1, s, 1.0, 50.0 + 50 * (s % 2), s % 2 == 1) for s in range(10)]
    policies = {name: POLICIES[name](3) for name in POLICIES}
    first = {
        name: Counter(policy(0.0, request(n, 9), servers)[0] for n in range(4000))
        for name, policy in policies.items()
    }
    assert first["least"] == {0: 4000}
    assert first["two"][0] == pytest.approx(4000 * 18 / 90, rel=0.1)
    assert not first["two"][9]
    assert set(first["round"].values()) == {400}
    assert set(first["zone"]) == {
        1,
        3,
        5,
        7,
    }  # servers of the own zone, without the one with the most requests in flight
    fast, slow = (sum(first["speed"][s] for s in range(10) if s % 2 == kind) for kind in (0, 1))
    assert fast / slow == pytest.approx(
        2.0, rel=0.1
    )  # with half the latency a server is preferred twice as often
    assert len(first["key"]) == 1
    remaining = [s for s in servers if s.server not in first["key"]]
    moved = [POLICIES["key"](8)(0.0, request(1, key), servers)[0] for key in range(1, 200)]
    again = [POLICIES["key"](9)(0.0, request(1, key), remaining)[0] for key in range(1, 200)]
    removed = next(iter(first["key"]))
    assert all(
        servers[a] == remaining[b] for a, b in zip(moved, again, strict=True) if servers[a].server != removed
    )


# Counters


def adopted_records(seed: int) -> list[CountersRecord]:
    """Return records of two incarnations that crash, and of two others that adopt their requests.

    Some requests are adopted by both, and some by neither.
    """
    rng, counters = Random(seed), {name: ArmCounters(name) for name in ("a.1", "b.1", "c.1", "d.1")}
    written: list[CountersRecord] = []
    for n in range(200):
        for name in ("a.1", "b.1"):
            counters[name].record_accepted(OpenRequest(n, n % 2, 0, 0))
        for name in ("a.1", "b.1"):
            for number in [k for k in counters[name].open_requests if rng.random() < 0.2]:
                counters[name].record_ended(number, rng.choice(list(RequestEnding)), 10.0)
        if n % 37 == 0:  # the last revision is written well before the crash
            written += [
                c for b in counters.values() if (c := decode_counters(b.encode_next_revision())) is not None
            ]
    for name in ("a.1", "b.1"):
        for number in sorted(counters[name].open_requests):
            for adopter in ("c.1", "d.1") if number % 5 == 0 else ("c.1",) if number % 3 else ():
                end = AdoptedCompletion(name, number, number % 2, 0, 0, RequestEnding.SERVED, 50.0)
                counters[adopter].record.adopted_completions.append(end)
    written += [
        c
        for name in ("c.1", "d.1")
        if (c := decode_counters(counters[name].encode_next_revision())) is not None
    ]
    return written


def test_records_merge_in_any_order_and_count_each_request_once() -> None:
    written = adopted_records(1)
    one = merge_counters(written, {"a.1", "b.1"}, {0: 1000.0})
    again = written * 2
    Random(2).shuffle(again)
    two = merge_counters(again, {"a.1", "b.1"}, {0: 1000.0})
    assert (one.cells, one.moments, one.lost) == (two.cells, two.moments, two.lost)
    # The requests of each crashed incarnation up to its last revision, and later ones that were adopted.
    last = {c.incarnation: c for c in written if c.incarnation in ("a.1", "b.1")}
    late = {
        (e.incarnation, e.number)
        for c in written
        for e in c.adopted_completions
        if e.number > last[e.incarnation].highest_number
    }
    assert one.requests == sum(c.highest_number + 1 for c in last.values()) + len(late)
    still = {(c.incarnation, o.number) for c in last.values() for o in c.open_requests}
    adopted = {(e.incarnation, e.number) for c in written for e in c.adopted_completions}
    assert sum(one.lost.values()) == len(still - adopted) > 0
    assert one.adopted == len(adopted & still) + len(late) > 0
    assert not one.open_requests
    for arm, cls in itertools.product((0, 1), (0,)):
        ended = one.cells[arm, cls].ended + one.lost[arm, cls]
        assert one.moments[0, arm, cls].count == ended
    assert sum(m.total_ms for m in one.moments.values()) >= 1000.0 * sum(one.lost.values())


def test_requests_of_a_live_incarnation_are_open_and_damaged_records_are_ignored() -> None:
    counters = ArmCounters("a.1")
    for n in range(3):
        counters.record_accepted(OpenRequest(n, 0, 0, 0))
    counters.record_ended(1, RequestEnding.REJECTED, 1000.0)
    count = decode_counters(counters.encode_next_revision())
    assert count is not None
    merged = merge_counters([count], (), {0: 1000.0})
    assert (merged.open_requests[0, 0], merged.cells[0, 0].rejected, merged.requests) == (2, 1, 3)
    assert decode_counters(b"\xc1 nothing") is None


def test_the_default_gateway_imports_nothing_of_placement() -> None:
    code = "import sys, meadowpulley.__main__, meadowpulley.net.gateway; print(*sys.modules)"
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    names = done.stdout.split()
    assert "meadowpulley.net.gateway" in names
    assert not [n for n in names if "placement" in n]
