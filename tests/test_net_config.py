"""What a gateway refuses to be told, each in one line that names the file and the place in it."""

from __future__ import annotations

import copy
import json
from pathlib import Path
from typing import Any

import pytest

from meadowpulley.net.config import ConfigError, read_config, reload_config
from tests.standins import SETTINGS

VALID_CONFIG: dict[str, Any] = {"listen": "127.0.0.1:9", "discovery": "127.0.0.1:8", "settings": SETTINGS}
CLASS_PATH = ("settings", "classes", 1)
INVALID_VALUES: list[tuple[tuple[Any, ...], Any, str]] = [
    (("seed",), float("inf"), "'seed': inf is no number"),
    (("limits",), {"sockets": 5}, "'limits': 'sockets' is 5"),
    (("settings", "me"), float("inf"), "'me' is inf"),
    (("settings", "balancers"), float("nan"), "'balancers' is nan"),
    (("settings", "rules", "cold-ms"), 10**400, "'rules': 'cold-ms' is inf, no figure"),
    (("settings", "family-info", "caps"), [float("inf")], "'caps' is inf, no figure"),
    (("settings", "prices"), {"x": 10**400}, "'prices': 'x' is inf, no figure"),
    ((*CLASS_PATH, "hard-limit-ms"), float("inf"), "'classes' 1: 'hard-limit-ms' is inf"),
    ((*CLASS_PATH, "hard-limit-ms"), -1, "'classes' 1: 'hard-limit-ms' is -1, no figure"),
    ((*CLASS_PATH, "name"), "look", "'classes' 1: 'name' is 'look'"),
    ((*CLASS_PATH, "name"), "", "'classes' 1: 'name' is missing"),
]


@pytest.mark.parametrize(("path", "value", "message"), INVALID_VALUES)
def test_an_invalid_value_is_rejected_in_one_line_with_its_location(
    tmp_path: Path, path: tuple[Any, ...], value: Any, message: str
) -> None:
    config, file = copy.deepcopy(VALID_CONFIG), tmp_path / "config.json"
    container: Any = config
    for key in path[:-1]:
        container = container[key]
    container[path[-1]] = value
    file.write_text(json.dumps(config))
    for read in (read_config, reload_config):
        with pytest.raises(ConfigError) as caught:
            read({"PROXY_CONFIG": str(file)})
        line = str(caught.value)
        assert line.startswith(f"{file}: ") and message in line and "\n" not in line


def test_unknown_fields_are_ignored(tmp_path: Path) -> None:
    # The pages name none of the settings as complete, and each day brings others: refusing one would be a
    # gateway that does not start.
    file = tmp_path / "config.json"
    file.write_text(json.dumps({**VALID_CONFIG, "later": 1, "settings": {**SETTINGS, "later": {"a": 1}}}))
    assert read_config({"PROXY_CONFIG": str(file)}).settings.classes
