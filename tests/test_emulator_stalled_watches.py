"""Stalled watches in the emulated fleet: drains are respected, since each gateway polls again in time."""

from __future__ import annotations

import pytest
from msgspec.structs import replace

from meadowpulley.cli.demo import demo_fleet
from meadowpulley.emulator import Build, Emulation, EmulationResult, Fault, Release, Scenario
from meadowpulley.interface import EndpointUpdate, EndpointUpdateKind
from meadowpulley.load import PROFILES, synthesize
from meadowpulley.policy import endpoints, policy
from meadowpulley.state.state import State


def run_emulation(silence_timeout_ms: float, seed: int) -> EmulationResult:
    """Release a good build while all watches are stalled since 16 s; the earlier build's servers drain at
    18 to 22 s.
    """
    fleet = demo_fleet()
    discovery = replace(
        fleet.discovery, silence_timeout_ms=silence_timeout_ms, change_delay_ms=(500.0, 900.0)
    )
    fleet = replace(fleet, discovery=discovery)
    scenario = Scenario(
        releases=(Release(1000.0, Build(2)),), faults=(Fault("silent_watches", 16_000.0, 1.0),)
    )
    return Emulation(fleet, synthesize(fleet, PROFILES["steady"], 90.0, 36.0, seed), seed, scenario).run()


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_drains_are_respected_when_all_watches_stall(seed: int) -> None:
    assert not run_emulation(1500.0, seed).violation_counts


def test_late_stall_detection_violates_the_drain_rule(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # As it was: given up 4 s after the wait, and asked again with the spread of a fleet's calls.
    def as_failed(state: State, event: EndpointUpdate) -> None:
        stalled = event.kind is EndpointUpdateKind.TIMED_OUT
        endpoints.handle_endpoint_update(
            state, EndpointUpdate(EndpointUpdateKind.FAILED, event.version) if stalled else event
        )

    monkeypatch.setitem(policy.HANDLERS, EndpointUpdate, as_failed)
    assert any("drains" in run_emulation(4000.0, seed).violation_counts for seed in (1, 2, 3))
