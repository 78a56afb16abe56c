"""World B: the real classes of `net/`, with the real decisions, on scripted transports and a scripted
clock.

Clients write their requests in pieces, cut at the boundaries that matter; instances answer whole, in parts,
too early, twice, late or with noise; both close at any point, clients by halves too; the kernel takes bytes
or does not, and holds some unread; SIGTERM and SIGHUP come at any point; discovery's answers overtake each
other; time moves from deadline to deadline. No socket is opened.

Reading order: `scenes`, `parties` (clients, instances, what they write), `state` (one gateway at its start),
`enabled` (what may happen next), `holds` (what must hold), `world` (taking a step).
"""

from meadowpulley.model_checking.connection_model.configurations import CONFIGURATIONS
from meadowpulley.model_checking.connection_model.peers import cut_points, request_bytes_of
from meadowpulley.model_checking.connection_model.transitions import ConnectionModel

__all__ = ["CONFIGURATIONS", "ConnectionModel", "cut_points", "request_bytes_of"]
