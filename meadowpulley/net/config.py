"""What the gateway is told at its start, read and checked in full before anything else happens."""

from __future__ import annotations

import json
import os
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

from meadowpulley.interface import Settings
from meadowpulley.net import names
from meadowpulley.settings import SettingsError, read_settings

LEAST_SOCKETS = 128
Address = tuple[str, int]


class ConfigError(Exception):
    """The configuration can't be used; the text says why in one line."""


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    listen: Address
    discovery: Address
    platform: Address | None
    seed: int
    sockets: int
    settings: Settings
    news: Any = None
    known: Any = None
    peer_listen: Address | None = None
    peers: tuple[Address, ...] = ()
    peers_all: Address | None = None
    doubts: tuple[str, ...] = ()  # what can't be so in such a fleet, and what is done instead: a line each


def parse_address(text: Any) -> Address:
    """An IPv4 address with a port. Names are not looked up: there is no DNS where the gateway runs."""
    if isinstance(text, str):
        host, colon, port = text.rpartition(":")
        parts = host.split(".")
        numbers = [int(p) for p in parts if p.isascii() and p.isdigit() and len(p) <= 3]
        numeric = colon and len(parts) == len(numbers) == 4 and max(numbers) < 256
        if numeric and port.isascii() and port.isdigit() and 0 < int(port) < 65536:
            return host, int(port)
    raise ValueError(f"{text!r} is no address with a port")


def _address(raw: Mapping[str, Any], key: str, needed: bool = True) -> Address | None:
    if raw.get(key) is None and not needed:
        return None
    try:
        return parse_address(raw.get(key))
    except ValueError as error:
        raise ConfigError(f"'{key}': {error}") from None


def _object(raw: Mapping[str, Any], key: str) -> Mapping[str, Any]:
    value = raw.get(key, {})
    if not isinstance(value, dict):
        raise ConfigError(f"'{key}' is no object")
    return value


def _seed(raw: Mapping[str, Any]) -> int:
    seed = raw.get("seed", 0)
    try:
        return int(seed, 16) if isinstance(seed, str) else int(seed)
    except (ValueError, TypeError, OverflowError):
        raise ConfigError(f"'seed': {seed!r} is no number") from None


def reread_config(environ: Mapping[str, str] = os.environ) -> Config:
    """At a reload the file says where discovery is: the environment holds what was true at the start."""
    return read_config({key: value for key, value in environ.items() if key != names.ENV_DISCOVERY})


def read_config(environ: Mapping[str, str] = os.environ) -> Config:
    path = environ.get(names.ENV_CONFIG)
    if not path:
        raise ConfigError(f"{names.ENV_CONFIG} is not set")
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
        return _config(raw, environ)
    except (ConfigError, SettingsError) as error:
        raise ConfigError(f"{path}: {error}") from None


def _doubts(c: Config, told: Mapping[str, Any]) -> tuple[str, ...]:
    """What the operator should know of a configuration that can be used all the same."""
    s, found = c.settings, list[str]()
    if (told.get("balancers") or 0) != s.gateway_count and "balancers" in told:
        found.append(f"'settings': 'balancers' is {told['balancers']}: taken as {s.gateway_count}")
    if (told.get("me") or 0) != s.gateway_index:
        found.append(
            f"'settings': 'me' is {told['me']} with {s.gateway_count} gateways: taken as {s.gateway_index}"
        )
    if s.limits.gossip and s.gateway_count > 1:
        if c.peer_listen is None or c.peers_all is None or not c.peers:
            missing = [k for k in ("peer_listen", "peers", "peers_all") if not getattr(c, k)]
            found.append(f"gateways may tell each other, but without {', '.join(missing)}: this one is alone")
        elif len(c.peers) != s.gateway_count:
            found.append(
                f"'peers' are {len(c.peers)} of {s.gateway_count} gateways: others are strangers here"
            )
    known = c.known.get(names.ENTRIES) if isinstance(c.known, dict) else None
    if isinstance(known, list) and c.sockets < len(known):
        found.append(f"'limits': {c.sockets} 'sockets' for {len(known)} instances: idle ones close")
    return tuple(found)


def _config(raw: dict[str, Any], environ: Mapping[str, str]) -> Config:
    told = (("name", names.ENV_NAME), ("listen", names.ENV_LISTEN), ("discovery", names.ENV_DISCOVERY))
    raw = {**raw, **{key: environ[variable] for key, variable in told if environ.get(variable)}}
    limits, platform = _object(raw, "limits"), _object(raw, "platform")
    sockets = limits.get("sockets", 1024)
    if not isinstance(sockets, int) or sockets < LEAST_SOCKETS:
        raise ConfigError(f"'limits': 'sockets' is {sockets!r}, at least {LEAST_SOCKETS} are needed")
    peers = raw.get("peers") or []
    if not isinstance(peers, list):
        raise ConfigError("'peers' is no list")
    listen, discovery = _address(raw, "listen"), _address(raw, "discovery")
    assert listen is not None and discovery is not None
    settings = read_settings(raw.get("settings"), "config")
    if not settings.classes:
        raise ConfigError("'settings' name no classes")
    config = Config(
        name=str(raw.get("name", "")),
        listen=listen,
        discovery=discovery,
        platform=_address(platform, "address", needed=False),
        seed=_seed(raw),
        sockets=sockets,
        settings=settings,
        news=platform.get("news"),
        known=raw.get("known"),
        peer_listen=_address(raw, "peer_listen", needed=False),
        peers=tuple(address for peer in peers if (address := _address({"peers": peer}, "peers"))),
        peers_all=_address(raw, "peers_all", needed=False),
    )
    return replace(config, doubts=_doubts(config, _object(raw, "settings")))
