"""Datagrams between gateways, where the settings allow them."""

from __future__ import annotations

from typing import Any

from twisted.internet.protocol import DatagramProtocol

from meadowpulley.digests import MAX_BYTES
from meadowpulley.interface import GossipReceived, SendGossip
from meadowpulley.net.gateway_context import GatewayContext


class GossipTransport(DatagramProtocol):
    noisy = False

    def __init__(self, gateway: GatewayContext) -> None:
        self.gateway = gateway
        self.gateway_ids = {address: n for n, address in enumerate(gateway.config.peers)}
        self.port: Any = None

    def start(self) -> None:
        address = self.gateway.config.peer_listen
        if address is not None and self.gateway.config.settings.limits.gossip:
            host, port = address
            self.port = self.gateway.reactor.listenUDP(
                port, self, interface=host, maxPacketSize=MAX_BYTES + 1
            )

    def stop(self) -> None:
        port, self.port = self.port, None
        if port is not None:
            port.stopListening()

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:  # noqa: N802 (Twisted's name)
        self.gateway.deadlines.run_due()
        sender = self.gateway_ids.get((addr[0], addr[1]))
        if sender is None or len(datagram) > MAX_BYTES:
            self.gateway.counters.add("peers.stray")
            return
        self.gateway.counters.add("peers.in")
        self.gateway.dispatch(GossipReceived(sender, datagram))

    def send(self, action: SendGossip) -> None:
        config = self.gateway.config
        if action.peer is None:
            address = config.peers_all
        else:
            address = config.peers[action.peer] if 0 <= action.peer < len(config.peers) else None
        if self.port is None or address is None or len(action.data) > MAX_BYTES:
            self.gateway.counters.add("peers.not_sent")
            return
        try:
            self.port.write(action.data, address)
            self.gateway.counters.add("peers.out")
        except OSError:  # a datagram may get lost
            self.gateway.counters.add("peers.not_sent")
