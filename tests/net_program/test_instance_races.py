"""The gateway as a program against scripted instances: connections and answers that end at a wrong moment."""

from __future__ import annotations

import socket
import struct
from http.server import BaseHTTPRequestHandler

import pytest

from tests.net_program.conftest import Start
from tests.standins import Instance, answer, entry

OK = b"HTTP/1.1 200 OK\r\n"
ENDS = {"reset": struct.pack("ii", 1, 0), "close": struct.pack("ii", 0, 0)}  # SO_LINGER: at once, or in order


BROKEN = [  # what comes of an answer, and whether a connection that ends in order ends it
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


@pytest.mark.parametrize("how", ENDS)
def test_an_answer_that_breaks_off_is_none(start: Start, how: str) -> None:
    # Only the end of the connection in order ends an answer that no length frames (RFC 9112, 6.3 and 8).
    def act(handler: BaseHTTPRequestHandler, body: bytes) -> None:
        if body == b"whole":
            answer(handler, 200, body)
            return
        handler.wfile.write(BROKEN[int(body)][0])
        handler.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ENDS[how])
        handler.close_connection = True
        handler.rfile.close()
        handler.connection.close()

    instance = Instance(act)
    client = start([entry("s-1", instance.address)]).client()
    for n, (raw, ends_with_it) in enumerate(BROKEN):
        found = client.ask("POST", "/pay", b"%d" % n)[::2]
        assert found == ((200, b"part") if ends_with_it and how == "close" else (502, b"")), raw
        for _ in range(3):  # or it counts as out of order
            assert client.ask("POST", "/pay", b"whole")[0] == 200
    assert instance.asked.qsize() == 4 * len(BROKEN)  # each once: it may have run
