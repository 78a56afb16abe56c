"""What the ledger holds: incarnations with their leases, and records.

The ledger maps keys to records. Every write gives its record the ledger's next version, counted over all
keys. Keys are paths without a leading slash.

Clocks are never compared between processes. The holder of a lease renews it, and stops acting on it a
fraction of the term after it *started* its last successful renewal; the others count the lease as expired a
whole term and a margin after they first *saw* that renewal, each by its own clock (Gray and Cheriton 1989).
Times are milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class Incarnation:
    """One run of one gateway, from its start to its end.

    `epoch` starts at 1, rises with every start under that name, and is never given twice.
    """

    name: str
    epoch: int

    def __str__(self) -> str:
        """Return name and epoch, as the log and counters have them."""
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
    renewal: int  # how often its lease was renewed; 0 after its registration
    fenced: bool
    term_ms: float  # of its lease
    version: int  # of the ledger at its last change


@dataclass(frozen=True, slots=True)
class Changes:
    """What changed since a version: records written, keys removed, members that changed."""

    version: int  # to ask from the next time
    # Everything there is now, since removals after that version are forgotten: what is not in it was removed.
    is_snapshot: bool = False
    records: tuple[Record, ...] = ()
    removed_keys: tuple[str, ...] = ()
    members: tuple[Member, ...] = ()
    # Incarnations that are not fenced yet and whose process is known to have ended.
    dead_incarnations: tuple[Incarnation, ...] = ()
