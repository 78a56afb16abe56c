"""Fixed-size tables whose entries are addressed by handles.

A handle combines the index of a slot with the slot's generation, which counts how often the slot has been
used. The handle of a removed item is stale: it finds no item, not even one that uses the same slot later.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, TypeVar

from meadowpulley.net.errors import NetError

Item = TypeVar("Item")


class SlotsFullError(NetError):
    """The table has no free slot."""


class SlotTable(Generic[Item]):
    """A table of at most `size` items, each addressed by the handle that `put` returned for it."""

    def __init__(self, size: int) -> None:
        self.size = size
        self._items: list[Item | None] = [None] * size
        self._generations = [0] * size
        self._free = list(range(size - 1, -1, -1))

    def __len__(self) -> int:
        """Return the number of items in the table."""
        return self.size - len(self._free)

    def __iter__(self) -> Iterator[Item]:
        """Iterate over a copy of the items, so that the table may change during the iteration."""
        return iter([item for item in self._items if item is not None])

    @property
    def full(self) -> bool:
        """Whether no slot is free."""
        return not self._free

    def put(self, item: Item) -> int:
        """Store an item and return its handle.

        Raises:
            SlotsFullError: no slot is free.
        """
        if not self._free:
            raise SlotsFullError(f"all {self.size} slots are in use: free one, or make the table larger")
        slot = self._free.pop()
        self._items[slot] = item
        self._generations[slot] += 1
        return self._generations[slot] * self.size + slot

    def get(self, handle: int) -> Item | None:
        """Return the item with this handle, or None if the handle is stale."""
        generation, slot = divmod(handle, self.size)
        return self._items[slot] if self._generations[slot] == generation else None

    def free(self, handle: int) -> Item | None:
        """Remove and return the item with this handle, or return None if the handle is stale."""
        item = self.get(handle)
        if item is not None:
            slot = handle % self.size
            self._items[slot] = None
            self._free.append(slot)
        return item
