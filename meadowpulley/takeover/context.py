"""The constructor arguments that the parts of the takeover stage share."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from meadowpulley.interface import Settings
from meadowpulley.ledger import Incarnation
from meadowpulley.takeover.settings import TakeoverSettings
from meadowpulley.takeover.transaction_builder import TransactionBuilder


@dataclass(frozen=True, slots=True)
class StageContext:
    """Describes the gateway of the stage, and holds the output builder that all parts share.

    `holds_lease(now)` returns whether the lease of this incarnation is still valid; it is called immediately
    before anything is sent. No part stores the whole context: each part stores only the fields it needs, so
    that the model checker copies and compares only those.
    """

    gateway_settings: Settings
    settings: TakeoverSettings
    incarnation: Incarnation
    holds_lease: Callable[[float], bool]
    builder: TransactionBuilder
