"""Instances in one process: their lists, their starts and stops, and their independence."""

from __future__ import annotations

import io
import struct

import pytest

from meadowpulley.balance import Balancer
from meadowpulley.drill.codec import Batch, WireError, read_batch
from meadowpulley.drill.host import Host
from meadowpulley.interface import Action, Event
from tests import wire
from tests.wire import event, f64, u8, u32, u64

RAW = wire.settings()


def read(raw: bytes) -> Batch:
    batch = read_batch(io.BytesIO(raw))
    assert batch is not None
    return batch


def up(gateway: int, seed: int = 1) -> bytes:
    return event(22, u32(gateway), u64(seed), u32(0), u32(len(RAW)))


def listed(gateway: int, ledger: int, kind: int = 2) -> bytes:
    return event(29, u32(gateway), u8(kind), u32(ledger), u32(1))


def ledger(number: int, at: int, count: int) -> bytes:
    return event(18, u32(number), u32(at), u32(count))


def request(gateway: int, rid: int) -> bytes:
    return event(27, u32(gateway), u64(rid), u8(0), u32(0), u64(0), f64(3000.0), f64(0.0), u8(0))


def sends(reply: bytes) -> list[tuple[int, int, int]]:
    found = []
    for at in range(8, 8 + 32 * int.from_bytes(reply[4:8], "big"), 32):
        if reply[at] == 20:
            gateway, rid, server = struct.unpack_from(">xIQI", reply, at)
            found.append((gateway, rid, server))
    return found


def test_a_reused_ledger_number_is_found_by_the_order_of_events() -> None:
    tail = RAW + wire.entry(7) + wire.entry(8)
    raw = wire.batch(
        1.0,
        [
            up(1),
            up(2),
            ledger(4, len(RAW), 1),
            listed(1, 4),
            ledger(4, len(RAW) + 26, 1),
            listed(2, 4),
            request(1, 10),
            request(2, 20),
        ],
        tail,
    )
    assert sends(Host().reply(read(raw))) == [(1, 10, 7), (2, 20, 8)]


def test_a_kill_and_a_start_in_one_batch_leave_a_fresh_instance() -> None:
    host = Host()
    host.reply(read(wire.batch(1.0, [up(1), ledger(0, len(RAW), 1), listed(1, 0)], RAW + wire.entry(7))))
    again = [event(17, u32(1)), up(1, 9), ledger(1, len(RAW), 1), listed(1, 1), request(1, 11)]
    assert sends(host.reply(read(wire.batch(2.0, again, RAW + wire.entry(9))))) == [(1, 11, 9)]


def test_a_list_that_was_never_sent_is_an_error() -> None:
    with pytest.raises(WireError, match="no ledger 3"):
        Host().reply(read(wire.batch(1.0, [up(1), listed(1, 3)], RAW)))


def test_a_failing_decision_is_reported_with_its_text() -> None:
    class Broken(Balancer):
        def handle(self, now: float, event: Event) -> list[Action]:
            raise ValueError("out of range")

    reply = Host(Broken).reply(read(wire.batch(1.0, [up(1), event(19, u32(1), u64(1))], RAW)))
    assert reply[8] == 28 and b"ValueError: out of range" in reply


def script(gateways: list[int]) -> list[bytes]:
    events = [up(g, g) for g in gateways]
    events += [ledger(0, len(RAW), 3)] + [listed(g, 0) for g in gateways]
    frames = [wire.batch(1.0, events, RAW + wire.entry(7) + wire.entry(8) + wire.entry(9))]
    for n in range(40):
        frames.append(wire.batch(2.0 + n, [request(g, 1000 * g + n) for g in gateways]))
    return frames


def play(gateways: list[int]) -> list[tuple[int, int, int]]:
    host = Host()
    return [send for frame in script(gateways) for send in sends(host.reply(read(frame)))]


def test_the_same_events_give_the_same_actions_alone_or_together() -> None:
    together = play([1, 2])
    assert together == play([1, 2])
    assert [s for s in together if s[0] == 1] == play([1])
    assert [s for s in together if s[0] == 2] == play([2])
    assert len({s[2] for s in together}) == 3
