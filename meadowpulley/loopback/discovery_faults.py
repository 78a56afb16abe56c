"""Faults of the simulated discovery that are in force, and what they do to a call."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import numpy as np

from meadowpulley.emulator.clock import Timeline
from meadowpulley.loopback.messages import DiscoveryFault

QUEUE_MS = 2_000.0  # how long discovery keeps a call that it can't answer


class ActiveDiscoveryFaults:
    """The faults that are in force; `on_down` is called when discovery goes down."""

    def __init__(
        self, clock: Timeline, faults: Sequence[DiscoveryFault], on_down: Callable[[], None]
    ) -> None:
        self._clock = clock
        self._faults = faults
        for fault in faults:
            if fault.kind == "down":
                clock.call_at(fault.at_ms, on_down)

    def _active(self, *kinds: str) -> list[DiscoveryFault]:
        now = self._clock.now
        return [f for f in self._faults if f.kind in kinds and f.at_ms <= now < f.at_ms + f.duration_ms]

    @property
    def is_down(self) -> bool:
        """Whether discovery can't be reached."""
        return bool(self._active("down"))

    def rejects(self, rng: np.random.Generator) -> bool:
        """Draw whether a call that comes now ends with 503 after it has waited."""
        return self.is_down or any(rng.random() < fault.share for fault in self._active("crowded"))

    def silences(self, rng: np.random.Generator) -> bool:
        """Draw whether a call that comes now is never answered."""
        return any(rng.random() < fault.share for fault in self._active("silent"))

    def cuts(self, rng: np.random.Generator) -> bool:
        """Draw whether an answer that is written now breaks off."""
        return any(rng.random() < fault.share for fault in self._active("cut"))
