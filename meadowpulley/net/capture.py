"""Captured load: what clients asked, noted as it comes and written aside. Off unless a file is named.

It never slows or fails a request: notes are bounded, files are written by a thread, and whatever finds no
room, on the way or on the disk, is dropped and counted. Keys are hashed with a salt of their own, so that a
capture holds no customer's data. The form is the one that `meadowpulley load` reads.
"""

from __future__ import annotations

import hashlib
import json
import os
import time
from collections.abc import Callable, Mapping
from typing import IO, Any

from meadowpulley.interface import Request, Settings

ENV_FILE, ENV_MAX_MB = "MEADOWPULLEY_CAPTURE", "MEADOWPULLEY_CAPTURE_MB"
MAX_PENDING_NOTES = 4096  # notes that wait for the thread, at most
FLUSH_INTERVAL_MS = 500.0
DEFAULT_MAX_MB = 64.0
HEADER_BYTES = 256  # bytes of the first line, which is written again at the end: it counts what was dropped

Note = tuple[float, int, int, float, int, float]  # at, class, key, work hint, bytes, patience


class Capture:
    """`run_aside(work, done)` runs work elsewhere and then calls `done(failed)` in the reactor's turn."""

    def __init__(
        self,
        path: str,
        settings: Settings,
        name: str,
        now: Callable[[], float],
        run_in_thread: Callable[[Callable[[], None], Callable[[bool], None]], None],
        max_mb: float = DEFAULT_MAX_MB,
    ) -> None:
        self._settings, self._now, self._run_in_thread = settings, now, run_in_thread
        self._name, self._started_at, self._started_unix_ms = name, now(), time.time() * 1000.0
        self._salt = os.urandom(16)
        self._max_bytes = int(max_mb * 1024 * 1024)
        self._site = settings.zones[settings.zone] if settings.zone < len(settings.zones) else ""
        self._pending: list[Note] = []
        self._file_bytes = HEADER_BYTES
        self._writing = self._failed = False
        self.written = self.dropped = 0
        self._file: IO[bytes] = open(path, "wb")  # noqa: SIM115 (closed at the gateway's end)
        self._file.write(self._header())

    def _header(self) -> bytes:
        header = {
            "format": "meadowpulley-load",
            "version": 1,
            "source": self._name[:80],
            "started": round(self._started_unix_ms),
            "dropped": self.dropped,
        }
        return json.dumps(header).encode().ljust(HEADER_BYTES - 1) + b"\n"

    def record(self, request: Request, arrived_at: float, body_bytes: int) -> None:
        """One request was taken; a client's retry belongs to its first try, which was noted."""
        if request.client_retry:
            return
        if self._failed or len(self._pending) >= MAX_PENDING_NOTES:
            self.dropped += 1
            return
        work_hint_ms = request.expected_work_ms or 0.0
        remaining_ms = max(request.deadline_ms - arrived_at, 0.0)
        self._pending.append(
            (
                max(arrived_at - self._started_at, 0.0),
                request.class_index,
                request.key,
                work_hint_ms,
                body_bytes,
                remaining_ms,
            )
        )

    def flush(self) -> None:
        """Hands what waits to the thread, one batch at a time: a slow disk holds up nothing but itself."""
        if self._writing or not self._pending:
            return
        batch, self._pending = self._pending, []
        self._writing = True
        self._run_in_thread(lambda: self._write_batch(batch), self._batch_done)

    def _batch_done(self, failed: bool) -> None:
        self._writing = False
        self._failed = self._failed or failed

    def _encode(self, note: Note) -> bytes:
        at, class_index, key, work_hint_ms, body_bytes, remaining_ms = note
        fields: dict[str, Any] = {"at_ms": round(at, 3), "cls": self._settings.classes[class_index].name}
        if self._site:
            fields["site"] = self._site
        if key:
            digest = hashlib.blake2b(key.to_bytes(8, "big"), digest_size=7, key=self._salt).digest()
            fields["key"] = int.from_bytes(digest, "big")
        if work_hint_ms:
            fields["work_ms"] = round(work_hint_ms, 3)
        if body_bytes:
            fields["bytes"] = body_bytes
        fields["patience_ms"] = round(remaining_ms, 3)
        return json.dumps(fields, separators=(",", ":")).encode() + b"\n"

    def _write_batch(self, batch: list[Note]) -> None:
        """In the thread: the lines of a batch, as many as there is room for."""
        for index, note in enumerate(batch):
            line = self._encode(note)
            if self._file_bytes + len(line) > self._max_bytes:
                self.dropped += len(batch) - index
                break
            try:
                self._file.write(line)
            except OSError:
                self.dropped += len(batch) - index
                raise
            self._file_bytes += len(line)
            self.written += 1
        self._file.flush()

    def close(self) -> None:
        """At the gateway's end: the rest, and the header with what was dropped."""
        batch, self._pending = self._pending, []
        try:
            if not self._failed and not self._writing:
                self._write_batch(batch)
            else:
                self.dropped += len(batch)
            self._file.seek(0)
            self._file.write(self._header())
            self._file.close()
        except OSError:
            self._failed = True


def open_capture(
    environ: Mapping[str, str],
    settings: Settings,
    name: str,
    now: Callable[[], float],
    run_in_thread: Callable[[Callable[[], None], Callable[[bool], None]], None],
) -> Capture | None:
    """None where no file is named. Raises OSError or ValueError where what is named can't be used."""
    path = environ.get(ENV_FILE)
    if not path:
        return None
    max_mb = float(environ.get(ENV_MAX_MB) or DEFAULT_MAX_MB)
    if not 0 < max_mb <= 1e6:
        raise ValueError(f"{ENV_MAX_MB}: {max_mb:g} is no size; give megabytes above 0")
    return Capture(path, settings, name, now, run_in_thread, max_mb)
