"""A bounded ring buffer: every connection has one for each direction."""

from __future__ import annotations

START = 2048  # bytes a ring holds at first, and again once it is empty: an idle connection costs little


class RingFullError(Exception):
    """More bytes came than the ring may ever hold."""


class Ring:
    def __init__(self, bound: int) -> None:
        self.bound = bound
        self._start, self._size = 0, 0
        self._bytes = bytearray(min(START, bound))

    def __len__(self) -> int:
        return self._size

    @property
    def room(self) -> int:
        return self.bound - self._size

    def write(self, data: bytes) -> None:
        size = self._size + len(data)
        if size > self.bound:
            raise RingFullError(f"{size} bytes, at most {self.bound} fit")
        capacity = len(self._bytes)
        if size > capacity:
            grown = bytearray(min(max(2 * capacity, size), self.bound))
            grown[: self._size] = self.peek(self._size)
            self._bytes, self._start, capacity = grown, 0, len(grown)
        at = (self._start + self._size) % capacity
        first = capacity - at
        if len(data) <= first:
            self._bytes[at : at + len(data)] = data
        else:
            self._bytes[at:] = data[:first]
            self._bytes[: len(data) - first] = data[first:]
        self._size = size

    def peek(self, size: int, skip: int = 0) -> bytes:
        """Up to `size` bytes after the first `skip`, left where they are."""
        size = max(min(size, self._size - skip), 0)
        capacity = len(self._bytes)
        at = (self._start + skip) % capacity
        if at + size <= capacity:
            return bytes(self._bytes[at : at + size])
        return bytes(self._bytes[at:]) + bytes(self._bytes[: at + size - capacity])

    def find(self, needle: bytes, skip: int = 0) -> int:
        found = self.peek(self._size, skip).find(needle)
        return found + skip if found >= 0 else -1

    def take(self, size: int) -> bytes:
        data = self.peek(size)
        self._size -= len(data)
        self._start = (self._start + len(data)) % len(self._bytes)
        if not self._size:
            self._start = 0
            if len(self._bytes) > START:
                self._bytes = bytearray(min(START, self.bound))
        return data

    def clear(self) -> None:
        self.take(self._size)
