"""The rules on servers.

None is sent a request long after it was delisted, and none is overloaded in slow start.
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
    """Record how a server is listed to a gateway from now on."""
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
    """Check that an attempt goes to a server that is listed as ready, or was until shortly before."""
    if server is None:
        text = f"request {record.request} went to server {record.server}, never listed"
        return Violation("drains", record.at, record.gateway, text)
    if record.at <= server.removed_at + parameters.drain_grace_ms + parameters.slack_ms:
        return None
    since_ms = record.at - server.removed_at
    text = (
        f"request {record.request} went to server {record.server}, "
        f"listed as {server.state} {since_ms:.0f} ms before"
    )
    return Violation("drains", record.at, record.gateway, text)


def slow_start_overload(record: InstanceOverloaded) -> Violation:
    """Return the violation by a server that was overloaded in slow start."""
    return Violation("cold", record.at, NO_GATEWAY, f"cold server {record.server} was pushed over")
