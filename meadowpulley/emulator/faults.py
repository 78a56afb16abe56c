"""Fault injection: starts each fault of a scenario at its time and clears it after its duration."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from functools import partial
from typing import TYPE_CHECKING, TypeAlias, TypeVar

from meadowpulley.emulator.clock import uniform
from meadowpulley.emulator.errors import MissingFaultSiteError
from meadowpulley.emulator.scenario import Fault, FaultKind

if TYPE_CHECKING:
    from meadowpulley.emulator.emulation import Emulation
    from meadowpulley.emulator.gateway import SimulatedGateway
    from meadowpulley.emulator.simulated_server import SimulatedServer

BURST_LENGTH_MS = (200.0, 800.0)  # bounds of the alternating busy and idle times of a noisy neighbour
Clear: TypeAlias = Callable[[], None]  # ends a fault
Target = TypeVar("Target")  # a server or a gateway


class FaultInjector:
    """Injects the faults of a scenario into a run, in their order."""

    def __init__(self, emulation: Emulation, faults: tuple[Fault, ...]) -> None:
        self._emulation = emulation
        self._rng = emulation.streams.stream("faults")
        self._starters: dict[FaultKind, Callable[[str, Fault], Clear]] = {
            "fast_errors": self._fail_requests,
            "lost_answers": self._lose_responses,
            "silence": self._freeze,
            "slowness": self._slow_servers,
            "dependency": self._slow_all,
            "neighbour": self._add_noisy_neighbour,
            "vanish": self._vanish,
            "crash": self._crash,
            "site_cut": self._partition_site,
            "discovery_down": self._fail_discovery,
            "discovery_stale": self._delay_discovery,
            "silent_watches": self._stall_watches,
            "platform_down": self._fail_platform,
            "platform_late": self._delay_platform,
            "peers_lost": self._lose_gossip,
            "gateway_crash": self._crash_gateways,
        }
        for index, fault in enumerate(faults):
            emulation.clock.call_at(fault.at_ms, partial(self._begin, f"fault {index}", fault))

    def _begin(self, name: str, fault: Fault) -> None:
        self._emulation.log_event(f"fault on: {fault.kind}")
        clear = self._starters[fault.kind](name, fault)
        self._emulation.clock.call_later(fault.duration_ms, partial(self._end, fault, clear))

    def _end(self, fault: Fault, clear: Clear) -> None:
        clear()
        self._emulation.log_event(f"fault off: {fault.kind}")

    def _draw(self, candidates: list[Target], count: int) -> list[Target]:
        """Draw `count` of the candidates; they keep their order."""
        chosen = self._rng.permutation(len(candidates))[:count]
        return [candidates[index] for index in sorted(chosen.tolist())]

    # Servers

    def _affected_servers(self, fault: Fault) -> list[SimulatedServer]:
        """Draw a share of the servers that are up, at the fault's site where it names one; at least one."""
        sites = self._emulation.fleet.site_indexes()
        site = sites[fault.site] if fault.site is not None else None
        servers = [
            server
            for server in self._emulation.servers.values()
            if server.up and site in (None, server.entry.zone)
        ]
        count = max(round(fault.share * len(servers)), 1) if servers else 0
        return self._draw(servers, count)

    def _on_servers(
        self,
        fault: Fault,
        start: Callable[[SimulatedServer], None],
        clear: Callable[[SimulatedServer], None],
    ) -> Clear:
        """Start a fault on each affected server; it is cleared on the same servers."""
        servers = self._affected_servers(fault)
        _for_each(servers, start)
        return partial(_for_each, servers, clear)

    def _fail_requests(self, _: str, fault: Fault) -> Clear:
        return self._on_servers(fault, partial(_set_error_rate, fault.amount), partial(_set_error_rate, 0.0))

    def _lose_responses(self, _: str, fault: Fault) -> Clear:
        return self._on_servers(
            fault, partial(_set_response_loss, fault.amount), partial(_set_response_loss, 0.0)
        )

    def _freeze(self, _: str, fault: Fault) -> Clear:
        freeze = self._emulation.freeze
        return self._on_servers(fault, partial(freeze, frozen=True), partial(freeze, frozen=False))

    def _slow_servers(self, name: str, fault: Fault) -> Clear:
        slow = partial(self._emulation.set_slowdown, reason=name)
        return self._on_servers(fault, partial(slow, factor=fault.amount), partial(slow, factor=1.0))

    def _slow_all(self, _: str, fault: Fault) -> Clear:
        """Slow all servers down, also those that start while the fault lasts."""
        self._set_shared_slowness(fault.amount)
        return partial(self._set_shared_slowness, 1.0)

    def _set_shared_slowness(self, factor: float) -> None:
        self._emulation.shared_slowness = factor
        self._emulation.set_slowdown_of_all("dependency", factor)

    def _add_noisy_neighbour(self, name: str, fault: Fault) -> Clear:
        neighbour = _NoisyNeighbour(self._emulation, name, fault.amount, self._affected_servers(fault))
        neighbour.start(lambda: uniform(self._rng, BURST_LENGTH_MS))
        return neighbour.clear

    def _vanish(self, _: str, fault: Fault) -> Clear:
        return self._on_servers(fault, self._emulation.vanish, self._emulation.restart)

    def _crash(self, _: str, fault: Fault) -> Clear:
        return self._on_servers(fault, self._emulation.crash, self._emulation.restart)

    # Services

    def _partition_site(self, _: str, fault: Fault) -> Clear:
        if fault.site is None:
            raise MissingFaultSiteError(fault.kind)
        site = self._emulation.fleet.site_indexes()[fault.site]
        self._emulation.network.partitioned_sites.add(site)
        return partial(self._emulation.network.partitioned_sites.discard, site)

    def _fail_discovery(self, _: str, fault: Fault) -> Clear:
        self._emulation.discovery.fail()
        return self._emulation.discovery.recover

    def _delay_discovery(self, _: str, fault: Fault) -> Clear:
        self._set_discovery_delay(fault.amount)
        return partial(self._set_discovery_delay, 0.0)

    def _set_discovery_delay(self, delay_ms: float) -> None:
        self._emulation.discovery.extra_delay_ms = delay_ms

    def _fail_platform(self, _: str, fault: Fault) -> Clear:
        self._emulation.platform.fail()
        return self._emulation.platform.recover

    def _delay_platform(self, _: str, fault: Fault) -> Clear:
        self._set_platform_delay(fault.amount)
        return partial(self._set_platform_delay, 0.0)

    def _set_platform_delay(self, delay_ms: float) -> None:
        self._emulation.platform.extra_delay_ms = delay_ms

    def _lose_gossip(self, _: str, fault: Fault) -> Clear:
        self._set_gossip_loss(fault.amount)
        return partial(self._set_gossip_loss, 0.0)

    def _set_gossip_loss(self, share: float) -> None:
        self._emulation.network.extra_gossip_loss = share

    # Gateways

    def _affected_gateways(self, fault: Fault, gateways: list[SimulatedGateway]) -> list[SimulatedGateway]:
        """Draw a share of the gateways; at least one, where there is one."""
        count = min(max(round(fault.share * len(gateways)), 1), len(gateways))
        return self._draw(gateways, count)

    def _stall_watches(self, _: str, fault: Fault) -> Clear:
        """Stall the watches of a share of the gateways; the gateways decide how long that lasts."""
        live = [gateway for gateway in self._emulation.gateways if gateway.alive]
        for gateway in self._affected_gateways(fault, live):
            self._emulation.discovery.stall_watch(gateway.number)
        return _do_nothing

    def _crash_gateways(self, _: str, fault: Fault) -> Clear:
        site = self._emulation.fleet.site_indexes().get(fault.site or "")
        live = [
            gateway for gateway in self._emulation.gateways if gateway.alive and site in (None, gateway.site)
        ]
        gateways = self._affected_gateways(fault, live)
        for gateway in gateways:
            gateway.kill()
        return partial(_restart_gateways, gateways)


class _NoisyNeighbour:
    """Slows servers down in bursts: busy for a random time, idle for a random time, until it is cleared."""

    def __init__(
        self, emulation: Emulation, reason: str, factor: float, servers: list[SimulatedServer]
    ) -> None:
        self._emulation = emulation
        self._reason = reason
        self._factor = factor
        self._servers = servers
        self._cleared = False

    def start(self, draw_length_ms: Callable[[], float]) -> None:
        """Start with a busy time on each server."""
        for server in self._servers:
            self._set_busy(server, draw_length_ms, True)

    def _set_busy(self, server: SimulatedServer, draw_length_ms: Callable[[], float], busy: bool) -> None:
        factor = self._factor if busy and not self._cleared else 1.0
        self._emulation.set_slowdown(server, self._reason, factor)
        if not self._cleared:
            toggle = partial(self._set_busy, server, draw_length_ms, not busy)
            self._emulation.clock.call_later(draw_length_ms(), toggle)

    def clear(self) -> None:
        """End the slowdown of all servers."""
        self._cleared = True
        for server in self._servers:
            self._emulation.set_slowdown(server, self._reason, 1.0)


def _for_each(servers: Iterable[SimulatedServer], call: Callable[[SimulatedServer], None]) -> None:
    for server in servers:
        call(server)


def _set_error_rate(rate: float, server: SimulatedServer) -> None:
    server.error_rate = rate


def _set_response_loss(rate: float, server: SimulatedServer) -> None:
    server.response_loss_rate = rate


def _restart_gateways(gateways: Iterable[SimulatedGateway]) -> None:
    for gateway in gateways:
        if not gateway.alive:
            gateway.start()


def _do_nothing() -> None:
    """Clear a fault that ends by itself."""
