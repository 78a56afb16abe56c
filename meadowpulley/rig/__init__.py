"""The emulated fleet's server model on loopback: real gateways, real connections, servers with set limits.

Reading order: `clock` (the emulator's timeline in real time), `told` (what each process of the rig is told),
`standins` (instances, discovery and the platform, speaking the platform's protocol), `driver` (open-loop
clients), `processes` (starts all of it, gateways by `run` of the deploy file, and gathers what came of it).
Everything stays on 127.0.0.1 and is bounded in time.
"""

from meadowpulley.rig.processes import Measured, RigError, Watch, run_rig
from meadowpulley.rig.told import RigPlan

__all__ = ["Measured", "RigError", "RigPlan", "Watch", "run_rig"]
