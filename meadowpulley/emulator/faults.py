"""Fault injection: starts each fault of a scenario at its time and clears it after its duration."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

from meadowpulley.emulator.scenario import Fault

if TYPE_CHECKING:
    from meadowpulley.emulator.emulation import Emulation
    from meadowpulley.emulator.simulated_server import SimulatedServer

BURST_LENGTH_MS = (
    200.0,
    800.0,
)  # bounds of the alternating busy and idle times of a noisy neighbour


class FaultInjector:
    """Injects the faults of a scenario into a run, in their order."""

    def __init__(self, emulation: Emulation, faults: tuple[Fault, ...]) -> None:
        self._emulation = emulation
        self._rng = emulation.streams.stream("faults")
        for index, fault in enumerate(faults):
            emulation.clock.call_at(fault.at_ms, partial(self._begin, index, fault))

    def _begin(self, index: int, fault: Fault) -> None:
        self._emulation.log_event(f"fault on: {fault.kind}")
        clear = getattr(self, f"_{fault.kind}")(index, fault)
        self._emulation.clock.call_later(fault.duration_ms, lambda: self._clear(fault, clear))

    def _clear(self, fault: Fault, clear: Callable[[], None]) -> None:
        clear()
        self._emulation.log_event(f"fault off: {fault.kind}")

    def _affected_servers(self, fault: Fault) -> list[SimulatedServer]:
        """Draw the affected servers: a share of those that are up, at the fault's site where it names one;
        at least one.
        """
        sites = self._emulation.fleet.site_indexes()
        site = sites[fault.site] if fault.site is not None else None
        servers = [h for h in self._emulation.servers.values() if h.up and site in (None, h.entry.zone)]
        count = max(round(fault.share * len(servers)), 1) if servers else 0
        chosen = self._rng.permutation(len(servers))[:count]
        return [servers[k] for k in sorted(int(c) for c in chosen)]

    # Servers

    def _fast_errors(self, index: int, fault: Fault) -> Callable[[], None]:
        servers = self._affected_servers(fault)
        for server in servers:
            server.error_rate = fault.amount

        def clear() -> None:
            for server in servers:
                server.error_rate = 0.0

        return clear

    def _lost_answers(self, index: int, fault: Fault) -> Callable[[], None]:
        servers = self._affected_servers(fault)
        for server in servers:
            server.response_loss_rate = fault.amount

        def clear() -> None:
            for server in servers:
                server.response_loss_rate = 0.0

        return clear

    def _silence(self, index: int, fault: Fault) -> Callable[[], None]:
        servers = self._affected_servers(fault)
        for server in servers:
            self._emulation.freeze(server, True)

        def clear() -> None:
            for server in servers:
                self._emulation.freeze(server, False)

        return clear

    def _slow(self, index: int, servers: list[SimulatedServer], amount: float) -> Callable[[], None]:
        for server in servers:
            self._emulation.set_slowdown(server, f"fault {index}", amount)

        def clear() -> None:
            for server in servers:
                self._emulation.set_slowdown(server, f"fault {index}", 1.0)

        return clear

    def _slowness(self, index: int, fault: Fault) -> Callable[[], None]:
        return self._slow(index, self._affected_servers(fault), fault.amount)

    def _dependency(self, index: int, fault: Fault) -> Callable[[], None]:
        """Slow all servers down, also those that start while the fault lasts."""
        self._emulation.shared_slowness = fault.amount
        self._emulation.set_slowdown_of_all("dependency", fault.amount)

        def clear() -> None:
            self._emulation.shared_slowness = 1.0
            self._emulation.set_slowdown_of_all("dependency", 1.0)

        return clear

    def _neighbour(self, index: int, fault: Fault) -> Callable[[], None]:
        servers, stopped = self._affected_servers(fault), [False]

        def toggle(server: SimulatedServer, on: bool) -> None:
            on = on and not stopped[0]
            self._emulation.set_slowdown(server, f"fault {index}", fault.amount if on else 1.0)
            if not stopped[0]:
                burst_ms = BURST_LENGTH_MS[0] + (BURST_LENGTH_MS[1] - BURST_LENGTH_MS[0]) * float(
                    self._rng.random()
                )
                self._emulation.clock.call_later(burst_ms, lambda: toggle(server, not on))

        for server in servers:
            toggle(server, True)

        def clear() -> None:
            stopped[0] = True
            for server in servers:
                self._emulation.set_slowdown(server, f"fault {index}", 1.0)

        return clear

    def _vanish(self, index: int, fault: Fault) -> Callable[[], None]:
        servers = self._affected_servers(fault)
        for server in servers:
            self._emulation.vanish(server)

        def clear() -> None:
            for server in servers:
                self._emulation.restart(server)

        return clear

    def _crash(self, index: int, fault: Fault) -> Callable[[], None]:
        servers = self._affected_servers(fault)
        for server in servers:
            self._emulation.crash(server)

        def clear() -> None:
            for server in servers:
                self._emulation.restart(server)

        return clear

    # Services

    def _site_cut(self, index: int, fault: Fault) -> Callable[[], None]:
        assert fault.site is not None
        site = self._emulation.fleet.site_indexes()[fault.site]
        self._emulation.network.partitioned_sites.add(site)
        return lambda: self._emulation.network.partitioned_sites.discard(site)

    def _discovery_down(self, index: int, fault: Fault) -> Callable[[], None]:
        self._emulation.discovery.fail()

        def clear() -> None:
            self._emulation.discovery.unavailable = False

        return clear

    def _silent_watches(self, index: int, fault: Fault) -> Callable[[], None]:
        """Stall the watches of a share of the gateways; the gateways decide how long that lasts."""
        gateways = [g.number for g in self._emulation.gateways if g.alive]
        count = min(max(round(fault.share * len(gateways)), 1), len(gateways))
        for number in sorted(int(c) for c in self._rng.permutation(len(gateways))[:count]):
            self._emulation.discovery.stall_watch(gateways[number])
        return lambda: None

    def _discovery_stale(self, index: int, fault: Fault) -> Callable[[], None]:
        self._emulation.discovery.extra_delay_ms = fault.amount

        def clear() -> None:
            self._emulation.discovery.extra_delay_ms = 0.0

        return clear

    def _platform_down(self, index: int, fault: Fault) -> Callable[[], None]:
        self._emulation.platform.fail()
        return self._emulation.platform.recover

    def _platform_late(self, index: int, fault: Fault) -> Callable[[], None]:
        self._emulation.platform.extra_delay_ms = fault.amount

        def clear() -> None:
            self._emulation.platform.extra_delay_ms = 0.0

        return clear

    def _peers_lost(self, index: int, fault: Fault) -> Callable[[], None]:
        self._emulation.network.extra_gossip_loss = fault.amount

        def clear() -> None:
            self._emulation.network.extra_gossip_loss = 0.0

        return clear

    def _gateway_crash(self, index: int, fault: Fault) -> Callable[[], None]:
        site = self._emulation.fleet.site_indexes().get(fault.site or "")
        gateways = [g for g in self._emulation.gateways if g.alive and site in (None, g.site)]
        count = min(max(round(fault.share * len(gateways)), 1), len(gateways))
        chosen = sorted(int(c) for c in self._rng.permutation(len(gateways))[:count])
        for number in chosen:
            gateways[number].kill()

        def clear() -> None:
            for number in chosen:
                if not gateways[number].alive:
                    gateways[number].start()

        return clear
