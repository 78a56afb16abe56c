"""Shared steps of the stories: each feature file may use every one."""

from __future__ import annotations

import pytest

from tests.stories.fleet_scenario import FleetScenario

STEPS = tuple(
    f"tests.stories.steps_{name}" for name in ("fleet", "ledger", "takeover", "lending", "placement")
)


def pytest_configure(config: pytest.Config) -> None:
    for module in STEPS:
        config.pluginmanager.import_plugin(module)


@pytest.fixture
def scenario() -> FleetScenario:
    return FleetScenario()
