"""A gateway as a program for these tests: started by `run`, ended with the test."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest

from tests.standins import (
    Gateway,
)

Start = Callable[..., Gateway]


@pytest.fixture
def start(tmp_path: Path) -> Iterator[Start]:
    """Starts gateways; they end with the test."""
    started: list[Gateway] = []

    def begin(*args: Any, wait: bool = True, **more: Any) -> Gateway:
        gateway = Gateway(tmp_path, *args, **more)
        started.append(gateway)
        if wait:
            gateway.wait_for("ready")
        return gateway

    yield begin
    for gateway in started:
        gateway.stop()
