"""Ids of requests that an instance may have executed, so that no request with the same id is forwarded again.

The ids are lost with the process. When the table is full, the oldest id makes room for the newest.
"""

from __future__ import annotations

from collections import deque


class ExecutedIds:
    """Remembers ids for `retention_ms` milliseconds, at most `max_ids` of them.

    Only a hash of each id is stored, so that the length of ids costs no memory.
    """

    def __init__(self, max_ids: int, retention_ms: float) -> None:
        self.max_ids = max_ids
        self.retention_ms = retention_ms
        self._hashes: set[int] = set()
        self._by_age: deque[tuple[float, int]] = deque()  # time of expiry in ms and hash, the oldest first

    def __len__(self) -> int:
        """Return the number of stored ids, including those that have expired since the last `add`."""
        return len(self._by_age)

    def contains(self, request_id: str, now: float) -> bool:
        """Return whether the id was added in the last `retention_ms` milliseconds and is still stored."""
        self._remove_expired(now)
        return hash(request_id) in self._hashes

    def add(self, request_id: str, now: float) -> bool:
        """Store an id. Return False if another id that had not expired was removed for it."""
        self._remove_expired(now)
        id_hash = hash(request_id)
        if id_hash in self._hashes:
            return True
        had_room = len(self._by_age) < self.max_ids
        if not had_room:
            self._remove_oldest()
        self._hashes.add(id_hash)
        self._by_age.append((now + self.retention_ms, id_hash))
        return had_room

    def _remove_expired(self, now: float) -> None:
        while self._by_age and self._by_age[0][0] <= now:
            self._remove_oldest()

    def _remove_oldest(self) -> None:
        self._hashes.discard(self._by_age.popleft()[1])
