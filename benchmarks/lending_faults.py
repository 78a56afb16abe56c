"""Inject faults into a fleet of lending stages, by kind and at random: see `lending_fleet`."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence
from random import Random

from benchmarks.lending_fleet import SimulatedFleet
from benchmarks.lending_gateway import SimulatedGateway


def random_faults(
    fleet: SimulatedFleet, seed: int, until_ms: float, each_ms: float, kinds: Sequence[str] = ()
) -> Counter[str]:
    """Schedule faults of these kinds (else all) at random, one about every `each_ms`; return their counts."""
    rng, counts, now = Random(seed), Counter[str](), 3000.0
    numbers = range(len(fleet.gateways))
    while (now := now + rng.expovariate(1 / each_ms)) < until_ms:
        gateway, kind = fleet.gateways[rng.choice(numbers)], rng.choice(kinds or list(FAULTS))
        counts[kind] += 1
        FAULTS[kind](
            fleet, gateway, now, rng.choice((200.0, 1000.0, 4000.0, 8000.0, 20_000.0)) * rng.uniform(0.7, 1.3)
        )
    return counts


def _kill(fleet: SimulatedFleet, gateway: SimulatedGateway, at: float, lasts: float) -> None:
    fleet.schedule(at, lambda: fleet.kill(gateway) if gateway.stage else None)
    fleet.schedule(at + lasts, lambda: fleet.restart(gateway) if gateway.stage is None else None)


def _pause(fleet: SimulatedFleet, gateway: SimulatedGateway, at: float, lasts: float) -> None:
    fleet.schedule(at, lambda: fleet.pause(gateway))
    fleet.schedule(at + lasts, lambda: fleet.resume(gateway))


def _replace_paused(fleet: SimulatedFleet, gateway: SimulatedGateway, at: float, lasts: float) -> None:
    """Pause a gateway, replace it, and resume it beside its successor."""

    def replace() -> None:
        fleet.pause(gateway)
        before = len(fleet.gateways)
        fleet.restart(gateway)
        if len(fleet.gateways) > before:
            ghost = fleet.gateways[-1]
            fleet.schedule(fleet.now + lasts, lambda: fleet.resume(ghost))

    fleet.schedule(at, replace)


def _disconnect(fleet: SimulatedFleet, gateway: SimulatedGateway, at: float, lasts: float) -> None:
    notified = int(at) % 2 == 0
    fleet.schedule(at, lambda: fleet.disconnect(gateway, notified) if gateway.stage else None)
    fleet.schedule(
        at + lasts, lambda: fleet.reconnect(gateway) if gateway.stage and gateway.disconnected else None
    )


def _lose_answers(fleet: SimulatedFleet, gateway: SimulatedGateway, at: float, lasts: float) -> None:
    fleet.schedule(at, setattr, gateway, "answer_loss_probability", 0.7)
    fleet.schedule(at + lasts, setattr, gateway, "answer_loss_probability", 0.0)


def _delay_reads(fleet: SimulatedFleet, gateway: SimulatedGateway, at: float, lasts: float) -> None:
    """Delay what a gateway observes of the ledger by seconds."""
    fleet.schedule(at, setattr, gateway, "read_delay_ms", 0.4 * lasts)
    fleet.schedule(at + lasts, setattr, gateway, "read_delay_ms", 0.0)


def _pause_allocator(fleet: SimulatedFleet, gateway: SimulatedGateway, at: float, lasts: float) -> None:
    """Pause the allocator, whichever gateway it is."""

    def pause_leader() -> None:
        for candidate in fleet.gateways:
            if (
                candidate.stage is not None
                and candidate.stage.election.needs_all_records
                and not candidate.paused
            ):
                _pause(fleet, candidate, fleet.now, lasts)

    fleet.schedule(at, pause_leader)


FAULTS: dict[str, Callable[[SimulatedFleet, SimulatedGateway, float, float], None]] = {
    "kill": _kill,
    "pause": _pause,
    "replaced": _replace_paused,
    "cut": _disconnect,
    "lose": _lose_answers,
    "slow": _delay_reads,
    "allocator": _pause_allocator,
}
