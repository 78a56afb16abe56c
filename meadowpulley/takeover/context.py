"""What the parts of the takeover stage are constructed with."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from meadowpulley.interface import Settings
from meadowpulley.ledger import Incarnation
from meadowpulley.takeover.settings import TakeoverSettings
from meadowpulley.takeover.transaction_builder import TransactionBuilder


@dataclass(frozen=True, slots=True)
class StageContext:
    """The gateway that the stage belongs to, and the output that its parts share.

    `holds_lease(now)` tells whether the lease of this incarnation holds; it is asked at the last moment
    before anything is sent. No part keeps the context: each keeps what it needs of it, so that the model
    checker copies and compares only that.
    """

    gateway_settings: Settings
    settings: TakeoverSettings
    incarnation: Incarnation
    holds_lease: Callable[[float], bool]
    builder: TransactionBuilder
