"""Limits on the source: the length of files, and imports of `net` without circles."""

from __future__ import annotations

import ast
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
FOLDERS = ("benchmarks", "deploy", "meadowpulley", "tests")
MAX_LINES = 400


def test_no_file_exceeds_the_line_limit() -> None:
    sizes = {
        str(path.relative_to(ROOT)): len(path.read_text().splitlines())
        for folder in FOLDERS
        for path in sorted((ROOT / folder).rglob("*.py"))
    }
    over = {name: n for name, n in sizes.items() if n > MAX_LINES}
    assert not over, f"over {MAX_LINES} lines: {over}"


def imports_of(path: Path, package: str) -> set[str]:
    """The modules of `package` that a file imports anywhere, for types alone among them."""
    imported: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            imported |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            assert node.level == 0, f"{path}: a relative import"
            imported |= {f"{node.module}.{alias.name}" for alias in node.names} | {str(node.module)}
    return {
        name.removeprefix(f"{package}.").split(".")[0] for name in imported if name.startswith(f"{package}.")
    }


def test_gateway_modules_import_without_circles() -> None:
    folder = ROOT / "meadowpulley" / "net"
    remaining = {path.stem: imports_of(path, "meadowpulley.net") for path in folder.glob("*.py")}
    assert remaining["gateway"] >= {
        "client_listener",
        "instance_pools",
        "discovery_client",
        "rollout_client",
        "gossip",
    }
    remaining = {name: imports & remaining.keys() for name, imports in remaining.items()}
    while leaves := [name for name, found in remaining.items() if not found]:
        remaining = {name: found - set(leaves) for name, found in remaining.items() if name not in leaves}
    assert not remaining, f"in a circle, or above one: {remaining}"
