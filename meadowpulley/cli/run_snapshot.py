"""The present state of a run, and bars of characters that show shares."""

from __future__ import annotations

from meadowpulley.emulator import Emulation, RunSnapshot, class_snapshots, fleet_snapshot


def snapshot(world: Emulation) -> RunSnapshot:
    """Return an emulation as it is now."""
    title = f"{world.fleet.name}, {world.clock.now / 1000:.1f} s"
    return RunSnapshot(
        title, fleet_snapshot(world), class_snapshots(world.result), dict(world.checker.counts)
    )


def bar(share: float, width: int) -> str:
    """Return a bar of so many characters, filled by a share."""
    full = round(min(max(share, 0.0), 1.0) * width)
    return "█" * full + "·" * (width - full)
