"""Faults for a fleet of lending stages, by kind and at random: see `lending_fleet`."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence
from random import Random

from benchmarks.lending_fleet import Fleet, Gateway


def random_faults(
    fleet: Fleet, seed: int, until_ms: float, each_ms: float, kinds: Sequence[str] = ()
) -> Counter[str]:
    """Schedules faults of these kinds (else all) at random, one about every `each_ms`; how many of each."""
    rng, counts, now = Random(seed), Counter[str](), 3000.0
    numbers = range(len(fleet.gateways))
    while (now := now + rng.expovariate(1 / each_ms)) < until_ms:
        g, kind = fleet.gateways[rng.choice(numbers)], rng.choice(kinds or list(FAULTS))
        counts[kind] += 1
        FAULTS[kind](
            fleet, g, now, rng.choice((200.0, 1000.0, 4000.0, 8000.0, 20_000.0)) * rng.uniform(0.7, 1.3)
        )
    return counts


def _kill(fleet: Fleet, g: Gateway, at: float, lasts: float) -> None:
    fleet.at(at, lambda: fleet.kill(g) if g.stage else None)
    fleet.at(at + lasts, lambda: fleet.restart(g) if g.stage is None else None)


def _pause(fleet: Fleet, g: Gateway, at: float, lasts: float) -> None:
    fleet.at(at, lambda: fleet.pause(g))
    fleet.at(at + lasts, lambda: fleet.wake(g))


def _replaced(fleet: Fleet, g: Gateway, at: float, lasts: float) -> None:
    """Stands still, is sealed and replaced, and wakes beside its successor."""

    def act() -> None:
        fleet.pause(g)
        before = len(fleet.gateways)
        fleet.restart(g)
        if len(fleet.gateways) > before:
            ghost = fleet.gateways[-1]
            fleet.at(fleet.now + lasts, lambda: fleet.wake(ghost))

    fleet.at(at, act)


def _cut(fleet: Fleet, g: Gateway, at: float, lasts: float) -> None:
    told = int(at) % 2 == 0
    fleet.at(at, lambda: fleet.cut(g, told) if g.stage else None)
    fleet.at(at + lasts, lambda: fleet.mend(g) if g.stage and g.cut else None)


def _lose(fleet: Fleet, g: Gateway, at: float, lasts: float) -> None:
    fleet.at(at, setattr, g, "loses", 0.7)
    fleet.at(at + lasts, setattr, g, "loses", 0.0)


def _slow(fleet: Fleet, g: Gateway, at: float, lasts: float) -> None:
    """What it reads of the ledger gets to it seconds late."""
    fleet.at(at, setattr, g, "slow_ms", 0.4 * lasts)
    fleet.at(at + lasts, setattr, g, "slow_ms", 0.0)


def _allocator(fleet: Fleet, g: Gateway, at: float, lasts: float) -> None:
    """Stops the one that allocates, whoever it is."""

    def act() -> None:
        for one in fleet.gateways:
            if one.stage is not None and one.stage.office.needs_all and not one.paused:
                _pause(fleet, one, fleet.now, lasts)

    fleet.at(at, act)


FAULTS: dict[str, Callable[[Fleet, Gateway, float, float], None]] = {
    "kill": _kill,
    "pause": _pause,
    "replaced": _replaced,
    "cut": _cut,
    "lose": _lose,
    "slow": _slow,
    "allocator": _allocator,
}
