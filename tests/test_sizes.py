"""The shape of the source: files that can be read at one sitting, and parts of `net` that import one way."""

from __future__ import annotations

import ast
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
FOLDERS = ("benchmarks", "deploy", "meadowpulley", "tests")
MOST_LINES = 400


def test_no_file_is_longer_than_one_can_read() -> None:
    sizes = {
        str(path.relative_to(ROOT)): len(path.read_text().splitlines())
        for folder in FOLDERS
        for path in sorted((ROOT / folder).rglob("*.py"))
    }
    over = {name: n for name, n in sizes.items() if n > MOST_LINES}
    assert not over, f"over {MOST_LINES} lines: {over}"


def imports_of(path: Path, package: str) -> set[str]:
    """The modules of `package` that a file imports anywhere, for types alone among them."""
    found: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            assert node.level == 0, f"{path}: a relative import"
            found |= {f"{node.module}.{alias.name}" for alias in node.names} | {str(node.module)}
    return {
        name.removeprefix(f"{package}.").split(".")[0] for name in found if name.startswith(f"{package}.")
    }


def test_the_parts_of_the_gateway_import_one_way() -> None:
    folder = ROOT / "meadowpulley" / "net"
    left = {path.stem: imports_of(path, "meadowpulley.net") for path in folder.glob("*.py")}
    assert left["gateway"] >= {"clients", "instances", "discovery", "control", "peers"}
    left = {name: found & left.keys() for name, found in left.items()}
    while lowest := [name for name, found in left.items() if not found]:
        left = {name: found - set(lowest) for name, found in left.items() if name not in lowest}
    assert not left, f"in a circle, or above one: {left}"
