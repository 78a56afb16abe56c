"""Random gateway and ledger faults: non-idempotent requests run once at most, and all are answered."""

from __future__ import annotations

from functools import partial
from random import Random

import pytest

from meadowpulley.interface import Result, Send
from meadowpulley.ledger import Commit
from meadowpulley.takeover import Deliver, ShutdownNotice
from tests.takeover_fleet import PAY, READ, Fleet, Gateway, LedgerFault, interrupt_at


class RandomFaults:
    """A fleet whose gateways receive random requests and faults."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.fleet = Fleet("abcd")
        self.fleet.execution_ms = self.random.choice([10.0, 50.0, 300.0, 1500.0])
        self.submitted: list[tuple[Gateway, int]] = []
        self.class_by_id = {f"n{n}": self.random.randrange(3) for n in range(12)}

    def running_gateways(self) -> list[Gateway]:
        return [gateway for gateway in self.fleet.gateways.values() if gateway.running]

    def step(self) -> None:
        """Advance time by a random interval, then apply one random event to one gateway."""
        self.fleet.advance(self.random.expovariate(1 / 40.0))
        running = self.running_gateways()
        gateway = self.random.choice(running)
        chance = self.random.random()
        request_id = self.random.choice(list(self.class_by_id))
        if chance < 0.6:
            self.submit(gateway, request_id)
        elif chance < 0.63 and len(running) > 1:
            self.fleet.kill(gateway.name)
        elif chance < 0.68 and len(running) > 1 and not gateway.paused:
            self.pause_at_an_action(gateway)
        elif chance < 0.72:
            self.inject_ledger_fault(gateway)
        elif chance < 0.77:
            results = [self.random.choice(list(Result)) for _ in range(self.random.randrange(6))]
            self.fleet.results = [*results, Result.OK]
        elif chance < 0.78 and len(running) > 2 and not gateway.paused:
            gateway.dispatch(ShutdownNotice(800.0))
            self.fleet.call_at(self.fleet.now + 800.0, partial(self.fleet.kill, gateway.name))

    def submit(self, gateway: Gateway, request_id: str) -> None:
        class_index = self.class_by_id[request_id]
        served_unjournaled = gateway.stage.journal.fenced and class_index == READ
        if gateway.paused or served_unjournaled:
            return
        remaining_ms = self.random.choice([500.0, 2000.0, 4000.0])
        handle = gateway.submit(request_id, class_index, remaining_ms=remaining_ms)
        self.submitted.append((gateway, handle))

    def pause_at_an_action(self, gateway: Gateway) -> None:
        action_type = self.random.choice([Send, Deliver, Commit])
        pause_ms = self.random.choice([100.0, 700.0, 3000.0])
        interrupt_at(
            self.fleet, action_type, 0, partial(self.fleet.pause, gateway.name, pause_ms), gateway.name
        )

    def inject_ledger_fault(self, gateway: Gateway) -> None:
        faults = [LedgerFault.UNREACHABLE, LedgerFault.UNCONFIRMED, LedgerFault.SLOW]
        gateway.ledger_fault = self.random.choice(faults)
        duration_ms = self.random.choice([100.0, 600.0, 2500.0])
        repair = partial(setattr, gateway, "ledger_fault", LedgerFault.NONE)
        self.fleet.call_at(self.fleet.now + duration_ms, repair)


@pytest.mark.parametrize("seed", range(40))
def test_random_faults_never_execute_twice_and_every_request_is_answered(seed: int) -> None:
    """Gateways crash, pause, shut down and lose their ledger at random, while clients repeat requests."""
    run = RandomFaults(seed)
    fleet = run.fleet
    until_ms = fleet.now + 8000.0
    while fleet.now < until_ms:
        run.step()
    fleet.advance(12_000)
    unrepeatable_ids = [request_id for request_id, index in run.class_by_id.items() if index == PAY]
    assert not [request_id for request_id in unrepeatable_ids if fleet.executions[request_id] > 1]
    assert not [
        (gateway.name, request)
        for gateway, request in run.submitted
        if gateway.running and request not in gateway.finished
    ]
    for gateway in run.running_gateways():
        stage = gateway.stage
        if stage.journal.fenced:
            continue
        assert stage.journal.table.by_id == {}
        assert stage.journal.table.by_request == {}
        assert stage.orphans.pending_claims.by_id == {}
        assert stage.waiters.by_id == {}
        assert stage.view.open_requests == {}
