"""Builds frames of the simulator's wire format by hand, independently of the codec under test."""

from __future__ import annotations

import json
import struct
from typing import Any


def event(code: int, *parts: bytes) -> bytes:
    record = bytes([code]) + b"".join(parts)
    assert len(record) <= 48
    return record.ljust(48, b"\0")


def u8(v: int) -> bytes:
    return v.to_bytes(1, "big")


def u16(v: int) -> bytes:
    return v.to_bytes(2, "big")


def u32(v: int) -> bytes:
    return v.to_bytes(4, "big")


def u64(v: int) -> bytes:
    return v.to_bytes(8, "big")


def f32(v: float) -> bytes:
    return struct.pack(">f", v)


def f64(v: float) -> bytes:
    return struct.pack(">d", v)


def endpoint(
    server: int, state: int = 2, build: int = 41, started: float = 0.0, cell: int = 0, zone: int = 0
) -> bytes:
    return u32(server) + u16(cell) + u8(zone) + u8(state) + f32(build) + f64(started) + u16(0) + f32(1.0)


def batch(clock: float, events: list[bytes], tail: bytes = b"") -> bytes:
    body = b"".join(events) + tail
    return f64(clock) + u32(16 + len(body)) + u32(len(events)) + body


def settings(**changes: Any) -> bytes:
    base: dict[str, Any] = {
        "balancers": 3,
        "me": 1,
        "az": 0,
        "zones": ["a", "b"],
        "period-ms": 5.0,
        "classes": [
            {"name": "look", "repeat": "pure", "target-ms": 1000.0, "hard-limit-ms": 3000.0, "worth": 3.0},
            {"name": "pay", "repeat": "side_effect", "target-ms": 800.0, "hard-limit-ms": 2000.0},
            {
                "name": "order",
                "repeat": "token",
                "group": "all",
                "dedup-window-ms": 2500.0,
                "target-ms": 1000.0,
                "hard-limit-ms": 2500.0,
            },
        ],
        "discovery": "automatic",
        "bounds": {
            "most-tries": 4,
            "may-duplicate": False,
            "cancelling": True,
            "retry-after": True,
            "max-retry-after-ms": 500.0,
        },
        "rules": {
            "answer-slack-ms": 20.0,
            "cold-from": 0.4,
            "cold-ms": 4800.0,
            "fall-multiple": 2.0,
            "stop-sending-within-ms": 2000.0,
            "tip-after-ms": 1500.0,
        },
        "family-info": {
            "gate-mode": "any",
            "caps": [0.1, 0.5, 1.0],
            "steps": [0.05, 0.4, 1.0],
            "free": 3.0,
            "exposure-window-ms": 6000.0,
            "soak-ms": 3000.0,
            "ballot-ttl-ms": 6000.0,
            "api-timeout-ms": 1200.0,
            "style": "beside",
        },
    }
    base.update(changes)
    return json.dumps(base).encode()
