"""What a fleet is: one description, read alike by the emulator, the stand-ins on loopback and the planner.

Reading order: `model` (the file's form and its checks), `told` (the settings object that a gateway of such a
fleet is given, in the platform's own form).
"""

from meadowpulley.fleet.model import (
    Clients,
    DiscoveryModel,
    Fleet,
    FleetError,
    Gateways,
    Keys,
    Kind,
    Network,
    RequestKind,
    RolloutModel,
    RuleFigures,
    Servers,
    Site,
    parse_fleet,
    read_intent,
)
from meadowpulley.fleet.told import settings_object, settings_of

__all__ = [
    "Clients",
    "DiscoveryModel",
    "Fleet",
    "FleetError",
    "Gateways",
    "Keys",
    "Kind",
    "Network",
    "RequestKind",
    "RolloutModel",
    "RuleFigures",
    "Servers",
    "Site",
    "parse_fleet",
    "read_intent",
    "settings_object",
    "settings_of",
]
