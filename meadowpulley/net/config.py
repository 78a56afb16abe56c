"""The gateway's configuration: read from a file and the environment, and checked in full before it starts."""

from __future__ import annotations

import json
import os
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any, TypeAlias

from meadowpulley.interface import Settings
from meadowpulley.net import protocol
from meadowpulley.settings import SettingsError, read_settings

MIN_SOCKETS = 128
DEFAULT_SOCKETS = 1024
GOSSIP_KEYS = ("peer_listen", "peers", "peers_all")

Address: TypeAlias = tuple[str, int]  # an IPv4 address in text, and a port


class ConfigError(Exception):
    """The configuration cannot be used; the text says in one line what is wrong and where."""


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of one gateway.

    `initial_rollout` and `cached_endpoints` are decoded JSON in the platform's and discovery's form: what the
    gateway knew before. `warnings` are what is wrong in a configuration that can be used all the same, and
    what is done instead, a line each.
    """

    name: str
    listen: Address
    discovery: Address
    platform: Address | None
    seed: int
    max_sockets: int
    settings: Settings
    initial_rollout: Any = None
    cached_endpoints: Any = None
    peer_listen: Address | None = None
    peers: tuple[Address, ...] = ()
    peers_all: Address | None = None
    warnings: tuple[str, ...] = ()


def read_config(environ: Mapping[str, str] = os.environ) -> Config:
    """Read the file that the environment names; some variables override it. Raises ConfigError."""
    path = environ.get(protocol.ENV_CONFIG)
    if not path:
        raise ConfigError(f"{protocol.ENV_CONFIG} is not set")
    try:
        with open(path, "rb") as file:
            raw = json.load(file)
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror or error}") from None
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"{path}: no JSON: {error}") from None
    if not isinstance(raw, dict):
        raise ConfigError(f"{path}: no JSON object")
    try:
        return _build_config(raw, environ)
    except (ConfigError, SettingsError) as error:
        raise ConfigError(f"{path}: {error}") from None


def reload_config(environ: Mapping[str, str] = os.environ) -> Config:
    """Read the configuration at a reload. Raises ConfigError.

    The file says where discovery is now: the environment holds what was true at the start.
    """
    return read_config({key: value for key, value in environ.items() if key != protocol.ENV_DISCOVERY})


def parse_address(text: Any) -> Address:
    """Parse an IPv4 address with a port. Raises ValueError.

    Host names are not looked up: there is no DNS where the gateway runs.
    """
    if isinstance(text, str):
        host, colon, port = text.rpartition(":")
        labels = host.split(".")
        octets = [int(label) for label in labels if label.isascii() and label.isdigit() and len(label) <= 3]
        is_ipv4 = colon and len(labels) == len(octets) == 4 and max(octets) < 256
        if is_ipv4 and port.isascii() and port.isdigit() and 0 < int(port) < 65536:
            return host, int(port)
    raise ValueError(f"{text!r} is no address with a port")


def _build_config(raw: dict[str, Any], environ: Mapping[str, str]) -> Config:
    raw = raw | _overrides(environ)
    limits, platform = _read_object(raw, "limits"), _read_object(raw, "platform")
    max_sockets = _read_max_sockets(limits)
    peers = raw.get("peers") or []
    if not isinstance(peers, list):
        raise ConfigError("'peers' is no list")
    listen, discovery = _read_address(raw, "listen"), _read_address(raw, "discovery")
    assert listen is not None and discovery is not None
    settings = read_settings(raw.get("settings"), "config")
    if not settings.classes:
        raise ConfigError("'settings' name no classes")
    config = Config(
        name=str(raw.get("name", "")),
        listen=listen,
        discovery=discovery,
        platform=_read_address(platform, "address", required=False),
        seed=_read_seed(raw),
        max_sockets=max_sockets,
        settings=settings,
        initial_rollout=platform.get("news"),
        cached_endpoints=raw.get("known"),
        peer_listen=_read_address(raw, "peer_listen", required=False),
        peers=tuple(address for peer in peers if (address := _read_address({"peers": peer}, "peers"))),
        peers_all=_read_address(raw, "peers_all", required=False),
    )
    return replace(config, warnings=_find_inconsistencies(config, _read_object(raw, "settings")))


def _overrides(environ: Mapping[str, str]) -> dict[str, str]:
    """Return the values, by their keys in the file, that the environment sets."""
    variables = {
        "name": protocol.ENV_NAME,
        "listen": protocol.ENV_LISTEN,
        "discovery": protocol.ENV_DISCOVERY,
    }
    return {key: environ[variable] for key, variable in variables.items() if environ.get(variable)}


def _read_object(raw: Mapping[str, Any], key: str) -> Mapping[str, Any]:
    value = raw.get(key, {})
    if not isinstance(value, dict):
        raise ConfigError(f"'{key}' is no object")
    return value


def _read_address(raw: Mapping[str, Any], key: str, required: bool = True) -> Address | None:
    if raw.get(key) is None and not required:
        return None
    try:
        return parse_address(raw.get(key))
    except ValueError as error:
        raise ConfigError(f"'{key}': {error}") from None


def _read_max_sockets(limits: Mapping[str, Any]) -> int:
    max_sockets = limits.get("sockets", DEFAULT_SOCKETS)
    if not isinstance(max_sockets, int) or max_sockets < MIN_SOCKETS:
        raise ConfigError(f"'limits': 'sockets' is {max_sockets!r}, at least {MIN_SOCKETS} are needed")
    return max_sockets


def _read_seed(raw: Mapping[str, Any]) -> int:
    """Read the seed: a number, or one in hexadecimal digits."""
    seed = raw.get("seed", 0)
    try:
        return int(seed, 16) if isinstance(seed, str) else int(seed)
    except (ValueError, TypeError, OverflowError):
        raise ConfigError(f"'seed': {seed!r} is no number") from None


def _find_inconsistencies(config: Config, raw_settings: Mapping[str, Any]) -> tuple[str, ...]:
    """Return what the operator should know of a configuration that can be used all the same, a line each."""
    return (
        *_corrected_settings(config.settings, raw_settings),
        *_gossip_inconsistencies(config),
        *_socket_shortage(config),
    )


def _corrected_settings(settings: Settings, raw_settings: Mapping[str, Any]) -> list[str]:
    count, index = settings.gateway_count, settings.gateway_index
    warnings = []
    if (raw_settings.get("balancers") or 0) != count and "balancers" in raw_settings:
        warnings.append(f"'settings': 'balancers' is {raw_settings['balancers']}: taken as {count}")
    if (raw_settings.get("me") or 0) != index:
        warnings.append(f"'settings': 'me' is {raw_settings['me']} with {count} gateways: taken as {index}")
    return warnings


def _gossip_inconsistencies(config: Config) -> list[str]:
    gateway_count = config.settings.gateway_count
    if not config.settings.limits.gossip or gateway_count <= 1:
        return []
    missing = [key for key in GOSSIP_KEYS if not getattr(config, key)]
    if missing:
        return [
            f"gossip is allowed, but without {', '.join(missing)}: this gateway decides by its own evidence"
        ]
    if len(config.peers) != gateway_count:
        return [
            f"'peers' are {len(config.peers)} of {gateway_count} gateways: gossip of the others is rejected"
        ]
    return []


def _socket_shortage(config: Config) -> list[str]:
    if not isinstance(config.cached_endpoints, dict):
        return []
    endpoints = config.cached_endpoints.get(protocol.LIST_ENDPOINTS)
    if not isinstance(endpoints, list) or config.max_sockets >= len(endpoints):
        return []
    return [
        f"'limits': {config.max_sockets} 'sockets' for {len(endpoints)} instances: idle connections close"
    ]
