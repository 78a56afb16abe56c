"""Simulated network between sites: delays, partitions and lost datagrams."""

from __future__ import annotations

import numpy as np

from meadowpulley.emulator.clock import uniform
from meadowpulley.fleet import NetworkModel


class SimulatedNetwork:
    """One-way delays in milliseconds. A partitioned site exchanges nothing with other sites."""

    def __init__(self, model: NetworkModel, rng: np.random.Generator) -> None:
        self.model = model
        self._rng = rng
        self.partitioned_sites: set[int] = set()
        self.extra_gossip_loss = 0.0  # share of datagrams lost by a fault

    def reachable(self, source: int, destination: int) -> bool:
        """Return whether messages pass between two sites."""
        return source == destination or not (
            source in self.partitioned_sites or destination in self.partitioned_sites
        )

    def _with_jitter(self, mean_ms: float) -> float:
        return mean_ms * (1 + self.model.jitter * float(self._rng.standard_exponential()))

    def one_way(self, source: int, destination: int) -> float:
        """Draw a one-way delay between two sites."""
        return self._with_jitter(
            self.model.same_site_ms if source == destination else self.model.cross_site_ms
        )

    def handshake(self, source: int, destination: int) -> float:
        """Draw the delay that a new connection adds to the first request on it."""
        mean_ms = self.model.same_site_ms if source == destination else self.model.cross_site_ms
        return self._with_jitter(2 * mean_ms * self.model.handshakes)

    def client_one_way(self) -> float:
        """Draw a one-way delay between a client and its gateway."""
        return self._with_jitter(self.model.client_ms)

    def gossip_delay(self, source: int, destination: int) -> float | None:
        """Draw the delay of a datagram between gateways; None where it is lost."""
        lost = self._rng.random() < max(self.model.gossip_loss, self.extra_gossip_loss)
        if lost or not self.reachable(source, destination):
            return None
        return uniform(self._rng, self.model.gossip_delay_ms)
