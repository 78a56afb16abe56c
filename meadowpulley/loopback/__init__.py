"""Test bed on loopback sockets: real gateways and connections, simulated servers with limited capacity.

Reading order: `clock` (the emulator's timeline in real time), `messages` (what the processes exchange),
`services` (servers, discovery and platform in the platform's protocol), `driver` (open-loop clients),
`runner` (starts all processes and collects the result), `gateway_fleet` (several gateways on one ledger).
Everything stays on 127.0.0.0/8 and is bounded in time.
"""

from meadowpulley.loopback.messages import LoopbackPlan
from meadowpulley.loopback.runner import LoopbackError, LoopbackResult, ProgressCallback, run_loopback

__all__ = ["LoopbackError", "LoopbackPlan", "LoopbackResult", "ProgressCallback", "run_loopback"]
