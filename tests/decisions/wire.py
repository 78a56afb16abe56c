"""Events of a policy as bytes of the simulator's wire, so that an emulated gateway can drive the adapter."""

from __future__ import annotations

import io
import json
from collections.abc import Callable, Sequence

from meadowpulley.fleet import Fleet
from meadowpulley.fleet.gateway_settings import gateway_settings_object
from meadowpulley.interface import (
    Action,
    BuildStatistics,
    ClientDisconnected,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    GossipReceived,
    IncorrectResponse,
    Outcome,
    ProbeResult,
    Request,
    ResponseStarted,
    RolloutUpdate,
    ServerEntry,
    Settings,
    Timer,
)
from meadowpulley.policy import RolloutPolicy
from meadowpulley.simulator_adapter.codec import read_batch
from meadowpulley.simulator_adapter.gateway_host import GatewayHost
from tests.simulator_frames import batch, event, f32, f64, u8, u16, u32, u64

LEDGER = 0  # the only one in use: each update is sent after its own list
UNKNOWN_SERVER = 0xFFFFFFFF  # on the wire, for a server that left before the attempt began


def encode_entry(entry: ServerEntry) -> bytes:
    """Return one server of an endpoint list."""
    place = u32(entry.server) + u16(entry.cell) + u8(entry.zone) + u8(entry.state)
    return place + f32(entry.build) + f64(entry.started_ms) + u16(entry.kind) + f32(entry.weight)


def encode_event(gateway: int, occurred: Event) -> tuple[list[bytes], bytes]:
    """Return the records of an event, and the tail that they refer to."""
    number = u32(gateway)
    match occurred:
        case EndpointUpdate(kind, version, entries):
            known = EndpointUpdateKind.FAILED if kind is EndpointUpdateKind.TIMED_OUT else kind
            tail = b"".join(map(encode_entry, entries))
            ledger = event(18, u32(LEDGER), u32(0), u32(len(entries)))
            return [ledger, event(29, number, u8(known), u32(LEDGER), u32(version))], tail
        case Request():
            flags = (occurred.expected_work_ms is not None) + 2 * occurred.client_retry + 4 * occurred.write
            ids = number + u64(occurred.request) + u8(occurred.class_index) + u32(occurred.tenant)
            times = f64(occurred.deadline_ms) + f64(occurred.expected_work_ms or 0.0)
            return [event(27, ids, u64(occurred.key), times, u8(flags))], b""
        case Outcome(request, attempt, server, result, elapsed_ms, complete):
            ids = number + u64(request) + u8(attempt) + u32(server & UNKNOWN_SERVER) + u16(result)
            return [event(26, ids, f64(elapsed_ms), u8(complete), u8(0))], b""
        case ResponseStarted(request, attempt, server, elapsed_ms):
            return [event(24, number, u64(request), u8(attempt), u32(server), f64(elapsed_ms))], b""
        case ClientDisconnected(request):
            return [event(25, number, u64(request))], b""
        case ProbeResult(server, result, elapsed_ms):
            return [event(16, number, u32(server), u16(result), f64(elapsed_ms), u8(0))], b""
        case GossipReceived(sender, data):
            return [event(20, number, u32(sender), u32(0), u32(len(data)))], data
        case Timer(token):
            return [event(19, number, u64(token))], b""
        case RolloutUpdate(build, stage, phase, cap, age_ms, result, is_vote_reply):
            state = u16(build) + f32(cap) + u8(stage) + u8(is_vote_reply) + u8(phase)
            return [event(23, number, state, f64(age_ms), u16(result))], b""
        case BuildStatistics(build, class_index, attempts, failed, mean_ms, age_ms):
            counts = u16(build) + u8(class_index) + u32(attempts) + u32(failed)
            return [event(21, number, counts, f64(mean_ms), f64(age_ms))], b""
        case IncorrectResponse(server, class_index, age_ms):
            return [event(28, number, u32(server), u8(class_index), f64(age_ms))], b""
    raise NotImplementedError(f"{type(occurred).__name__} is not on the simulator's wire")


class AdapterPolicy:
    """Stands in for a gateway's policy: events go through the adapter as bytes, and its replies are kept."""

    def __init__(
        self, fleet: Fleet, settings: Settings, seed: int, on_reply: Callable[[bytes], None]
    ) -> None:
        self._on_reply = on_reply
        self._gateway = settings.gateway_index
        self._actions: Sequence[Action] = ()
        self._host = GatewayHost(self._make_policy)
        raw = json.dumps(gateway_settings_object(fleet, self._gateway)).encode()
        start = event(22, u32(self._gateway), u64(seed), u32(0), u32(len(raw)))
        self._exchange(0.0, [start], raw)

    def _make_policy(self, settings: Settings, seed: int) -> RolloutPolicy:
        adapter = self

        class ObservedPolicy(RolloutPolicy):
            """Keeps the actions that the adapter encodes."""

            def handle(self, now: float, occurred: Event) -> list[Action]:
                actions = super().handle(now, occurred)
                adapter._actions = actions
                return actions

        return ObservedPolicy(settings, seed)

    def handle(self, now: float, occurred: Event) -> Sequence[Action]:
        """Hand an event to the adapter; return the actions that its reply holds."""
        records, tail = encode_event(self._gateway, occurred)
        self._exchange(now, records, tail)
        return self._actions

    def _exchange(self, now: float, records: list[bytes], tail: bytes) -> None:
        self._actions = ()
        read = read_batch(io.BytesIO(batch(now, records, tail)))
        assert read is not None
        self._on_reply(self._host.handle_batch(read))
