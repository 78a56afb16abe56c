"""Checkpoints of a search: all that is needed to resume it, in a file that any other search refuses."""

from __future__ import annotations

from array import array
from collections.abc import Set
from pathlib import Path
from typing import Self

import msgspec
import xxhash

from meadowpulley.model_checking.errors import ModelCheckingError
from meadowpulley.model_checking.model import ModelSettings

CHECKPOINT_VERSION = 1
DIGEST_BYTES = 16


PACKAGES_OF_DIGEST = ("gossip", "interface", "net", "rules", "settings", "state")


class CheckpointError(ModelCheckingError, ValueError):
    """A checkpoint that can't be resumed; the text is one line with the reason."""


class Checkpoint(msgspec.Struct, frozen=True):
    """The state of a search after a level. The encoded names are those of the first version."""

    version: int
    settings: ModelSettings = msgspec.field(name="setting")
    mutant: str
    code_digest: str = msgspec.field(name="code")
    frontier: list[bytes]
    visited: bytes = msgspec.field(name="seen")  # sorted 64-bit fingerprints in the machine's byte order
    elapsed_s: float = msgspec.field(name="spent")
    levels: list[tuple[int, int, int, int, float]]

    @classmethod
    def of_search(
        cls,
        settings: ModelSettings,
        mutant: str,
        frontier: list[bytes],
        visited: Set[int],
        elapsed_s: float,
        levels: list[tuple[int, int, int, int, float]],
    ) -> Self:
        """Return the checkpoint of a search by the code as it is now."""
        packed = array("Q", sorted(visited)).tobytes()
        digest = code_digest()
        return cls(CHECKPOINT_VERSION, settings, mutant, digest, frontier, packed, elapsed_s, levels)

    def visited_keys(self) -> set[int]:
        """Return the fingerprints of the states that were visited."""
        keys = array("Q")
        keys.frombytes(self.visited)
        return set(keys)


def write_checkpoint(path: Path, checkpoint: Checkpoint) -> None:
    """Write a checkpoint with its checksum, in place of an earlier one."""
    raw = msgspec.msgpack.encode(checkpoint)
    temporary = path.with_name(path.name + ".part")
    temporary.write_bytes(xxhash.xxh3_128_digest(raw) + raw)
    temporary.replace(path)


def read_checkpoint(path: Path, settings: ModelSettings, mutant: str) -> Checkpoint:
    """Read a checkpoint. Raises CheckpointError unless it is of the same search, by the same code."""
    raw = path.read_bytes()
    if xxhash.xxh3_128_digest(raw[DIGEST_BYTES:]) != raw[:DIGEST_BYTES]:
        raise CheckpointError(f"{path}: is not whole; remove it and begin anew")
    try:
        checkpoint = msgspec.msgpack.decode(raw[DIGEST_BYTES:], type=Checkpoint)
    except msgspec.MsgspecError as error:
        raise CheckpointError(f"{path}: {error}; remove it and begin anew") from None
    identity = (checkpoint.version, checkpoint.settings, checkpoint.mutant)
    if identity != (CHECKPOINT_VERSION, settings, mutant):
        raise CheckpointError(f"{path}: is of another run ({checkpoint.settings}); name another file")
    if checkpoint.code_digest != code_digest():
        raise CheckpointError(f"{path}: the code under test has changed since; remove it and begin anew")
    return checkpoint


def code_digest() -> str:
    """Return a digest of the code under test and of the checker: a search is not resumed on other code."""
    folder = Path(__file__).resolve().parent.parent
    files = [
        *folder.glob("*.py"),
        *(folder / "model_checking").rglob("*.py"),
    ]
    for package in PACKAGES_OF_DIGEST:
        files += (folder / package).glob("*.py")
    hasher = xxhash.xxh3_128()
    for file in sorted(files):
        hasher.update(file.read_bytes())
    return hasher.hexdigest()
