"""Resources of a fleet with the multiple of the load at which each is exhausted, by theory.

A multiple of 1 is the given load at its busy rate. Requests are taken to spread over servers in proportion
to their capacity, which two random choices come close to; each server is M/G/c with shared processors.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from msgspec import Struct, field

from meadowpulley.capacity.demand import Demand
from meadowpulley.capacity.queues import mmc_response, overflow_probability, upper_bound
from meadowpulley.fleet import Fleet, MachineKind

MAX_REJECTED_SHARE = 0.01  # share of rejected arrivals at which a server counts as exhausted
NEVER = math.inf
MAX_MULTIPLE = 64.0  # larger multiples are not distinguished


class Bottleneck(Struct, frozen=True):
    """One resource, exhausted at `multiple` times the load; `utilisation` is its use now."""

    resource: str
    where: str
    multiple: float
    utilisation: float = field(name="use")
    theory: str
    text: str


def first_multiple(broken: Callable[[float], bool]) -> float:
    """Return the least multiple for which a monotonic predicate holds, within 0.1%; infinity beyond
    `MAX_MULTIPLE`.
    """
    if not broken(MAX_MULTIPLE):
        return NEVER
    low = 0.0
    high = MAX_MULTIPLE
    while high - low > 1e-3 * max(high, 1e-3):
        middle = (low + high) / 2
        low, high = (low, middle) if broken(middle) else (middle, high)
    return high


def server_rate(fleet: Fleet, demand: Demand, kind: MachineKind, multiple: float) -> float:
    """Return the requests per millisecond that one server of a kind gets at a multiple of the busy load."""
    share = kind.cores * kind.speed / fleet.capacity()
    return demand.busy_per_s / 1000 * multiple * share


def _cpu(fleet: Fleet, demand: Demand) -> list[Bottleneck]:
    utilisation = demand.busy_utilisation
    text = f"{len(fleet.machines())} servers do {fleet.capacity():.4g} standard cores of work at most"
    multiple = 1 / utilisation if utilisation else NEVER
    return [Bottleneck("CPU of servers", "all sites", multiple, utilisation, "utilisation law", text)]


def _queue_capacity(fleet: Fleet, demand: Demand) -> list[Bottleneck]:
    bottlenecks = []
    for kind in fleet.kinds:
        if not any(s.kind == kind.name for s in fleet.servers):
            continue
        service = demand.work_ms / kind.speed if demand.work_ms else 0.0
        capacity = kind.slots + kind.queue

        def rejected_share(
            load_multiple: float, kind: MachineKind = kind, service: float = service, holds: int = capacity
        ) -> float:
            """Return the share of requests that a server rejects at a multiple of the load."""
            rate = server_rate(fleet, demand, kind, load_multiple)
            return overflow_probability(kind.cores, rate, service, holds - 1) if service else 0.0

        multiple = first_multiple(lambda m, share=rejected_share: share(m) > MAX_REJECTED_SHARE)  # type: ignore[misc]
        text = f"a server holds {kind.slots} requests that run and {kind.queue} that wait"
        utilisation = rejected_share(1.0) / MAX_REJECTED_SHARE
        theory = "M/G/c shared evenly, 1% turned away"
        bottlenecks.append(
            Bottleneck("slots and queue", kind.name, multiple, min(utilisation, 1.0), theory, text)
        )
        if kind.thrash and kind.slots > kind.cores * kind.thrash_at:
            remaining = 1 / (1 + kind.thrash * (kind.slots / kind.cores - kind.thrash_at))
            text = f"with all its slots in use a server does only {remaining:.0%} of its work: a jam lasts"
            own_utilisation = demand.busy_utilisation / remaining
            at = 1 / own_utilisation if own_utilisation else NEVER
            bottlenecks.append(
                Bottleneck("work lost to crowding", kind.name, at, own_utilisation, "utilisation law", text)
            )
    return bottlenecks


def _in_flight(fleet: Fleet, demand: Demand, kind: MachineKind, multiple: float) -> float:
    """Mean requests at one server, bounded by what it holds."""
    rate = server_rate(fleet, demand, kind, multiple)
    service = demand.work_ms / kind.speed
    if not rate or not service:
        return 0.0
    return min(rate * mmc_response(kind.cores, rate, service), float(kind.slots + kind.queue))


def _connections(fleet: Fleet, demand: Demand) -> list[Bottleneck]:
    bottlenecks = []
    gateways = len(fleet.gateway_sites())
    for kind in fleet.kinds:

        def open_connections(load_multiple: float, kind: MachineKind = kind) -> float:
            """Return an upper bound of the connections to one server at a multiple of the load."""
            each = _in_flight(fleet, demand, kind, load_multiple) / gateways
            return gateways * upper_bound(each, each)

        multiple = first_multiple(lambda m, kind=kind, at=open_connections: at(m) > kind.connections)  # type: ignore[misc]
        text = f"{gateways} gateways keep a connection for each request in flight, and idle ones"
        utilisation = open_connections(1.0) / kind.connections
        bottlenecks.append(
            Bottleneck(
                "connections of servers", kind.name, multiple, utilisation, "Little's law, 4 deviations", text
            )
        )
    return bottlenecks


def _mean_response_ms(fleet: Fleet, demand: Demand, multiple: float) -> float:
    """Mean time of a request at servers, milliseconds, bounded by its class's deadline."""
    total = 0.0
    weights = 0.0
    max_deadline_ms = max(c.deadline_ms for c in fleet.classes)
    for servers in fleet.servers:
        kind = fleet.kind(servers.kind)
        rate = server_rate(fleet, demand, kind, multiple)
        service = demand.work_ms / kind.speed
        response_ms = min(mmc_response(kind.cores, rate, service), max_deadline_ms) if service else 0.0
        total += servers.count * rate * response_ms
        weights += servers.count * rate
    return total / weights if weights else 0.0


def _gateways(fleet: Fleet, demand: Demand) -> list[Bottleneck]:
    bottlenecks = []
    load = {site.name: demand.sites.get(site.name, 0.0) for site in fleet.sites}
    sites_with = {g.site for g in fleet.gateways}
    unserved_share = sum(share for site, share in load.items() if site not in sites_with)
    total = len(fleet.gateway_sites())
    for group in fleet.gateways:
        gateway_count = sum(g.count for g in fleet.gateways if g.site == group.site)
        rate = demand.busy_per_s / 1000 * (load[group.site] / gateway_count + unserved_share / total)
        cpu = rate * group.request_cpu_ms / group.cores
        where = f"gateways at {group.site}"
        at = 1 / cpu if cpu else NEVER
        text = f"a request costs {group.request_cpu_ms:g} ms of {group.cores:g} cores"
        bottlenecks.append(Bottleneck("CPU of gateways", where, at, cpu, "utilisation law", text))
        retries = fleet.clients.retries
        if retries and cpu:
            text = f"every refused client tries {retries} times more: above this the gateways refuse for ever"
            at = 1 / (cpu * (1 + retries))
            bottlenecks.append(
                Bottleneck("retries feeding themselves", where, at, 1 / at, "utilisation law", text)
            )
        free = max(group.descriptors - group.reserved_descriptors, 0)
        slots = max(int(free * group.client_descriptor_share), 1)
        for resource, limit in (
            ("descriptors for clients", slots),
            ("descriptors for servers", free - slots),
        ):

            def open_requests(load_multiple: float, rate: float = rate) -> float:
                """Return an upper bound of a gateway's open requests at a multiple of the load."""
                mean = rate * load_multiple * _mean_response_ms(fleet, demand, load_multiple)
                return upper_bound(mean, mean)

            multiple = first_multiple(lambda m, most=limit, at=open_requests: at(m) > most)  # type: ignore[misc]
            text = f"{limit} of {group.descriptors} descriptors"
            utilisation = open_requests(1.0) / max(limit, 1)
            bottlenecks.append(
                Bottleneck(resource, where, multiple, utilisation, "Little's law, 4 deviations", text)
            )

        def memory_mb(
            load_multiple: float, rate: float = rate, group_kb: float = group.connection_kb
        ) -> float:
            """Return an upper bound of a gateway's memory in MB at a multiple of the load."""
            mean = rate * load_multiple * _mean_response_ms(fleet, demand, load_multiple)
            return group.base_mb + 2 * upper_bound(mean, mean) * group_kb / 1024  # noqa: B023

        multiple = first_multiple(lambda m, at=memory_mb, most=group.memory_mb: at(m) > most)  # type: ignore[misc]
        text = f"{group.base_mb:g} MB and {group.connection_kb:g} KB a connection, of {group.memory_mb:g} MB"
        utilisation = memory_mb(1.0) / group.memory_mb
        bottlenecks.append(
            Bottleneck("memory of gateways", where, multiple, utilisation, "Little's law, 4 deviations", text)
        )
    return bottlenecks


def _rollout(fleet: Fleet, demand: Demand) -> list[Bottleneck]:
    utilisation = demand.busy_utilisation
    if not utilisation:
        return []
    slow_start_from = min(k.slow_start_from for k in fleet.kinds)
    stages = fleet.rollout.stages
    if fleet.rollout.style == "in_place":
        steps = [b - a for a, b in zip((0.0, *stages), stages, strict=False)]
        remaining = min(1 - step * (1 - slow_start_from) for step in steps)
        text = f"in the largest stage {remaining:.0%} of the servers' work is there, the rest starts cold"
        return [
            Bottleneck(
                "cold starts of a stage",
                "all sites",
                remaining / utilisation,
                utilisation / remaining,
                "utilisation law",
                text,
            )
        ]
    limit = fleet.rules.overload_multiple * slow_start_from
    text = (
        f"a cold server falls over at {fleet.rules.overload_multiple:g} times "
        f"{slow_start_from:.0%} of a warm one's work"
    )
    return [
        Bottleneck(
            "cold starts of a stage",
            "a trial server",
            limit / utilisation,
            utilisation / limit,
            "rule on cold servers",
            text,
        )
    ]


def _retry_amplification(fleet: Fleet, demand: Demand) -> list[Bottleneck]:
    safe = sum(
        c.core_share for c, f in zip(demand.classes, fleet.classes, strict=True) if f.effect != "unsafe"
    )
    retries = fleet.clients.retries if fleet.clients.retries_failed else 0
    if not retries or not demand.utilisation:
        return []
    amplification = 1 + retries * safe / demand.utilisation
    utilisation = demand.busy_utilisation * amplification
    text = f"clients repeat what timed out: a jam feeds itself with {amplification:.2f} times the work"
    return [
        Bottleneck(
            "retries feeding themselves", "servers", 1 / utilisation, utilisation, "utilisation law", text
        )
    ]


def find_bottlenecks(fleet: Fleet, demand: Demand) -> list[Bottleneck]:
    """Return all resources, the first to be exhausted first."""
    bottlenecks = [
        *_cpu(fleet, demand),
        *_queue_capacity(fleet, demand),
        *_connections(fleet, demand),
        *_gateways(fleet, demand),
        *_rollout(fleet, demand),
        *_retry_amplification(fleet, demand),
    ]
    return sorted(bottlenecks, key=lambda b: (b.multiple, b.resource, b.where))
