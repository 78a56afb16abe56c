"""Watches that fall silent in the emulated fleet: drains are kept, since each gateway asks anew in time."""

from __future__ import annotations

import pytest
from msgspec.structs import replace

from meadowpulley.balance import balancer, servers
from meadowpulley.cli.demo import demo_fleet
from meadowpulley.emulator import Build, Fault, Release, Result, Scenario, World
from meadowpulley.interface import EndpointUpdate, EndpointUpdateKind
from meadowpulley.load import PROFILES, synthesize
from meadowpulley.records import State


def play(silent_ms: float, seed: int) -> Result:
    """A good build is released at 18 to 22 s, and the earlier one's servers drain, while all watches
    have been silent since 16 s."""
    fleet = demo_fleet()
    discovery = replace(fleet.discovery, silent_ms=silent_ms, notice_ms=(500.0, 900.0))
    fleet = replace(fleet, discovery=discovery)
    scenario = Scenario(
        releases=(Release(1000.0, Build(2)),), faults=(Fault("silent_watches", 16_000.0, 1.0),)
    )
    return World(fleet, synthesize(fleet, PROFILES["steady"], 90.0, 36.0, seed), seed, scenario).run()


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_drains_are_kept_though_all_watches_fall_silent(seed: int) -> None:
    assert not play(1500.0, seed).broken


def test_drains_are_broken_where_silence_is_found_late_and_answered_as_a_failed_call(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # As it was: given up 4 s after the wait, and asked again with the spread of a fleet's calls.
    def as_failed(b: State, event: EndpointUpdate) -> None:
        silent = event.kind is EndpointUpdateKind.TIMED_OUT
        servers.take_list(b, EndpointUpdate(EndpointUpdateKind.FAILED, event.version) if silent else event)

    monkeypatch.setitem(balancer.HANDLERS, EndpointUpdate, as_failed)
    assert any("drains" in play(4000.0, seed).broken for seed in (1, 2, 3))
