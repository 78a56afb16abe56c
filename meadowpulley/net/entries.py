"""What discovery's lists say, in the interface's terms: entries, and the numbers that names stand for."""

from __future__ import annotations

import math
import zlib
from typing import Any

from meadowpulley.interface import ServerEntry, ServerState, Settings
from meadowpulley.net import names
from meadowpulley.net.config import Address, parse_address


class CallFailedError(Exception):
    """Discovery gave no list: out of reach, out of order, or not to be read."""


class OvertakenError(Exception):
    """The list may be older than one that was read before it."""


class Entries:
    """Turns discovery's entries into the interface's, and names into numbers."""

    def __init__(self, settings: Settings, clock_offset: float) -> None:
        self._zones = {name: n for n, name in enumerate(settings.zones)}
        self._kinds = {name: n for n, name in enumerate(settings.kinds)}
        self._offset = clock_offset  # from Unix time to the gateway's clock, set once
        self.numbers: dict[str, int] = {}
        self._given: set[int] = set()

    def number(self, name: str) -> int:
        """The same at every gateway: they tell each other of servers by it."""
        if name not in self.numbers:
            number = zlib.crc32(name.encode())
            while number in self._given:
                number += 1
            self.numbers[name] = number
            self._given.add(number)
        return self.numbers[name]

    def forget(self, gone: set[int]) -> None:
        self.numbers = {name: n for name, n in self.numbers.items() if n not in gone}
        self._given -= gone

    def _place(self, places: dict[str, int], name: Any) -> int:
        """Names that the settings do not list get the numbers after theirs."""
        return places.setdefault(str(name), len(places))

    def read(self, raw: Any) -> tuple[bool, int, list[tuple[ServerEntry, Address | None]]]:
        """Whether the list is whole, its version, and its entries with their addresses."""
        known = len(self.numbers)
        try:
            if raw[names.WHOLE] not in (True, False):
                raise ValueError(f"'{names.WHOLE}' is {raw[names.WHOLE]!r}")
            return raw[names.WHOLE], int(raw[names.VERSION]), [self._entry(e) for e in raw[names.ENTRIES]]
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
            self.forget(set(list(self.numbers.values())[known:]))  # names that nothing is told of
            raise CallFailedError(f"unreadable list: {type(error).__name__}: {error}") from None

    def _entry(self, raw: Any) -> tuple[ServerEntry, Address | None]:
        name, state = raw[names.NAME], names.STATES[raw[names.STATE]]
        if not isinstance(name, str) or not name:
            raise ValueError(f"'{names.NAME}' is {name!r}")
        gone = state is ServerState.REMOVED
        since, weight = float(raw.get(names.STARTED, 0)), float(raw.get(names.WEIGHT, 1.0))
        if not (math.isfinite(since) and math.isfinite(weight)):
            raise ValueError("a figure of an entry is no number")
        entry = ServerEntry(
            server=self.number(name),
            cell=int(raw.get(names.CELL, 0)),
            zone=self._place(self._zones, raw.get(names.ZONE, "")),
            state=state,
            build=int(raw.get(names.BUILD, 0)),
            started_ms=since - self._offset if since > 0 else 0.0,
            kind=self._place(self._kinds, raw.get(names.KIND, "")),
            weight=weight,
        )
        return entry, None if gone and names.ADDRESS not in raw else parse_address(raw[names.ADDRESS])
