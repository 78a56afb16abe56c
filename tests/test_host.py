"""Gateways in one process: their endpoint lists, starts and stops, and independence of each other."""

from __future__ import annotations

import io
import struct

import pytest

from meadowpulley.interface import Action, Event
from meadowpulley.policy import RolloutPolicy
from meadowpulley.simulator_adapter.codec import EventBatch, FrameError, read_batch
from meadowpulley.simulator_adapter.gateway_host import GatewayHost
from tests import simulator_frames
from tests.simulator_frames import event, f64, u8, u32, u64

SETTINGS = simulator_frames.settings()


def read_one_batch(raw: bytes) -> EventBatch:
    batch = read_batch(io.BytesIO(raw))
    assert batch is not None
    return batch


def start_gateway(gateway: int, seed: int = 1) -> bytes:
    return event(22, u32(gateway), u64(seed), u32(0), u32(len(SETTINGS)))


def endpoint_update(gateway: int, ledger: int, kind: int = 2) -> bytes:
    return event(29, u32(gateway), u8(kind), u32(ledger), u32(1))


def ledger(number: int, at: int, count: int) -> bytes:
    return event(18, u32(number), u32(at), u32(count))


def request(gateway: int, request_id: int) -> bytes:
    return event(27, u32(gateway), u64(request_id), u8(0), u32(0), u64(0), f64(3000.0), f64(0.0), u8(0))


def sent_attempts(reply: bytes) -> list[tuple[int, int, int]]:
    found = []
    for at in range(8, 8 + 32 * int.from_bytes(reply[4:8], "big"), 32):
        if reply[at] == 20:
            gateway, request_id, server = struct.unpack_from(">xIQI", reply, at)
            found.append((gateway, request_id, server))
    return found


def test_a_reused_ledger_number_means_the_ledger_sent_last_before_the_update() -> None:
    tail = SETTINGS + simulator_frames.endpoint(7) + simulator_frames.endpoint(8)
    raw = simulator_frames.batch(
        1.0,
        [
            start_gateway(1),
            start_gateway(2),
            ledger(4, len(SETTINGS), 1),
            endpoint_update(1, 4),
            ledger(4, len(SETTINGS) + 26, 1),
            endpoint_update(2, 4),
            request(1, 10),
            request(2, 20),
        ],
        tail,
    )
    assert sent_attempts(GatewayHost().handle_batch(read_one_batch(raw))) == [(1, 10, 7), (2, 20, 8)]


def test_a_stop_and_a_start_in_one_batch_create_a_new_gateway() -> None:
    host = GatewayHost()
    host.handle_batch(
        read_one_batch(
            simulator_frames.batch(
                1.0,
                [start_gateway(1), ledger(0, len(SETTINGS), 1), endpoint_update(1, 0)],
                SETTINGS + simulator_frames.endpoint(7),
            )
        )
    )
    restart = [
        event(17, u32(1)),
        start_gateway(1, 9),
        ledger(1, len(SETTINGS), 1),
        endpoint_update(1, 1),
        request(1, 11),
    ]
    assert sent_attempts(
        host.handle_batch(
            read_one_batch(simulator_frames.batch(2.0, restart, SETTINGS + simulator_frames.endpoint(9)))
        )
    ) == [(1, 11, 9)]


def test_an_endpoint_update_with_an_unsent_ledger_is_an_error() -> None:
    with pytest.raises(FrameError, match="ledger 3 was used before it was sent"):
        GatewayHost().handle_batch(
            read_one_batch(simulator_frames.batch(1.0, [start_gateway(1), endpoint_update(1, 3)], SETTINGS))
        )


def test_an_exception_in_a_policy_is_reported_with_its_text() -> None:
    class FailingPolicy(RolloutPolicy):
        def handle(self, now: float, event: Event) -> list[Action]:
            raise ValueError("out of range")

    reply = GatewayHost(FailingPolicy).handle_batch(
        read_one_batch(simulator_frames.batch(1.0, [start_gateway(1), event(19, u32(1), u64(1))], SETTINGS))
    )
    assert reply[8] == 28 and b"ValueError: out of range" in reply


def script(gateways: list[int]) -> list[bytes]:
    events = [start_gateway(g, g) for g in gateways]
    events += [ledger(0, len(SETTINGS), 3)] + [endpoint_update(g, 0) for g in gateways]
    frames = [
        simulator_frames.batch(
            1.0,
            events,
            SETTINGS
            + simulator_frames.endpoint(7)
            + simulator_frames.endpoint(8)
            + simulator_frames.endpoint(9),
        )
    ]
    for n in range(40):
        frames.append(simulator_frames.batch(2.0 + n, [request(g, 1000 * g + n) for g in gateways]))
    return frames


def run_script(gateways: list[int]) -> list[tuple[int, int, int]]:
    host = GatewayHost()
    return [
        send for frame in script(gateways) for send in sent_attempts(host.handle_batch(read_one_batch(frame)))
    ]


def test_the_same_events_give_the_same_actions_alone_or_together() -> None:
    together = run_script([1, 2])
    assert together == run_script([1, 2])
    assert [s for s in together if s[0] == 1] == run_script([1])
    assert [s for s in together if s[0] == 2] == run_script([2])
    assert len({s[2] for s in together}) == 3
