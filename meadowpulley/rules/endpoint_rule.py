"""Checks the rules on servers: on delisted servers, and on servers in slow start.

A gateway must not send requests to a server after the drain grace that follows the server's delisting. A
server must not be overloaded in slow start.
"""

from __future__ import annotations

import math

from meadowpulley.interface import ServerState
from meadowpulley.rules.observations import GatewayState, KnownServer
from meadowpulley.rules.parameters import RuleParameters
from meadowpulley.rules.trace import STATE_NAMES, AttemptSent, EndpointListed, InstanceOverloaded
from meadowpulley.rules.violations import NO_GATEWAY, Violation

READY = STATE_NAMES[ServerState.READY]


def record_listing(gateway: GatewayState, record: EndpointListed) -> None:
    """Record the state in which a server is now listed to a gateway."""
    known = gateway.servers.get(record.server)
    if known is not None and record.state != READY:
        known.removed_at = min(known.removed_at, record.at)
        known.state = record.state
        return
    removed_at = math.inf if record.state == READY else record.at
    gateway.servers[record.server] = KnownServer(
        record.state, record.build, removed_at, record.cell, record.site
    )


def check_listed(
    parameters: RuleParameters, record: AttemptSent, server: KnownServer | None
) -> Violation | None:
    """Report an attempt at a server that was never listed or whose drain grace has ended."""
    if server is None:
        text = f"request {record.request} was sent to server {record.server}, which was never listed"
        return Violation("drains", record.at, record.gateway, text)
    if record.at <= server.removed_at + parameters.drain_grace_ms + parameters.slack_ms:
        return None
    since_ms = record.at - server.removed_at
    text = (
        f"request {record.request} was sent to server {record.server}, "
        f"which is {server.state} and was delisted {since_ms:.0f} ms before"
    )
    return Violation("drains", record.at, record.gateway, text)


def slow_start_overload(record: InstanceOverloaded) -> Violation:
    """Return the violation for a server that was overloaded in slow start."""
    return Violation("cold", record.at, NO_GATEWAY, f"cold server {record.server} was pushed over")
