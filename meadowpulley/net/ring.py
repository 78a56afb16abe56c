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
        """Where `needle` begins, after the first `skip` bytes; -1 where it is not. What lies behind it is not
        looked at: many short lines that came at once would each cost the whole of the rest."""
        capacity, end = len(self._bytes), self._start + self._size
        at = self._bytes.find(needle, self._start + skip, min(end, capacity))
        if at >= 0 or end <= capacity:
            return at - self._start if at >= 0 else -1
        first = capacity - self._start  # bytes before the seam
        near = max(skip, first - len(needle) + 1)
        if near < first:
            at = self.peek(first + len(needle) - 1 - near, near).find(needle)
            if at >= 0:
                return at + near
        at = self._bytes.find(needle, max(skip - first, 0), end - capacity)
        return at + first if at >= 0 else -1

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
