"""Emulated gateways with shared state: a bug planted in a stage violates its rule, and is found."""

from __future__ import annotations

from dataclasses import replace as changed
from typing import Any

import pytest
from msgspec.structs import replace

from meadowpulley.emulator import Emulation, EmulationResult, Scenario
from meadowpulley.emulator.ledger import LedgerModel
from meadowpulley.emulator.shared_state import SharedState
from meadowpulley.interface import Action, Request, Send
from meadowpulley.lending import Admission, Quota, QuotaPlan
from meadowpulley.lending.quota_enforcer import QuotaEnforcer
from meadowpulley.load import PROFILES, synthesize
from meadowpulley.policy import RolloutPolicy
from meadowpulley.takeover import TakeoverSettings, adoption, duplicate_waiters
from meadowpulley.takeover.messages import Deliver
from meadowpulley.takeover.orphan_claims import OrphanClaims
from meadowpulley.takeover.records import RequestState
from meadowpulley.takeover.request_journal import RequestJournal
from meadowpulley.takeover.settings import JournalScope
from tests.stories.fleets import small_fleet

LEDGER = LedgerModel(lease_ms=800.0)
TAKEOVER = SharedState(LEDGER, TakeoverSettings(journal_scope=JournalScope.ALL), client_failover_ms=900.0)
LENDING = SharedState(LEDGER, lending=QuotaPlan(1, 20.0, 3, (Quota("a", 1.0),)), tenants=("a",))


def run_emulation(
    shared_state: SharedState, seed: int = 4, build_policy: Any = RolloutPolicy
) -> EmulationResult:
    """Fail two of three gateways in turn under load: one is paused beyond its lease, one crashes."""
    fleet = small_fleet(3, retries=3)
    fleet = replace(
        fleet, classes=tuple(replace(c, work_ms=350.0, deadline_ms=5000.0) for c in fleet.classes)
    )
    load = list(synthesize(fleet, PROFILES["steady"], 28.0, 9.0, seed))
    emulation = Emulation(fleet, load, seed, Scenario(), build_policy, shared_state=shared_state)
    first, second = emulation.gateways[0], emulation.gateways[1]
    emulation.clock.call_at(3000.0, first.pause)
    emulation.clock.call_at(5000.0, first.resume)
    emulation.clock.call_at(6500.0, second.kill)
    emulation.run_until(30_000.0)
    return emulation.finish()


class ForgetfulPolicy(RolloutPolicy):
    """A policy that ignores the attempts of earlier incarnations."""

    def handle(self, now: float, event: Any) -> list[Action]:
        return super().handle(now, changed(event, prior_attempts=()) if isinstance(event, Request) else event)


def always_open(*_: Any) -> RequestState:
    return RequestState.OPEN


def at_once(self: RequestJournal, entry: Any, send: Send) -> None:
    entry.attempt_count += 1
    entry.dispatched_attempts.append(entry.attempt_count - 1)
    entry.outstanding_attempts.add(len(entry.dispatched_attempts) - 1)
    self.builder.actions.append(send)


def any_record(self: OrphanClaims, seen: Any) -> bool:
    return bool(seen.owner != self.incarnation)


def nothing(self: OrphanClaims, *_: Any) -> None:
    self.due_at_ms = float("inf")


def another_answer(request: int, state: RequestState, answer: Any) -> Any:
    return Deliver(request, 200, (), f"made up for {request}".encode())


def all_of_them(self: QuotaEnforcer, *_: Any) -> Admission:
    return Admission.OWN


@pytest.mark.parametrize(
    ("module", "name", "bug", "shared_state", "rule"),
    [
        (adoption, "adoption_decision", always_open, TAKEOVER, "effects"),
        (RequestJournal, "_hold_send", at_once, TAKEOVER, "effects"),
        (OrphanClaims, "_is_orphan", any_record, TAKEOVER, "takeover"),
        (OrphanClaims, "claim_due", nothing, TAKEOVER, "written"),
        (duplicate_waiters, "response_action", another_answer, TAKEOVER, "answers"),
        (QuotaEnforcer, "admit", all_of_them, LENDING, "admissions"),
    ],
    ids=["adopts all", "awaits no right", "claims from the living", "never claims", "makes up", "admits all"],
)
def test_planted_bug_is_reported_as_a_violation_of_its_rule(
    module: Any, name: str, bug: Any, shared_state: SharedState, rule: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    assert not run_emulation(shared_state, build_policy=ForgetfulPolicy).violation_counts
    monkeypatch.setattr(module, name, bug)
    assert run_emulation(shared_state, build_policy=ForgetfulPolicy).violation_counts[rule] > 0


def test_same_seed_gives_same_result_with_shared_state() -> None:
    assert run_emulation(TAKEOVER, 7).table() == run_emulation(TAKEOVER, 7).table()
