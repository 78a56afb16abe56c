"""Fuzzing what discovery and the platform send: lists, and lines of calls."""

from __future__ import annotations

import json
from typing import Any

from hypothesis import strategies as st

from meadowpulley.check.fuzz.made import PIECES, SETTINGS, address, as_bytes, news, object_of, spoilt
from meadowpulley.check.fuzz.play import FuzzError, Target
from meadowpulley.interface import Event, Verdict, Vote
from meadowpulley.net import names
from meadowpulley.net.control import Platform, PlatformLink
from meadowpulley.net.counters import Counters
from meadowpulley.net.entries import CallFailedError, Entries

_entry = object_of(
    **{
        names.NAME: st.text(max_size=6),
        names.ADDRESS: address,
        names.ZONE: st.sampled_from(["a", "b", "c"]),
        names.STATE: st.sampled_from([*names.STATES, "odd"]),
        names.BUILD: st.integers(-5, 2**70),
        names.STARTED: st.floats(),
        names.WEIGHT: st.floats(),
        names.CELL: st.integers(),
        names.KIND: st.text(max_size=3),
    }
)
_list = object_of(
    **{
        names.VERSION: st.integers(-3, 2**70),
        names.WHOLE: st.booleans(),
        names.ENTRIES: st.lists(_entry, max_size=3),
    }
).map(as_bytes)


def check_list(data: bytes) -> None:
    """Discovery's list: read, or `CallFailedError`; numbers of names stay what they were."""
    entries = Entries(SETTINGS, 0.0)
    first = entries.number("s-1")
    try:
        raw = json.loads(data)
    except (ValueError, RecursionError):
        return
    try:
        entries.read(raw)
    except CallFailedError:
        pass
    except Exception as error:
        raise FuzzError(f"{type(error).__name__}: {error}") from error
    if entries.number("s-1") != first:
        raise FuzzError("a name has another number than before")


class _Gateway:
    """As much of a gateway as the platform's lines need."""

    def __init__(self) -> None:
        from meadowpulley.net.config import Config

        self.config = Config("g", ("127.0.0.1", 1), ("127.0.0.1", 2), ("127.0.0.1", 3), 1, 128, SETTINGS)
        self.counters = Counters()
        self.told: list[Event] = []
        self.log: Any = self
        self.deadlines: Any = self
        self.entries = Entries(SETTINGS, 0.0)
        self.stopping = True

    def tell(self, event: Event) -> None:
        self.told.append(event)

    def warning(self, *_: Any, **__: Any) -> None:
        pass

    def call_off(self, _: Any) -> None:
        pass

    def at(self, when: float, call: Any) -> None:
        pass

    def after(self, delay: float, call: Any) -> None:
        pass

    def now(self) -> float:
        return 0.0


_tally = object_of(
    **{
        names.NEWS_BUILD: st.integers(),
        names.CLASS: st.sampled_from(["look", "odd"]),
        names.TALLY_MANY: st.integers(),
        names.TALLY_FAILED: st.integers(),
        names.TALLY_MEAN: st.floats(),
        names.NEWS_AGE: st.floats(),
        names.WRONG_SERVER: st.text(max_size=4),
    }
)
_line = object_of(
    jsonrpc=st.just("2.0"),
    id=st.integers(0, 3),
    result=st.one_of(st.just(True), news),
    method=st.sampled_from([names.NEWS, names.TALLY, names.WRONG, names.ALIVE, "odd"]),
    params=st.one_of(news, _tally),
    error=object_of(code=st.integers(), message=st.sampled_from([*names.CALL_ERRORS, "odd"])),
).map(as_bytes)


def _platform_link() -> tuple[_Gateway, PlatformLink]:
    gateway = _Gateway()
    platform = Platform(gateway, gateway.entries.numbers.get)  # type: ignore[arg-type]
    link = PlatformLink(platform)
    link.up = True
    link.wire = _NoWire()
    platform.link = link
    link.calls.append(platform._call(None))
    link.calls.append(platform._call(Vote(1, 0, Verdict.ADVANCE)))
    return gateway, link


class _NoWire:
    def abortConnection(self) -> None:  # noqa: N802 (Twisted's name)
        pass

    def writeSomeData(self, data: bytes) -> int:  # noqa: N802
        return len(data)


def check_lines(data: bytes) -> None:
    """The platform's lines: the same events however they are cut, and never an exception."""
    data = data[:60_000]
    told = []
    for piece in (max(len(data), 1), *PIECES):
        if len(data) // piece > 2048:
            continue
        gateway, link = _platform_link()
        try:
            for at in range(0, len(data), piece):
                if link.up:
                    link.inward.write(data[at : at + piece])
                    link.received()
        except Exception as error:
            raise FuzzError(f"{type(error).__name__}: {error}") from error
        told.append([repr(e) for e in gateway.told])
    if any(events != told[0] for events in told):
        raise FuzzError(f"other events when cut: {told!r:.400}")


LINES = (
    Target("lists", "discovery's lists", check_list, spoilt(_list)),
    Target(
        "lines",
        "the platform's lines",
        check_lines,
        st.lists(spoilt(_line), max_size=4).map(lambda lines: b"".join(line + b"\n" for line in lines)),
    ),
)
