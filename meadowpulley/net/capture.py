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

ENV_FILE, ENV_MB = "MEADOWPULLEY_CAPTURE", "MEADOWPULLEY_CAPTURE_MB"
PENDING = 4096  # notes that wait for the thread, at most
FLUSH_MS = 500.0
USUAL_MB = 64.0
HEAD = 256  # bytes of the first line, which is written again at the end: it counts what was dropped

Note = tuple[float, int, int, float, int, float]  # at, class, key, work hint, bytes, patience


class Capture:
    """`run_aside(work, done)` runs work elsewhere and then calls `done(failed)` in the reactor's turn."""

    def __init__(
        self,
        path: str,
        settings: Settings,
        name: str,
        now: Callable[[], float],
        run_aside: Callable[[Callable[[], None], Callable[[bool], None]], None],
        most_mb: float = USUAL_MB,
    ) -> None:
        self._settings, self._now, self._run_aside = settings, now, run_aside
        self._name, self._began, self._unix = name, now(), time.time() * 1000.0
        self._salt = os.urandom(16)
        self._most = int(most_mb * 1024 * 1024)
        self._site = settings.zones[settings.zone] if settings.zone < len(settings.zones) else ""
        self._pending: list[Note] = []
        self._size = HEAD
        self._writing = self._broken = False
        self.written = self.dropped = 0
        self._file: IO[bytes] = open(path, "wb")  # noqa: SIM115 (closed at the gateway's end)
        self._file.write(self._header())

    def _header(self) -> bytes:
        head = {
            "format": "meadowpulley-load",
            "version": 1,
            "source": self._name[:80],
            "started": round(self._unix),
            "dropped": self.dropped,
        }
        return json.dumps(head).encode().ljust(HEAD - 1) + b"\n"

    def note(self, request: Request, at: float, size: int) -> None:
        """One request was taken; a client's retry belongs to its first try, which was noted."""
        if request.client_retry:
            return
        if self._broken or len(self._pending) >= PENDING:
            self.dropped += 1
            return
        hint = request.expected_work_ms or 0.0
        patience = max(request.deadline_ms - at, 0.0)
        self._pending.append(
            (max(at - self._began, 0.0), request.class_index, request.key, hint, size, patience)
        )

    def flush(self) -> None:
        """Hands what waits to the thread, one batch at a time: a slow disk holds up nothing but itself."""
        if self._writing or not self._pending:
            return
        batch, self._pending = self._pending, []
        self._writing = True
        self._run_aside(lambda: self._write(batch), self._written)

    def _written(self, failed: bool) -> None:
        self._writing = False
        self._broken = self._broken or failed

    def _line(self, note: Note) -> bytes:
        at, cls, key, hint, size, patience = note
        line: dict[str, Any] = {"at_ms": round(at, 3), "cls": self._settings.classes[cls].name}
        if self._site:
            line["site"] = self._site
        if key:
            digest = hashlib.blake2b(key.to_bytes(8, "big"), digest_size=7, key=self._salt).digest()
            line["key"] = int.from_bytes(digest, "big")
        if hint:
            line["work_ms"] = round(hint, 3)
        if size:
            line["bytes"] = size
        line["patience_ms"] = round(patience, 3)
        return json.dumps(line, separators=(",", ":")).encode() + b"\n"

    def _write(self, batch: list[Note]) -> None:
        """In the thread: the lines of a batch, as many as there is room for."""
        for n, note in enumerate(batch):
            line = self._line(note)
            if self._size + len(line) > self._most:
                self.dropped += len(batch) - n
                break
            try:
                self._file.write(line)
            except OSError:
                self.dropped += len(batch) - n
                raise
            self._size += len(line)
            self.written += 1
        self._file.flush()

    def close(self) -> None:
        """At the gateway's end: the rest, and the header with what was dropped."""
        batch, self._pending = self._pending, []
        try:
            if not self._broken and not self._writing:
                self._write(batch)
            else:
                self.dropped += len(batch)
            self._file.seek(0)
            self._file.write(self._header())
            self._file.close()
        except OSError:
            self._broken = True


def open_capture(
    environ: Mapping[str, str],
    settings: Settings,
    name: str,
    now: Callable[[], float],
    run_aside: Callable[[Callable[[], None], Callable[[bool], None]], None],
) -> Capture | None:
    """None where no file is named. Raises OSError or ValueError where what is named can't be used."""
    path = environ.get(ENV_FILE)
    if not path:
        return None
    most = float(environ.get(ENV_MB) or USUAL_MB)
    if not 0 < most <= 1e6:
        raise ValueError(f"{ENV_MB}: {most:g} is no size; give megabytes above 0")
    return Capture(path, settings, name, now, run_aside, most)
