"""Keeps the balancers of one process, hands each its own events, and gathers their actions.

Nothing is shared between balancers: the numbered ledgers belong to the wire and only carry list entries.
"""

from __future__ import annotations

from collections.abc import Callable

from meadowpulley.balance import Balancer
from meadowpulley.drill.codec import Batch, Kill, Ledger, Reply, Topology, Up, WireError, records
from meadowpulley.interface import EndpointUpdate, EndpointUpdateKind, Event, ServerEntry, Settings


class Host:
    def __init__(self, make: Callable[[Settings, int], Balancer] = Balancer) -> None:
        self._make = make
        self._balancers: dict[int, Balancer] = {}
        self._ledgers: dict[int, tuple[ServerEntry, ...]] = {}

    def reply(self, batch: Batch) -> bytes:
        reply = Reply()
        for gateway, record, where in records(batch):
            match record:
                case Ledger(number, entries):
                    self._ledgers[number] = entries
                case Up(seed, settings):
                    assert gateway is not None
                    self._balancers[gateway] = self._make(settings, seed)
                case Kill():
                    if self._balancers.pop(gateway, None) is None:  # type: ignore[arg-type]
                        raise WireError(f"{where}: no instance {gateway} to kill")
                case Topology(kind, ledger, version):
                    entries = () if kind is EndpointUpdateKind.FAILED else self._entries(ledger, where)
                    self._hand(gateway, batch.clock_ms, EndpointUpdate(kind, version, entries), where, reply)
                case event:
                    self._hand(gateway, batch.clock_ms, event, where, reply)
        return reply.encode()

    def _entries(self, ledger: int, where: str) -> tuple[ServerEntry, ...]:
        if ledger not in self._ledgers:
            raise WireError(f"{where}: no ledger {ledger} was sent")
        return self._ledgers[ledger]

    def _hand(self, gateway: int | None, now: float, event: Event, where: str, reply: Reply) -> None:
        balancer = self._balancers.get(gateway) if gateway is not None else None
        if gateway is None or balancer is None:
            raise WireError(f"{where}: no instance {gateway}")
        try:
            actions = balancer.handle(now, event)
        except Exception as error:
            at = error.__traceback__
            while at is not None and at.tb_next is not None:
                at = at.tb_next
            line = at.tb_lineno if at is not None else 0
            reply.fault(gateway, f"{type(error).__name__}: {error} (line {line}, {type(event).__name__})")
            return
        for action in actions:
            reply.add(gateway, action)
