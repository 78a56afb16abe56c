"""Hashes of all that leaves the emulated gateways of a day.

An action counts by what it says at the gateway's edge, and not by its type or its place in the code: so names
may change and the hash stays. Log lines of the gateway do not count; replies on the simulator's wire count
whole. Run as a program it prints the hashes of all days, as `hashes.json` holds them.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from pathlib import Path
from typing import Any

from meadowpulley import interface
from meadowpulley.emulator.emulation import Emulation
from meadowpulley.emulator.gateway import SimulatedGateway
from meadowpulley.fleet import Fleet
from meadowpulley.interface import Settings
from meadowpulley.ledger import Incarnation, Transaction
from meadowpulley.ledger.log_entries import CommitEntry, encode
from meadowpulley.rules import Record, trace_line
from tests.decisions.days import DAYS, END_MS, Day, build_emulation
from tests.decisions.fleets import FLEETS
from tests.decisions.random_events import RandomEvents
from tests.decisions.wire import AdapterPolicy

HASHES = Path(__file__).parent / "hashes.json"
RANDOM_SEEDS = range(1, 21)

# What an action says at the edge, by its type. Others are the ledger's and the stages', whose bytes are
# observed in the ledger and in the trace.
_EDGE_ACTIONS: dict[type, Callable[[Any], tuple[object, ...]]] = {
    interface.Send: lambda a: ("send", a.request, a.server, a.timeout_ms, a.write_by_ms),
    interface.Cancel: lambda a: ("cancel", a.request, a.attempt),
    interface.Reject: lambda a: ("reject", a.request, a.retry_after_ms),
    interface.Fail: lambda a: ("fail", a.request),
    interface.Probe: lambda a: ("probe", a.server),
    interface.Vote: lambda a: ("vote", a.build, a.stage, int(a.verdict)),
    interface.SetTimer: lambda a: ("timer", a.delay_ms, a.token),
    interface.Watch: lambda a: ("watch", a.enabled),
    interface.FetchEndpoints: lambda a: ("fetch",),
    interface.SendGossip: lambda a: ("gossip", a.peer, a.data),
    interface.CloseIdleConnections: lambda a: ("close", a.server),
}


class EdgeRecorder:
    """The hash of what left all gateways of one run, in its order."""

    def __init__(self) -> None:
        self._hash = hashlib.sha256()
        self.action_count = 0

    @property
    def hexdigest(self) -> str:
        """The hash so far."""
        return self._hash.hexdigest()

    def add_action(self, now: float, gateway: int, action: object) -> None:
        """Add an action that a gateway carries out."""
        describe = _EDGE_ACTIONS.get(type(action))
        if describe is not None:
            self.action_count += 1
            self._hash.update(repr((now, gateway, *describe(action))).encode())

    def add_record(self, record: Record) -> None:
        """Add a record of the trace: requests, attempts, responses, updates."""
        self._hash.update(trace_line(record))

    def add_commit(self, incarnation: Incarnation, transaction: Transaction) -> None:
        """Add a transaction as the bytes of the ledger's log."""
        self._hash.update(encode(CommitEntry(incarnation, "", (transaction,))))

    def add_bytes(self, data: bytes) -> None:
        """Add bytes that leave as they are."""
        self._hash.update(data)


def _observe_actions(emulation: Emulation, recorder: EdgeRecorder) -> None:
    """Record the actions of all gateways from now on; those at the start of the run are not recorded."""
    for gateway in emulation.gateways:
        gateway.execute = partial(_execute, gateway, recorder)  # type: ignore[method-assign]
    if emulation.ledger is not None:
        emulation.ledger.on_commit = partial(_on_commit, emulation.ledger.on_commit, recorder)


def _execute(gateway: SimulatedGateway, recorder: EdgeRecorder, action: object) -> None:
    recorder.add_action(gateway.clock.now, gateway.number, action)
    type(gateway).execute(gateway, action)


def _on_commit(
    observed: Callable[[Incarnation, Transaction], None],
    recorder: EdgeRecorder,
    incarnation: Incarnation,
    transaction: Transaction,
) -> None:
    recorder.add_commit(incarnation, transaction)
    observed(incarnation, transaction)


def record_emulated_day(day: Day, build_policy: Callable[..., Any] | None = None) -> EdgeRecorder:
    """Run a day in the emulator, and return what left its gateways."""
    recorder = EdgeRecorder()
    emulation = build_emulation(day, build_policy, recorder.add_record)
    _observe_actions(emulation, recorder)
    emulation.run_until(END_MS)
    return recorder


def record_adapter_day(day: Day) -> EdgeRecorder:
    """Run a day with each policy behind the simulator's wire, and return the replies of the adapter.

    That wire has no shared state: the stages of the day are left out.
    """
    recorder = EdgeRecorder()
    day = replace(day, shared=None)
    build_policy = partial(_build_adapter_policy, FLEETS[day.fleet], recorder)
    build_emulation(day, build_policy).run_until(END_MS)
    return recorder


def _build_adapter_policy(
    fleet: Fleet, recorder: EdgeRecorder, settings: Settings, seed: int
) -> AdapterPolicy:
    return AdapterPolicy(fleet, settings, seed, recorder.add_bytes)


def record_random_events(seed: int) -> EdgeRecorder:
    """Hand random events of all kinds to one policy, and return what it decided."""
    recorder = EdgeRecorder()
    for now, action in RandomEvents(seed).run():
        recorder.add_action(now, 0, action)
    return recorder


def record_all() -> dict[str, str]:
    """Return the hashes of all days, in the emulator and by the simulator's wire, and of random events."""
    hashes = {day.name: record_emulated_day(day).hexdigest for day in DAYS}
    hashes |= {f"{day.name}-wire": record_adapter_day(day).hexdigest for day in DAYS}
    return hashes | {f"random-{seed:02}": record_random_events(seed).hexdigest for seed in RANDOM_SEEDS}


if __name__ == "__main__":
    print(json.dumps(record_all(), indent=1))
