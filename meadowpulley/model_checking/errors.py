"""The errors of the model checker."""

from __future__ import annotations

from typing import TYPE_CHECKING

from meadowpulley.errors import MeadowpulleyError

if TYPE_CHECKING:
    from collections.abc import Iterable

    from meadowpulley.model_checking.model import Step


class ModelCheckingError(MeadowpulleyError):
    """The base of the model checker's errors."""


class UnknownNameError(ModelCheckingError, ValueError):
    """A setting names something that does not exist.

    Attributes:
        setting: The option, by its stored name.
        name: What was asked for.
    """

    def __init__(self, setting: str, name: str, known_names: Iterable[str]) -> None:
        super().__init__(f"{setting}: '{name}' is not known; known are {', '.join(known_names)}")
        self.setting = setting
        self.name = name


class StepNotEnabledError(ModelCheckingError, LookupError):
    """A step was applied to a state in which it can't happen.

    Attributes:
        step: The step.
    """

    def __init__(self, step: Step, reason: str) -> None:
        super().__init__(
            f"step '{step.action}' {step.arguments} is not enabled: {reason}; take one of enabled_steps()"
        )
        self.step = step
