"""The contents of the ledger: incarnations with their leases, and records.

The ledger maps keys to records. Every write gives its record the next version of the ledger; one version
counter covers all keys. Keys are paths without a leading slash.

Clocks are never compared between processes. The holder of a lease renews it, and stops acting on it once a
fraction of the term has passed since it *started* its last successful renewal. Other processes count the
lease as expired once a whole term and a margin have passed since they first *saw* that renewal. Each process
uses its own clock (Gray and Cheriton 1989). Times are in milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class Incarnation:
    """One run of one gateway, from its start to its end.

    `epoch` is 1 for the first run under a name, increases with every further run, and is never reused.
    """

    name: str
    epoch: int

    def __str__(self) -> str:
        """Return the name and the epoch in the form used in logs and counters."""
        return f"{self.name}.{self.epoch}"


@dataclass(frozen=True, slots=True)
class Record:
    """The value of one key, with the version and the writer of its last write."""

    key: str
    value: bytes
    version: int  # the ledger's version at that write
    writer: Incarnation


@dataclass(frozen=True, slots=True)
class Member:
    """The state of an incarnation in the ledger."""

    incarnation: Incarnation
    renewal: int  # the number of renewals of its lease; 0 after registration
    fenced: bool
    term_ms: float  # the term of its lease
    version: int  # the ledger's version at the last change of this member


@dataclass(frozen=True, slots=True)
class Changes:
    """The changes since a version: written records, removed keys and changed members."""

    version: int  # the version to pass to the next call
    # Whether this is the complete present content: a key that is missing from it was removed. Snapshots are
    # used when the requested version is 0, or removals after it are no longer remembered.
    is_snapshot: bool = False
    records: tuple[Record, ...] = ()
    removed_keys: tuple[str, ...] = ()
    members: tuple[Member, ...] = ()
    # Incarnations that are not fenced yet although their process is known to have ended.
    dead_incarnations: tuple[Incarnation, ...] = ()
