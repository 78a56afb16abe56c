"""The canonical forms name classes and fields by text: each must exist in the code under test.

A field that is renamed and not followed there would go unnoticed: the search would only take more states
for different ones.
"""

from __future__ import annotations

import ast
import importlib
import inspect
import pkgutil
from collections.abc import Iterator
from types import ModuleType

import pytest

from meadowpulley.model_checking.graph import FormRules

PACKAGES = (
    "meadowpulley.ledger", "meadowpulley.lending", "meadowpulley.model_checking", "meadowpulley.net",
    "meadowpulley.policy", "meadowpulley.rules", "meadowpulley.state", "meadowpulley.takeover",
)  # fmt: skip
RULES = (
    ("policy_model.canonical_form", "FORM_RULES"),
    ("policy_model.canonical_form", "NAMELESS_FORM_RULES"),
    ("connection_model.state", "FORM_RULES"),
    ("shared_state_model.gateway_state", "FORM_RULES"),
)
FOREIGN = {"Failure"}  # classes of libraries that are written whole


def modules() -> Iterator[ModuleType]:
    for name in PACKAGES:
        package = importlib.import_module(name)
        yield package
        for found in pkgutil.walk_packages(package.__path__, name + "."):
            yield importlib.import_module(found.name)


def classes_by_name() -> dict[str, set[type]]:
    found: dict[str, set[type]] = {}
    for module in modules():
        for value in vars(module).values():
            if inspect.isclass(value) and value.__module__.startswith("meadowpulley."):
                found.setdefault(value.__name__, set()).add(value)
    return found


def fields_of(cls: type) -> set[str]:
    """Fields that a class and its bases declare, in their bodies or by assignments to `self`."""
    found: set[str] = set()
    for base in cls.__mro__:
        if not base.__module__.startswith("meadowpulley."):
            continue
        for node in ast.walk(ast.parse(inspect.cleandoc("\n" + inspect.getsource(base)))):
            if isinstance(node, ast.AnnAssign) and isinstance(node.target, ast.Name):
                found.add(node.target.id)
            elif isinstance(node, ast.Attribute) and isinstance(node.ctx, ast.Store):
                found.add(node.attr)
    return found


@pytest.mark.parametrize(("module", "rules_name"), RULES)
def test_canonical_forms_name_classes_and_fields_that_exist(module: str, rules_name: str) -> None:
    rules = getattr(importlib.import_module(f"meadowpulley.model_checking.{module}"), rules_name)
    assert isinstance(rules, FormRules)
    classes = classes_by_name()
    named = [(name, field) for name, fields in rules.ignored_fields.items() for field in sorted(fields)]
    named += list(rules.field_writers)
    stale = [
        f"{name}.{field}" for name, field in named
        if not any(field in fields_of(cls) for cls in classes.get(name, ()))
    ]  # fmt: skip
    assert stale == []
    assert [name for name in rules.class_writers if name not in classes and name not in FOREIGN] == []
