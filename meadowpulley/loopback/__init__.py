"""The emulated fleet's server model on loopback: real gateways, real connections, servers with set limits.

Reading order: `clock` (the emulator's timeline in real time), `told` (what each process of the rig is told),
`standins` (instances, discovery and the platform, speaking the platform's protocol), `driver` (open-loop
clients), `processes` (starts all of it, gateways by `run` of the deploy file, and gathers what came of it).
Everything stays on 127.0.0.1 and is bounded in time.
"""

from meadowpulley.loopback.messages import LoopbackPlan
from meadowpulley.loopback.runner import LoopbackError, LoopbackResult, ProgressCallback, run_loopback

__all__ = ["LoopbackError", "LoopbackPlan", "LoopbackResult", "ProgressCallback", "run_loopback"]
