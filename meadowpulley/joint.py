"""What gateways of an installation do together, at a gateway on sockets: the stages that rest on the ledger.

From the outside: what stands between sockets and stages, the keeper of the lease, takeover, lending, the
decisions. Imported only where `MEADOWPULLEY_LEDGER` names a ledger, and of the rest only what is asked for.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from meadowpulley.ledger import RefusedError
from meadowpulley.ledger.client import LedgerClient, start_ledger

LEAST_KILL_MS = 3_000.0  # planned ends come no sooner after SIGTERM than the longest deadline, and that


def start(gateway: Any, environ: Mapping[str, str], seed: int, reactor: Any) -> LedgerClient:
    """Wraps the stages round the gateway's decisions and starts the ledger; close what comes back at the end.

    Call it before the reactor runs. Raises `RefusedError`, one line: what is wrong, where, and what to do.
    """
    settings = gateway.config.settings
    terms = None  # all that can be refused comes before a life is begun
    if any(name.startswith("MEADOWPULLEY_TAKEOVER") for name in environ):
        from meadowpulley.takeover.gateway import read_terms

        terms = read_terms(environ)
    plan = None
    if any(name.startswith("MEADOWPULLEY_LENDING_") for name in environ):
        from meadowpulley.lending import PlanError, read_plan

        try:
            plan = read_plan(settings, environ)
        except PlanError as bad:
            raise RefusedError(str(bad)) from None
    client = start_ledger(gateway, gateway.config.name, environ, reactor)
    if client is None:
        raise RefusedError("MEADOWPULLEY_LEDGER: empty: name a folder, or leave it out")
    stage = gateway.balancer
    watches: list[Callable[[], tuple[str, ...]]] = []
    if plan is not None:
        from meadowpulley.lending import Lending

        stage = lending = Lending(stage, settings, plan, client.life, seed)
        watches.append(lending.watches)
    takeover = None
    if terms is not None:
        from meadowpulley.takeover.gateway import Bridge
        from meadowpulley.takeover.model import WATCHED
        from meadowpulley.takeover.stage import Takeover

        stage = takeover = Takeover(settings, stage, client.life, client.may_act, terms)
        watches.append(lambda: WATCHED)
    gateway.balancer = keeper = client.wrap(stage, lambda: tuple(key for keys in watches for key in keys()))
    if takeover is not None:
        longest = max((c.deadline_ms for c in settings.classes), default=0.0)
        gateway.balancer = Bridge(gateway, takeover, keeper, max(longest, LEAST_KILL_MS))
    client.start()
    return client
