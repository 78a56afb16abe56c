"""Fuzzing what discovery and the platform send: lists, and lines of calls."""

from __future__ import annotations

import json
from typing import Any

from hypothesis import strategies as st

from meadowpulley.interface import Event, Verdict, Vote
from meadowpulley.model_checking.fuzz.runner import FuzzError, Target
from meadowpulley.model_checking.fuzz.strategies import (
    PIECE_SIZES,
    SETTINGS,
    addresses,
    as_bytes,
    corrupted,
    objects_with,
    rollout_updates,
)
from meadowpulley.net import protocol
from meadowpulley.net.counters import Counters
from meadowpulley.net.endpoint_list import DiscoveryError, EndpointListDecoder
from meadowpulley.net.platform_connection import PlatformConnection
from meadowpulley.net.rollout_client import RolloutClient

_entry = objects_with(
    **{
        protocol.ENDPOINT_NAME: st.text(max_size=6),
        protocol.ENDPOINT_ADDRESS: addresses,
        protocol.ENDPOINT_ZONE: st.sampled_from(["a", "b", "c"]),
        protocol.ENDPOINT_STATE: st.sampled_from([*protocol.ENDPOINT_STATES, "odd"]),
        protocol.ENDPOINT_BUILD: st.integers(-5, 2**70),
        protocol.ENDPOINT_STARTED: st.floats(),
        protocol.ENDPOINT_WEIGHT: st.floats(),
        protocol.ENDPOINT_CELL: st.integers(),
        protocol.ENDPOINT_KIND: st.text(max_size=3),
    }
)
_list = objects_with(
    **{
        protocol.LIST_VERSION: st.integers(-3, 2**70),
        protocol.LIST_IS_SNAPSHOT: st.booleans(),
        protocol.LIST_ENDPOINTS: st.lists(_entry, max_size=3),
    }
).map(as_bytes)


def check_endpoint_list(data: bytes) -> None:
    """Discovery's list: read, or `CallFailedError`; numbers of names stay what they were."""
    entries = EndpointListDecoder(SETTINGS, 0.0)
    first_number = entries.server_id("s-1")
    try:
        decoded = json.loads(data)
    except (ValueError, RecursionError):
        return
    try:
        entries.decode(decoded)
    except DiscoveryError:
        pass
    except Exception as error:
        raise FuzzError(f"{type(error).__name__}: {error}") from error
    if entries.server_id("s-1") != first_number:
        raise FuzzError("a name has another number than before")


class _Gateway:
    """As much of a gateway as the platform's lines need."""

    def __init__(self) -> None:
        from meadowpulley.net.config import Config

        self.config = Config("g", ("127.0.0.1", 1), ("127.0.0.1", 2), ("127.0.0.1", 3), 1, 128, SETTINGS)
        self.counters = Counters()
        self.events: list[Event] = []
        self.log: Any = self
        self.deadlines: Any = self
        self.entries = EndpointListDecoder(SETTINGS, 0.0)
        self.stopping = True

    def dispatch(self, event: Event) -> None:
        """Keep an event."""
        self.events.append(event)

    def warning(self, *_: Any, **__: Any) -> None:
        """Ignore a line of the log."""

    def cancel(self, _: Any) -> None:
        """Ignore that a deadline is cancelled."""

    def at(self, due_at: float, call: Any) -> None:
        """Ignore a deadline."""

    def after(self, delay: float, call: Any) -> None:
        """Ignore a deadline."""

    def now(self) -> float:
        """Return the time, which is constant."""
        return 0.0


_tally = objects_with(
    **{
        protocol.MESSAGE_BUILD: st.integers(),
        protocol.REQUEST_CLASS: st.sampled_from(["look", "odd"]),
        protocol.STATISTICS_ATTEMPTS: st.integers(),
        protocol.STATISTICS_FAILURES: st.integers(),
        protocol.STATISTICS_MEAN_MS: st.floats(),
        protocol.MESSAGE_AGE: st.floats(),
        protocol.INCORRECT_RESPONSE_SERVER: st.text(max_size=4),
    }
)
_line = objects_with(
    jsonrpc=st.just("2.0"),
    id=st.integers(0, 3),
    result=st.one_of(st.just(True), rollout_updates),
    method=st.sampled_from(
        [
            protocol.ROLLOUT_NOTIFICATION,
            protocol.STATISTICS_NOTIFICATION,
            protocol.INCORRECT_RESPONSE_NOTIFICATION,
            protocol.HEARTBEAT_NOTIFICATION,
            "odd",
        ]
    ),
    params=st.one_of(rollout_updates, _tally),
    error=objects_with(code=st.integers(), message=st.sampled_from([*protocol.VOTE_ERRORS, "odd"])),
).map(as_bytes)


def _rollout_connection() -> tuple[_Gateway, PlatformConnection]:
    gateway = _Gateway()
    platform = RolloutClient(gateway, gateway.entries.server_ids.get)  # type: ignore[arg-type]
    connection = PlatformConnection(platform)
    connection.is_open = True
    connection.transport = _NullTransport()
    platform.connection = connection
    connection.pending_calls.append(platform._new_call(None))
    connection.pending_calls.append(platform._new_call(Vote(1, 0, Verdict.ADVANCE)))
    return gateway, connection


class _NullTransport:
    def abortConnection(self) -> None:  # noqa: N802 (Twisted's name)
        """Ignore that the connection is closed."""

    def writeSomeData(self, data: bytes) -> int:  # noqa: N802
        """Accept all bytes."""
        return len(data)


def check_rollout_lines(data: bytes) -> None:
    """The platform's lines: the same events however they are cut, and never an exception."""
    data = data[:60_000]
    events_by_cut = []
    for piece in (max(len(data), 1), *PIECE_SIZES):
        if len(data) // piece > 2048:
            continue
        gateway, connection = _rollout_connection()
        try:
            for start in range(0, len(data), piece):
                if connection.is_open:
                    connection.input_buffer.write(data[start : start + piece])
                    connection.received()
        except Exception as error:
            raise FuzzError(f"{type(error).__name__}: {error}") from error
        events_by_cut.append([repr(e) for e in gateway.events])
    if any(events != events_by_cut[0] for events in events_by_cut):
        raise FuzzError(f"other events when cut: {events_by_cut!r:.400}")


LINES = (
    Target("lists", "discovery's lists", check_endpoint_list, corrupted(_list)),
    Target(
        "lines",
        "the platform's lines",
        check_rollout_lines,
        st.lists(corrupted(_line), max_size=4).map(lambda lines: b"".join(line + b"\n" for line in lines)),
    ),
)
