"""Every resource of a fleet with the multiple of the load at which it breaks, by theory.

A multiple of 1 is the load as it was given, at its busy rate. Requests are taken to spread over servers by
what each can do, which is what two choices among the emptiest come to; each server then is M/G/c shared
evenly.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

from meadowpulley.capacity.demand import Demand
from meadowpulley.capacity.queues import crowd_share, mmc_response, normal_most
from meadowpulley.fleet import Fleet, Kind

TURNED_AWAY = 0.01  # share of arrivals at a full server that counts as broken
NEVER = math.inf
MOST = 64.0  # multiples beyond this are not told apart


@dataclass(frozen=True, slots=True)
class Break:
    """One resource: at `multiple` times the load it is used up; `use` is its use now (1: used up)."""

    resource: str
    where: str
    multiple: float
    use: float
    theory: str
    text: str

    @property
    def margin(self) -> float:
        """How much more load it bears, as a share of the load now; negative where it is broken already."""
        return self.multiple - 1.0


def first_multiple(broken: Callable[[float], bool]) -> float:
    """The least multiple at which it is broken, within a part in a thousand; infinity beyond `MOST`. What is
    broken at some load must be so at every higher one."""
    if not broken(MOST):
        return NEVER
    low, high = 0.0, MOST
    while high - low > 1e-3 * max(high, 1e-3):
        middle = (low + high) / 2
        low, high = (low, middle) if broken(middle) else (middle, high)
    return high


def server_rate(fleet: Fleet, demand: Demand, kind: Kind, multiple: float) -> float:
    """Requests a millisecond that one server of a kind gets at so many times the busy load."""
    share = kind.cores * kind.speed / fleet.capacity()
    return demand.busy_per_s / 1000 * multiple * share


def _cpu(fleet: Fleet, demand: Demand) -> list[Break]:
    use = demand.busy_utilisation
    text = f"{len(fleet.machines())} servers do {fleet.capacity():.4g} standard cores of work at most"
    multiple = 1 / use if use else NEVER
    return [Break("CPU of servers", "all sites", multiple, use, "utilisation law", text)]


def _room(fleet: Fleet, demand: Demand) -> list[Break]:
    found = []
    for kind in fleet.kinds:
        if not any(s.kind == kind.name for s in fleet.servers):
            continue
        service = demand.work_ms / kind.speed if demand.work_ms else 0.0
        holds = kind.slots + kind.queue

        def turned_away(m: float, kind: Kind = kind, service: float = service, holds: int = holds) -> float:
            rate = server_rate(fleet, demand, kind, m)
            return crowd_share(kind.cores, rate, service, holds - 1) if service else 0.0

        multiple = first_multiple(lambda m, share=turned_away: share(m) > TURNED_AWAY)  # type: ignore[misc]
        text = f"a server holds {kind.slots} requests that run and {kind.queue} that wait"
        use = turned_away(1.0) / TURNED_AWAY
        theory = "M/G/c shared evenly, 1% turned away"
        found.append(Break("slots and queue", kind.name, multiple, min(use, 1.0), theory, text))
        if kind.thrash and kind.slots > kind.cores * kind.thrash_at:
            left = 1 / (1 + kind.thrash * (kind.slots / kind.cores - kind.thrash_at))
            text = f"with all its slots in use a server does only {left:.0%} of its work: a jam lasts"
            own = demand.busy_utilisation / left
            at = 1 / own if own else NEVER
            found.append(Break("work lost to crowding", kind.name, at, own, "utilisation law", text))
    return found


def _in_flight(fleet: Fleet, demand: Demand, kind: Kind, multiple: float) -> float:
    """Mean requests at one server, bounded by what it holds."""
    rate, service = server_rate(fleet, demand, kind, multiple), demand.work_ms / kind.speed
    if not rate or not service:
        return 0.0
    return min(rate * mmc_response(kind.cores, rate, service), float(kind.slots + kind.queue))


def _connections(fleet: Fleet, demand: Demand) -> list[Break]:
    found = []
    gateways = len(fleet.gateway_sites())
    for kind in fleet.kinds:

        def open_at(m: float, kind: Kind = kind) -> float:
            each = _in_flight(fleet, demand, kind, m) / gateways
            return gateways * normal_most(each, each)

        multiple = first_multiple(lambda m, kind=kind, at=open_at: at(m) > kind.connections)  # type: ignore[misc]
        text = f"{gateways} gateways keep a connection for each request in flight, and idle ones"
        use = open_at(1.0) / kind.connections
        found.append(
            Break("connections of servers", kind.name, multiple, use, "Little's law, 4 deviations", text)
        )
    return found


def _response(fleet: Fleet, demand: Demand, multiple: float) -> float:
    """Mean time of a request at servers, milliseconds, bounded by its class's deadline."""
    total, weights = 0.0, 0.0
    longest = max(c.deadline_ms for c in fleet.classes)
    for servers in fleet.servers:
        kind = fleet.kind(servers.kind)
        rate = server_rate(fleet, demand, kind, multiple)
        service = demand.work_ms / kind.speed
        took = min(mmc_response(kind.cores, rate, service), longest) if service else 0.0
        total += servers.count * rate * took
        weights += servers.count * rate
    return total / weights if weights else 0.0


def _gateways(fleet: Fleet, demand: Demand) -> list[Break]:
    found = []
    load = {site.name: demand.sites.get(site.name, 0.0) for site in fleet.sites}
    sites_with = {g.site for g in fleet.gateways}
    homeless = sum(share for site, share in load.items() if site not in sites_with)
    total = len(fleet.gateway_sites())
    for group in fleet.gateways:
        there = sum(g.count for g in fleet.gateways if g.site == group.site)
        rate = demand.busy_per_s / 1000 * (load[group.site] / there + homeless / total)
        cpu = rate * group.request_ms / group.cores
        where = f"gateways at {group.site}"
        at = 1 / cpu if cpu else NEVER
        text = f"a request costs {group.request_ms:g} ms of {group.cores:g} cores"
        found.append(Break("CPU of gateways", where, at, cpu, "utilisation law", text))
        retries = fleet.clients.retries
        if retries and cpu:
            text = f"every refused client tries {retries} times more: above this the gateways refuse for ever"
            at = 1 / (cpu * (1 + retries))
            found.append(Break("retries feeding themselves", where, at, 1 / at, "utilisation law", text))
        free = max(group.descriptors - group.kept_back, 0)
        slots = max(int(free * group.client_part), 1)
        for what, most in (("descriptors for clients", slots), ("descriptors for servers", free - slots)):

            def held_at(m: float, rate: float = rate) -> float:
                mean = rate * m * _response(fleet, demand, m)
                return normal_most(mean, mean)

            multiple = first_multiple(lambda m, most=most, at=held_at: at(m) > most)  # type: ignore[misc]
            text = f"{most} of {group.descriptors} descriptors"
            use = held_at(1.0) / max(most, 1)
            found.append(Break(what, where, multiple, use, "Little's law, 4 deviations", text))

        def memory_at(m: float, rate: float = rate, group_kb: float = group.connection_kb) -> float:
            mean = rate * m * _response(fleet, demand, m)
            return group.base_mb + 2 * normal_most(mean, mean) * group_kb / 1024  # noqa: B023

        multiple = first_multiple(lambda m, at=memory_at, most=group.memory_mb: at(m) > most)  # type: ignore[misc]
        text = f"{group.base_mb:g} MB and {group.connection_kb:g} KB a connection, of {group.memory_mb:g} MB"
        use = memory_at(1.0) / group.memory_mb
        found.append(Break("memory of gateways", where, multiple, use, "Little's law, 4 deviations", text))
    return found


def _rollout(fleet: Fleet, demand: Demand) -> list[Break]:
    use = demand.busy_utilisation
    if not use:
        return []
    cold = min(k.cold_from for k in fleet.kinds)
    stages = fleet.rollout.stages
    if fleet.rollout.style == "in_place":
        steps = [b - a for a, b in zip((0.0, *stages), stages, strict=False)]
        left = min(1 - step * (1 - cold) for step in steps)
        text = f"in the largest stage {left:.0%} of the servers' work is there, the rest starts cold"
        return [Break("cold starts of a stage", "all sites", left / use, use / left, "utilisation law", text)]
    most = fleet.rules.fall_multiple * cold
    text = f"a cold server falls over at {fleet.rules.fall_multiple:g} times {cold:.0%} of a warm one's work"
    return [
        Break(
            "cold starts of a stage", "a trial server", most / use, use / most, "rule on cold servers", text
        )
    ]


def _jam(fleet: Fleet, demand: Demand) -> list[Break]:
    safe = sum(
        c.core_share for c, f in zip(demand.classes, fleet.classes, strict=True) if f.effect != "unsafe"
    )
    retries = fleet.clients.retries if fleet.clients.retries_failed else 0
    if not retries or not demand.utilisation:
        return []
    times = 1 + retries * safe / demand.utilisation
    use = demand.busy_utilisation * times
    text = f"clients repeat what timed out: a jam feeds itself with {times:.2f} times the work"
    return [Break("retries feeding themselves", "servers", 1 / use, use, "utilisation law", text)]


def what_breaks(fleet: Fleet, demand: Demand) -> list[Break]:
    """All resources, the first to break first."""
    found = [
        *_cpu(fleet, demand),
        *_room(fleet, demand),
        *_connections(fleet, demand),
        *_gateways(fleet, demand),
        *_rollout(fleet, demand),
        *_jam(fleet, demand),
    ]
    return sorted(found, key=lambda b: (b.multiple, b.resource, b.where))
