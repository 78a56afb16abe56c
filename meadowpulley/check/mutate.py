"""Plants a named bug in the code under test, in memory: a module is loaded from a source with one piece
changed.

Only a process of its own may do so: all that imports the changed module must be loaded after it.
"""

from __future__ import annotations

import importlib.abc
import importlib.machinery
import importlib.util
import sys
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from types import ModuleType
from typing import Any

UNDER_TEST = (
    "meadowpulley.balance",
    "meadowpulley.records",
    "meadowpulley.net",
    "meadowpulley.check.decisions",
    "meadowpulley.check.connection",
    "meadowpulley.check.monitors",
    "meadowpulley.ledger",
    "meadowpulley.takeover",
    "meadowpulley.lending",
    "meadowpulley.check.shared",
)
_applied = ""


class MutantError(ValueError):
    """A mutant that can't be planted; the text says why in one line."""


@dataclass(frozen=True, slots=True)
class Mutant:
    """A small patch of `module`, or of the modules of that package: of each piece the first text, found
    just once, becomes the second.

    `by`: properties that may catch it; `world`, `scene` and the rest: the bounds under which it shows.
    """

    name: str
    why: str
    module: str
    pieces: tuple[tuple[str, str], ...]
    by: tuple[str, ...]
    scene: str
    world: str = "decisions"
    troubles: int = 2
    requests: int = 2
    gateways: int = 1
    servers: int = 3
    waits: int = 3


class _Loader(importlib.abc.SourceLoader):
    def __init__(self, path: str, pieces: tuple[tuple[str, str], ...]) -> None:
        self.path, self.pieces = path, pieces

    def get_filename(self, fullname: str) -> str:
        return self.path

    def get_data(self, path: str | bytes) -> bytes:
        source = Path(self.path).read_text()
        for old, new in self.pieces:
            source = source.replace(old, new)
        return source.encode()


class _Finder(importlib.abc.MetaPathFinder):
    def __init__(self, mutant: Mutant) -> None:
        self.mutant = mutant
        self.files = files_of(mutant.module)

    def find_spec(
        self, fullname: str, path: Sequence[str] | None, target: ModuleType | None = None
    ) -> importlib.machinery.ModuleSpec | None:
        source = self.files.get(fullname)
        if source is None:
            return None
        loader = _Loader(str(source), self.mutant.pieces)
        return importlib.util.spec_from_loader(fullname, loader, origin=str(source))


def files_of(module: str) -> dict[str, Path]:
    """A module's file, or those of a package, by the full names of the modules."""
    place = Path(__file__).resolve().parent.parent.joinpath(*module.split(".")[1:])
    if not place.is_dir():
        return {module: place.with_suffix(".py")}
    return {f"{module}.{file.stem}": file for file in place.glob("*.py") if file.stem != "__init__"}


def check(mutant: Mutant) -> None:
    """Raises MutantError unless each piece stands in the module just once."""
    source = "".join(file.read_text() for file in files_of(mutant.module).values())
    for old, _ in mutant.pieces:
        if source.count(old) != 1:
            where = f"{source.count(old)} times in {mutant.module}"
            raise MutantError(f"mutant {mutant.name}: {old.strip()[:40]!r} stands {where}; mend it")


def apply(name: str) -> None:
    """Plants a mutant of the catalogue in this process, once. Raises MutantError."""
    global _applied
    if _applied == name:
        return
    if _applied:
        raise MutantError(f"mutant {_applied} is planted here already; use a process of its own")
    from meadowpulley.check.mutants import MUTANTS

    mutant = MUTANTS.get(name)
    if mutant is None:
        raise MutantError(f"mutant: '{name}' is not known; 'check mutants --list' names them")
    check(mutant)
    forget()
    sys.meta_path.insert(0, _Finder(mutant))
    _applied = name


def forget() -> None:
    """What is under test is loaded anew by whoever asks for it next."""
    for name in list(sys.modules):
        if any(name == part or name.startswith(part + ".") for part in UNDER_TEST):
            parent, _, child = name.rpartition(".")
            del sys.modules[name]
            holder: Any = sys.modules.get(parent)
            if holder is not None and hasattr(holder, child):
                delattr(holder, child)
