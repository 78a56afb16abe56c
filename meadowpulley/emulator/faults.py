"""Troubles, put on at their time and taken off again. Each acts on the world's parts and on nothing else."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

from meadowpulley.emulator.scenario import Fault

if TYPE_CHECKING:
    from meadowpulley.emulator.park import Host
    from meadowpulley.emulator.world import World

BURST_MS = (
    200.0,
    800.0,
)  # a neighbour crowds a machine for so long at a time, and then leaves it alone as long


class Faults:
    """Puts the faults of a scenario on a world, in their order."""

    def __init__(self, world: World, faults: tuple[Fault, ...]) -> None:
        self._world = world
        self._rng = world.streams.of("faults")
        for n, fault in enumerate(faults):
            world.clock.at(fault.at_ms, partial(self._begin, n, fault))

    def _begin(self, n: int, fault: Fault) -> None:
        self._world.event(f"fault on: {fault.kind}")
        end = getattr(self, f"_{fault.kind}")(n, fault)
        self._world.clock.after(fault.for_ms, lambda: self._end(fault, end))

    def _end(self, fault: Fault, end: Callable[[], None]) -> None:
        end()
        self._world.event(f"fault off: {fault.kind}")

    def _hosts(self, fault: Fault) -> list[Host]:
        """The servers it meets: a share of those that are up, of one site if one is named; at least one."""
        sites = self._world.fleet.site_numbers()
        site = sites[fault.site] if fault.site is not None else None
        hosts = [h for h in self._world.hosts.values() if h.up and site in (None, h.entry.zone)]
        count = max(round(fault.part * len(hosts)), 1) if hosts else 0
        chosen = self._rng.permutation(len(hosts))[:count]
        return [hosts[k] for k in sorted(int(c) for c in chosen)]

    # Servers

    def _fast_errors(self, n: int, fault: Fault) -> Callable[[], None]:
        hosts = self._hosts(fault)
        for host in hosts:
            host.error_share = fault.amount

        def end() -> None:
            for host in hosts:
                host.error_share = 0.0

        return end

    def _lost_answers(self, n: int, fault: Fault) -> Callable[[], None]:
        hosts = self._hosts(fault)
        for host in hosts:
            host.lost_share = fault.amount

        def end() -> None:
            for host in hosts:
                host.lost_share = 0.0

        return end

    def _silence(self, n: int, fault: Fault) -> Callable[[], None]:
        hosts = self._hosts(fault)
        for host in hosts:
            self._world.freeze(host, True)

        def end() -> None:
            for host in hosts:
                self._world.freeze(host, False)

        return end

    def _slow(self, n: int, hosts: list[Host], amount: float) -> Callable[[], None]:
        for host in hosts:
            self._world.slow(host, f"fault {n}", amount)

        def end() -> None:
            for host in hosts:
                self._world.slow(host, f"fault {n}", 1.0)

        return end

    def _slowness(self, n: int, fault: Fault) -> Callable[[], None]:
        return self._slow(n, self._hosts(fault), fault.amount)

    def _dependency(self, n: int, fault: Fault) -> Callable[[], None]:
        """Something that all servers depend on is slow: those that start meanwhile are slow too."""
        self._world.shared_slowness = fault.amount
        self._world.slow_all("dependency", fault.amount)

        def end() -> None:
            self._world.shared_slowness = 1.0
            self._world.slow_all("dependency", 1.0)

        return end

    def _neighbour(self, n: int, fault: Fault) -> Callable[[], None]:
        hosts, over = self._hosts(fault), [False]

        def turn(host: Host, on: bool) -> None:
            on = on and not over[0]
            self._world.slow(host, f"fault {n}", fault.amount if on else 1.0)
            if not over[0]:
                span = BURST_MS[0] + (BURST_MS[1] - BURST_MS[0]) * float(self._rng.random())
                self._world.clock.after(span, lambda: turn(host, not on))

        for host in hosts:
            turn(host, True)

        def end() -> None:
            over[0] = True
            for host in hosts:
                self._world.slow(host, f"fault {n}", 1.0)

        return end

    def _vanish(self, n: int, fault: Fault) -> Callable[[], None]:
        hosts = self._hosts(fault)
        for host in hosts:
            self._world.vanish(host)

        def end() -> None:
            for host in hosts:
                self._world.come_back(host)

        return end

    def _crash(self, n: int, fault: Fault) -> Callable[[], None]:
        hosts = self._hosts(fault)
        for host in hosts:
            self._world.crash(host)

        def end() -> None:
            for host in hosts:
                self._world.come_back(host)

        return end

    # Parties around them

    def _site_cut(self, n: int, fault: Fault) -> Callable[[], None]:
        assert fault.site is not None
        site = self._world.fleet.site_numbers()[fault.site]
        self._world.network.cut.add(site)
        return lambda: self._world.network.cut.discard(site)

    def _discovery_down(self, n: int, fault: Fault) -> Callable[[], None]:
        self._world.discovery.go_down()

        def end() -> None:
            self._world.discovery.down = False

        return end

    def _silent_watches(self, n: int, fault: Fault) -> Callable[[], None]:
        """A share of the gateways' watches, once; how long that lasts is up to the gateways."""
        gateways = [g.number for g in self._world.gateways if g.alive]
        count = min(max(round(fault.part * len(gateways)), 1), len(gateways))
        for c in sorted(int(c) for c in self._rng.permutation(len(gateways))[:count]):
            self._world.discovery.fall_silent(gateways[c])
        return lambda: None

    def _discovery_stale(self, n: int, fault: Fault) -> Callable[[], None]:
        self._world.discovery.lag_ms = fault.amount

        def end() -> None:
            self._world.discovery.lag_ms = 0.0

        return end

    def _platform_down(self, n: int, fault: Fault) -> Callable[[], None]:
        self._world.platform.go_down()
        return self._world.platform.come_back

    def _platform_late(self, n: int, fault: Fault) -> Callable[[], None]:
        self._world.platform.late_ms = fault.amount

        def end() -> None:
            self._world.platform.late_ms = 0.0

        return end

    def _peers_lost(self, n: int, fault: Fault) -> Callable[[], None]:
        self._world.network.peers_lost = fault.amount

        def end() -> None:
            self._world.network.peers_lost = 0.0

        return end

    def _gateway_crash(self, n: int, fault: Fault) -> Callable[[], None]:
        site = self._world.fleet.site_numbers().get(fault.site or "")
        gateways = [g for g in self._world.gateways if g.alive and site in (None, g.site)]
        count = min(max(round(fault.part * len(gateways)), 1), len(gateways))
        chosen = sorted(int(c) for c in self._rng.permutation(len(gateways))[:count])
        for c in chosen:
            gateways[c].kill()

        def end() -> None:
            for c in chosen:
                if not gateways[c].alive:
                    gateways[c].start()

        return end
