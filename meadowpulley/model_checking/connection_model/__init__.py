"""The connection model: the real classes of `net/` and the real policy, on scripted transports and time.

Clients write their requests in pieces, cut at the boundaries that matter; instances answer completely, in
parts, too early, twice, late or with noise; both close at any point, clients in one direction too; the kernel
takes bytes or does not, and holds some unread; SIGTERM and SIGHUP come at any point; discovery's answers
overtake each other; time moves from deadline to deadline. No socket is opened.

Reading order: `configurations`, `peers` (clients, instances, what they write), `state` (one gateway at its
start), `enabled_steps` (what may happen next), `invariants` (what must hold), `transitions` (applying
a step).
"""

from meadowpulley.model_checking.connection_model.configurations import CONFIGURATIONS
from meadowpulley.model_checking.connection_model.peers import cut_points, request_bytes_of
from meadowpulley.model_checking.connection_model.transitions import ConnectionModel

__all__ = ["CONFIGURATIONS", "ConnectionModel", "cut_points", "request_bytes_of"]
