"""Description of a fleet, shared by the emulator, the loopback test bed and the capacity planner.

Reading order: `model` (the file format and its checks), `gateway_settings` (the settings object of a
gateway in the fleet, in the platform's format).
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
