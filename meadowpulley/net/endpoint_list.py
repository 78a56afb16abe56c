"""Decoding of discovery's endpoint lists into the policy's terms. No I/O here."""

from __future__ import annotations

import math
import zlib
from collections.abc import Set
from dataclasses import dataclass
from typing import Any

from meadowpulley.interface import ServerEntry, ServerState, Settings
from meadowpulley.net import protocol
from meadowpulley.net.config import Address, parse_address


class DiscoveryError(Exception):
    """Discovery gave no list: it is out of reach or failed, or its answer cannot be read."""


class StaleListError(Exception):
    """A list may be older than one that was applied before it."""


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An instance as discovery describes it; a removed one may have no address."""

    entry: ServerEntry
    address: Address | None

    @property
    def is_removed(self) -> bool:
        """Whether discovery says that the instance is gone."""
        return self.entry.state is ServerState.REMOVED


@dataclass(frozen=True, slots=True)
class EndpointList:
    """A decoded list: all endpoints of a version if it is a snapshot, else those that changed since another.

    No two endpoints are of the same instance.
    """

    is_snapshot: bool
    version: int
    endpoints: tuple[Endpoint, ...]

    @property
    def removed_ids(self) -> set[int]:
        """The numbers of the instances that the list names as gone."""
        return {endpoint.entry.server for endpoint in self.endpoints if endpoint.is_removed}

    @property
    def present_ids(self) -> set[int]:
        """The numbers of the instances that the list names as ready or draining."""
        return {endpoint.entry.server for endpoint in self.endpoints if not endpoint.is_removed}


class EndpointListDecoder:
    """Decodes lists, and keeps which number stands for which instance, zone and kind of machine.

    `clock_offset_ms` is what Unix time is ahead of the gateway's clock.
    """

    def __init__(self, settings: Settings, clock_offset_ms: float) -> None:
        self._zone_indexes = {name: index for index, name in enumerate(settings.zones)}
        self._kind_indexes = {name: index for index, name in enumerate(settings.kinds)}
        self._clock_offset_ms = clock_offset_ms
        self.server_ids: dict[str, int] = {}
        self._assigned_ids: set[int] = set()

    def server_id(self, name: str) -> int:
        """Return an instance's number: the same at every gateway, since they gossip about servers by it."""
        if name not in self.server_ids:
            server_id = zlib.crc32(name.encode())
            while server_id in self._assigned_ids:
                server_id += 1
            self.server_ids[name] = server_id
            self._assigned_ids.add(server_id)
        return self.server_ids[name]

    def remove(self, removed_ids: Set[int]) -> None:
        """Forget instances by their numbers."""
        self.server_ids = {name: n for name, n in self.server_ids.items() if n not in removed_ids}
        self._assigned_ids -= removed_ids

    def decode(self, raw: Any) -> EndpointList:
        """Decode a list; of several entries with one name the last counts.

        Raises DiscoveryError, and then keeps no number for a name that only this list holds.
        """
        known_count = len(self.server_ids)
        try:
            is_snapshot = raw[protocol.LIST_IS_SNAPSHOT]
            if is_snapshot not in (True, False):
                raise ValueError(f"'{protocol.LIST_IS_SNAPSHOT}' is {is_snapshot!r}")
            version = int(raw[protocol.LIST_VERSION])
            endpoints = [self._decode_endpoint(entry) for entry in raw[protocol.LIST_ENDPOINTS]]
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
            self.remove(set(list(self.server_ids.values())[known_count:]))
            raise DiscoveryError(f"malformed list: {type(error).__name__}: {error}") from None
        last_by_server = {endpoint.entry.server: endpoint for endpoint in endpoints}
        return EndpointList(is_snapshot, version, tuple(last_by_server.values()))

    def _decode_endpoint(self, raw: Any) -> Endpoint:
        entry = self._decode_entry(raw)
        if entry.state is ServerState.REMOVED and protocol.ENDPOINT_ADDRESS not in raw:
            return Endpoint(entry, None)
        return Endpoint(entry, parse_address(raw[protocol.ENDPOINT_ADDRESS]))

    def _decode_entry(self, raw: Any) -> ServerEntry:
        name, state = raw[protocol.ENDPOINT_NAME], protocol.ENDPOINT_STATES[raw[protocol.ENDPOINT_STATE]]
        if not isinstance(name, str) or not name:
            raise ValueError(f"'{protocol.ENDPOINT_NAME}' is {name!r}")
        started_unix_ms = float(raw.get(protocol.ENDPOINT_STARTED, 0))
        weight = float(raw.get(protocol.ENDPOINT_WEIGHT, 1.0))
        if not (math.isfinite(started_unix_ms) and math.isfinite(weight)):
            raise ValueError("a number of an entry is not finite")
        return ServerEntry(
            server=self.server_id(name),
            cell=int(raw.get(protocol.ENDPOINT_CELL, 0)),
            zone=_index_of(raw.get(protocol.ENDPOINT_ZONE, ""), self._zone_indexes),
            state=state,
            build=int(raw.get(protocol.ENDPOINT_BUILD, 0)),
            started_ms=started_unix_ms - self._clock_offset_ms if started_unix_ms > 0 else 0.0,
            kind=_index_of(raw.get(protocol.ENDPOINT_KIND, ""), self._kind_indexes),
            weight=weight,
            started_unix_ms=started_unix_ms,
        )


def _index_of(name: object, indexes: dict[str, int]) -> int:
    """Return a name's index; names that the settings do not list get the ones after theirs."""
    return indexes.setdefault(str(name), len(indexes))
