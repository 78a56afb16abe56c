"""What discovery's lists say, in the interface's terms: entries, and the numbers that names stand for."""

from __future__ import annotations

import math
import zlib
from typing import Any

from meadowpulley.interface import ServerEntry, ServerState, Settings
from meadowpulley.net import protocol
from meadowpulley.net.config import Address, parse_address


class DiscoveryError(Exception):
    """Discovery gave no list: out of reach, out of order, or not to be read."""


class StaleListError(Exception):
    """The list may be older than one that was read before it."""


class EndpointListDecoder:
    """Turns discovery's entries into the interface's, and names into numbers."""

    def __init__(self, settings: Settings, clock_offset_ms: float) -> None:
        self._zone_indexes = {name: n for n, name in enumerate(settings.zones)}
        self._kind_indexes = {name: n for n, name in enumerate(settings.kinds)}
        self._clock_offset_ms = clock_offset_ms  # from Unix time to the gateway's clock, set once
        self.server_ids: dict[str, int] = {}
        self._assigned_ids: set[int] = set()

    def server_id(self, name: str) -> int:
        """The same at every gateway: they tell each other of servers by it."""
        if name not in self.server_ids:
            server_id = zlib.crc32(name.encode())
            while server_id in self._assigned_ids:
                server_id += 1
            self.server_ids[name] = server_id
            self._assigned_ids.add(server_id)
        return self.server_ids[name]

    def remove(self, removed_ids: set[int]) -> None:
        self.server_ids = {name: n for name, n in self.server_ids.items() if n not in removed_ids}
        self._assigned_ids -= removed_ids

    def _index_of(self, indexes: dict[str, int], name: Any) -> int:
        """Names that the settings do not list get the numbers after theirs."""
        return indexes.setdefault(str(name), len(indexes))

    def decode(self, raw: Any) -> tuple[bool, int, list[tuple[ServerEntry, Address | None]]]:
        """Whether the list is whole, its version, and its entries with their addresses."""
        known_count = len(self.server_ids)
        try:
            if raw[protocol.LIST_IS_SNAPSHOT] not in (True, False):
                raise ValueError(f"'{protocol.LIST_IS_SNAPSHOT}' is {raw[protocol.LIST_IS_SNAPSHOT]!r}")
            return (
                raw[protocol.LIST_IS_SNAPSHOT],
                int(raw[protocol.LIST_VERSION]),
                [self._decode_entry(e) for e in raw[protocol.LIST_ENDPOINTS]],
            )
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
            self.remove(set(list(self.server_ids.values())[known_count:]))  # names that nothing is told of
            raise DiscoveryError(f"unreadable list: {type(error).__name__}: {error}") from None

    def _decode_entry(self, raw: Any) -> tuple[ServerEntry, Address | None]:
        name, state = raw[protocol.ENDPOINT_NAME], protocol.ENDPOINT_STATES[raw[protocol.ENDPOINT_STATE]]
        if not isinstance(name, str) or not name:
            raise ValueError(f"'{protocol.ENDPOINT_NAME}' is {name!r}")
        is_gone = state is ServerState.REMOVED
        started_unix_ms, weight = (
            float(raw.get(protocol.ENDPOINT_STARTED, 0)),
            float(raw.get(protocol.ENDPOINT_WEIGHT, 1.0)),
        )
        if not (math.isfinite(started_unix_ms) and math.isfinite(weight)):
            raise ValueError("a figure of an entry is no number")
        entry = ServerEntry(
            server=self.server_id(name),
            cell=int(raw.get(protocol.ENDPOINT_CELL, 0)),
            zone=self._index_of(self._zone_indexes, raw.get(protocol.ENDPOINT_ZONE, "")),
            state=state,
            build=int(raw.get(protocol.ENDPOINT_BUILD, 0)),
            started_ms=started_unix_ms - self._clock_offset_ms if started_unix_ms > 0 else 0.0,
            kind=self._index_of(self._kind_indexes, raw.get(protocol.ENDPOINT_KIND, "")),
            weight=weight,
        )
        return entry, None if is_gone and protocol.ENDPOINT_ADDRESS not in raw else parse_address(
            raw[protocol.ENDPOINT_ADDRESS]
        )
