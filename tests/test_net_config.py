"""What a gateway refuses to be told, each in one line that names the file and the place in it."""

from __future__ import annotations

import copy
import json
from pathlib import Path
from typing import Any

import pytest

from meadowpulley.net.config import ConfigError, read_config, reread_config
from tests.standins import SETTINGS

GOOD: dict[str, Any] = {"listen": "127.0.0.1:9", "discovery": "127.0.0.1:8", "settings": SETTINGS}
CLASS = ("settings", "classes", 1)
BAD: list[tuple[tuple[Any, ...], Any, str]] = [
    (("seed",), float("inf"), "'seed': inf is no number"),
    (("limits",), {"sockets": 5}, "'limits': 'sockets' is 5"),
    (("settings", "me"), float("inf"), "'me' is inf"),
    (("settings", "balancers"), float("nan"), "'balancers' is nan"),
    (("settings", "rules", "cold-ms"), 10**400, "'rules': 'cold-ms' is inf, no figure"),
    (("settings", "family-info", "caps"), [float("inf")], "'caps' is inf, no figure"),
    (("settings", "prices"), {"x": 10**400}, "'prices': 'x' is inf, no figure"),
    ((*CLASS, "hard-limit-ms"), float("inf"), "'classes' 1: 'hard-limit-ms' is inf"),
    ((*CLASS, "hard-limit-ms"), -1, "'classes' 1: 'hard-limit-ms' is -1, no figure"),
    ((*CLASS, "name"), "look", "'classes' 1: 'name' is 'look'"),
    ((*CLASS, "name"), "", "'classes' 1: 'name' is missing"),
]


@pytest.mark.parametrize(("place", "value", "said"), BAD)
def test_what_cannot_be_is_one_line_with_its_place(
    tmp_path: Path, place: tuple[Any, ...], value: Any, said: str
) -> None:
    told, file = copy.deepcopy(GOOD), tmp_path / "config.json"
    within: Any = told
    for key in place[:-1]:
        within = within[key]
    within[place[-1]] = value
    file.write_text(json.dumps(told))
    for read in (read_config, reread_config):
        with pytest.raises(ConfigError) as caught:
            read({"PROXY_CONFIG": str(file)})
        line = str(caught.value)
        assert line.startswith(f"{file}: ") and said in line and "\n" not in line


def test_fields_of_a_later_platform_are_passed_over(tmp_path: Path) -> None:
    # The pages name none of the settings as complete, and each day brings others: refusing one would be a
    # gateway that does not start.
    file = tmp_path / "config.json"
    file.write_text(json.dumps({**GOOD, "later": 1, "settings": {**SETTINGS, "later": {"a": 1}}}))
    assert read_config({"PROXY_CONFIG": str(file)}).settings.classes
