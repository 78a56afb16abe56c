"""The codec against bytes derived by hand from the wire format's tables, and malformed input."""

from __future__ import annotations

import io
import subprocess
import sys

import pytest

from meadowpulley.interface import (
    Action,
    BuildStatistics,
    Cancel,
    ClientDisconnected,
    CloseIdleConnections,
    DeduplicationScope,
    Effect,
    EndpointListRenewed,
    EndpointUpdateKind,
    Fail,
    FetchEndpoints,
    GossipReceived,
    IncorrectResponse,
    Outcome,
    Phase,
    Probe,
    ProbeResult,
    Reject,
    Request,
    ResponseStarted,
    Result,
    RolloutUpdate,
    Send,
    SendGossip,
    ServerEntry,
    ServerState,
    SetTimer,
    StageGate,
    Timer,
    Verdict,
    Vote,
    Watch,
)
from meadowpulley.settings import SettingsError, parse_settings
from meadowpulley.simulator_adapter.codec import (
    EventBatch,
    FrameError,
    LedgerUpdate,
    ServerLedger,
    StartGateway,
    StopGateway,
    read_batch,
    read_records,
)
from meadowpulley.simulator_adapter.reply import ActionReply
from tests import simulator_frames
from tests.simulator_frames import event, f32, f64, u8, u16, u32, u64

REQUEST_ID = 0x00006ED05D3A91C4


def read_one_record(raw: bytes, tail: bytes = b"") -> tuple[int | None, object]:
    batch = read_batch(io.BytesIO(simulator_frames.batch(240.0, [raw], tail)))
    assert batch is not None and batch.clock_ms == 240.0
    [(gateway, record, _)] = list(read_records(batch))
    return gateway, record


def test_the_documented_example_of_a_request_is_read() -> None:
    raw = bytes.fromhex(
        "1b 00000003 00006ed05d3a91c4 00 00000000 91f03b7c55d20a64"
        "40c0e62000000000 4028000000000000 01 0000000000"
    )
    expected = Request(REQUEST_ID, 0, 0, 0x91F03B7C55D20A64, 8652.25, 12.0)
    assert read_one_record(raw) == (3, expected)


def test_every_event_is_read() -> None:
    assert read_one_record(event(17, u32(3))) == (3, StopGateway())
    assert read_one_record(event(19, u32(3), u64(77))) == (3, Timer(77))
    assert read_one_record(event(25, u32(3), u64(REQUEST_ID))) == (3, ClientDisconnected(REQUEST_ID))
    assert read_one_record(
        event(27, u32(3), u64(REQUEST_ID), u8(1), u32(2), u64(9), f64(5.0), f64(7.0), u8(6))
    ) == (
        3,
        Request(REQUEST_ID, 1, 2, 9, 5.0, None, True, True),
    )
    assert read_one_record(event(28, u32(3), u32(8), u8(1), f64(4.5))) == (3, IncorrectResponse(8, 1, 4.5))
    assert read_one_record(event(21, u32(3), u16(42), u8(0), u32(180), u32(4), f64(21.5), f64(1252.0))) == (
        3,
        BuildStatistics(42, 0, 180, 4, 21.5, 1252.0),
    )
    assert read_one_record(
        event(23, u32(3), u16(42), f32(0.125), u8(2), u8(1), u8(0), f64(310.0), u16(200))
    ) == (
        3,
        RolloutUpdate(42, 2, Phase.TRIAL, 0.125, 310.0, Result.OK, True),
    )
    with_load_report = event(
        26, u32(3), u64(REQUEST_ID), u8(1), u32(8), u16(502), f64(9.5), u8(1), u8(2), f32(1.5), f32(2.5)
    )
    assert read_one_record(with_load_report) == (
        3,
        Outcome(REQUEST_ID, 1, 8, Result.ERROR, 9.5, True, (1.5, 2.5)),
    )
    without_load_report = event(26, u32(3), u64(REQUEST_ID), u8(0), u32(8), u16(408), f64(9.5), u8(0))
    assert read_one_record(without_load_report) == (
        3,
        Outcome(REQUEST_ID, 0, 8, Result.TIMEOUT, 9.5, False, ()),
    )
    assert read_one_record(event(24, u32(3), u64(REQUEST_ID), u8(0), u32(8), f64(9.25))) == (
        3,
        ResponseStarted(REQUEST_ID, 0, 8, 9.25),
    )
    probe_result = event(16, u32(3), u32(8), u16(200), f64(1.5), u8(1), f32(4.0))
    assert read_one_record(probe_result) == (3, ProbeResult(8, Result.OK, 1.5, (4.0,)))
    assert read_one_record(event(20, u32(3), u32(2), u32(1), u32(2)), b"xhi") == (3, GossipReceived(2, b"hi"))
    assert read_one_record(event(29, u32(3), u8(2), u32(5), u32(41))) == (
        3,
        LedgerUpdate(EndpointUpdateKind.CACHED, 5, 41),
    )


def test_the_entries_of_a_ledger_are_read() -> None:
    tail = bytes.fromhex(
        "03124a07 0000 00 02 42240000 0000000000000000 0000 3f800000"
    ) + simulator_frames.endpoint(9, state=1, build=42, started=6100.0, cell=3, zone=1)
    assert read_one_record(event(18, u32(2), u32(0), u32(2)), tail) == (
        None,
        ServerLedger(
            2,
            (
                ServerEntry(0x03124A07, 0, 0, ServerState.READY, 41, 0.0, 0, 1.0),
                ServerEntry(9, 3, 1, ServerState.DRAINING, 42, 6100.0, 0, 1.0),
            ),
        ),
    )


def test_a_start_event_contains_the_settings() -> None:
    report = {"columns": ["busy_reqs", "new"], "source": "inline"}
    raw = simulator_frames.settings(**{"not-yet-known": {"a": 1}, "report": report})
    gateway, start = read_one_record(event(22, u32(3), u64(5), u32(0), u32(len(raw))), raw)
    assert gateway == 3 and isinstance(start, StartGateway) and start.seed == 5
    s = start.settings
    assert [c.effect for c in s.classes] == [
        Effect.IDEMPOTENT,
        Effect.NON_IDEMPOTENT,
        Effect.IDEMPOTENT_WITH_KEY,
    ]
    assert (
        s.classes[2].deduplication_window_ms == 2500.0
        and s.classes[2].deduplication_scope is DeduplicationScope.ALL
    )
    assert s.rollout.caps == (0.1, 0.5, 1.0) and s.rollout.gate is StageGate.ANY and not s.rollout.in_place
    assert s.report_columns == ("in_flight", "new") and s.inline_load_reports
    assert s.rules.overload_multiple == 2.0 and s.rules.drain_grace_ms == 2000.0 and not s.must_poll


def test_absent_settings_get_default_values() -> None:
    s = parse_settings(b"{}", "here")
    assert s.gateway_count == 1 and s.classes == () and s.tenants == () and s.rollout.caps == ()


@pytest.mark.parametrize(
    ("raw", "text"),
    [
        (b"{", "are not valid JSON"),
        (b"[]", "is not a JSON object"),
        (b'{"me": "x"}', "'me' has the wrong type"),
        (b'{"classes": {}}', "'classes' has the wrong type"),
        (b'{"discovery": "often"}', "'discovery' is 'often'"),
        (b'{"classes": [{"repeat": "maybe"}]}', "'repeat' is 'maybe'"),
        (b'{"family-info": {"caps": ["a"]}}', "contains a value that is not a number"),
        (b'{"family-info": {"caps": [0.1, NaN]}}', "'family-info': 'caps' is nan"),
        (b'{"me": Infinity}', "'me' is inf"),
        (b'{"balancers": 1' + b"0" * 400 + b"}", "'balancers' is inf"),
        (b'{"rules": {"stop-sending-within-ms": -1}}', "'rules': 'stop-sending-within-ms' is -1"),
        (b'{"bounds": {"most-tries": 0}}', "'most-tries' is 0, but must be a finite number of at least 1"),
        (b'{"prices": {"waste": -Infinity}}', "'prices': 'waste' is -inf"),
        (b'{"classes": [{"hard-limit-ms": 9}]}', "'classes' 0: 'name' is missing"),
        (b'{"classes": [{"name": "a"}]}', "'classes' 0: 'hard-limit-ms' is 0"),
        (
            b'{"classes": [{"name": "a", "hard-limit-ms": 9}, {"name": "a", "hard-limit-ms": 5}]}',
            "'classes' 1: 'name' is 'a', but another class already has this name",
        ),
    ],
)
def test_the_error_for_invalid_settings_names_the_setting(raw: bytes, text: str) -> None:
    with pytest.raises(SettingsError, match=text):
        parse_settings(raw, "here")


def test_every_action_is_encoded_as_the_wire_format_defines() -> None:
    reply = ActionReply()
    actions: list[tuple[Action, bytes]] = [
        (Send(REQUEST_ID, 0x03124A07, 80.0), u8(20) + u32(3) + u64(REQUEST_ID) + u32(0x03124A07) + f64(80.0)),
        (SetTimer(500.0, 77), u8(27) + u32(3) + f64(500.0) + u64(77)),
        (Vote(42, 2, Verdict.ADVANCE), u8(16) + u32(3) + u16(42) + u8(2) + u8(1)),
        (Cancel(REQUEST_ID, 1), u8(24) + u32(3) + u64(REQUEST_ID) + u8(1)),
        (Fail(REQUEST_ID), u8(23) + u32(3) + u64(REQUEST_ID)),
        (Reject(REQUEST_ID, 250.0), u8(18) + u32(3) + u64(REQUEST_ID) + f64(250.0)),
        (Probe(9), u8(19) + u32(3) + u32(9)),
        (CloseIdleConnections(9), u8(21) + u32(3) + u32(9)),
        (FetchEndpoints(), u8(25) + u32(3)),
        (Watch(), u8(22) + u32(3) + u8(1)),
        (Watch(enabled=False), u8(22) + u32(3) + u8(0)),
        (SendGossip(None, b"hi"), u8(17) + u32(3) + u16(0xFFFF) + u32(0) + u32(2)),
        (SendGossip(2, b"yo"), u8(17) + u32(3) + u16(2) + u32(2) + u32(2)),
        (EndpointListRenewed(7.0), u8(26) + u32(3) + u32(4) + u32(26)),
    ]
    for action, _ in actions:
        reply.add_action(3, action)
    reply.add_fault(5, "bad")
    body = b"".join(raw.ljust(32, b"\0") for _, raw in actions)
    body += (u8(28) + u32(5) + u32(30) + u32(3)).ljust(32, b"\0")
    body += b"hiyo" + b"endpoint list in use again" + b"bad"
    assert reply.encode() == u32(8 + len(body)) + u32(len(actions) + 1) + body


def test_an_empty_batch_is_read_and_an_empty_reply_is_encoded() -> None:
    raw = bytes.fromhex("40c06e2000000000 00000010 00000000")
    assert read_batch(io.BytesIO(raw)) == EventBatch(8412.25, b"", b"", 0)
    assert ActionReply().encode() == bytes.fromhex("00000008 00000000")


@pytest.mark.parametrize(
    ("raw", "text"),
    [
        (b"\0" * 5, "ended inside a batch header"),
        (f64(1.0) + u32(15) + u32(0), "too short"),
        (f64(1.0) + u32(63) + u32(1), "too short"),
        (f64(1.0) + u32(64) + u32(1) + b"\x11", "ended inside a batch"),
        (f64(float("nan")) + u32(16) + u32(0), "is not a finite number"),
    ],
)
def test_the_error_for_a_malformed_frame_names_the_fault(raw: bytes, text: str) -> None:
    with pytest.raises(FrameError, match=text):
        read_batch(io.BytesIO(raw))


@pytest.mark.parametrize(
    ("raw", "text"),
    [
        (event(99, u32(3)), "record 0: unknown event code 99"),
        (event(18, u32(16), u32(0), u32(0)), "ledger number 16"),
        (event(18, u32(2), u32(0), u32(1)), "outside the tail"),
        (event(20, u32(3), u32(2), u32(5), u32(2)), "outside the tail"),
        (event(29, u32(3), u8(4), u32(0), u32(0)), "4 is not a known EndpointUpdateKind"),
        (event(16, u32(3), u32(8), u16(200), f64(1.5), u8(5)), "5 values"),
        (event(16, u32(3), u32(8), u16(299), f64(1.5), u8(0)), "299 is not a known Result"),
        (
            event(23, u32(3), u16(42), f32(0.1), u8(0), u8(0), u8(9), f64(0), u16(200)),
            "9 is not a known Phase",
        ),
    ],
)
def test_the_error_for_a_malformed_record_names_the_fault(raw: bytes, text: str) -> None:
    with pytest.raises(FrameError, match=text):
        read_one_record(raw)


def run(raw: bytes) -> subprocess.CompletedProcess[bytes]:
    command = [sys.executable, "-m", "meadowpulley.simulator_adapter"]
    return subprocess.run(command, input=raw, capture_output=True, timeout=60)


def test_the_adapter_exits_with_0_between_frames_and_with_an_error_inside_one() -> None:
    clean = run(simulator_frames.batch(1.0, []))
    assert (clean.returncode, clean.stdout, clean.stderr) == (0, bytes.fromhex("0000000800000000"), b"")
    cut = run(simulator_frames.batch(1.0, []) + b"\0\0")
    assert cut.returncode != 0 and cut.stderr.count(b"\n") == 1 and b"ended inside" in cut.stderr


def test_the_adapter_names_an_unknown_gateway_and_writes_no_partial_reply() -> None:
    bad = run(simulator_frames.batch(1.0, [event(19, u32(5), u64(1))]))
    assert bad.returncode != 0 and bad.stdout == b""
    assert bad.stderr == b"meadowpulley: record 0 (code 19): no instance 5\n"
