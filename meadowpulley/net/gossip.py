"""Gossip between gateways, if the settings enable it: each digest is sent as one datagram."""

from __future__ import annotations

from typing import Any

from twisted.internet.protocol import DatagramProtocol

from meadowpulley.gossip.outcome_digest import MAX_BYTES
from meadowpulley.interface import GossipReceived, SendGossip
from meadowpulley.net.config import Address
from meadowpulley.net.gateway_context import GatewayContext
from meadowpulley.net.reactor_interface import DatagramPort


class GossipTransport(DatagramProtocol):
    """Sends digests to other gateways, and dispatches digests received from configured gateways."""

    noisy = False

    def __init__(self, gateway: GatewayContext) -> None:
        """Create the transport without a socket; `start` opens it."""
        self.gateway = gateway
        self.gateway_ids = {address: index for index, address in enumerate(gateway.config.peers)}
        self.port: DatagramPort | None = None

    def start(self) -> None:
        """Listen for datagrams if the configuration has an address and the settings enable gossip."""
        address = self.gateway.config.peer_listen
        if address is not None and self.gateway.config.settings.limits.gossip:
            host, port = address
            self.port = self.gateway.reactor.listenUDP(
                port, self, interface=host, maxPacketSize=MAX_BYTES + 1
            )

    def stop(self) -> None:
        """Close the socket, if it is open."""
        port = self.port
        self.port = None
        if port is not None:
            port.stopListening()

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:  # noqa: N802 (Twisted's name)
        """Dispatch a digest; count and drop it if it is too long or its sender is not configured."""
        self.gateway.deadlines.run_due()
        sender = self.gateway_ids.get((addr[0], addr[1]))
        if sender is None or len(datagram) > MAX_BYTES:
            self.gateway.counters.add("gossip.rejected")
            return
        self.gateway.counters.add("gossip.received")
        self.gateway.dispatch(GossipReceived(sender, datagram))

    def send(self, action: SendGossip) -> None:
        """Send a digest to one gateway or to all; one that cannot be sent is only counted."""
        address = self._address_of(action.peer)
        if self.port is None or address is None or len(action.data) > MAX_BYTES:
            self.gateway.counters.add("gossip.not_sent")
            return
        try:
            self.port.write(action.data, address)
            self.gateway.counters.add("gossip.sent")
        except OSError:
            self.gateway.counters.add("gossip.not_sent")

    def _address_of(self, peer: int | None) -> Address | None:
        config = self.gateway.config
        if peer is None:
            return config.peers_all
        return config.peers[peer] if 0 <= peer < len(config.peers) else None
