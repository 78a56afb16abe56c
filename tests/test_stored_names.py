"""Stored formats keep their encoded names, as written before names in the code were changed."""

from __future__ import annotations

import json

import msgspec
import pytest

from meadowpulley.cli.demo import demo_fleet
from meadowpulley.emulator import Build, Fault, Release, Scenario, parse_scenario
from meadowpulley.emulator.results import GatewayResult, SecondResult, ServerResult
from meadowpulley.experiment import Cell, LoadSpec, RunResult
from meadowpulley.fleet import Fleet, parse_fleet
from meadowpulley.load.arrivals import Arrival, Header
from meadowpulley.rules import (
    AdoptionStarted,
    AttemptEnded,
    AttemptSent,
    CapacityUsed,
    ClientDetached,
    EndpointListed,
    GatewayCrashed,
    GatewayFenced,
    GatewayPaused,
    GatewayResumed,
    GatewayStarted,
    InstanceOverloaded,
    KeyAnswered,
    OutcomeCounted,
    Record,
    RequestAbandoned,
    RequestClaimed,
    RequestClosed,
    RequestReceived,
    RequestRecorded,
    RequestReleased,
    ResponseSent,
    RolloutUpdated,
    read_trace,
    trace_line,
)

RECORDS: list[tuple[bytes, Record]] = [
    (b'{"type":"started","at":1.0,"gateway":2}', GatewayStarted(1.0, 2)),
    (b'{"type":"died","at":1.0,"gateway":2}', GatewayCrashed(1.0, 2)),
    (b'{"type":"stopped","at":1.0,"gateway":2}', GatewayPaused(1.0, 2)),
    (b'{"type":"woke","at":1.0,"gateway":2}', GatewayResumed(1.0, 2)),
    (
        b'{"type":"taken","at":1.0,"gateway":2,"request":3,"cls":1,"key":7,"deadline":9.5,"id":"a-1"}',
        RequestReceived(1.0, 2, 3, 1, 7, 9.5, "a-1"),
    ),
    (
        b'{"type":"taken","at":1.0,"gateway":2,"request":3,"cls":1,"key":7,"deadline":9.5}',
        RequestReceived(1.0, 2, 3, 1, 7, 9.5),
    ),
    (
        b'{"type":"sent","at":1.0,"gateway":2,"request":3,"attempt":0,"server":5,"build":41}',
        AttemptSent(1.0, 2, 3, 0, 5, 41),
    ),
    (
        b'{"type":"outcome","at":1.0,"gateway":2,"request":3,"attempt":0,"ran":true}',
        AttemptEnded(1.0, 2, 3, 0, True),
    ),
    (
        b'{"type":"answered","at":1.0,"gateway":2,"request":3,"answer":"served","content":"x"}',
        ResponseSent(1.0, 2, 3, "served", "x"),
    ),
    (
        b'{"type":"answered","at":1.0,"gateway":2,"request":3,"answer":"refused"}',
        ResponseSent(1.0, 2, 3, "refused"),
    ),
    (b'{"type":"gone","at":1.0,"gateway":2,"request":3}', RequestAbandoned(1.0, 2, 3)),
    (
        b'{"type":"listed","at":1.0,"gateway":2,"server":5,"state":"ready","build":41,"cell":1,"site":0}',
        EndpointListed(1.0, 2, 5, "ready", 41, 1, 0),
    ),
    (
        b'{"type":"news","at":1.0,"gateway":2,"build":42,"stage":0,"phase":"trial","cap":0.1}',
        RolloutUpdated(1.0, 2, 42, 0, "trial", 0.1),
    ),
    (b'{"type":"key_answered","at":1.0,"gateway":2,"key":7,"build":41}', KeyAnswered(1.0, 2, 7, 41)),
    (b'{"type":"fell","at":1.0,"server":5}', InstanceOverloaded(1.0, 5)),
    (b'{"type":"left","at":1.0,"gateway":2,"request":3}', ClientDetached(1.0, 2, 3)),
    (b'{"type":"sealed","at":1.0,"gateway":2}', GatewayFenced(1.0, 2)),
    (
        b'{"type":"written","at":1.0,"gateway":2,"id":"a-1","deadline":9.5}',
        RequestRecorded(1.0, 2, "a-1", 9.5),
    ),
    (b'{"type":"claimed","at":1.0,"gateway":2,"id":"a-1","lives":2}', RequestClaimed(1.0, 2, "a-1", 2)),
    (b'{"type":"given","at":1.0,"gateway":2,"id":"a-1"}', RequestReleased(1.0, 2, "a-1")),
    (
        b'{"type":"closed","at":1.0,"gateway":2,"id":"a-1","end":"served"}',
        RequestClosed(1.0, 2, "a-1", "served"),
    ),
    (
        b'{"type":"adopted","at":1.0,"gateway":2,"request":3,"cls":1,"key":7,"deadline":9.5,"id":"a-1"}',
        AdoptionStarted(1.0, 2, 3, 1, 7, 9.5, "a-1"),
    ),
    (b'{"type":"admitted","at":1.0,"gateway":2,"units":1.0}', CapacityUsed(1.0, 2, 1.0)),
    (
        b'{"type":"counted","at":1.0,"gateway":2,"experiment":"e","id":"a-1","arm":1}',
        OutcomeCounted(1.0, 2, "e", "a-1", 1),
    ),
]

ARRIVALS = [
    (
        b'{"at_ms":1.5,"cls":"c","site":"s","key":7,"work_ms":2.0,"bytes":3,"patience_ms":4.0}',
        Arrival(1.5, class_name="c", site="s", key=7, work_ms=2.0, bytes=3, timeout_ms=4.0),
    ),
    (b'{"at_ms":1.5,"cls":"c"}', Arrival(1.5, class_name="c")),
]

FLEET = """
version = 1
name = "one"
sites = [{ name = "east" }]
servers = [{ site = "east", kind = "m", count = 1 }]
kinds = [{ name = "m", cores = 2, slots = 3, cold_from = 0.5, cold_ms = 3000 }]
gateways = [{ site = "east", count = 1, request_ms = 0.5, kept_back = 7, client_part = 0.4 }]
keys = { count = 5, memory_ms = 100, gain = 0.2, most = 9 }
clients = { honours_advice = 0.1 }
network = { peer_ms = [2, 3], peer_loss = 0.01 }
rules = { fall_multiple = 3, fall_ms = 700, second_copies = false, peers = false }

[[classes]]
name = "look"
share = 1
work_ms = 10
aim_ms = 100
deadline_ms = 200
worth = 3
late_worth = 0.25

[discovery]
add_ms = [1, 2]
notice_ms = [3, 4]
period_ms = [5, 6]
wait_ms = 7
silent_ms = 8
told_ms = [9, 10]
must_ask = false

[rollout]
on_votes = 2
back_votes = 3
vote_life_ms = 11
told_late_ms = [12, 13]
news_period_ms = 14
"""

SCENARIO = """
version = 1

[[releases]]
at_ms = 1
build = { number = 2, fails = 0.1, fails_class = "look", slow = 2, late_ms = 3, above_busy = 0.4, drag = 5 }

[[faults]]
kind = "slowness"
at_ms = 6
for_ms = 7
part = 0.8
amount = 9
"""


@pytest.mark.parametrize(("line", "record"), RECORDS, ids=lambda value: type(value).__name__)
def test_trace_lines_keep_their_names(line: bytes, record: Record) -> None:
    assert trace_line(record) == line
    assert list(read_trace([line], "trace")) == [record]


@pytest.mark.parametrize(("line", "arrival"), ARRIVALS)
def test_load_lines_keep_their_names(line: bytes, arrival: Arrival) -> None:
    assert msgspec.json.encode(arrival) == line
    assert msgspec.json.decode(line, type=Arrival) == arrival


def test_load_header_keeps_its_names() -> None:
    line = b'{"format":"meadowpulley-load","version":1,"source":"","started":0.0,"dropped":0}'
    assert msgspec.json.encode(Header()) == line


def test_fleet_file_keeps_its_keys() -> None:
    fleet: Fleet = parse_fleet(FLEET.encode(), "one.toml")
    kind, request_class, group = fleet.kinds[0], fleet.classes[0], fleet.gateways[0]
    assert (kind.slow_start_from, kind.slow_start_ms) == (0.5, 3000)
    assert (request_class.latency_objective_ms, request_class.priority_weight) == (100, 3)
    assert request_class.late_weight_share == 0.25
    assert (group.request_cpu_ms, group.reserved_descriptors, group.client_descriptor_share) == (0.5, 7, 0.4)
    assert (fleet.keys.work_saved, fleet.keys.max_remembered) == (0.2, 9)
    assert fleet.clients.honours_retry_after == 0.1
    assert (fleet.network.gossip_delay_ms, fleet.network.gossip_loss) == ((2, 3), 0.01)
    discovery = fleet.discovery
    assert (discovery.add_delay_ms, discovery.change_delay_ms) == ((1, 2), (3, 4))
    assert (discovery.update_interval_ms, discovery.long_poll_ms) == ((5, 6), 7)
    assert (discovery.silence_timeout_ms, discovery.presumed_known_ms) == (8, (9, 10))
    assert not discovery.must_subscribe
    rollout = fleet.rollout
    assert (rollout.advance_votes, rollout.rollback_votes, rollout.vote_ttl_ms) == (2, 3, 11)
    assert (rollout.update_delay_ms, rollout.update_period_ms) == ((12, 13), 14)
    rules = fleet.rules
    assert (rules.overload_multiple, rules.overload_window_ms) == (3, 700)
    assert not rules.hedging and not rules.gossip


def test_scenario_file_keeps_its_keys() -> None:
    scenario = parse_scenario(SCENARIO.encode(), "scenario.toml", parse_fleet(FLEET.encode(), "one.toml"))
    build = Build(
        number=2,
        failure_share=0.1,
        failing_class="look",
        work_factor=2,
        fault_delay_ms=3,
        fault_utilisation=0.4,
        shared_slowdown=5,
    )
    fault = Fault("slowness", at_ms=6, duration_ms=7, amount=9, share=0.8)
    assert scenario == Scenario(releases=(Release(1, build),), faults=(fault,))


def test_key_of_a_stored_result_is_unchanged() -> None:
    load = LoadSpec(
        per_s=40.0,
        seconds=6.0,
        costly_share=0.1,
        cost_factor=2.0,
        costly_from_ms=1000.0,
        costly_duration_ms=1000.0,
    )
    scenario = Scenario(releases=(Release(1000.0, Build(2, failure_share=0.2)),))
    cell = Cell("x", demo_fleet(), load, 5, scenario, from_ms=1000.0)
    assert cell.key == "023b803f5b7661b05673231838203c51"


def test_stored_result_keeps_its_names() -> None:
    line = (
        b'{"key":"k","name":"n","seed":1,"figures":{"worth":1.0},"broken":{"cold":2},'
        b'"seconds":[[1.0]],"sent":[[3]]}'
    )
    result = RunResult("k", "n", 1, {"worth": 1.0}, {"cold": 2}, ((1.0,),), ((3,),))
    assert msgspec.json.encode(result) == line
    assert msgspec.json.decode(line, type=RunResult) == result


def test_printed_results_of_a_run_keep_their_keys() -> None:
    second = json.loads(msgspec.json.encode(SecondResult()))
    assert list(second) == [
        "asked",
        "in_aim",
        "late",
        "refused",
        "failed",
        "worth_asked",
        "worth_got",
        "busy",
        "stage",
        "phase",
        "build",
        "sent",
    ]
    server = msgspec.to_builtins(ServerResult(1, "east", "m", 2, 3.0, 0.4, 5, 6, 7, True))
    assert list(server) == [
        "server",
        "site",
        "kind",
        "build",
        "up_ms",
        "busy",
        "served",
        "turned_away",
        "most_waiting",
        "fell",
    ]
    gateway = msgspec.to_builtins(GatewayResult(1, "east", 2, 3, 0.4, 5, 6))
    assert list(gateway) == ["gateway", "site", "requests", "attempts", "busy", "most_open", "most_held"]
