"""Test the allocator: grants, acknowledgements, expiry, and a sum of grants within the capacity."""

from __future__ import annotations

import pytest

from meadowpulley.ledger.model import Incarnation
from meadowpulley.lending import Quota, QuotaPlan
from meadowpulley.lending.allocator import Allocator
from meadowpulley.lending.records import DemandReport, QuotaGrant

A, B = Incarnation("a", 1), Incarnation("b", 1)
PLAN = QuotaPlan(1, 100.0, 2, (Quota("x", 0.5), Quota("y", 0.3), Quota("z", 0.2)), floor=0.1, drift=0.0)
LENDABLE = 90.0  # units per second: the capacity minus the floors


def demand_report(
    incarnation: Incarnation,
    round_number: int,
    acknowledged_round: int,
    *rates: tuple[int, float],
    released: bool = False,
) -> DemandReport:
    return DemandReport(incarnation, round_number, acknowledged_round, 1, 0.0, 0.0, released, rates)


class AllocatorHarness:
    """Run an allocator whose grants are all committed; record versions rise by 1."""

    def __init__(self) -> None:
        self.allocator = Allocator(PLAN)
        self.version = 0

    def report(self, now: float, gateway_index: int, demand_report: DemandReport) -> None:
        self.version += 1
        self.allocator.observe_report(now, gateway_index, demand_report, self.version)

    def run_round(self, now: float) -> dict[int, QuotaGrant]:
        grants = {}
        for write in self.allocator.run_round(now):
            self.version += 1
            self.allocator.observe_grant(now, write.gateway_index, write.grant, self.version)
            grants[write.gateway_index] = write.grant
        assert sum(self.allocator.reservations.reserved(index) for index in (0, 1)) <= LENDABLE + 1e-6
        return grants


def test_a_lowered_grant_is_free_for_others_once_it_is_acknowledged() -> None:
    harness = AllocatorHarness()
    harness.report(0.0, 0, demand_report(A, 1, 0, (0, 200.0)))
    assert harness.run_round(0.0)[0].total == pytest.approx(LENDABLE)
    harness.report(100.0, 1, demand_report(B, 1, 0, (1, 200.0)))
    assert harness.run_round(100.0)[1].total == 0.0
    harness.report(200.0, 0, demand_report(A, 2, 1, (0, 200.0)))
    lowered = harness.run_round(200.0)[0]
    assert lowered.total < 70.0
    assert lowered.reserved == pytest.approx(LENDABLE)
    harness.report(300.0, 1, demand_report(B, 2, 1, (1, 200.0)))
    assert harness.run_round(300.0)[1].total == 0.0  # gateway 0 may not have seen its lowered grant
    harness.report(400.0, 0, demand_report(A, 3, 2, (0, 200.0)))
    harness.run_round(400.0)
    harness.report(500.0, 1, demand_report(B, 3, 2, (1, 200.0)))
    assert harness.run_round(500.0)[1].total == pytest.approx(LENDABLE - lowered.total)


def test_the_grant_of_a_dead_incarnation_is_reclaimed_once_after_its_term() -> None:
    """A gateway holds all capacity and is killed. Another demands it before and after the grant expires."""
    harness = AllocatorHarness()
    harness.report(0.0, 0, demand_report(A, 1, 0, (0, 200.0)))
    harness.run_round(0.0)
    harness.report(4000.0, 1, demand_report(B, 1, 0, (1, 200.0)))
    assert harness.run_round(4000.0)[1].total == 0.0
    harness.report(5001.0, 1, demand_report(B, 2, 1, (1, 200.0)))
    # The expired grant is reclaimed first, and its capacity is granted to others only in a later round.
    both = harness.run_round(5001.0)
    assert both[0].reserved == 0.0
    assert both[1].total == 0.0
    harness.report(5100.0, 1, demand_report(B, 3, 2, (1, 200.0)))
    assert harness.run_round(5100.0)[1].total == pytest.approx(LENDABLE)
    assert 0 not in harness.run_round(20_000.0)


def test_a_new_incarnation_is_answered_at_once_beside_its_predecessors_grant() -> None:
    """A gateway is killed and restarted; its old process may still run, so its grant counts until expiry."""
    harness = AllocatorHarness()
    harness.report(0.0, 0, demand_report(A, 1, 0, (0, 40.0)))
    harness.run_round(0.0)
    first = harness.allocator.reservations.reserved(0)
    harness.report(1000.0, 0, demand_report(Incarnation("a", 2), 1, 0, (0, 40.0)))
    new = harness.run_round(1000.0)[0]
    assert new.predecessor_reserved == pytest.approx(first)
    assert 0 < new.total <= LENDABLE - first + 1e-6
    harness.report(5001.0, 0, demand_report(Incarnation("a", 2), 2, 1, (0, 40.0)))
    assert harness.run_round(5001.0)[0].predecessor_reserved == 0.0


def test_a_graceful_shutdown_releases_the_grant_at_once() -> None:
    harness = AllocatorHarness()
    harness.report(0.0, 0, demand_report(A, 1, 0, (0, 200.0)))
    harness.run_round(0.0)
    harness.report(10.0, 0, demand_report(A, 2, 1, released=True))
    harness.report(20.0, 1, demand_report(B, 1, 0, (1, 200.0)))
    assert harness.run_round(20.0)[1].total == pytest.approx(LENDABLE)
