"""Rare moments in the connection model: signals, half-closed clients, late answers, overtaking lists."""

from __future__ import annotations

import pytest

from meadowpulley.model_checking import ModelSettings, Search
from meadowpulley.model_checking.connection_model import ConnectionModel, request_bytes_of
from meadowpulley.model_checking.connection_model.configurations import DISCONNECT_GRACE_MS, LATE_RESPONSE_MS
from meadowpulley.model_checking.model import Step
from meadowpulley.model_checking.mutation_testing import run_mutants

DEEP = {"signals": (2, 1), "backlog": (2, 2), "halves": (1, 1), "late": (1, 2), "lists": (1, 1)}
PLANTED = (
    "drain-drops-all",
    "ends-with-clients",
    "backlog-dropped",
    "reload-takes-all",
    "end-of-sending-ignored",
    "unasked-kept",
    "missing-kept",
)
CONNECT, SEND_REQUEST = Step("connect", (0,)), Step("write", (0, len(request_bytes_of("get", "c0r0"))))


def model_after(configuration: str, *steps: Step) -> ConnectionModel:
    model = ConnectionModel(
        ModelSettings(
            model="connection", configuration=configuration, servers=1, requests=1, faults=3, time_advances=3
        )
    )
    for step in steps:
        assert step in model.enabled_steps(), (step, model.enabled_steps())
        model.apply(step)
        assert not model.violations, model.violations
    return model


@pytest.mark.parametrize("configuration", DEEP)
def test_no_order_of_a_rare_moment_breaks_a_property(configuration: str) -> None:
    faults, time_advances = DEEP[configuration]
    settings = ModelSettings(
        model="connection",
        configuration=configuration,
        servers=1,
        requests=1,
        faults=faults,
        time_advances=time_advances,
    )
    coverage = Search(settings, workers=1).run()
    assert coverage.counterexample is None, coverage.counterexample
    assert coverage.complete and coverage.states > 300


def test_bugs_planted_in_rare_moments_are_found_by_the_property_meant_for_them() -> None:
    found = run_mutants(PLANTED, [1], 60.0, workers=2)
    assert [
        (c.mutant, c.violated_property, c.text)
        for c in found
        if not c.as_expected or c.search_method != "exhaustive"
    ] == []


def test_a_request_in_the_kernel_is_unread_until_the_reactors_turn() -> None:
    model = model_after("signals", Step("listen"), CONNECT, Step("unread", (0,)))
    wire = model.clients[0].transport
    assert wire is not None and wire.unread and not model.instance_connections[0].transport.received_by_peer
    model.apply(Step("turn"))
    assert not wire.unread and model.instance_connections[0].transport.received_by_peer


def test_who_waits_to_be_accepted_is_accepted_in_one_turn_and_read_in_the_next() -> None:
    model = model_after("backlog", Step("queue", (0,)))
    assert model.clients[0].transport is None and Step("connect", (0,)) not in model.enabled_steps()
    model.apply(Step("turn"))
    assert (
        model.clients[0].transport is not None
        and not model.instance_connections[0].transport.received_by_peer
    )
    model.apply(Step("turn"))
    assert model.instance_connections[0].transport.received_by_peer


def test_a_client_is_gone_at_once_if_it_is_read_and_else_once_it_is_written_to() -> None:
    model = model_after("halves", CONNECT, SEND_REQUEST, Step("leave", (0,)))
    assert all(k.address for k in model.reactor.transports)
    model = model_after("halves", CONNECT, SEND_REQUEST)
    wire = model.clients[0].transport
    assert wire is not None
    wire.stopReading()
    model.apply(Step("leave", (0,)))
    assert wire.connected and model.now + DISCONNECT_GRACE_MS < model._edge_time("gone")
    model.apply(Step("answer", (0, "ok")))
    assert not wire.connected


def test_a_second_answer_comes_a_few_milliseconds_late_at_most() -> None:
    model = model_after("late", CONNECT, SEND_REQUEST, Step("answer", (0, "ok")))
    assert Step("again", (0,)) in model.enabled_steps()
    model.reactor.advance(model.now + LATE_RESPONSE_MS + 1.0)
    assert Step("again", (0,)) not in model.enabled_steps()


def test_an_answer_of_discovery_holds_what_was_true_when_it_was_made() -> None:
    model = model_after(
        "lists", Step("fetch"), Step("make", (1,)), Step("change", (0, "terminating")), Step("make", (0,))
    )
    assert [c.prepared_response["index"] for c in model.discovery_connections if c.prepared_response] == [
        2,
        1,
    ]
    model.apply(Step("deliver", (0,)))
    assert list(model.notified_at) == [("127.0.0.1", 9001)]
    model.apply(Step("deliver", (1,)))  # the older list untells nothing
    assert list(model.notified_at) == [("127.0.0.1", 9001)]
