"""The layers that docs/architecture.md tells, and imports without circles, held over the source.

A package that reaches up, or two files that need each other, make a change in one place break another that a
reader did not think of.
"""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from graphlib import CycleError, TopologicalSorter
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
PACKAGE = "meadowpulley"
# Circles that stood before this check, and are to be untied: none may be added.
KNOWN_CIRCLES = (f"{PACKAGE}.model_checking",)


def layers() -> dict[str, int]:
    """Return the layer of each package, from the table of the architecture page."""
    found: dict[str, int] = {}
    for line in (ROOT / "docs" / "architecture.md").read_text().splitlines():
        row = re.match(r"\| (\d+) \| ([^|]+) \|", line)
        if row:
            found |= dict.fromkeys(re.findall(r"`(\w+)`", row[2]), int(row[1]))
    return found


def module_files() -> dict[str, Path]:
    """Return the files of all modules by their names."""
    files = {}
    for path in (ROOT / PACKAGE).rglob("*.py"):
        name = ".".join(path.relative_to(ROOT).with_suffix("").parts)
        files[name.removesuffix(".__init__")] = path
    return files


def runtime_imports(path: Path) -> Iterator[str]:
    """Yield the names that a file imports from the project, without those for types alone."""
    tree = ast.parse(path.read_text())
    for_types = {
        id(node)
        for block in ast.walk(tree)
        if isinstance(block, ast.If) and getattr(block.test, "id", "") == "TYPE_CHECKING"
        for node in ast.walk(block)
    }
    for node in ast.walk(tree):
        if id(node) in for_types:
            continue
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names if alias.name.startswith(PACKAGE))
        elif isinstance(node, ast.ImportFrom) and str(node.module).startswith(PACKAGE):
            yield from (f"{node.module}.{alias.name}" for alias in node.names)


FILES = module_files()


def imported_modules(name: str) -> set[str]:
    """Return the modules that a module imports when it is loaded."""
    found = set()
    for imported in runtime_imports(FILES[name]):
        module = imported if imported in FILES else imported.rpartition(".")[0]
        found.add(module)
    return found - {name}


def test_the_page_names_every_package_once() -> None:
    packages = {name.split(".")[1] for name in FILES if "." in name}
    assert set(layers()) == packages


@pytest.mark.parametrize("package", sorted(layers()))
def test_a_package_imports_only_from_lower_layers(package: str) -> None:
    ranks = layers()
    needed = {
        imported.split(".")[1]
        for name in FILES
        if name.split(".")[1:2] == [package]
        for imported in imported_modules(name)
        if "." in imported
    }
    reaching_up = {other for other in needed - {package} if ranks[other] >= ranks[package]}
    assert not reaching_up


def test_files_import_each_other_without_circles() -> None:
    needs = {
        name: {other for other in imported_modules(name) if not other.startswith(KNOWN_CIRCLES)}
        for name in FILES
        if not name.startswith(KNOWN_CIRCLES)
    }
    try:
        TopologicalSorter(needs).prepare()
    except CycleError as error:
        pytest.fail(f"these files import each other: {error.args[1]}")
