"""Streaming edits of loads: scale, stretch, splice, merge, cut and fill in."""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Iterator

import numpy as np
from msgspec.structs import replace

from meadowpulley.fleet import Fleet
from meadowpulley.load.arrivals import Arrival
from meadowpulley.load.profiles import draw_work


def scaled(
    arrivals: Iterable[Arrival], factor: float, seed: int, spread_ms: float = 1000.0
) -> Iterator[Arrival]:
    """Multiply the number of arrivals at the same pace.

    Copies lie up to `spread_ms` later, so that they form no bursts; a fraction of a copy is drawn at
    random. Copies keep their keys.
    """
    rng = np.random.Generator(np.random.PCG64(seed))
    pending: list[tuple[float, int, Arrival]] = []
    last_number = 0
    for arrival in arrivals:
        while pending and pending[0][0] <= arrival.at_ms:
            yield heapq.heappop(pending)[2]
        copies = int(factor) + (rng.random() < factor - int(factor))
        for copy in range(copies):
            at = arrival.at_ms + (float(rng.random()) * spread_ms if copy else 0.0)
            last_number += 1
            heapq.heappush(pending, (at, last_number, replace(arrival, at_ms=round(at, 3))))
    while pending:
        yield heapq.heappop(pending)[2]


def stretched(arrivals: Iterable[Arrival], factor: float) -> Iterator[Arrival]:
    """Spread the same arrivals over so many times the length."""
    for arrival in arrivals:
        yield replace(arrival, at_ms=round(arrival.at_ms * factor, 3))


def spliced(*parts: Iterable[Arrival], pause_ms: float = 0.0) -> Iterator[Arrival]:
    """Append loads to each other, each shifted to the end of the one before."""
    end = 0.0
    for part in parts:
        start = end
        for arrival in part:
            end = start + arrival.at_ms
            yield replace(arrival, at_ms=round(end, 3))
        end += pause_ms


def filled_in(arrivals: Iterable[Arrival], fleet: Fleet, seed: int) -> Iterator[Arrival]:
    """Draw missing work from the classes' distributions and missing sites from the sites' shares."""
    rng = np.random.Generator(np.random.PCG64(np.random.SeedSequence([seed, 0xF111])))
    classes = {c.name: c for c in fleet.classes}
    site_shares = np.cumsum([s.load for s in fleet.sites]) / sum(s.load for s in fleet.sites)
    for arrival in arrivals:
        if arrival.work_ms and arrival.site:
            yield arrival
            continue
        work = arrival.work_ms or round(draw_work(classes[arrival.class_name], rng), 3)
        site = arrival.site or fleet.sites[int(np.searchsorted(site_shares, rng.random(), side="right"))].name
        yield replace(arrival, work_ms=work, site=site)


def merged(*parts: Iterable[Arrival], starts: Iterable[float] = ()) -> Iterator[Arrival]:
    """Merge captures in order of time; `starts` (Unix ms) puts them on one clock."""
    start_times = list(starts) or [0.0] * len(parts)
    origin = min(start_times, default=0.0)
    shifted = [_shifted(part, start - origin) for part, start in zip(parts, start_times, strict=True)]
    yield from heapq.merge(*shifted, key=lambda a: a.at_ms)


def _shifted(part: Iterable[Arrival], shift_ms: float) -> Iterator[Arrival]:
    for arrival in part:
        yield replace(arrival, at_ms=round(arrival.at_ms + shift_ms, 3)) if shift_ms else arrival


def cut(arrivals: Iterable[Arrival], start_ms: float, span_ms: float) -> Iterator[Arrival]:
    """Keep the arrivals of a span, shifted to start at 0."""
    for arrival in arrivals:
        if arrival.at_ms >= start_ms + span_ms:
            return
        if arrival.at_ms >= start_ms:
            yield replace(arrival, at_ms=round(arrival.at_ms - start_ms, 3))


def costlier(
    arrivals: Iterable[Arrival], share: float, factor: float, start_ms: float, span_ms: float, seed: int
) -> Iterator[Arrival]:
    """Multiply the work of a share of the arrivals in a span."""
    rng = np.random.Generator(np.random.PCG64(np.random.SeedSequence([seed, 0xC057])))
    for arrival in arrivals:
        drawn = rng.random() < share  # drawn for each arrival, so that a longer span changes no earlier draw
        inside = start_ms <= arrival.at_ms < start_ms + span_ms
        yield replace(arrival, work_ms=round(arrival.work_ms * factor, 3)) if drawn and inside else arrival
