"""The gateway's configuration: read from a file and the environment, validated before the start."""

from __future__ import annotations

import json
import math
import os
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import TypeAlias

from meadowpulley.interface import Settings
from meadowpulley.net import protocol
from meadowpulley.net.errors import NetError
from meadowpulley.settings import SettingsError, read_settings

MIN_SOCKETS = 128
DEFAULT_SOCKETS = 1024
DEFAULT_MEMORY_MB = 192
GOSSIP_KEYS = ("peer_listen", "peers", "peers_all")
# Keys of the configuration file whose names differ from the terms used in the code.
CACHED_ENDPOINTS_KEY = "known"
INITIAL_ROLLOUT_KEY = "news"  # a key of the object 'platform'
GATEWAY_COUNT_KEY = "balancers"  # a key of the object 'settings'
GATEWAY_INDEX_KEY = "me"  # a key of the object 'settings'
IPV4_OCTETS = 4
MAX_OCTET = 255
MAX_OCTET_DIGITS = 3
MAX_PORT = 65535
HEXADECIMAL = 16

Address: TypeAlias = tuple[str, int]  # IPv4 address in dotted-decimal text, and port number
JsonObject: TypeAlias = Mapping[str, object]


class ConfigError(NetError):
    """The configuration cannot be used; the message says in one line what is wrong and where."""


class AddressError(NetError, ValueError):
    """A value is not an IPv4 address with a port."""

    def __init__(self, value: object) -> None:
        super().__init__(
            f"{value!r} is not an IPv4 address with a port: expected for example '127.0.0.1:8080'"
        )
        self.value = value


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of one gateway.

    `initial_rollout` and `cached_endpoints` are decoded JSON in the formats of the platform and of discovery:
    the last known state from before the start. `warnings` holds one line for each inconsistency that does not
    prevent a start, with its consequence.
    """

    name: str
    listen: Address
    discovery: Address
    platform: Address | None
    seed: int
    max_sockets: int
    settings: Settings
    initial_rollout: object = None
    cached_endpoints: object = None
    peer_listen: Address | None = None
    peers: tuple[Address, ...] = ()
    peers_all: Address | None = None
    warnings: tuple[str, ...] = ()
    memory_mb: float = DEFAULT_MEMORY_MB  # limit on the memory of the process, in units of 10^6 bytes


def read_config(environ: Mapping[str, str] = os.environ) -> Config:
    """Read the file that the environment names; some variables override its keys. Raises ConfigError."""
    path = environ.get(protocol.ENV_CONFIG)
    if not path:
        raise ConfigError(f"{protocol.ENV_CONFIG} is not set: set it to the path of the configuration file")
    try:
        with open(path, "rb") as file:
            raw = json.load(file)
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror or error}") from None
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"{path}: the file is not valid JSON: {error}") from None
    if not isinstance(raw, dict):
        raise ConfigError(f"{path}: the file must contain a JSON object")
    try:
        return _build_config(raw, environ)
    except (ConfigError, SettingsError) as error:
        raise ConfigError(f"{path}: {error}") from None


def reload_config(environ: Mapping[str, str] = os.environ) -> Config:
    """Read the configuration again for a reload. Raises ConfigError.

    The address of discovery is taken from the file: the environment still holds the address of the start.
    """
    return read_config({key: value for key, value in environ.items() if key != protocol.ENV_DISCOVERY})


def parse_address(text: object) -> Address:
    """Parse an IPv4 address with a port.

    Host names are not resolved: there is no DNS where the gateway runs.

    Raises:
        ValueError: the value is not such an address. The error is an AddressError, except when `int` refuses
            a port of thousands of digits.
    """
    if isinstance(text, str):
        host, _, port = text.rpartition(":")
        if _is_ipv4(host) and _is_decimal(port) and 0 < int(port) <= MAX_PORT:
            return host, int(port)
    raise AddressError(text)


def _is_ipv4(host: str) -> bool:
    labels = host.split(".")
    return len(labels) == IPV4_OCTETS and all(_is_octet(label) for label in labels)


def _is_octet(label: str) -> bool:
    return _is_decimal(label) and len(label) <= MAX_OCTET_DIGITS and int(label) <= MAX_OCTET


def _is_decimal(text: str) -> bool:
    return text.isascii() and text.isdigit()


def _build_config(raw: JsonObject, environ: Mapping[str, str]) -> Config:
    raw = {**raw, **_overrides(environ)}
    limits = _read_object(raw, "limits")
    platform = _read_object(raw, "platform")
    max_sockets = _read_max_sockets(limits)
    peers = _read_peers(raw)
    listen = _read_address(raw, "listen")
    discovery = _read_address(raw, "discovery")
    settings = read_settings(raw.get("settings"), "config")
    if not settings.classes:
        raise ConfigError("'settings': 'classes' must list at least one request class")
    config = Config(
        name=str(raw.get("name", "")),
        listen=listen,
        discovery=discovery,
        platform=_read_optional_address(platform, "address"),
        seed=_read_seed(raw),
        max_sockets=max_sockets,
        settings=settings,
        initial_rollout=platform.get(INITIAL_ROLLOUT_KEY),
        cached_endpoints=raw.get(CACHED_ENDPOINTS_KEY),
        peer_listen=_read_optional_address(raw, "peer_listen"),
        peers=tuple(_read_address({"peers": peer}, "peers") for peer in peers),
        peers_all=_read_optional_address(raw, "peers_all"),
        memory_mb=_read_memory_mb(limits),
    )
    return replace(config, warnings=_find_inconsistencies(config, _read_object(raw, "settings")))


def _overrides(environ: Mapping[str, str]) -> dict[str, str]:
    """Return the values that the environment sets, by the keys of the file that they override."""
    variables = {
        "name": protocol.ENV_NAME,
        "listen": protocol.ENV_LISTEN,
        "discovery": protocol.ENV_DISCOVERY,
    }
    return {key: environ[variable] for key, variable in variables.items() if environ.get(variable)}


def _read_object(raw: JsonObject, key: str) -> JsonObject:
    value = raw.get(key, {})
    if not isinstance(value, dict):
        raise ConfigError(f"'{key}' must be a JSON object")
    return value


def _read_peers(raw: JsonObject) -> list[object]:
    peers = raw.get("peers") or []
    if not isinstance(peers, list):
        raise ConfigError("'peers' must be a list of IPv4 addresses with ports")
    return peers


def _read_address(raw: JsonObject, key: str) -> Address:
    try:
        return parse_address(raw.get(key))
    except ValueError as error:
        raise ConfigError(f"'{key}': {error}") from None


def _read_optional_address(raw: JsonObject, key: str) -> Address | None:
    return None if raw.get(key) is None else _read_address(raw, key)


def _read_max_sockets(limits: JsonObject) -> int:
    max_sockets = limits.get("sockets", DEFAULT_SOCKETS)
    if not isinstance(max_sockets, int) or max_sockets < MIN_SOCKETS:
        raise ConfigError(
            f"'limits': 'sockets' is {max_sockets!r}: expected an integer of at least {MIN_SOCKETS}"
        )
    return max_sockets


def _read_memory_mb(limits: JsonObject) -> float:
    memory_mb = limits.get("memory_mb", DEFAULT_MEMORY_MB)
    if not isinstance(memory_mb, int | float) or not 0 < memory_mb < math.inf:
        raise ConfigError(f"'limits': 'memory_mb' is {memory_mb!r}: expected a number above 0")
    return float(memory_mb)


def _read_seed(raw: JsonObject) -> int:
    """Read the seed, which is a number or a string of hexadecimal digits."""
    seed = raw.get("seed", 0)
    try:
        if isinstance(seed, str):
            return int(seed, HEXADECIMAL)
        if isinstance(seed, int | float):
            return int(seed)
    except (ValueError, OverflowError):  # a string that is not hexadecimal, NaN, or an infinite number
        pass
    raise ConfigError(f"'seed' is {seed!r}: expected a finite number or a string of hexadecimal digits")


def _find_inconsistencies(config: Config, raw_settings: JsonObject) -> tuple[str, ...]:
    """Return one line for each inconsistency of a usable configuration, for the operator."""
    return (
        *_corrected_settings(config.settings, raw_settings),
        *_gossip_inconsistencies(config),
        *_socket_shortage(config),
    )


def _corrected_settings(settings: Settings, raw_settings: JsonObject) -> list[str]:
    count = settings.gateway_count
    index = settings.gateway_index
    raw_count = raw_settings.get(GATEWAY_COUNT_KEY)
    raw_index = raw_settings.get(GATEWAY_INDEX_KEY)
    warnings = []
    if (raw_count or 0) != count and GATEWAY_COUNT_KEY in raw_settings:
        warnings.append(f"'settings': '{GATEWAY_COUNT_KEY}' is {raw_count}: taken as {count}")
    if (raw_index or 0) != index:
        warnings.append(
            f"'settings': '{GATEWAY_INDEX_KEY}' is {raw_index} with {count} gateways: taken as {index}"
        )
    return warnings


def _gossip_inconsistencies(config: Config) -> list[str]:
    gateway_count = config.settings.gateway_count
    if not config.settings.limits.gossip or gateway_count <= 1:
        return []
    missing = [key for key in GOSSIP_KEYS if not getattr(config, key)]
    if missing:
        return [
            f"gossip is enabled without {', '.join(missing)}: this gateway decides by its own measurements"
        ]
    if len(config.peers) != gateway_count:
        return [
            f"'peers' lists {len(config.peers)} of {gateway_count} gateways: gossip from others is rejected"
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
