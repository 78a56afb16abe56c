"""Decoding of discovery's endpoint lists into the policy's types, without I/O."""

from __future__ import annotations

import math
import zlib
from collections.abc import Set
from dataclasses import dataclass

from meadowpulley.interface import ServerEntry, ServerState, Settings
from meadowpulley.net import protocol
from meadowpulley.net.config import Address, parse_address
from meadowpulley.net.errors import NetError
from meadowpulley.net.json_fields import FIELD_ERRORS, FieldError, JsonObject, require_object


class DiscoveryError(NetError):
    """Discovery returned no usable list: it is unreachable or failed, or its response is malformed."""


class StaleListError(NetError):
    """A list may be older than one that was already applied."""


@dataclass(frozen=True, slots=True)
class ServerIncarnation:
    """Distinguishes a server from an earlier one at the same address."""

    build: int
    started_ms: float  # time on the gateway's clock in milliseconds


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An instance as described by discovery; a removed instance may have no address."""

    entry: ServerEntry
    address: Address | None

    @property
    def is_removed(self) -> bool:
        """Whether discovery lists the instance as removed."""
        return self.entry.state is ServerState.REMOVED

    @property
    def incarnation(self) -> ServerIncarnation:
        """The incarnation of the server that this entry describes."""
        return ServerIncarnation(self.entry.build, self.entry.started_ms)


@dataclass(frozen=True, slots=True)
class EndpointList:
    """A decoded list: a snapshot of all endpoints, or those that changed since another version.

    The other version may be higher than `version` after a restart of discovery. The list holds at most one
    endpoint for each instance.
    """

    is_snapshot: bool
    version: int
    endpoints: tuple[Endpoint, ...]

    @property
    def removed_ids(self) -> set[int]:
        """The numbers of the instances that the list marks as removed."""
        return {endpoint.entry.server for endpoint in self.endpoints if endpoint.is_removed}

    @property
    def present_ids(self) -> set[int]:
        """The numbers of the instances that the list marks as ready or draining."""
        return {endpoint.entry.server for endpoint in self.endpoints if not endpoint.is_removed}


class EndpointListDecoder:
    """Decodes lists, and keeps the numbers assigned to instances, zones and machine kinds.

    `clock_offset_ms` is Unix time minus the time on the gateway's clock, in milliseconds.
    """

    def __init__(self, settings: Settings, clock_offset_ms: float) -> None:
        self._zone_indexes = {name: index for index, name in enumerate(settings.zones)}
        self._kind_indexes = {name: index for index, name in enumerate(settings.kinds)}
        self._clock_offset_ms = clock_offset_ms
        self.server_ids: dict[str, int] = {}
        self._assigned_ids: set[int] = set()

    def server_id(self, name: str) -> int:
        """Return an instance's number, equal at all gateways because gossip identifies servers by it."""
        if name not in self.server_ids:
            server_id = zlib.crc32(name.encode())
            while server_id in self._assigned_ids:
                server_id += 1
            self.server_ids[name] = server_id
            self._assigned_ids.add(server_id)
        return self.server_ids[name]

    def remove(self, removed_ids: Set[int]) -> None:
        """Release the numbers of removed instances."""
        self.server_ids = {
            name: server_id for name, server_id in self.server_ids.items() if server_id not in removed_ids
        }
        self._assigned_ids -= removed_ids

    def decode(self, raw: object) -> EndpointList:
        """Decode a list; of several entries with the same name, the last one counts.

        Raises:
            DiscoveryError: the list is malformed. Numbers assigned to its new names are released.
        """
        known_count = len(self.server_ids)
        try:
            return self._decode_list(require_object(raw, "the endpoint list"))
        except FIELD_ERRORS as error:
            new_ids = list(self.server_ids.values())[known_count:]
            self.remove(set(new_ids))
            raise DiscoveryError(f"malformed endpoint list: {type(error).__name__}: {error}") from None

    def _decode_list(self, raw: JsonObject) -> EndpointList:
        is_snapshot = raw[protocol.LIST_IS_SNAPSHOT]
        if is_snapshot not in (True, False):
            raise FieldError(f"'{protocol.LIST_IS_SNAPSHOT}' is {is_snapshot!r}: expected true or false")
        version = int(raw[protocol.LIST_VERSION])
        endpoints = [self._decode_endpoint(entry) for entry in raw[protocol.LIST_ENDPOINTS]]
        last_by_server = {endpoint.entry.server: endpoint for endpoint in endpoints}
        return EndpointList(is_snapshot, version, tuple(last_by_server.values()))

    def _decode_endpoint(self, raw_entry: object) -> Endpoint:
        raw = require_object(raw_entry, f"an entry of '{protocol.LIST_ENDPOINTS}'")
        entry = self._decode_entry(raw)
        if entry.state is ServerState.REMOVED and protocol.ENDPOINT_ADDRESS not in raw:
            return Endpoint(entry, None)
        return Endpoint(entry, parse_address(raw[protocol.ENDPOINT_ADDRESS]))

    def _decode_entry(self, raw: JsonObject) -> ServerEntry:
        name = raw[protocol.ENDPOINT_NAME]
        state = protocol.ENDPOINT_STATES[raw[protocol.ENDPOINT_STATE]]
        if not isinstance(name, str) or not name:
            raise FieldError(f"'{protocol.ENDPOINT_NAME}' is {name!r}: expected a non-empty string")
        started_unix_ms = _finite_number(raw, protocol.ENDPOINT_STARTED, 0.0)
        weight = _finite_number(raw, protocol.ENDPOINT_WEIGHT, 1.0)
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


def _finite_number(raw: JsonObject, field: str, default: float) -> float:
    value = float(raw.get(field, default))
    if not math.isfinite(value):
        raise FieldError(f"'{field}' is {value}: expected a finite number")
    return value


def _index_of(name: object, indexes: dict[str, int]) -> int:
    """Return a name's index; a name that the settings do not list gets the next free index."""
    return indexes.setdefault(str(name), len(indexes))
