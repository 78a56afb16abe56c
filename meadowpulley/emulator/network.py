"""The network between sites, and what does not get through it."""

from __future__ import annotations

import numpy as np

from meadowpulley.emulator.clock import between
from meadowpulley.fleet import Network as Figures


class Network:
    """One-way times in milliseconds; a site that is cut off says nothing to any other and hears nothing."""

    def __init__(self, figures: Figures, rng: np.random.Generator) -> None:
        self.figures, self._rng = figures, rng
        self.cut: set[int] = set()
        self.peers_lost = 0.0  # share of datagrams lost on top of the usual

    def reaches(self, a: int, b: int) -> bool:
        return a == b or not (a in self.cut or b in self.cut)

    def _spread(self, mean: float) -> float:
        return mean * (1 + self.figures.jitter * float(self._rng.standard_exponential()))

    def one_way(self, a: int, b: int) -> float:
        return self._spread(self.figures.same_site_ms if a == b else self.figures.cross_site_ms)

    def handshake(self, a: int, b: int) -> float:
        """What a new connection adds to the first request on it."""
        mean = self.figures.same_site_ms if a == b else self.figures.cross_site_ms
        return self._spread(2 * mean * self.figures.handshakes)

    def client(self) -> float:
        return self._spread(self.figures.client_ms)

    def datagram(self, a: int, b: int) -> float | None:
        """How long a datagram between gateways takes; None when it is lost."""
        lost = self._rng.random() < max(self.figures.peer_loss, self.peers_lost)
        return None if lost or not self.reaches(a, b) else between(self._rng, self.figures.peer_ms)
