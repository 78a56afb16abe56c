"""A counterexample for people: a numbered story, a file that plays again, a shorter one, a diagram."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import Any

import msgspec
from jinja2 import Environment, PackageLoader, StrictUndefined
from msgspec import Struct
from msgspec.structs import replace

from meadowpulley.check.choices import ScriptError
from meadowpulley.check.explore import Counterexample
from meadowpulley.check.properties import PROPERTIES
from meadowpulley.check.worlds import Setting, Step, World, make_world

VERSION = 1
ROW, HEAD, COLUMN, MARGIN = 22, 60, 150, 20  # pixels of the diagram
Heard = Sequence[tuple[str, str, str]]


class StoryError(ValueError):
    """A file that is no counterexample; the text says what, where and what to do."""


class Tale(Struct, frozen=True, forbid_unknown_fields=True):
    """A counterexample as a file holds it. `mutant` names the planted bug, if it was one's."""

    version: int
    setting: Setting
    property: str
    text: str
    steps: tuple[Step, ...]
    mutant: str = ""


class Told(Struct, frozen=True):
    """One step as it happened: its number, its words, what parties said, and what broke."""

    number: int
    at_ms: float
    text: str
    heard: tuple[tuple[str, str, str], ...]
    broken: tuple[str, ...]


def tale_of(setting: Setting, found: Counterexample, mutant: str = "") -> Tale:
    return Tale(VERSION, setting, found.broken.name, str(found.broken), found.steps, mutant)


def write_tale(tale: Tale, path: Path) -> None:
    part = path.with_name(path.name + ".part")
    part.write_bytes(msgspec.json.format(msgspec.json.encode(tale), indent=1) + b"\n")
    part.replace(path)


def read_tale(path: Path) -> Tale:
    """Raises StoryError, one line."""
    try:
        tale = msgspec.json.decode(path.read_bytes(), type=Tale)
    except OSError as error:
        raise StoryError(f"{path}: {error.strerror or error}; give a file that can be read") from None
    except msgspec.MsgspecError as error:
        raise StoryError(f"{path}: {error}; give a file that 'check run' wrote") from None
    if tale.version != VERSION:
        raise StoryError(f"{path}: version {tale.version} is not known; this program reads {VERSION}")
    if tale.property not in PROPERTIES:
        raise StoryError(f"{path}: property '{tale.property}' is not known; see check/properties.py")
    return tale


def enabled(world: World, step: Step) -> bool:
    bare = replace(step, draws=())
    return any(bare == one for one in world.steps())


def play(tale: Tale) -> Iterator[Told]:
    """Plays a tale on today's code, step by step. Raises StoryError where a step is not possible any more."""
    world = make_world(tale.setting)
    for number, step in enumerate(tale.steps, 1):
        if not enabled(world, step):
            raise StoryError(f"step {number} ({step.do}) is not possible any more: the code has changed")
        text = world.tell(step)
        world.take(step)
        broken = tuple(str(b) for b in world.broken)
        yield Told(number, getattr(world, "now", 0.0), text, tuple(world.heard), broken)
        if broken:
            return


def still_breaks(setting: Setting, steps: Sequence[Step], name: str) -> tuple[Step, ...] | None:
    """The steps up to the one that breaks the property, with what they drew; None if none does."""
    world: Any = make_world(setting)
    done = []
    for step in steps:
        if not enabled(world, step):
            return None
        try:
            made, _ = world.take(step)
        except ScriptError:
            return None
        done.append(replace(step, draws=tuple(made)))
        if any(b.name == name for b in world.broken):
            return tuple(done)
        if world.broken:
            return None
    return None


def shrink(tale: Tale) -> Tale:
    """The same property broken by fewer steps: each is left out in turn, last first, until none can be, then
    each draw that need not be is the first one. The result is minimal in that no single step can go."""
    steps = still_breaks(tale.setting, tale.steps, tale.property)
    if steps is None:
        raise StoryError("it breaks nothing on today's code; there is nothing to shrink")
    shorter = True
    while shorter:
        shorter = False
        for at in reversed(range(len(steps))):
            found = still_breaks(tale.setting, (*steps[:at], *steps[at + 1 :]), tale.property)
            if found is not None:
                steps, shorter = found, True
                break
    for at, step in enumerate(steps):
        if any(step.draws):
            plain = (*steps[:at], replace(step, draws=()), *steps[at + 1 :])
            found = still_breaks(tale.setting, plain, tale.property)
            if found is not None and len(found) <= len(steps):
                steps = found
    return replace(tale, steps=steps)


def broken_of(tale: Tale) -> list[str]:
    """What a tale breaks on today's code."""
    return [text for told in play(tale) for text in told.broken]


def lines_of(tale: Tale) -> list[str]:
    """The story in plain lines."""
    found = [f"{PROPERTIES[tale.property].text} ({PROPERTIES[tale.property].source})"]
    for told in play(tale):
        found.append(f"{told.number:3}. {told.text}")
        found += [f"       {who} -> {whom}: {what}" for who, whom, what in told.heard]
        found += [f"     * {text}" for text in told.broken]
    return found


# The diagram


def _order(name: str) -> tuple[int, str]:
    kinds = ("clients", "gateway", "server", "discovery", "platform")
    return next((n for n, kind in enumerate(kinds) if name.startswith(kind)), len(kinds)), name


def sequence(tale: Tale) -> str:
    """A sequence diagram (SVG) of a tale as it plays today."""
    story = list(play(tale))
    parties = sorted({p for told in story for who, whom, _ in told.heard for p in (who, whom)}, key=_order)
    x = {name: MARGIN + COLUMN // 2 + n * COLUMN for n, name in enumerate(parties)}
    y, notes, arrows = HEAD, [], []
    for told in story:
        y += ROW
        notes.append({"y": y, "text": f"{told.number}. {told.text}", "bad": False})
        for who, whom, what in told.heard:
            y += ROW
            arrows.append({"y": y, "x1": x[who], "x2": x[whom], "text": what})
        for text in told.broken:
            y += ROW
            notes.append({"y": y, "text": text, "bad": True})
    environment = Environment(
        loader=PackageLoader("meadowpulley.report"), autoescape=True, undefined=StrictUndefined
    )
    return environment.get_template("sequence.svg.j2").render(
        title=f"{tale.property}: {tale.text}",
        width=max(2 * MARGIN + COLUMN * len(parties), 900),
        height=y + 2 * ROW,
        parties=[{"x": x[p], "name": p} for p in parties],
        notes=notes,
        arrows=arrows,
        head=HEAD,
        margin=MARGIN,
    )
