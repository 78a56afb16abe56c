"""The policy model: real policies in simulated gateways, and every order of the events around them.

A gateway carries actions out as the real one does: events are handled one at a time, an attempt has one
outcome, a request's time ends at its deadline. Discovery, the platform, servers and clients are reduced to
the steps that they may take; when they take them is what is explored. Time stands still within a moment and
moves only by a step, through all timers on its way.

Reading order: `configurations`, `canonical_form` (how states are written), `gateway_state` and `gateway`,
`state`, `enabled_steps` (what may happen next), `descriptions` (for people), `transitions` (applying a step).
"""

from meadowpulley.model_checking.policy_model.transitions import PolicyModel

__all__ = ["PolicyModel"]
