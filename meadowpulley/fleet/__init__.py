"""What a fleet is: one description, read alike by the emulator, the stand-ins on loopback and the planner.

Reading order: `model` (the file's form and its checks), `told` (the settings object that a gateway of such a
fleet is given, in the platform's own form).
"""

from meadowpulley.fleet.gateway_settings import gateway_settings, gateway_settings_object
from meadowpulley.fleet.model import (
    ClientModel,
    DiscoveryModel,
    Fleet,
    FleetError,
    GatewayGroup,
    KeyModel,
    MachineKind,
    NetworkModel,
    RequestClass,
    RolloutModel,
    RuleModel,
    ServerGroup,
    Site,
    parse_fleet,
    read_toml,
)

__all__ = [
    "ClientModel",
    "DiscoveryModel",
    "Fleet",
    "FleetError",
    "GatewayGroup",
    "KeyModel",
    "MachineKind",
    "NetworkModel",
    "RequestClass",
    "RolloutModel",
    "RuleModel",
    "ServerGroup",
    "Site",
    "gateway_settings",
    "gateway_settings_object",
    "parse_fleet",
    "read_toml",
]
