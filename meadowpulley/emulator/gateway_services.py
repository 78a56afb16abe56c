"""Actions of a simulated gateway that go to the services around it: discovery, platform, gossip, ledger."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from meadowpulley.interface import (
    LOG_EVENT_TYPES,
    CloseIdleConnections,
    FetchEndpoints,
    LogEvent,
    Probe,
    ProbeResult,
    Result,
    SendGossip,
    SetTimer,
    Timer,
    Vote,
    Watch,
)
from meadowpulley.interface.log_wording import log_text
from meadowpulley.ledger import Commit, Scan, WatchRequest

if TYPE_CHECKING:
    from meadowpulley.emulator.gateway import SimulatedGateway


def service_handlers(gateway: SimulatedGateway) -> dict[type, Callable[[Any], None]]:
    """Return the handlers of these actions by their type."""
    services = GatewayServices(gateway)
    return {
        Vote: services.vote,
        SetTimer: services.set_timer,
        Watch: services.watch,
        FetchEndpoints: services.fetch,
        SendGossip: services.send_gossip,
        CloseIdleConnections: services.close_idle,
        **dict.fromkeys(LOG_EVENT_TYPES, services.log),
        Probe: services.probe,
        Commit: services.commit,
        WatchRequest: services.watch_members,
        Scan: services.scan,
    }


class GatewayServices:
    """Carries out the actions of one gateway on the services around it."""

    def __init__(self, gateway: SimulatedGateway) -> None:
        self.gateway = gateway
        self.emulation = gateway.emulation

    def vote(self, vote: Vote) -> None:
        """Send a vote to the platform."""
        self.emulation.send_vote(self.gateway, vote)

    def set_timer(self, action: SetTimer) -> None:
        """Dispatch a timer event after a delay."""
        fire = self.gateway.in_this_incarnation(lambda: self.gateway.dispatch(Timer(action.token)))
        self.emulation.clock.call_later(action.delay_ms, fire)

    def watch(self, action: Watch) -> None:
        """Start or end the watch of the endpoint list."""
        if action.enabled:
            self.emulation.discovery.subscribe(self.gateway.number)
        else:
            self.emulation.discovery.unsubscribe(self.gateway.number)

    def fetch(self, _: FetchEndpoints) -> None:
        """Fetch the full endpoint list once."""
        self.emulation.discovery.fetch_full_list(self.gateway.number)

    def send_gossip(self, action: SendGossip) -> None:
        """Send a gossip message."""
        self.emulation.send_gossip(self.gateway, action)

    def close_idle(self, action: CloseIdleConnections) -> None:
        """Close all idle connections to a server."""
        self.gateway.connections.close_idle(action.server)

    def commit(self, action: Commit) -> None:
        """Queue a commit on the ledger."""
        if self.gateway.ledger_port is not None:
            self.gateway.ledger_port.commit(action)

    def scan(self, action: Scan) -> None:
        """Scan the ledger."""
        if self.gateway.ledger_port is not None:
            self.gateway.ledger_port.scan(action)

    def watch_members(self, action: WatchRequest) -> None:
        """Set the members whose renewals are reported."""
        if self.gateway.ledger_port is not None:
            self.gateway.ledger_port.watched_members = action.names

    def probe(self, action: Probe) -> None:
        """Fail a health check: described fleets never allow them."""
        self.gateway.dispatch(ProbeResult(action.server, Result.CONNECT_FAILED, 0.0))

    def log(self, event: LogEvent) -> None:
        """Keep a log event of the policy or of a stage, as text."""
        text = log_text(event)
        self.gateway.log_lines.append((self.emulation.clock.now, text))
        self.emulation.log_event(f"gateway {self.gateway.number}: {text}")
