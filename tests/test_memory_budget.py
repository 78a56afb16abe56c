"""Memory budget: charges, watermarks, and what is refused and shed on real sockets."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Iterator
from typing import Any

import pytest

from meadowpulley.interface import Request
from meadowpulley.net.load_shedding import LOG_INTERVAL_MS
from meadowpulley.net.memory_budget import (
    ADMISSION_FRACTION,
    BYTES_PER_MB,
    LOW_WATERMARK_FRACTION,
    MIN_BUDGET_BYTES,
    MemoryBudget,
    MemoryUse,
    budget_bytes,
)
from meadowpulley.net.slots import SlotTable
from tests.standins import Client
from tests.test_client_connections import ReactorHarness, has_input

LARGE_BYTES = 60_000
TURNS = 20  # enough reactor turns to read what a client has sent


@contextlib.contextmanager
def _closing(harness: ReactorHarness) -> Iterator[ReactorHarness]:
    try:
        yield harness
    finally:
        harness.close()


@pytest.fixture
def harness() -> Iterator[ReactorHarness]:
    with _closing(ReactorHarness()) as opened:
        opened.gateway.memory_budget.limit_bytes = 4 * LARGE_BYTES
        yield opened


def send_partial(harness: ReactorHarness, size: int = LARGE_BYTES) -> Client:
    """Connect, and send a large request but for a last part."""
    client = harness.client()
    head = f"POST /pay HTTP/1.1\r\nHost: a\r\nX-Txn: {client.request_id}\r\nContent-Length: 65000\r\n\r\n"
    client.socket.sendall(head.encode() + b"x" * size)
    harness.run_turns(TURNS)
    return client


def logged(harness: ReactorHarness, event: str) -> int:
    log: Any = harness.gateway.log
    return sum(call.args[:1] == (event,) for call in log.calls)


def test_accounts_add_up_and_release_what_they_charged() -> None:
    budget = MemoryBudget(1_000)
    first, second = budget.open_account(MemoryUse.CLIENT), budget.open_account(MemoryUse.INSTANCE)
    first.charge(700)
    second.charge(200)
    first.charge(300)
    assert (budget.used_bytes, budget.peak_bytes) == (500, 900)
    assert budget.used_by == {MemoryUse.CLIENT: 300, MemoryUse.INSTANCE: 200, MemoryUse.REQUEST: 0}
    first.charge(0)
    second.charge(0)
    assert budget.used_bytes == 0


def test_room_is_made_by_shedding_and_refused_if_nothing_is_left_to_shed() -> None:
    budget = MemoryBudget(1_000)
    account = budget.open_account(MemoryUse.CLIENT)
    account.charge(900)
    assert not budget.make_room_for(100)
    budget.shed_load = lambda _: account.charge(100)
    assert budget.make_room_for(int(1_000 * ADMISSION_FRACTION) - 100)
    account.charge(1_001)
    assert budget.relieve()
    assert budget.used_bytes < 1_000 * LOW_WATERMARK_FRACTION


def test_the_budget_follows_the_limit_told_and_has_a_minimum() -> None:
    small, large = budget_bytes(1_000.0, 600), budget_bytes(2_000.0, 600)
    assert 0.7e9 < large - small < 0.8e9
    assert large < 2_000 * BYTES_PER_MB
    assert budget_bytes(1.0, 600) == MIN_BUDGET_BYTES


def test_the_oldest_partial_requests_are_refused_first(harness: ReactorHarness) -> None:
    clients = [send_partial(harness) for _ in range(6)]
    assert harness.gateway.memory_budget.used_bytes <= harness.gateway.memory_budget.limit_bytes
    answered = [has_input(client) for client in clients]
    assert answered == sorted(answered, reverse=True)  # no older one is left where a younger one was refused
    assert 0 < answered.count(True) < len(clients)
    assert clients[0].read_response()[0] == 503


def test_input_behind_an_open_request_is_discarded_before_anyone_is_refused(harness: ReactorHarness) -> None:
    ahead = harness.client()
    ahead.send("POST", "/pay", b"first")
    harness.run_turns(TURNS)
    ahead.socket.sendall(b"x" * LARGE_BYTES)
    harness.run_turns(TURNS)
    partial = [send_partial(harness) for _ in range(2)]
    assert harness.gateway.counters["memory.shed.input_ahead"] == 1
    assert not any(has_input(client) for client in partial)
    (request,) = harness.gateway.requests.slots
    harness.gateway.requests.respond(request, 200, {}, b"done")
    harness.run_turns(TURNS)
    assert ahead.read_response()[::2] == (200, b"done")


def test_accepted_large_requests_are_charged_until_they_end(harness: ReactorHarness) -> None:
    clients = [harness.client() for _ in range(5)]
    for client in clients:
        client.send("POST", "/pay", b"x" * LARGE_BYTES)
        harness.run_turns(TURNS)
    requests = list(harness.gateway.requests.slots)
    budget = harness.gateway.memory_budget
    assert 0 < len(requests) < len(clients)
    assert budget.used_by[MemoryUse.REQUEST] >= LARGE_BYTES * len(requests)
    assert clients[-1].read_response()[0] == 503
    small = harness.client()
    small.send("POST", "/pay", b"y")
    harness.run_turns(TURNS)
    assert len(list(harness.gateway.requests.slots)) == len(requests) + 1
    for request in harness.gateway.requests.slots:
        harness.gateway.requests.respond(request, 200, {}, b"")
    assert budget.used_by[MemoryUse.REQUEST] == 0


def test_a_request_is_refused_by_its_length_before_its_body_is_read(harness: ReactorHarness) -> None:
    harness.gateway.memory_budget.limit_bytes = LARGE_BYTES
    client = send_partial(harness, 0)
    assert client.read_response()[0] == 503


def test_unread_responses_are_reset_last_and_release_their_charge(harness: ReactorHarness) -> None:
    clients = [harness.client() for _ in range(4)]
    for client in clients:
        client.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1_024)
        client.send("GET", "/look")
        harness.run_turns(TURNS)
    for connection in harness.connections:
        connection.transport.getHandle().setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1_024)
    for request in list(harness.gateway.requests.slots):
        harness.gateway.requests.respond(request, 200, {}, b"x" * LARGE_BYTES)
    budget = harness.gateway.memory_budget
    held_bytes = budget.used_bytes
    budget.limit_bytes = held_bytes
    partial = send_partial(harness)
    assert harness.gateway.counters["memory.shed.unread_responses"] > 0
    assert budget.used_bytes < held_bytes
    assert len(harness.connections) > 1, "all connections were reset"
    assert partial.read_response()[0] == 503


def test_a_closed_connection_releases_its_charge(harness: ReactorHarness) -> None:
    clients = [send_partial(harness), send_partial(harness)]
    assert harness.gateway.memory_budget.used_by[MemoryUse.CLIENT] > 2 * LARGE_BYTES
    for client in clients:
        client.reader.close()
        client.socket.shutdown(socket.SHUT_RDWR)
        client.socket.close()
    harness.run_turns(TURNS)
    assert harness.gateway.memory_budget.used_bytes == 0


def test_shedding_is_logged_once_an_interval(harness: ReactorHarness) -> None:
    clients = [send_partial(harness) for _ in range(30)]
    assert logged(harness, "load_shed") == 1
    harness.clock_offset_ms += LOG_INTERVAL_MS
    clients += [send_partial(harness) for _ in range(6)]
    assert logged(harness, "load_shed") == 2


def test_partial_requests_give_their_slots_to_others() -> None:
    with _closing(ReactorHarness()) as harness:
        size = harness.gateway.clients.connections.size
        crowd = [send_partial(harness, 10) for _ in range(size - harness.gateway.clients.spare_slots)]
        harness.clock_offset_ms += 500.0
        newcomers = []
        for _ in range(harness.gateway.clients.spare_slots):
            newcomers.append(harness.client())
            newcomers[-1].send("GET", "/look")
            harness.run_turns(TURNS)
        assert len(list(harness.gateway.requests.slots)) == len(newcomers)
        assert 0 < harness.gateway.counters["in.evicted.partial"] <= len(crowd)


def test_a_full_table_of_requests_answers_with_an_error_and_forwards_nothing(harness: ReactorHarness) -> None:
    clients = [harness.client() for _ in range(2)]
    harness.gateway.requests.slots = SlotTable(1)
    for client in clients:
        client.send("POST", "/pay", b"x")
        harness.run_turns(TURNS)
    assert clients[1].read_response()[0] == 502
    assert len(harness.gateway.requests.slots) == 1
    assert harness.policy.count(Request) == 1
