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

from meadowpulley.model_checking.errors import ModelCheckingError

PACKAGES_UNDER_TEST = (
    "meadowpulley.policy",
    "meadowpulley.state",
    "meadowpulley.net",
    "meadowpulley.model_checking.policy_model",
    "meadowpulley.model_checking.connection_model",
    "meadowpulley.model_checking.invariant_monitor",
    "meadowpulley.ledger",
    "meadowpulley.takeover",
    "meadowpulley.lending",
    "meadowpulley.model_checking.shared_state_model",
)
_planted: _MutantFinder | None = None


class MutantError(ModelCheckingError, ValueError):
    """A mutant that can't be planted; the text is one line with the reason."""


@dataclass(frozen=True, slots=True)
class Mutant:
    """A small patch of the code under test.

    `replacements`: each original text, found exactly once in the files of `modules` (modules or packages),
    becomes the second text. `caught_by`: the properties that may catch the mutant. `model`, `configuration`
    and the rest: the bounds of the search under which it shows.
    """

    name: str
    description: str
    modules: tuple[str, ...]
    replacements: tuple[tuple[str, str], ...]
    caught_by: tuple[str, ...]
    configuration: str
    model: str = "decisions"
    faults: int = 2
    requests: int = 2
    gateways: int = 1
    servers: int = 3
    time_advances: int = 3

    @property
    def module(self) -> str:
        """The patched modules, for people."""
        return ", ".join(self.modules)


class _MutantLoader(importlib.abc.SourceLoader):
    """Loads one module from its source with the replacements made, and notes those that it has made."""

    def __init__(self, path: str, replacements: tuple[tuple[str, str], ...], loaded: set[str]) -> None:
        self.path, self.replacements, self.loaded = path, replacements, loaded

    def get_filename(self, fullname: str) -> str:
        """Return the path of the unchanged source."""
        return self.path

    def get_data(self, path: str | bytes) -> bytes:
        """Return the changed source."""
        source = Path(self.path).read_text()
        for original, replacement in self.replacements:
            if original in source:
                self.loaded.add(original)
            source = source.replace(original, replacement)
        return source.encode()


class _MutantFinder(importlib.abc.MetaPathFinder):
    """Finds the modules that a mutant changes before anybody else does."""

    def __init__(self, mutant: Mutant) -> None:
        self.mutant = mutant
        self.files = source_files(mutant.modules)
        self.loaded: set[str] = set()  # original texts whose replacement was loaded

    def find_spec(
        self, fullname: str, path: Sequence[str] | None, target: ModuleType | None = None
    ) -> importlib.machinery.ModuleSpec | None:
        """Return how to load a changed module; None for all others."""
        source = self.files.get(fullname)
        if source is None:
            return None
        loader = _MutantLoader(str(source), self.mutant.replacements, self.loaded)
        return importlib.util.spec_from_loader(fullname, loader, origin=str(source))


def source_files(modules: Sequence[str]) -> dict[str, Path]:
    """Return the files of modules, and of the modules of packages, by the modules' full names."""
    found: dict[str, Path] = {}
    root = Path(__file__).resolve().parent.parent
    for module in modules:
        location = root.joinpath(*module.split(".")[1:])
        if location.is_dir():
            files = [file for file in location.glob("*.py") if file.stem != "__init__"]
            found |= {f"{module}.{file.stem}": file for file in files}
        else:
            found[module] = location.with_suffix(".py")
    return found


def check_replacements(mutant: Mutant) -> None:
    """Raise MutantError unless each original text is found exactly once in the mutant's modules."""
    source = "".join(file.read_text() for file in source_files(mutant.modules).values())
    for original, _ in mutant.replacements:
        if source.count(original) != 1:
            found_text = f"{source.count(original)} times in {mutant.module}"
            raise MutantError(f"mutant {mutant.name}: {original.strip()[:40]!r} stands {found_text}; mend it")


def plant(name: str) -> None:
    """Plant a mutant of the catalogue in this process, once. Raises MutantError."""
    global _planted
    if _planted is not None:
        if _planted.mutant.name == name:
            return
        raise MutantError(f"mutant {_planted.mutant.name} is planted here already; use a process of its own")
    from meadowpulley.model_checking.mutants import MUTANTS

    mutant = MUTANTS.get(name)
    if mutant is None:
        raise MutantError(f"mutant: '{name}' is not known; 'check mutants --list' names them")
    check_replacements(mutant)
    unload_code_under_test()
    _planted = _MutantFinder(mutant)
    sys.meta_path.insert(0, _planted)


def require_loaded() -> None:
    """Raise MutantError unless all of the planted mutant's code was loaded, so that the search ran it."""
    if _planted is None:
        return
    for original, _ in _planted.mutant.replacements:
        if original not in _planted.loaded:
            name = _planted.mutant.name
            raise MutantError(f"mutant {name}: the code of {original.strip()[:40]!r} was never loaded")


def unload_code_under_test() -> None:
    """Unload the code under test, so that the next import loads it again."""
    for name in list(sys.modules):
        if any(name == part or name.startswith(part + ".") for part in PACKAGES_UNDER_TEST):
            parent_name, _, child_name = name.rpartition(".")
            del sys.modules[name]
            parent_module: Any = sys.modules.get(parent_name)
            if parent_module is not None and hasattr(parent_module, child_name):
                delattr(parent_module, child_name)
