"""What the operators' pages say of the code is so: log events, their fields, and functions of rules."""

from __future__ import annotations

import ast
import dataclasses
import re
from collections.abc import Iterator
from pathlib import Path

import pytest

from meadowpulley.interface import LOG_EVENT_TYPES

ROOT = Path(__file__).resolve().parent.parent
PACKAGE = ROOT / "meadowpulley"
LOG_METHODS = ("info", "warning", "error")
EVENT_CONSTANTS = ("EVENT_NAME", "_EVENT")
ON_CALL = (ROOT / "docs" / "on-call.md").read_text()
DESIGN = (ROOT / "docs" / "design.md").read_text()


def documented_events() -> dict[str, set[str]]:
    """Return the fields of each event in the on-call page's first table."""
    rows = ON_CALL.split("| event | fields |")[1].split("\n\n")[0].splitlines()[2:]
    found = {}
    for row in rows:
        names, fields = row.split("|")[1:3]
        for name in re.findall(r"`(\w+)`", names):
            found[name] = set(re.findall(r"`(\w+)`", fields))
    return found


def written_events() -> Iterator[str]:
    """Yield the names of the events that the gateway's code writes to its log."""
    yield from (kind.event_name for kind in LOG_EVENT_TYPES)
    for path in [*PACKAGE.glob("net/*.py"), *PACKAGE.glob("ledger/*.py"), PACKAGE / "__main__.py"]:
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Assign) and getattr(node.targets[0], "id", "").endswith(EVENT_CONSTANTS):
                yield ast.literal_eval(node.value)
            elif isinstance(node, ast.Call) and _is_log_call(node):
                yield ast.literal_eval(node.args[0])


def _is_log_call(call: ast.Call) -> bool:
    """Tell whether a call logs an event whose name is written there."""
    if not isinstance(call.func, ast.Attribute) or call.func.attr not in LOG_METHODS:
        return False
    owner = call.func.value
    logs = getattr(owner, "attr", getattr(owner, "id", "")) in ("log", "_log")
    return logs and bool(call.args) and isinstance(call.args[0], ast.Constant)


def test_the_on_call_page_names_exactly_the_events_that_are_written() -> None:
    assert set(documented_events()) == set(written_events())


@pytest.mark.parametrize("kind", LOG_EVENT_TYPES, ids=lambda kind: kind.event_name)
def test_the_on_call_page_names_the_fields_of_an_event(kind: type) -> None:
    fields = {field.name for field in dataclasses.fields(kind)}
    assert fields <= documented_events()[kind.event_name]  # type: ignore[attr-defined]  # each has a name


def functions_named(text: str) -> set[tuple[str, str]]:
    """Return the files and functions that a table names, such as `policy/voting.evaluate_rollout`."""
    named = set(re.findall(r"`((?!deploy/)\w+/\w+)\.([\w.]+)`", text))
    return {(module, function.rpartition(".")[2]) for module, function in named}


def policy_functions_named(text: str) -> set[tuple[str, str]]:
    """Return the files and functions of the table of rules, such as `voting.evaluate_rollout`."""
    rows = re.findall(r"^\| [^|]+ \| `(\w+)\.(\w+)`", text, re.MULTILINE)
    return {(f"policy/{module}", function) for module, function in rows}


@pytest.mark.parametrize(
    ("module", "function"), sorted(functions_named(ON_CALL) | policy_functions_named(DESIGN))
)
def test_a_function_that_a_page_names_is_there(module: str, function: str) -> None:
    tree = ast.parse((PACKAGE / f"{module}.py").read_text())
    defined = {node.name for node in ast.walk(tree) if isinstance(node, ast.FunctionDef | ast.ClassDef)}
    assert function in defined
