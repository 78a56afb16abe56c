"""Numbered slots: connections and requests live in tables of a fixed size, and are known by handles.

A handle names a slot and how often it has been used before, so one that is kept too long finds nothing
rather than the slot's next tenant.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, TypeVar

T = TypeVar("T")


class SlotsFullError(Exception):
    """Every slot of the table is taken."""


class SlotTable(Generic[T]):
    def __init__(self, size: int) -> None:
        self.size = size
        self._items: list[T | None] = [None] * size
        self._generations = [0] * size
        self._free = list(range(size - 1, -1, -1))

    def __len__(self) -> int:
        return self.size - len(self._free)

    def __iter__(self) -> Iterator[T]:
        return iter([item for item in self._items if item is not None])

    @property
    def full(self) -> bool:
        return not self._free

    def put(self, item: T) -> int:
        if not self._free:
            raise SlotsFullError(f"all {self.size} slots are taken")
        slot = self._free.pop()
        self._items[slot] = item
        self._generations[slot] += 1
        return self._generations[slot] * self.size + slot

    def get(self, handle: int) -> T | None:
        generation, slot = divmod(handle, self.size)
        return self._items[slot] if self._generations[slot] == generation else None

    def free(self, handle: int) -> T | None:
        """Empties the slot; a handle that no longer holds one frees nothing."""
        item = self.get(handle)
        if item is not None:
            slot = handle % self.size
            self._items[slot] = None
            self._free.append(slot)
        return item
