"""Capture of arriving requests into a file that `meadowpulley load` reads. Off by default.

The environment variable `MEADOWPULLEY_CAPTURE` names the file and turns the capture on. Capturing never slows
or fails a request: the number of pending records is bounded, a thread writes the file, and a record that
exceeds the limit in memory or on disk is dropped and counted. Request keys are hashed with a random salt of
this capture, so that the file holds no customer data.
"""

from __future__ import annotations

import hashlib
import json
import os
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import IO, TypeAlias

from meadowpulley.interface import Request, Settings
from meadowpulley.net.errors import NetError

ENV_FILE = "MEADOWPULLEY_CAPTURE"
ENV_MAX_MB = "MEADOWPULLEY_CAPTURE_MB"
MAX_PENDING_ARRIVALS = 4096  # arrivals waiting to be written by the thread; further ones are dropped
FLUSH_INTERVAL_MS = 500.0
DEFAULT_MAX_MB = 64.0
MAX_MB = 1e6
BYTES_PER_MB = 1024 * 1024
MAX_SOURCE_CHARS = 80  # the gateway's name is cut to this length, since the header's length is fixed
KEY_DIGEST_BYTES = 7  # 7 bytes: a hashed key stays below 2^56
MS_DECIMALS = 3  # times are written in milliseconds, rounded to the microsecond
HEADER_BYTES = 256  # length of the first line, which is rewritten at the end with the dropped count


# `run_in_thread(work, done)` runs `work` in a thread, then calls `done(failed)` in the reactor's thread.
ThreadRunner: TypeAlias = Callable[[Callable[[], None], Callable[[bool], None]], None]


class CaptureError(NetError):
    """The capture that the environment variables request can't be started."""


@dataclass(frozen=True, slots=True)
class CaptureFile:
    """The file of a capture: its path, the gateway that records it, and its maximum size in bytes."""

    path: str
    source: str
    max_bytes: int


@dataclass(frozen=True, slots=True)
class Arrival:
    """One captured request. Times are milliseconds; `arrived_ms` counts from the start of the capture."""

    arrived_ms: float
    class_index: int
    key: int
    work_estimate_ms: float  # 0 if the client gave no estimate
    body_bytes: int
    remaining_ms: float  # time from the arrival to the deadline


class Capture:
    """Records arrivals and writes them to a file. `now` returns the gateway's time in milliseconds."""

    def __init__(
        self, file: CaptureFile, settings: Settings, now: Callable[[], float], run_in_thread: ThreadRunner
    ) -> None:
        self._settings = settings
        self._run_in_thread = run_in_thread
        self._source = file.source
        self._max_bytes = file.max_bytes
        self._started_at = now()
        self._started_unix_ms = time.time() * 1000.0
        self._salt = os.urandom(16)
        self._site = settings.zones[settings.zone] if settings.zone < len(settings.zones) else ""
        self._pending: list[Arrival] = []
        self._file_bytes = HEADER_BYTES
        self._writing = False
        self._failed = False
        self.written = 0
        self.dropped = 0
        self._file: IO[bytes] = open(file.path, "wb")  # noqa: SIM115  # close() closes it when the gateway stops
        self._file.write(self._header())

    def _header(self) -> bytes:
        header = {
            "format": "meadowpulley-load",
            "version": 1,
            "source": self._source[:MAX_SOURCE_CHARS],
            "started": round(self._started_unix_ms),
            "dropped": self.dropped,
        }
        return json.dumps(header).encode().ljust(HEADER_BYTES - 1) + b"\n"

    def record(self, request: Request, arrived_at: float, body_bytes: int) -> None:
        """Record an accepted request, except a client retry: the original request was recorded."""
        if request.client_retry:
            return
        if self._failed or len(self._pending) >= MAX_PENDING_ARRIVALS:
            self.dropped += 1
            return
        arrival = Arrival(
            arrived_ms=max(arrived_at - self._started_at, 0.0),
            class_index=request.class_index,
            key=request.key,
            work_estimate_ms=request.expected_work_ms or 0.0,
            body_bytes=body_bytes,
            remaining_ms=max(request.deadline_ms - arrived_at, 0.0),
        )
        self._pending.append(arrival)

    def flush(self) -> None:
        """Pass pending arrivals to the thread, unless it is still writing the last batch.

        A slow disk thus delays nothing but the capture itself.
        """
        if self._writing or not self._pending:
            return
        batch = self._pending
        self._pending = []
        self._writing = True
        self._run_in_thread(lambda: self._write_batch(batch), self._batch_done)

    def _batch_done(self, failed: bool) -> None:
        self._writing = False
        self._failed = self._failed or failed

    def _encode(self, arrival: Arrival) -> bytes:
        fields: dict[str, float | int | str] = {
            "at_ms": round(arrival.arrived_ms, MS_DECIMALS),
            "cls": self._settings.classes[arrival.class_index].name,
        }
        if self._site:
            fields["site"] = self._site
        if arrival.key:
            key = arrival.key.to_bytes(8, "big")
            digest = hashlib.blake2b(key, digest_size=KEY_DIGEST_BYTES, key=self._salt).digest()
            fields["key"] = int.from_bytes(digest, "big")
        if arrival.work_estimate_ms:
            fields["work_ms"] = round(arrival.work_estimate_ms, MS_DECIMALS)
        if arrival.body_bytes:
            fields["bytes"] = arrival.body_bytes
        fields["patience_ms"] = round(arrival.remaining_ms, MS_DECIMALS)
        return json.dumps(fields, separators=(",", ":")).encode() + b"\n"

    def _write_batch(self, batch: list[Arrival]) -> None:
        """Write a batch up to the size limit and drop the rest. Runs in the thread; raises OSError."""
        for index, arrival in enumerate(batch):
            line = self._encode(arrival)
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
        """Write pending arrivals and the final header. Ignore write errors: the gateway is stopping."""
        batch = self._pending
        self._pending = []
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
    run_in_thread: ThreadRunner,
) -> Capture | None:
    """Open the capture that the environment requests; None if it names no file.

    Raises:
        CaptureError: the file can't be opened, or the size limit is not a number of megabytes in (0, 1e6].
    """
    path = environ.get(ENV_FILE)
    if not path:
        return None
    max_bytes = int(_read_max_mb(environ) * BYTES_PER_MB)
    try:
        return Capture(CaptureFile(path, name, max_bytes), settings, now, run_in_thread)
    except OSError as error:
        raise CaptureError(str(error)) from None


def _read_max_mb(environ: Mapping[str, str]) -> float:
    text = environ.get(ENV_MAX_MB)
    if not text:
        return DEFAULT_MAX_MB
    try:
        max_mb = float(text)
    except ValueError:
        raise CaptureError(
            f"{ENV_MAX_MB} is {text!r}: expected a size in megabytes above 0 and up to 1e6"
        ) from None
    if not 0 < max_mb <= MAX_MB:
        raise CaptureError(f"{ENV_MAX_MB} is {max_mb:g}: expected a size in megabytes above 0 and up to 1e6")
    return max_mb
