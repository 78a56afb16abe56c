"""A gateway process whose endpoint list is outdated because discovery does not answer."""

from __future__ import annotations

import threading
from http.server import BaseHTTPRequestHandler

import pytest

from tests.discovery_harness import NOTIFIED_AFTER_SILENCE_MS
from tests.net_program.conftest import StartGateway
from tests.standins import (
    SETTINGS,
    Client,
    FakeDiscovery,
    FakeInstance,
    GatewayProcess,
    endpoint,
    respond,
)

GRACE_MS = 500.0
# Changes after SIGHUP count as notified 4 s after it, less the time in which a gateway may notice it.
NOTIFIED_AFTER_RELOAD_MS = 3_850.0
REQUEST_SPACING_S = 0.02
QUIET_REQUESTS = 30  # consecutive; far longer than a server is avoided after it rejected a request
MAX_REQUESTS = 250


class DrainingInstance(FakeInstance):
    """An instance that rejects requests while it drains, as the platform's specification requires."""

    def __init__(self) -> None:
        self.draining = threading.Event()
        super().__init__(self._respond)

    def _respond(self, handler: BaseHTTPRequestHandler, body: bytes) -> None:
        if self.draining.is_set():
            respond(handler, 503, b"", X_Turned_Away="1")
        else:
            respond(handler, 200, b"served " + body)


def request_until_unsent(client: Client, instance: FakeInstance) -> int:
    """Send requests until enough in a row were rejected without reaching the instance.

    Returns the length of the last such series: QUIET_REQUESTS, or less if the gateway kept sending.
    """
    unsent = 0
    for _ in range(MAX_REQUESTS):
        arrived = instance.received.qsize()
        status = client.request("GET", "/look")[0]
        was_sent = instance.received.qsize() != arrived
        unsent = 0 if was_sent or status != 503 else unsent + 1
        if unsent == QUIET_REQUESTS:
            break
        threading.Event().wait(REQUEST_SPACING_S)
    return unsent


def test_restarted_gateway_stops_using_a_cached_list_that_it_cannot_confirm(start: StartGateway) -> None:
    """A restarted gateway used its cached list to send to drained servers until discovery answered.

    133 of 200 gateways were killed during an outage of discovery, and restarted with the list from before the
    outage. Some of its servers were draining, and others were gone and replaced at the same address.
    """
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
    client = restarted.client()
    unsent = request_until_unsent(client, old)
    assert unsent == QUIET_REQUESTS, "the gateway kept sending requests to a drained server"

    discovery.crowded = False
    for _ in range(MAX_REQUESTS):
        status = client.request("GET", "/look")[0]
        if status == 200:
            break
        threading.Event().wait(REQUEST_SPACING_S)
    assert status == 200
    assert new.received.qsize() == 1


def test_responses_of_a_later_incarnation_do_not_keep_a_removed_server_in_use(start: StartGateway) -> None:
    """Successful responses of a later incarnation kept a server in use while discovery did not answer.

    While a gateway was down, a server drained, terminated, and was restarted at its address. Discovery listed
    the server as removed, and was too busy to answer the restarted gateway.
    """
    returned, discovery = FakeInstance(), FakeDiscovery([])
    discovery.crowded = True
    settings = SETTINGS | {"rules": SETTINGS["rules"] | {"stop-sending-within-ms": GRACE_MS}}
    cached = [endpoint("s-1", returned.address)]
    restarted = start(cached, discovery=discovery.address, settings=settings)
    unsent = request_until_unsent(restarted.client(), returned)
    assert returned.received.qsize() > 0, "the gateway sent no request to the server before the grace ended"
    assert unsent == QUIET_REQUESTS, "the gateway kept sending to a server that discovery lists as removed"


def list_age_at_expiry_ms(gateway: GatewayProcess, client: Client) -> float:
    """Send requests until the lease on the list has ended; return the list's age on the gateway's clock."""
    expired = threading.Event()

    def send_requests() -> None:
        while not expired.wait(REQUEST_SPACING_S):
            client.request("GET", "/look")

    threading.Thread(target=send_requests, daemon=True).start()
    age_ms = float(gateway.wait_for("endpoint_list_expired")["age_ms"])
    expired.set()
    return age_ms


@pytest.mark.parametrize("file", ["new address", "same address", "not usable"])
def test_polled_list_is_not_used_after_a_reload_makes_its_changes_count(
    start: StartGateway, file: str
) -> None:
    # Changes count as notified 4 s after SIGHUP at the latest; the list was used for 6 s after its call.
    instance = DrainingInstance()
    old, new = (FakeDiscovery([endpoint("s-1", instance.address)]) for _ in range(2))
    settings = SETTINGS | {"rules": SETTINGS["rules"] | {"stop-sending-within-ms": GRACE_MS}}
    gateway = start([endpoint("s-1", instance.address)], discovery=old.address, settings=settings)
    client = gateway.client()
    while old.watches == 0:
        assert client.request("GET", "/look")[0] == 200
    new.crowded = True
    if file == "not usable":
        gateway.reload("{no json")
    else:
        gateway.reload(discovery=new.address if file == "new address" else old.address)
    gateway.wait_for("reload_rejected" if file == "not usable" else "reloaded")
    old.crowd()  # ends the watch
    assert list_age_at_expiry_ms(gateway, client) < NOTIFIED_AFTER_SILENCE_MS


PUSHED = SETTINGS | {
    "discovery": "automatic",
    "rules": SETTINGS["rules"] | {"stop-sending-within-ms": GRACE_MS},
}
# A grace whose lease outlasts delays of a busy machine, and failed calls in a row that outlast that lease.
LONG_GRACE_MS = 2_000.0
OUTAGE_CALLS = 5


def test_failed_calls_do_not_renew_a_cached_list_where_lists_are_pushed(start: StartGateway) -> None:
    # A gateway that came back during an outage sent to a draining server until discovery was back: each call
    # that ended in 503 let it use its old list for another 345 ms.
    old, discovery = DrainingInstance(), FakeDiscovery([])
    discovery.go_down()
    old.draining.set()
    restarted = start([endpoint("s-1", old.address)], discovery=discovery.address, settings=PUSHED)
    unsent = request_until_unsent(restarted.client(), old)
    assert unsent == QUIET_REQUESTS, "the gateway kept sending requests to a drained server"


def serve_with_pushed_list(
    start: StartGateway, grace_ms: float
) -> tuple[GatewayProcess, Client, DrainingInstance, FakeDiscovery]:
    """Start a gateway, wait until discovery holds a watch open, and serve a request."""
    instance = DrainingInstance()
    discovery = FakeDiscovery([endpoint("s-1", instance.address)])
    settings = PUSHED | {"rules": PUSHED["rules"] | {"stop-sending-within-ms": grace_ms}}
    gateway = start([endpoint("s-1", instance.address)], discovery=discovery.address, settings=settings)
    client = gateway.client()
    while discovery.watches == 0:
        pass
    assert client.request("GET", "/look")[0] == 200
    return gateway, client, instance, discovery


def test_crowded_calls_do_not_renew_a_pushed_list(start: StartGateway) -> None:
    # Discovery that is up and crowded goes on notifying; each 503 let the gateway send for another 345 ms.
    _, client, instance, discovery = serve_with_pushed_list(start, GRACE_MS)
    discovery.crowd()
    assert request_until_unsent(client, instance) == QUIET_REQUESTS


def test_gateway_with_a_pushed_list_serves_while_discovery_is_down(start: StartGateway) -> None:
    # While discovery is down it pushes nothing, so that the list which the gateway holds stays current.
    _, client, _, discovery = serve_with_pushed_list(start, LONG_GRACE_MS)
    discovery.go_down()
    calls_before = discovery.polled_versions.qsize()
    while discovery.polled_versions.qsize() < calls_before + OUTAGE_CALLS:
        assert client.request("GET", "/look")[0] == 200


def test_pushed_list_is_used_until_changes_count_as_notified_after_discovery_has_moved(
    start: StartGateway,
) -> None:
    # What the agent has counts as notified 4 s after SIGHUP; the list was given up 345 ms after it.
    gateway, client, instance, _ = serve_with_pushed_list(start, GRACE_MS)
    crowded = FakeDiscovery([endpoint("s-1", instance.address)])
    crowded.crowded = True
    gateway.reload(discovery=crowded.address)
    assert list_age_at_expiry_ms(gateway, client) >= NOTIFIED_AFTER_RELOAD_MS


def test_failed_calls_do_not_renew_a_pushed_list_after_a_refused_reload(start: StartGateway) -> None:
    # Calls at the address that discovery had left failed at once, as if it were down, and renewed the list.
    gateway, client, instance, discovery = serve_with_pushed_list(start, GRACE_MS)
    gateway.reload("{no json")
    gateway.wait_for("reload_rejected")
    discovery.go_down()
    instance.draining.set()
    assert request_until_unsent(client, instance) == QUIET_REQUESTS
