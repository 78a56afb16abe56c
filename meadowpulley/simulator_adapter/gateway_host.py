"""Runs the policies of all simulated gateways in one process, and turns events into actions.

The policies share no state: the numbered ledgers belong to the wire format and only carry server entries.
"""

from __future__ import annotations

from collections.abc import Callable

from meadowpulley.interface import EndpointUpdate, EndpointUpdateKind, Event, ServerEntry, Settings
from meadowpulley.policy import RolloutPolicy
from meadowpulley.simulator_adapter.codec import (
    EventBatch,
    FrameError,
    LedgerUpdate,
    ServerLedger,
    StartGateway,
    StopGateway,
    read_records,
)
from meadowpulley.simulator_adapter.reply import ActionReply


class GatewayHost:
    """Holds the policy of each simulated gateway, by gateway number."""

    def __init__(self, make_policy: Callable[[Settings, int], RolloutPolicy] = RolloutPolicy) -> None:
        self._make_policy = make_policy
        self._policies: dict[int, RolloutPolicy] = {}
        self._server_ledgers: dict[int, tuple[ServerEntry, ...]] = {}

    def handle_batch(self, batch: EventBatch) -> bytes:
        """Handle the events of a batch in order and return the reply's frame. Raises FrameError."""
        reply = ActionReply()
        for gateway, record, where in read_records(batch):
            match record:
                case ServerLedger(number, entries):
                    self._server_ledgers[number] = entries
                case StartGateway(seed, settings):
                    assert gateway is not None
                    self._policies[gateway] = self._make_policy(settings, seed)
                case StopGateway():
                    if self._policies.pop(gateway, None) is None:  # type: ignore[arg-type]
                        raise FrameError(
                            f"{where}: instance {gateway} cannot be stopped because it is not running"
                        )
                case LedgerUpdate(kind, ledger, version):
                    entries = () if kind is EndpointUpdateKind.FAILED else self._ledger_entries(ledger, where)
                    self._handle_event(
                        gateway, batch.clock_ms, EndpointUpdate(kind, version, entries), where, reply
                    )
                case event:
                    self._handle_event(gateway, batch.clock_ms, event, where, reply)
        return reply.encode()

    def _ledger_entries(self, ledger: int, where: str) -> tuple[ServerEntry, ...]:
        if ledger not in self._server_ledgers:
            raise FrameError(f"{where}: ledger {ledger} was used before it was sent")
        return self._server_ledgers[ledger]

    def _handle_event(
        self, gateway: int | None, now: float, event: Event, where: str, reply: ActionReply
    ) -> None:
        policy = self._policies.get(gateway) if gateway is not None else None
        if gateway is None or policy is None:
            raise FrameError(f"{where}: no instance {gateway}")
        try:
            actions = policy.handle(now, event)
        except Exception as error:  # noqa: BLE001
            # An exception in one decision is reported, and the remaining events are still handled.
            reply.add_fault(gateway, _describe_fault(error, event))
            return
        for action in actions:
            reply.add_action(gateway, action)


def _describe_fault(error: Exception, event: Event) -> str:
    innermost = error.__traceback__
    while innermost is not None and innermost.tb_next is not None:
        innermost = innermost.tb_next
    line_number = innermost.tb_lineno if innermost is not None else 0
    return f"{type(error).__name__}: {error} (line {line_number}, {type(event).__name__})"
