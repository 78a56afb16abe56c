"""Bounded ring buffer; every connection has one buffer per direction. mypyc compiles this module."""

from __future__ import annotations

from meadowpulley.net.errors import NetError

# Capacity of a buffer in bytes after its first write. An emptied buffer shrinks to this capacity, so that
# idle connections use little memory.
INITIAL_BYTES = 2048
# A full buffer grows by a quarter of its capacity, or to what is needed, in steps of this many bytes.
GROWTH_STEP_BYTES = 4096
GROWTH_DIVISOR = 4


class RingBufferFullError(NetError):
    """A write would exceed the maximum size of the buffer."""


class RingBuffer:
    """First-in, first-out byte buffer whose capacity grows up to `max_bytes`."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self._start = 0  # index of the first byte in `_bytes`
        self._size = 0
        self._bytes = bytearray()

    @property
    def capacity(self) -> int:
        """Number of bytes that the buffer has allocated: 0 before its first write."""
        return len(self._bytes)

    def __len__(self) -> int:
        """Return the number of bytes in the buffer."""
        return self._size

    @property
    def free_bytes(self) -> int:
        """Number of bytes that can still be written."""
        return self.max_bytes - self._size

    def write(self, data: bytes) -> None:
        """Append bytes. If they don't fit, raise RingBufferFullError and leave the buffer unchanged."""
        if not data:
            return
        size = self._size + len(data)
        if size > self.max_bytes:
            raise RingBufferFullError(f"the buffer holds at most {self.max_bytes} bytes, not {size}")
        if size > len(self._bytes):
            self._grow(size)
        capacity = len(self._bytes)
        offset = (self._start + self._size) % capacity
        contiguous_bytes = capacity - offset
        if len(data) <= contiguous_bytes:
            self._bytes[offset : offset + len(data)] = data
        else:
            self._bytes[offset:] = data[:contiguous_bytes]
            self._bytes[: len(data) - contiguous_bytes] = data[contiguous_bytes:]
        self._size = size

    def _grow(self, min_capacity: int) -> None:
        """Increase the capacity to at least `min_capacity`, up to `max_bytes`."""
        capacity = INITIAL_BYTES
        if min_capacity > INITIAL_BYTES:
            wanted = max(min_capacity, len(self._bytes) + len(self._bytes) // GROWTH_DIVISOR)
            capacity = -(-wanted // GROWTH_STEP_BYTES) * GROWTH_STEP_BYTES
        grown = bytearray(min(capacity, self.max_bytes))
        grown[: self._size] = self.peek(self._size)
        self._bytes = grown
        self._start = 0

    def peek(self, size: int, skip: int = 0) -> bytes:
        """Return up to `size` bytes after the first `skip` bytes, without removing them."""
        size = max(min(size, self._size - skip), 0)
        if not size:
            return b""
        capacity = len(self._bytes)
        offset = (self._start + skip) % capacity
        if offset + size <= capacity:
            return bytes(self._bytes[offset : offset + size])
        return bytes(self._bytes[offset:]) + bytes(self._bytes[: offset + size - capacity])

    def find(self, needle: bytes, skip: int = 0) -> int:
        """Return the first position of `needle` at or after `skip`, or -1 if it is not found.

        The search stops at the first match. Otherwise, each of many short lines that arrive together would
        require a search through all remaining bytes.
        """
        capacity = len(self._bytes)
        end = self._start + self._size
        index = self._bytes.find(needle, self._start + skip, min(end, capacity))
        if index >= 0 or end <= capacity:
            return index - self._start if index >= 0 else -1
        bytes_before_wrap = capacity - self._start
        overlap_start = max(skip, bytes_before_wrap - len(needle) + 1)
        if overlap_start < bytes_before_wrap:
            index = self.peek(bytes_before_wrap + len(needle) - 1 - overlap_start, overlap_start).find(needle)
            if index >= 0:
                return index + overlap_start
        index = self._bytes.find(needle, max(skip - bytes_before_wrap, 0), end - capacity)
        return index + bytes_before_wrap if index >= 0 else -1

    def take(self, size: int) -> bytes:
        """Remove and return up to `size` bytes."""
        data = self.peek(size)
        if not data:
            return data
        self._size -= len(data)
        self._start = (self._start + len(data)) % len(self._bytes)
        if not self._size:
            self._start = 0
            if len(self._bytes) > INITIAL_BYTES:
                self._bytes = bytearray(min(INITIAL_BYTES, self.max_bytes))
        return data

    def clear(self) -> None:
        """Remove all bytes."""
        self.take(self._size)
