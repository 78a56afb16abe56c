"""Synthesized loads: open-loop arrivals of a described fleet with a profile of the rate over time."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass

import numpy as np

from meadowpulley.fleet import Fleet, RequestClass
from meadowpulley.load.arrivals import Arrival


@dataclass(frozen=True, slots=True)
class Profile:
    """Course of a load over its length. `rate(x)` multiplies the mean rate, x from 0 to 1, and is at most
    `peak`.

    `costly_share(x)` of the requests cost `cost_factor` times the usual; `shifted_share(x)` of the load
    moves to the first site.
    """

    name: str
    description: str
    rate: Callable[[float], float]
    peak: float
    costly_share: Callable[[float], float] = lambda x: 0.0
    cost_factor: float = 1.0
    shifted_share: Callable[[float], float] = lambda x: 0.0


def _bump(position: float, middle: float, width: float) -> float:
    return math.exp(-(((position - middle) / width) ** 2))


def _steady(position: float) -> float:
    return 1.0


def _day(position: float) -> float:
    """A day: quiet at night, lunch, and dinner above it."""
    return (
        0.25
        + _bump(position, 0.53, 0.09)
        + 1.9 * _bump(position, 0.78, 0.10)
        + 0.5 * _bump(position, 0.66, 0.16)
    )


def _evening(position: float) -> float:
    """Friday dinner: up to its top at half of the time, and down again."""
    return 0.55 + _bump(position, 0.5, 0.25)


def _normalized(
    shape: Callable[[float], float], points: int = 4000
) -> tuple[Callable[[float], float], float]:
    """A shape scaled to a mean of one, and its top (midpoint rule)."""
    values = [shape((n + 0.5) / points) for n in range(points)]
    mean = sum(values) / points
    return (lambda x: shape(x) / mean), max(values) / mean * 1.001


PROFILES = {
    p.name: p
    for p in (
        Profile("steady", "the same rate throughout", _steady, 1.0),
        Profile("daily", "one day: night, lunch, dinner", *_normalized(_day)),
        Profile("friday-dinner", "up to a broad top and down again", *_normalized(_evening)),
        Profile(
            "footy-final",
            "steady, and in the middle fifth one request in eight costs six times the usual",
            _steady,
            1.0,
            costly_share=lambda x: 0.125 if 0.4 <= x < 0.6 else 0.0,
            cost_factor=6.0,
        ),
        Profile(
            "site-shift",
            "from the middle on half of all load comes by the first site",
            _steady,
            1.0,
            shifted_share=lambda x: min(max((x - 0.45) / 0.1, 0.0), 1.0) * 0.5,
        ),
    )
}


def draw_work(request_class: RequestClass, rng: np.random.Generator) -> float:
    """Draw the work of one request in milliseconds, with the mean and the spread of its class."""
    if request_class.work == "fixed" or not request_class.spread:
        return request_class.work_ms
    if request_class.work == "exponential":
        return request_class.work_ms * float(rng.standard_exponential())
    sigma = math.sqrt(math.log(1 + request_class.spread**2))
    return request_class.work_ms * math.exp(sigma * float(rng.standard_normal()) - sigma * sigma / 2)


class KeySampler:
    """Draws keys by Zipf's law over a bounded number of keys, by inverting its distribution."""

    def __init__(self, count: int, skew: float) -> None:
        weights = np.arange(1, count + 1, dtype=float) ** -skew
        self._cumulative = np.cumsum(weights) / weights.sum()

    def __call__(self, rng: np.random.Generator) -> int:
        return int(np.searchsorted(self._cumulative, rng.random())) + 1


def synthesize(fleet: Fleet, profile: Profile, per_s: float, seconds: float, seed: int) -> Iterator[Arrival]:
    """Generate Poisson arrivals whose rate follows the profile (thinning, Lewis and Shedler 1979).

    `per_s` is the mean rate of the steady profile. The same arguments give the same arrivals.
    """
    rng = np.random.Generator(np.random.PCG64(np.random.SeedSequence([seed, 0x10AD])))
    classes = fleet.classes
    sites = fleet.sites
    by_class = np.cumsum([c.share for c in classes]) / sum(c.share for c in classes)
    by_site = np.cumsum([s.load for s in sites]) / sum(s.load for s in sites)
    keys = KeySampler(fleet.keys.count, fleet.keys.skew) if fleet.keys.count else None
    at = 0.0
    end = seconds * 1000.0
    while per_s > 0:
        at += float(rng.standard_exponential()) * 1000.0 / (per_s * profile.peak)
        if at >= end:
            return
        position = at / end
        if rng.random() * profile.peak >= profile.rate(position):
            continue
        request_class = classes[int(np.searchsorted(by_class, rng.random(), side="right"))]
        shifted = rng.random() < profile.shifted_share(position)
        site = sites[0 if shifted else int(np.searchsorted(by_site, rng.random(), side="right"))]
        work = draw_work(request_class, rng) * (
            profile.cost_factor if rng.random() < profile.costly_share(position) else 1.0
        )
        yield Arrival(round(at, 3), request_class.name, site.name, keys(rng) if keys else 0, round(work, 3))
