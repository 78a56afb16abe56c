"""Fixture that starts gateway processes with the deploy file `run` and stops them after the test."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest

from tests.standins import GatewayProcess

StartGateway = Callable[..., GatewayProcess]


@pytest.fixture
def start(tmp_path: Path) -> Iterator[StartGateway]:
    """Return a function that starts a gateway process; all of them are stopped after the test."""
    started: list[GatewayProcess] = []

    def start_gateway(*args: Any, wait: bool = True, **overrides: Any) -> GatewayProcess:
        gateway = GatewayProcess(tmp_path, *args, **overrides)
        started.append(gateway)
        if wait:
            gateway.wait_for("ready")
        return gateway

    yield start_gateway
    for gateway in started:
        gateway.stop()
