"""Bytes by a grammar and spoilt, and objects with fields that are missing or of another kind."""

from __future__ import annotations

import json
from typing import Any

from hypothesis import strategies as st

from meadowpulley.interface import Effect, Limits, RequestClass, Rollout, Rules, Settings
from meadowpulley.net import names

PIECES = (1, 2, 3, 7, 64)  # sizes of the pieces that bytes come in, beside all at once
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
plain_json = st.recursive(
    st.one_of(st.none(), st.booleans(), st.integers(-(2**70), 2**70), st.floats(), st.text(max_size=8)),
    lambda inner: st.one_of(
        st.lists(inner, max_size=3), st.dictionaries(st.text(max_size=6), inner, max_size=3)
    ),
    max_leaves=8,
)


def object_of(**fields: st.SearchStrategy[Any]) -> st.SearchStrategy[dict[str, Any]]:
    """An object with these fields, of which some are missing, of another kind, or beside unknown ones."""
    loose = {name: st.one_of(good, good, good, plain_json) for name, good in fields.items()}
    return st.fixed_dictionaries({}, optional={**loose, "unknown": plain_json})


def as_bytes(value: Any) -> bytes:
    return json.dumps(value).encode()


address = st.one_of(st.just("127.0.0.1:9001"), st.text(".:0123456789abc", max_size=16))

news = object_of(
    **{
        names.NEWS_BUILD: st.integers(-5, 2**70),
        names.NEWS_STAGE: st.integers(-2, 5),
        names.NEWS_PHASE: st.sampled_from([*names.PHASES, "odd"]),
        names.NEWS_CAP: st.floats(),
        names.NEWS_AGE: st.floats(),
    }
)


def spoilt(whole: st.SearchStrategy[bytes]) -> st.SearchStrategy[bytes]:
    """Bytes by a grammar, some of them with pieces cut out, put in, doubled or changed."""

    def spoil(data: bytes, at: int, cut: int, put: bytes) -> bytes:
        at %= len(data) + 1
        return data[:at] + put + data[at + cut :]

    edits = st.builds(spoil, whole, st.integers(0, 4000), st.integers(0, 8), st.binary(max_size=6))
    several = st.lists(whole, min_size=2, max_size=3).map(b"".join)
    return st.one_of(whole, edits, several, st.binary(max_size=200))
