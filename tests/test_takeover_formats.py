"""The stored format of takeover records stays compatible: they match literal bytes from version 0.4.0."""

from __future__ import annotations

import pytest

from meadowpulley.takeover.records import (
    RECORD_FORMAT,
    AttemptGrant,
    Origin,
    RecordedResponse,
    RequestContent,
    RequestRecord,
    RequestState,
    decode_recorded_response,
    decode_request_content,
    decode_request_record,
    encode_record,
    request_digest,
)

REQUEST_RECORD = RequestRecord(
    format_version=RECORD_FORMAT,
    state=RequestState.OPEN,
    class_name="pay",
    tenant_name="tenant-a",
    key=77,
    digest=bytes(range(16)),
    sequence=12,
    origin=Origin("a.1", 4),
    remaining_ms=2500.0,
    elapsed_ms=125.5,
    expected_work_ms=40.25,
    write=True,
    arm=1,
    owner_count=2,
    attempt_count=3,
    grants=(AttemptGrant(3, 2, 1, 4), AttemptGrant(5, 2, 0, 1, 9)),
)
REQUEST_RECORD_BYTES = (
    b"\xde\x00\x10\xa1v\x02\xa5state\xa4open\xa3cls\xa3pay\xa6tenant\xa8tenant-a\xa3keyM\xa6digest\xc4\x10"
    b"\x00\x01\x02\x03\x04\x05\x06\x07\x08\t\n\x0b\x0c\r\x0e\x0f\xa4mark\x0c\xa5first\x92\xa3a.1\x04"
    b"\xa7left_ms\xcb@\xa3\x88\x00\x00\x00\x00\x00\xa9waited_ms\xcb@_`\x00\x00\x00\x00\x00"
    b"\xa7hint_ms\xcb@D \x00\x00\x00\x00\x00\xa5write\xc3\xa3arm\x01\xa5lives\x02\xa5tries\x03"
    b"\xa6rights\x92\x95\x03\x02\x01\x04\x00\x95\x05\x02\x00\x01\t"
)
STATE_VALUES = {
    RequestState.OPEN: b"\xa4open",
    RequestState.RELEASED: b"\xa4free",
    RequestState.SERVED: b"\xa6served",
    RequestState.FAILED: b"\xa6failed",
    RequestState.REJECTED: b"\xa7refused",
}
CONTENT = RequestContent(
    format_version=RECORD_FORMAT,
    method="POST",
    target="/pay/x?n=1",
    headers=(("x-txn", "r1"), ("content-type", "text/plain")),
    body=b"body\x00\xff",
)
CONTENT_BYTES = (
    b"\x85\xa1v\x02\xa6method\xa4POST\xa6target\xaa/pay/x?n=1\xa7headers\x92\x92\xa5x-txn\xa2r1"
    b"\x92\xaccontent-type\xaatext/plain\xa4body\xc4\x06body\x00\xff"
)
RESPONSE = RecordedResponse(
    format_version=RECORD_FORMAT, status=200, headers=(("content-type", "text/plain"),), body=b"run 1"
)
RESPONSE_BYTES = (
    b"\x84\xa1v\x02\xa6status\xcc\xc8\xa7headers\x91\x92\xaccontent-type\xaatext/plain\xa4body\xc4\x05run 1"
)


def test_a_request_record_of_version_0_4_0_is_decoded_and_encoded_unchanged() -> None:
    assert decode_request_record(REQUEST_RECORD_BYTES) == REQUEST_RECORD
    assert encode_record(REQUEST_RECORD) == REQUEST_RECORD_BYTES


@pytest.mark.parametrize("state", RequestState)
def test_each_state_keeps_its_stored_value(state: RequestState) -> None:
    stored = REQUEST_RECORD_BYTES.replace(b"\xa4open", STATE_VALUES[state])
    found = decode_request_record(stored)
    assert found.state is state
    assert encode_record(found) == stored


def test_request_content_of_version_0_4_0_is_decoded_and_encoded_unchanged() -> None:
    assert decode_request_content(CONTENT_BYTES) == CONTENT
    assert encode_record(CONTENT) == CONTENT_BYTES


def test_a_response_of_version_0_4_0_is_decoded_and_encoded_unchanged() -> None:
    assert decode_recorded_response(RESPONSE_BYTES) == RESPONSE
    assert encode_record(RESPONSE) == RESPONSE_BYTES


def test_the_digest_of_a_request_is_unchanged() -> None:
    expected = b"i\xa2w\xf0\xc5\xb5\xd03YT\xfb\xd9\x0f\xee\x9cw"
    assert request_digest("POST", "/pay/x?n=1", b"body") == expected
