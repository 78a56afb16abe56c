"""Evaluation of an instance's response: the result of the attempt and the load report."""

from __future__ import annotations

import pytest

from meadowpulley.interface import Result
from meadowpulley.net import protocol
from meadowpulley.net.http1 import Message
from meadowpulley.net.instance_response import classify_response, parse_load_report

REJECTED = {protocol.REJECTED_HEADER: "1"}


@pytest.mark.parametrize(
    ("status", "headers", "result"),
    [
        pytest.param(200, {}, Result.OK, id="served"),
        pytest.param(200, REJECTED, Result.OK, id="served, rejection header ignored"),
        pytest.param(503, REJECTED, Result.REJECTED, id="rejected"),
        pytest.param(504, REJECTED, Result.REJECTED, id="rejected with status 504"),
        pytest.param(503, {}, Result.ERROR, id="503 without the rejection header"),
        pytest.param(503, {protocol.REJECTED_HEADER: "0"}, Result.ERROR, id="other rejection header value"),
        pytest.param(500, REJECTED, Result.ERROR, id="status 500 is not a rejection"),
        pytest.param(204, {}, Result.ERROR, id="success status other than 200"),
    ],
)
def test_status_and_header_decide_the_result(status: int, headers: dict[str, str], result: Result) -> None:
    assert classify_response(Message(status=status, headers=headers)) is result


@pytest.mark.parametrize(
    ("text", "values"),
    [
        pytest.param("a=1,b=2.5", (1.0, 2.5), id="in order"),
        pytest.param(" b=2.5 , a=1", (1.0, 2.5), id="in another order, with spaces"),
        pytest.param("a=1,b=2.5,c=9", (1.0, 2.5), id="with an unknown column"),
        pytest.param("a=1", (), id="missing column"),
        pytest.param("a=1,b=x", (), id="value that is not a number"),
        pytest.param("a=1,b=inf", (), id="infinite value"),
        pytest.param("a=1,b", (), id="column without a value"),
        pytest.param("", (), id="empty report"),
    ],
)
def test_load_report_is_parsed_completely_or_not_at_all(text: str, values: tuple[float, ...]) -> None:
    assert parse_load_report(text, ("a", "b")) == values
