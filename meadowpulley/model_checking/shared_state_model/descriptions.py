"""The steps of the shared-state model in words."""

from __future__ import annotations

from typing import Any

from meadowpulley.model_checking.model import Step
from meadowpulley.model_checking.shared_state_model.configurations import CLASSES
from meadowpulley.model_checking.shared_state_model.state import State

STEP_TEXTS = {
    "out": "the bytes of an attempt of gateway {0} go out",
    "hear": "gateway {0} hears what became of its commit",
    "due": "what is due at gateway {0} happens",
    "commit": "the ledger carries out a commit of gateway {0}",
    "result": "gateway {0} hears of the outcome of an attempt",
    "bye": "gateway {0} has nothing in hand, and gives its lease up",
    "look": "gateway {0} is told what changed in the ledger",
    "ask": "a client sends gateway {0} request {1}",
    "again": "the client of request {1} asks again, at gateway {0}",
    "leave": "the client of request {1} leaves gateway {0}",
    "kill": "gateway {0} is killed",
    "stop": "gateway {0} is stopped",
    "wake": "gateway {0} wakes",
    "term": "gateway {0} is told to stop",
    "start": "gateway {0} starts anew",
    "hold": "from now on nothing passes of gateway {0}: {1}",
    "let": "it passes again, of gateway {0}: {1}",
    "lose": "the answer to a commit of gateway {0} is lost; it is carried out: {1}",
    "straggle": "a commit of gateway {0} is carried out late",
    "read": "gateway {0} reads the ledger, and is told of it later",
    "end": "all goes on until it is over",
}
TIME_TEXTS = {
    "next": "time goes on until something happens",
    "turn": "time goes on by a turn of lending",
    "lapse": "time goes on past the lease of one that stands",
}
SERVER_TEXTS = {
    "run": "runs {0} of gateway {1}",
    "reset": "runs {0} of gateway {1}, and its connection breaks",
    "full": "turns {0} of gateway {1} away",
    "late": "keeps {0} of gateway {1} for later",
    "let_run": "goes on with {0} of gateway {1}",
}
LOSS_TEXTS = {"before": "never", "after": "before that", "late": "later, perhaps"}


def step_text(state: State, step: Step) -> str:
    """Return a step of the shared-state model in words, before it is applied."""
    arguments: list[Any] = list(step.arguments)
    if step.action in SERVER_TEXTS:
        attempt = state.arrived_attempts[arguments[0]]
        return f"server {attempt.server} " + SERVER_TEXTS[step.action].format(attempt.name, attempt.gateway)
    if step.action == "wait":
        return TIME_TEXTS[arguments[0]]
    if step.action == "lose":
        arguments[1] = LOSS_TEXTS[arguments[1]]
    text = STEP_TEXTS[step.action].format(*arguments)
    if step.action in ("ask", "again"):
        text += f" ({CLASSES[state.configuration.kinds[arguments[1] % len(state.configuration.kinds)]].name})"
    return text
