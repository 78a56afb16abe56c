"""When discovery's changes count as notified to gateways that did not receive them. No I/O here.

By the protocol page a change counts as notified at the latest some time after discovery had it and could be
reached, whether or not a gateway received it; to a process that started later, from its start on.
"""

from __future__ import annotations

from collections.abc import Iterable
from itertools import pairwise

from msgspec import Struct

from meadowpulley.rules import EndpointListed, GatewayStarted, Record
from meadowpulley.rules.trace import StateName

NOTIFICATION_MS = 6_000.0


class ListedChange(Struct, frozen=True):
    """A change of the endpoint list: `state` and `build` as the trace names them."""

    at: float
    version: int
    server: int
    state: StateName
    build: int


class ListWritten(Struct, frozen=True):
    """A list that was written to a gateway, whether or not it arrived whole."""

    at: float
    gateway: int
    version: int


class Outage(Struct, frozen=True):
    """A time during which discovery could not be reached."""

    since: float
    until: float


def reachable_from(at: float, outages: Iterable[Outage]) -> float:
    """Return when discovery could first be reached, from a time on."""
    for outage in sorted(outages, key=lambda o: o.since):
        if outage.since <= at < outage.until:
            at = outage.until
    return at


def cached_lists(initial_list: list[ListedChange], starts: Iterable[GatewayStarted]) -> list[Record]:
    """Return trace records of the lists that restarted gateways have in their configuration."""
    return [
        EndpointListed(start.at, start.gateway, entry.server, entry.state, entry.build)
        for start in starts
        for entry in initial_list
    ]


def presumed_notifications(
    gateways: int,
    changes: list[ListedChange],
    written: list[ListWritten],
    outages: list[Outage],
    starts: Iterable[GatewayStarted],
) -> list[Record]:
    """Return trace records of the changes that count as notified without a list.

    A change counts once for each incarnation of a gateway to which no list as new was written by then.
    """
    records: list[Record] = []
    starts_by_gateway: dict[int, list[float]] = {number: [0.0] for number in range(gateways)}
    for start in starts:
        starts_by_gateway[start.gateway].append(start.at)
    for change in changes:
        notified_at = reachable_from(change.at, outages) + NOTIFICATION_MS
        for number, start_times in starts_by_gateway.items():
            bounds = [*sorted(start_times), float("inf")]
            for started_at, ended_at in pairwise(bounds):
                at = max(notified_at, started_at)
                known = any(
                    w.gateway == number and w.version >= change.version and started_at <= w.at <= at
                    for w in written
                )
                if at < ended_at and not known:
                    records.append(EndpointListed(at, number, change.server, change.state, change.build))
    return records
