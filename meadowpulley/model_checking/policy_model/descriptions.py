"""The steps of the policy model in words."""

from __future__ import annotations

from typing import Any

from meadowpulley.interface import RolloutUpdate
from meadowpulley.model_checking.model import Step
from meadowpulley.model_checking.policy_model.configurations import CLASSES
from meadowpulley.model_checking.policy_model.state import State

OUTCOME_TEXTS = {
    "ok": "answers",
    "error": "answers with an error",
    "reset": "breaks the connection after the last byte",
    "full": "turns it away as full",
    "connect_failed": "breaks the connection before the last byte",
}
STEP_TEXTS = {
    "answered": "server has answered request {1} of gateway {0}; the answer is under way",
    "late": "a server answers an attempt that gateway {0} has given up",
    "leave": "the client of request {1} leaves gateway {0}",
    "drain": "server {0} begins to drain",
    "gone": "server {0} is gone",
    "return": "server {0} starts anew with build {1}",
    "list": "gateway {0} hears list {1}",
    "list_failed": "a list call of gateway {0} fails",
    "whole_list": "gateway {0} hears the whole list as it is now",
    "stage": "the platform moves the build on",
    "call_back": "the platform calls the build back",
    "withdraw": "the platform has withdrawn the build",
    "count": "the platform counts a vote of gateway {0}",
    "lose_vote": "a vote of gateway {0} is lost, {2}",
    "datagram": "a datagram of gateway {0} arrives",
    "lose_datagram": "a datagram of gateway {0} is lost",
    "repeat_datagram": "a datagram of gateway {0} arrives, and will again",
    "kill": "gateway {0} is killed and starts anew with list {1}",
}
PLACE_TEXTS = {"before": "just before", "at": "to", "after": "just past", "later": "well past"}


def rollout_text(update: RolloutUpdate) -> str:
    """Return where a rollout stands, in words."""
    phase = update.phase.name.lower().replace("_", " ")
    return f"build {update.build} {phase}, stage {update.stage + 1}, cap {update.cap:g}"


def step_text(state: State, step: Step) -> str:
    """Return a step of the policy model in words, before it is applied."""
    arguments: list[Any] = list(step.arguments)
    if step.action == "ask":
        class_index, key = state.configuration.kinds[arguments[1] % len(state.configuration.kinds)]
        with_key = f" with key {key}" if key else ""
        return f"a client sends gateway {arguments[0]} a {CLASSES[class_index].name}{with_key}"
    if step.action == "outcome":
        pending = state.gateways[arguments[0]].pending_requests[arguments[1]]
        server = pending.outstanding_attempts[arguments[2]].server
        return (
            f"server {server} {OUTCOME_TEXTS[arguments[3]]}: request {arguments[1]} of gateway {arguments[0]}"
        )
    if step.action == "wait":
        return f"time goes on {PLACE_TEXTS[arguments[1]]} the next {arguments[0]}"
    if step.action in ("news", "lose_news"):
        update = rollout_text(state.gateways[arguments[0]].rollout_updates_due[arguments[1]])
        if step.action == "news":
            return f"gateway {arguments[0]} hears: {update}"
        return f"news is lost on its way to gateway {arguments[0]}: {update}"
    return STEP_TEXTS[step.action].format(*arguments)
