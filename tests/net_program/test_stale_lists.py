"""A gateway process whose endpoint list has become old, because discovery does not answer it."""

from __future__ import annotations

import threading
from http.server import BaseHTTPRequestHandler

from tests.net_program.conftest import StartGateway
from tests.standins import SETTINGS, FakeDiscovery, FakeInstance, endpoint, respond

GRACE_MS = 500.0
REQUEST_SPACING_S = 0.02
QUIET_REQUESTS = 30  # in a row, far longer than a server that rejected a request is left alone
MAX_REQUESTS = 250


class DrainingInstance(FakeInstance):
    """An instance that rejects what comes once it drains, as the platform's page says."""

    def __init__(self) -> None:
        self.draining = threading.Event()
        super().__init__(self._respond)

    def _respond(self, handler: BaseHTTPRequestHandler, body: bytes) -> None:
        if self.draining.is_set():
            respond(handler, 503, b"", X_Turned_Away="1")
        else:
            respond(handler, 200, b"served " + body)


def test_restarted_gateway_does_not_go_on_with_a_list_it_cannot_confirm(start: StartGateway) -> None:
    # Of 200 gateways 133 were killed. They came back with the list of before an outage, and sent by it to
    # servers that drained, or had gone and come back at their address, until discovery answered (incident-1).
    old, new = DrainingInstance(), FakeInstance()
    discovery = FakeDiscovery([endpoint("s-1", old.address)])
    settings = SETTINGS | {"rules": SETTINGS["rules"] | {"stop-sending-within-ms": GRACE_MS}}
    cached = [endpoint("s-1", old.address)]
    first = start(cached, discovery=discovery.address, settings=settings)
    assert first.client().request("GET", "/look")[0] == 200

    first.process.kill()
    discovery.crowded = True
    old.draining.set()
    discovery.update([endpoint("s-2", new.address)])
    restarted = start(cached, discovery=discovery.address, settings=settings)
    client, unsent = restarted.client(), 0
    for _ in range(MAX_REQUESTS):
        arrived = old.received.qsize()
        status = client.request("GET", "/look")[0]
        unsent = unsent + 1 if status == 503 and old.received.qsize() == arrived else 0
        if unsent == QUIET_REQUESTS:
            break
        threading.Event().wait(REQUEST_SPACING_S)
    assert unsent == QUIET_REQUESTS, "requests went on to a server that had drained"

    discovery.crowded = False
    for _ in range(MAX_REQUESTS):
        status = client.request("GET", "/look")[0]
        if status == 200:
            break
        threading.Event().wait(REQUEST_SPACING_S)
    assert status == 200 and new.received.qsize() == 1


def test_responses_of_a_later_incarnation_do_not_keep_a_removed_server_in_use(start: StartGateway) -> None:
    # A gateway was killed. Meanwhile a server drained, ended, and came back at its address; discovery listed
    # it as gone, and was too crowded to answer. Good responses of the later incarnation kept the server in
    # use for as long as discovery did not answer.
    returned, discovery = FakeInstance(), FakeDiscovery([])
    discovery.crowded = True
    settings = SETTINGS | {"rules": SETTINGS["rules"] | {"stop-sending-within-ms": GRACE_MS}}
    cached = [endpoint("s-1", returned.address)]
    restarted = start(cached, discovery=discovery.address, settings=settings)
    client, unsent = restarted.client(), 0
    for _ in range(MAX_REQUESTS):
        arrived = returned.received.qsize()
        status = client.request("GET", "/look")[0]
        unsent = unsent + 1 if status == 503 and returned.received.qsize() == arrived else 0
        if unsent == QUIET_REQUESTS:
            break
        threading.Event().wait(REQUEST_SPACING_S)
    assert returned.received.qsize() > 0, "the server was in use at first"
    assert unsent == QUIET_REQUESTS, "requests went on to a server that discovery lists as gone"
