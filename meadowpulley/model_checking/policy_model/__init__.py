"""World A: real `Balancer`s behind small hosts, and every order of what may happen around them.

A host carries actions out as the gateway does: events are handled one at a time, an attempt has one
outcome, a request's time ends at its deadline. Discovery, the platform, servers and clients are reduced to
the steps that they may take; when they take them is what is explored. Time stands still within a moment and
moves only by a step, through all timers on its way.

Reading order: `forms` (copies and canonical forms), `host` (one gateway), `state`, `enabled` (what may happen
next), `words` (for people), `world` (taking a step).
"""

from meadowpulley.model_checking.policy_model.transitions import PolicyModel

__all__ = ["PolicyModel"]
