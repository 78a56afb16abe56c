"""Tests of the encoding of gossip digests."""

from __future__ import annotations

from hypothesis import given, strategies as st

from meadowpulley.gossip.outcome_digest import (
    MAX_BYTES,
    MAX_CLASSES,
    MAX_COUNT,
    MAX_FAILURES,
    TIMEOUT_CLASS,
    decode,
    encode,
)
from tests.digests import make_digest

BYTE_VALUES = st.integers(0, MAX_COUNT)


@given(
    st.integers(0, 2**32 - 1),
    st.integers(0, 2**32 - 1),
    st.integers(0, 2**32 - 1),
    st.lists(
        st.tuples(BYTE_VALUES, BYTE_VALUES, BYTE_VALUES, BYTE_VALUES, BYTE_VALUES), max_size=MAX_CLASSES
    ),
    st.lists(st.tuples(st.integers(0, 65535), BYTE_VALUES), max_size=MAX_FAILURES),
)
def test_decoding_an_encoded_digest_returns_the_same_digest(
    incarnation: int, sequence: int, build: int, classes: list[tuple[int, ...]], failed: list[tuple[int, int]]
) -> None:
    digest = make_digest(incarnation, sequence, build, classes, failed)
    assert len(encode(digest)) <= MAX_BYTES
    assert decode(encode(digest)) == digest


def test_values_that_do_not_fit_are_left_out_or_reduced() -> None:
    # A build or class number too large for its field raised an error in the encoder, and the event that was
    # being handled was lost.
    classes, failed = ((300, 1, 1, 1, 1), *((0, 999, 0, 0, 0),) * 20), ((1, 300), *((70_000, 0),) * 500)
    digest = decode(encode(make_digest(1, 2**32 + 2, 2**32 + 3, classes, failed)))
    assert digest is not None and digest.classes[0][1] == MAX_COUNT and len(digest.failures) == MAX_FAILURES
    assert digest.failures[0] == (70_000 % 65536, 0) and (digest.sequence, digest.build) == (2, 3)


def test_many_classes_fit_with_the_timeout_class() -> None:
    # A digest held only the eight classes with the lowest numbers. TIMEOUT_CLASS has the highest number, so
    # time-outs were never sent to the other gateways.
    classes = tuple((cls, 1, 2, 3, 4) for cls in (*range(12), TIMEOUT_CLASS))
    digest = decode(encode(make_digest(1, 1, 42, classes, ((3, 11),) * MAX_FAILURES)))
    assert digest is not None and digest.classes == classes
