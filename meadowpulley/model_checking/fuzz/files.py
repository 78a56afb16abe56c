"""Fuzzing files: the gateway's configuration and captured loads."""

from __future__ import annotations

import os
import tempfile
from collections.abc import Callable
from pathlib import Path

from hypothesis import strategies as st

from meadowpulley.load import LoadError, read_load
from meadowpulley.model_checking.fuzz.runner import FuzzError, Target
from meadowpulley.model_checking.fuzz.strategies import (
    addresses,
    any_json,
    as_bytes,
    corrupted,
    objects_with,
    rollout_updates,
)
from meadowpulley.net import protocol
from meadowpulley.net.config import ConfigError, read_config

_config = objects_with(
    name=st.text(max_size=4),
    listen=addresses,
    discovery=addresses,
    seed=st.one_of(st.integers(), st.text(max_size=4)),
    limits=objects_with(sockets=st.integers(0, 2000)),
    peers=st.lists(addresses, max_size=2),
    platform=objects_with(address=addresses, news=rollout_updates),
    known=any_json,
    settings=objects_with(
        me=st.integers(-1, 3),
        balancers=st.integers(-1, 3),
        az=st.integers(),
        zones=st.lists(st.text(max_size=3)),
        classes=st.lists(
            objects_with(name=st.text(max_size=4), repeat=st.sampled_from(["pure", "odd"])), max_size=2
        ),
        rules=any_json,
        bounds=any_json,
    ),
).map(as_bytes)


_arrival = objects_with(
    at_ms=st.floats(0, 1e6),
    cls=st.sampled_from(["look", "odd"]),
    key=st.integers(0, 2**64),
    site=st.text(max_size=4),
    work_ms=st.floats(),
    bytes=st.integers(),
    patience_ms=st.floats(),
).map(as_bytes)
_header = objects_with(
    version=st.just(1), kind=st.just("load"), source=st.text(max_size=4), started=st.floats()
).map(as_bytes)
_capture = st.builds(lambda h, rows: b"\n".join([h, *rows]) + b"\n", _header, st.lists(_arrival, max_size=4))


def _of_file(
    suffix: str, read: Callable[[Path], None], expected_error: type[Exception]
) -> Callable[[bytes], None]:
    """A reader of a file: it may raise its own error alone, whose text is one line."""

    def check(data: bytes) -> None:
        """Read a file with these bytes; raise FuzzError on any unexpected error."""
        handle, path = tempfile.mkstemp(suffix=suffix)
        try:
            with os.fdopen(handle, "wb") as file:
                file.write(data)
            read(Path(path))
        except expected_error as error:
            if "\n" in str(error):
                raise FuzzError(f"the reason has more than one line: {str(error)!r}") from None
        except Exception as error:
            raise FuzzError(f"{type(error).__name__}: {error}") from error
        finally:
            os.unlink(path)

    return check


def _read_config(path: Path) -> None:
    read_config({protocol.ENV_CONFIG: str(path)})


def _read_capture(path: Path) -> None:
    for _ in read_load(path, frozenset({"look"})):
        pass


check_config = _of_file(".json", _read_config, ConfigError)
check_capture = _of_file(".jsonl", _read_capture, LoadError)


FILES = (
    Target("configurations", "the gateway's configuration", check_config, corrupted(_config)),
    Target("captures", "captured loads", check_capture, corrupted(_capture)),
)
