"""Arrivals and their file format: JSON lines after a header, compressed with gzip where the name ends in
`.gz`.

Files are streamed both ways, so that their length is bounded by the disk and not by memory.
"""

from __future__ import annotations

import gzip
import heapq
import math
import os
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import IO, Annotated

import msgspec
from msgspec import Meta, Struct, field
from msgspec.structs import replace

FORMAT_VERSION = 1
MAX_DISORDER_MS = 1000.0  # a larger step back is a clock that jumped, a smaller one is disorder

NotNegative = Annotated[float, Meta(ge=0)]


class LoadError(ValueError):
    """An invalid load. The text is one line: what, where, and what to do."""


class Header(Struct, frozen=True, forbid_unknown_fields=True):
    """First line of a load file. `started` is Unix time in milliseconds at `at_ms` 0, or 0 where unknown."""

    format: str = "meadowpulley-load"
    version: int = FORMAT_VERSION
    source: str = ""
    started: float = 0.0
    dropped: int = 0  # arrivals known to be missing, counted at the end of the capture


class Arrival(Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """One request of a load. `key` is a hash, `work_ms` milliseconds of a standard core."""

    at_ms: NotNegative
    class_name: str = field(name="cls")
    site: str = ""
    key: int = 0
    work_ms: NotNegative = 0.0
    bytes: Annotated[int, Meta(ge=0)] = 0
    timeout_ms: NotNegative = field(default=0.0, name="patience_ms")  # 0: the deadline of its class


_decode_header = msgspec.json.Decoder(Header).decode
_decode_arrival = msgspec.json.Decoder(Arrival).decode
_encode = msgspec.json.Encoder().encode


def _open(path: Path, mode: str) -> IO[bytes]:
    if path.suffix == ".gz":
        return gzip.open(path, mode, compresslevel=5)  # type: ignore[return-value]
    return open(path, mode)


class LoadReader:
    """Reads a load file in order of time.

    Arrivals that are out of order by up to `MAX_DISORDER_MS` are sorted. A larger step back is a clock that
    jumped; later arrivals are shifted by it, and `jumps` counts such steps.

    Iterating raises `LoadError` at the first invalid line. An incomplete last line is dropped and noted in
    `truncated`.
    """

    def __init__(self, path: Path, classes: frozenset[str] | None = None) -> None:
        self.path = path
        self._classes = classes
        self.jumps = self.disordered = self.count = 0
        self.truncated = False
        try:
            with _open(path, "rb") as file:
                first_line = file.readline()
        except (OSError, EOFError) as error:
            raise LoadError(
                f"{path}: {getattr(error, 'strerror', None) or error}; give a load file"
            ) from None
        try:
            self.header = _decode_header(first_line)
        except msgspec.MsgspecError as error:
            raise LoadError(f"{path}: line 1: no header of a load: {error}") from None
        if self.header.format != "meadowpulley-load" or self.header.version != FORMAT_VERSION:
            found = f"{self.header.format} {self.header.version}"
            raise LoadError(
                f"{path}: line 1: '{found}' is not known here; this program reads version {FORMAT_VERSION}"
            )

    def __iter__(self) -> Iterator[Arrival]:
        self.jumps = self.disordered = self.count = 0
        self.truncated = False
        pending: list[tuple[float, int, Arrival]] = []  # heap of the latest `MAX_DISORDER_MS`
        latest = 0.0
        shift_ms = 0.0
        for arrival in self._lines():
            at = arrival.at_ms + shift_ms
            if at < latest - MAX_DISORDER_MS:
                self.jumps += 1
                shift_ms += latest - at
                at = latest
            elif at < latest:
                self.disordered += 1
            latest = max(latest, at)
            heapq.heappush(pending, (at, self.count, replace(arrival, at_ms=at) if shift_ms else arrival))
            while pending[0][0] < latest - MAX_DISORDER_MS:
                yield heapq.heappop(pending)[2]
        while pending:
            yield heapq.heappop(pending)[2]
        if not self.count:
            raise LoadError(f"{self.path}: no arrivals; capture some, or make a load with 'load synth'")

    def _lines(self) -> Iterator[Arrival]:
        with _open(self.path, "rb") as file:
            file.readline()
            number = 1
            while True:
                number += 1
                try:
                    line = file.readline()
                except EOFError:
                    self.truncated = True
                    return
                if not line:
                    return
                try:
                    arrival = _decode_arrival(line)
                except msgspec.MsgspecError as error:
                    if not line.endswith(b"\n"):
                        self.truncated = True
                        return
                    raise LoadError(f"{self.path}: line {number}: {error}") from None
                if not all(map(math.isfinite, (arrival.at_ms, arrival.work_ms, arrival.timeout_ms))):
                    raise LoadError(f"{self.path}: line {number}: a figure is not finite; give a number")
                if self._classes is not None and arrival.class_name not in self._classes:
                    known = ", ".join(sorted(self._classes))
                    problem = f"class '{arrival.class_name}' is not of the fleet; known are {known}"
                    raise LoadError(f"{self.path}: line {number}: {problem}")
                self.count += 1
                yield arrival


def read_load(path: Path, classes: frozenset[str] | None = None) -> LoadReader:
    """Open a load file and check its header; iterate for its arrivals. Raises `LoadError`."""
    return LoadReader(path, classes)


def write_load(path: Path, arrivals: Iterable[Arrival], header: Header | None = None) -> int:
    """Write a load file atomically and return the number of arrivals. Raises OSError."""
    temporary = path.with_name(f".{path.name}.new{path.suffix}")
    count = 0
    try:
        with _open(temporary, "wb") as file:
            file.write(_encode(header or Header()) + b"\n")
            for arrival in arrivals:
                file.write(_encode(arrival) + b"\n")
                count += 1
        os.replace(temporary, path)
    finally:
        temporary.unlink(missing_ok=True)
    return count
