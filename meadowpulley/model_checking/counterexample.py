"""A counterexample for people: a file that can be replayed, numbered lines, a shorter path, a diagram."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import Any

import msgspec
from jinja2 import Environment, PackageLoader, StrictUndefined
from msgspec import Struct, field
from msgspec.structs import replace

from meadowpulley.model_checking.choices import ChoiceScriptError
from meadowpulley.model_checking.errors import ModelCheckingError
from meadowpulley.model_checking.model import Model, ModelSettings, Step, make_model
from meadowpulley.model_checking.properties import PROPERTIES
from meadowpulley.model_checking.search import ViolatingPath

FORMAT_VERSION = 1
# Pixels of the diagram.
ROW_HEIGHT = 22
HEADER_HEIGHT = 60
LANE_WIDTH = 150
MARGIN = 20


class CounterexampleError(ModelCheckingError, ValueError):
    """A file that is no counterexample; the text says what, where and what to do."""


class Counterexample(Struct, frozen=True, forbid_unknown_fields=True):
    """A counterexample as a file holds it. `mutant` names the planted bug, if it was one's."""

    version: int
    settings: ModelSettings = field(name="setting")
    property_name: str = field(name="property")
    text: str
    steps: tuple[Step, ...]
    mutant: str = ""


class TraceStep(Struct, frozen=True):
    """One step as it happened: its number, its words, what parties said, and what broke."""

    number: int
    at_ms: float
    text: str
    messages: tuple[tuple[str, str, str], ...] = field(name="heard")
    violations: tuple[str, ...] = field(name="broken")


def counterexample_of(settings: ModelSettings, path: ViolatingPath, mutant: str = "") -> Counterexample:
    """Return a violating path as a counterexample that can be written to a file."""
    return Counterexample(
        FORMAT_VERSION, settings, path.violation.name, str(path.violation), path.steps, mutant
    )


def write_counterexample(counterexample: Counterexample, path: Path) -> None:
    """Write a counterexample as JSON, in place of an earlier file."""
    temporary = path.with_name(path.name + ".part")
    temporary.write_bytes(msgspec.json.format(msgspec.json.encode(counterexample), indent=1) + b"\n")
    temporary.replace(path)


def read_counterexample(path: Path) -> Counterexample:
    """Raises StoryError, one line."""
    try:
        counterexample = msgspec.json.decode(path.read_bytes(), type=Counterexample)
    except OSError as error:
        raise CounterexampleError(
            f"{path}: {error.strerror or error}; give a file that can be read"
        ) from None
    except msgspec.MsgspecError as error:
        raise CounterexampleError(f"{path}: {error}; give a file that 'check run' wrote") from None
    if counterexample.version != FORMAT_VERSION:
        raise CounterexampleError(
            f"{path}: version {counterexample.version} is not known; this program reads {FORMAT_VERSION}"
        )
    if counterexample.property_name not in PROPERTIES:
        raise CounterexampleError(
            f"{path}: property '{counterexample.property_name}' is not known; see check/properties.py"
        )
    return counterexample


def is_enabled(model: Model, step: Step) -> bool:
    """Tell whether a step may happen now, whatever it draws."""
    undrawn = replace(step, draws=())
    return any(undrawn == one for one in model.enabled_steps())


def replay(counterexample: Counterexample) -> Iterator[TraceStep]:
    """Replay a counterexample on today's code, step by step.

    Raises CounterexampleError where a step is not possible any more.
    """
    model = make_model(counterexample.settings)
    for number, step in enumerate(counterexample.steps, 1):
        if not is_enabled(model, step):
            raise CounterexampleError(
                f"step {number} ({step.action}) is not possible any more: the code has changed"
            )
        text = model.describe(step)
        model.apply(step)
        violations = tuple(str(b) for b in model.violations)
        yield TraceStep(number, getattr(model, "now", 0.0), text, tuple(model.messages), violations)
        if violations:
            return


def violating_prefix(
    settings: ModelSettings, steps: Sequence[Step], property_name: str
) -> tuple[Step, ...] | None:
    """The steps up to the one that breaks the property, with what they drew; None if none does."""
    model: Any = make_model(settings)
    prefix = []
    for step in steps:
        if not is_enabled(model, step):
            return None
        try:
            chosen, _ = model.apply(step)
        except ChoiceScriptError:
            return None
        prefix.append(replace(step, draws=tuple(chosen)))
        if any(b.name == property_name for b in model.violations):
            return tuple(prefix)
        if model.violations:
            return None
    return None


def shrink(counterexample: Counterexample) -> Counterexample:
    """The same property broken by fewer steps: each is left out in turn, last first, until none can be, then
    each draw that need not be is the first one. The result is minimal in that no single step can go."""
    steps = violating_prefix(counterexample.settings, counterexample.steps, counterexample.property_name)
    if steps is None:
        raise CounterexampleError("it breaks nothing on today's code; there is nothing to shrink")
    changed = True
    while changed:
        changed = False
        for position in reversed(range(len(steps))):
            shorter_steps = violating_prefix(
                counterexample.settings,
                (*steps[:position], *steps[position + 1 :]),
                counterexample.property_name,
            )
            if shorter_steps is not None:
                steps = shorter_steps
                changed = True
                break
    for position, step in enumerate(steps):
        if any(step.draws):
            undrawn = (*steps[:position], replace(step, draws=()), *steps[position + 1 :])
            shorter_steps = violating_prefix(counterexample.settings, undrawn, counterexample.property_name)
            if shorter_steps is not None and len(shorter_steps) <= len(steps):
                steps = shorter_steps
    return replace(counterexample, steps=steps)


def violations_of(counterexample: Counterexample) -> list[str]:
    """Return what a counterexample violates on today's code."""
    return [text for step in replay(counterexample) for text in step.violations]


def describe_lines(counterexample: Counterexample) -> list[str]:
    """Return the property, and the replay in numbered lines."""
    lines = [
        f"{PROPERTIES[counterexample.property_name].text} ({PROPERTIES[counterexample.property_name].source})"
    ]
    for trace_step in replay(counterexample):
        lines.append(f"{trace_step.number:3}. {trace_step.text}")
        lines += [f"       {who} -> {whom}: {what}" for who, whom, what in trace_step.messages]
        lines += [f"     * {text}" for text in trace_step.violations]
    return lines


# The diagram


def _lane_order(name: str) -> tuple[int, str]:
    kinds = ("clients", "gateway", "server", "discovery", "platform")
    return next((n for n, kind in enumerate(kinds) if name.startswith(kind)), len(kinds)), name


def sequence_diagram(counterexample: Counterexample) -> str:
    """Return a sequence diagram (SVG) of the replay."""
    trace = list(replay(counterexample))
    lanes = sorted(
        {party for step in trace for message in step.messages for party in message[:2]}, key=_lane_order
    )
    x = {name: MARGIN + LANE_WIDTH // 2 + n * LANE_WIDTH for n, name in enumerate(lanes)}
    y, notes, arrows = HEADER_HEIGHT, [], []
    for trace_step in trace:
        y += ROW_HEIGHT
        notes.append({"y": y, "text": f"{trace_step.number}. {trace_step.text}", "bad": False})
        for sender, receiver, message in trace_step.messages:
            y += ROW_HEIGHT
            arrows.append({"y": y, "x1": x[sender], "x2": x[receiver], "text": message})
        for violation in trace_step.violations:
            y += ROW_HEIGHT
            notes.append({"y": y, "text": violation, "bad": True})
    environment = Environment(
        loader=PackageLoader("meadowpulley.report"), autoescape=True, undefined=StrictUndefined
    )
    return environment.get_template("sequence.svg.j2").render(
        title=f"{counterexample.property_name}: {counterexample.text}",
        width=max(2 * MARGIN + LANE_WIDTH * len(lanes), 900),
        height=y + 2 * ROW_HEIGHT,
        parties=[{"x": x[p], "name": p} for p in lanes],
        notes=notes,
        arrows=arrows,
        head=HEADER_HEIGHT,
        margin=MARGIN,
    )
