"""Bytes by a grammar and spoilt, and objects with fields that are missing or of another kind."""

from __future__ import annotations

import json
from typing import Any

from hypothesis import strategies as st

from meadowpulley.interface import Effect, Limits, RequestClass, Rollout, Rules, Settings
from meadowpulley.net import protocol

PIECE_SIZES = (1, 2, 3, 7, 64)  # sizes of the pieces that bytes come in, beside all at once
SETTINGS = Settings(
    0,
    1,
    0,
    ("a", "b"),
    5.0,
    (RequestClass("look", 100.0, 1000.0, Effect.IDEMPOTENT),),
    (),
    Rules(),
    Limits(),
    Rollout(),
)
any_json = st.recursive(
    st.one_of(st.none(), st.booleans(), st.integers(-(2**70), 2**70), st.floats(), st.text(max_size=8)),
    lambda inner: st.one_of(
        st.lists(inner, max_size=3), st.dictionaries(st.text(max_size=6), inner, max_size=3)
    ),
    max_leaves=8,
)


def objects_with(**fields: st.SearchStrategy[Any]) -> st.SearchStrategy[dict[str, Any]]:
    """An object with these fields, of which some are missing, of another kind, or beside unknown ones."""
    optional_fields = {name: st.one_of(good, good, good, any_json) for name, good in fields.items()}
    return st.fixed_dictionaries({}, optional={**optional_fields, "unknown": any_json})


def as_bytes(value: Any) -> bytes:
    """Return a value as JSON."""
    return json.dumps(value).encode()


addresses = st.one_of(st.just("127.0.0.1:9001"), st.text(".:0123456789abc", max_size=16))

rollout_updates = objects_with(
    **{
        protocol.MESSAGE_BUILD: st.integers(-5, 2**70),
        protocol.ROLLOUT_STAGE: st.integers(-2, 5),
        protocol.ROLLOUT_PHASE: st.sampled_from([*protocol.ROLLOUT_PHASES, "odd"]),
        protocol.ROLLOUT_CAP: st.floats(),
        protocol.MESSAGE_AGE: st.floats(),
    }
)


def corrupted(well_formed: st.SearchStrategy[bytes]) -> st.SearchStrategy[bytes]:
    """Bytes by a grammar, some of them with pieces cut out, put in, doubled or changed."""

    def spoil(data: bytes, position: int, removed_count: int, inserted: bytes) -> bytes:
        """Return the bytes with some removed and others inserted at a position."""
        position %= len(data) + 1
        return data[:position] + inserted + data[position + removed_count :]

    edited = st.builds(spoil, well_formed, st.integers(0, 4000), st.integers(0, 8), st.binary(max_size=6))
    concatenated = st.lists(well_formed, min_size=2, max_size=3).map(b"".join)
    return st.one_of(well_formed, edited, concatenated, st.binary(max_size=200))
