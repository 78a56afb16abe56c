"""Gateway process with instances whose connections end before the response is complete."""

from __future__ import annotations

import socket
import struct
import threading
from http.server import BaseHTTPRequestHandler

import pytest

from tests.net_program.conftest import StartGateway
from tests.standins import FakeInstance, endpoint, respond

OK = b"HTTP/1.1 200 OK\r\n"
LINGER_OPTIONS = {
    "reset": struct.pack("ii", 1, 0),
    "close": struct.pack("ii", 0, 0),
}  # SO_LINGER values for an immediate reset and an orderly close


TRUNCATED_RESPONSES = [  # (bytes sent, whether an orderly close of the connection completes the response)
    (OK + b"\r\npart", True),
    (b"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n\r\npart", True),
    (b"HTTP/1.1 103 Early Hints\r\n\r\n" + OK + b"\r\npart", True),
    (OK + b"Content-Length: 9\r\n\r\npart", False),
    (OK + b"Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", False),
    (OK + b"Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n", False),
    (OK + b"X-Pad: p\r\n", False),
    (b"HTTP/1.1 100 Continue\r\n\r\n", False),
    (b"", False),
]


@pytest.mark.parametrize("ending", LINGER_OPTIONS)
def test_truncated_response_is_not_accepted(start: StartGateway, ending: str) -> None:
    """A truncated response must not be forwarded as complete.

    A response without a length is completed only by an orderly close (RFC 9112, 6.3 and 8).
    """

    def handle(handler: BaseHTTPRequestHandler, body: bytes) -> None:
        if body == b"whole":
            respond(handler, 200, body)
            return
        handler.wfile.write(TRUNCATED_RESPONSES[int(body)][0])
        handler.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_OPTIONS[ending])
        handler.close_connection = True
        handler.rfile.close()
        handler.connection.close()

    instance = FakeInstance(handle)
    client = start([endpoint("s-1", instance.address)]).client()
    for index, (raw, framed_by_close) in enumerate(TRUNCATED_RESPONSES):
        response = client.request("POST", "/pay", b"%d" % index)[::2]
        assert response == ((200, b"part") if framed_by_close and ending == "close" else (502, b"")), raw
        for _ in range(3):  # successes, so that the instance is not ejected as an outlier
            assert client.request("POST", "/pay", b"whole")[0] == 200
    assert instance.received.qsize() == 4 * len(TRUNCATED_RESPONSES)  # no retry: it may have executed


def test_second_copy_behind_a_delayed_acknowledgement_is_no_answer_to_the_next_request(
    start: StartGateway,
) -> None:
    # The copy, held back until the answer was acknowledged, came behind the next request as its answer.
    def answer(handler: BaseHTTPRequestHandler, body: bytes) -> None:
        response = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        handler.wfile.write(response)
        if body.startswith(b"twice"):
            threading.Event().wait(0.002)
            handler.wfile.write(response)

    client = start([endpoint("s-1", FakeInstance(answer).address)]).client()
    bodies = [b"%s %d" % (b"twice" if number % 20 == 19 else b"once", number) for number in range(60)]
    for body in bodies:
        assert client.request("POST", "/pay", body)[::2] == (200, body)
        threading.Event().wait(0.03)  # longer than a connection rests, shorter than the kernel delays
