"""Rejection of invalid configurations: each error is one line with the file and the invalid value."""

from __future__ import annotations

import copy
import json
import re
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from meadowpulley.net.capture import CaptureError, open_capture
from meadowpulley.net.config import (
    AddressError,
    Config,
    ConfigError,
    parse_address,
    read_config,
    reload_config,
)
from meadowpulley.settings import read_settings
from tests.standins import SETTINGS

VALID_CONFIG: dict[str, Any] = {"listen": "127.0.0.1:9", "discovery": "127.0.0.1:8", "settings": SETTINGS}
CLASS_PATH = ("settings", "classes", 1)
INVALID_VALUES: list[tuple[tuple[Any, ...], Any, str]] = [
    (("seed",), float("inf"), "'seed' is inf: expected a finite number or a string of hexadecimal digits"),
    (("limits",), {"sockets": 5}, "'limits': 'sockets' is 5"),
    (("settings", "me"), float("inf"), "'me' is inf"),
    (("settings", "balancers"), float("nan"), "'balancers' is nan"),
    (("settings", "rules", "cold-ms"), 10**400, "'rules': 'cold-ms' is inf, but must be a finite number"),
    (("settings", "family-info", "caps"), [float("inf")], "'caps' is inf, but must be a finite number"),
    (("settings", "prices"), {"x": 10**400}, "'prices': 'x' is inf, but must be a finite number"),
    ((*CLASS_PATH, "hard-limit-ms"), float("inf"), "'classes' 1: 'hard-limit-ms' is inf"),
    ((*CLASS_PATH, "hard-limit-ms"), -1, "'classes' 1: 'hard-limit-ms' is -1, but must be a finite number"),
    ((*CLASS_PATH, "name"), "look", "'classes' 1: 'name' is 'look'"),
    ((*CLASS_PATH, "name"), "", "'classes' 1: 'name' is missing"),
]


@pytest.mark.parametrize("read", [read_config, reload_config], ids=["start", "reload"])
@pytest.mark.parametrize(
    ("path", "value", "message"), INVALID_VALUES, ids=[message for _, _, message in INVALID_VALUES]
)
def test_an_invalid_value_is_rejected_in_one_line_with_its_location(
    tmp_path: Path, path: tuple[Any, ...], value: Any, message: str, read: Callable[..., Config]
) -> None:
    config = copy.deepcopy(VALID_CONFIG)
    file = tmp_path / "config.json"
    container: Any = config
    for key in path[:-1]:
        container = container[key]
    container[path[-1]] = value
    file.write_text(json.dumps(config))
    with pytest.raises(ConfigError, match=re.escape(message)) as caught:
        read({"PROXY_CONFIG": str(file)})
    line = str(caught.value)
    assert line.startswith(f"{file}: ")
    assert "\n" not in line


def test_unknown_fields_are_ignored(tmp_path: Path) -> None:
    # The specification's list of settings is incomplete and keeps growing. A gateway that rejected an unknown
    # setting would fail to start.
    file = tmp_path / "config.json"
    file.write_text(json.dumps({**VALID_CONFIG, "later": 1, "settings": {**SETTINGS, "later": {"a": 1}}}))
    assert read_config({"PROXY_CONFIG": str(file)}).settings.classes


@pytest.mark.parametrize(
    "value",
    [
        None,
        7,
        "",
        "127.0.0.1",
        "127.0.0.1:",
        "127.0.0.1:0",
        "127.0.0.1:65536",
        "127.0.0.256:80",
        "127.0.1:80",
        "host.example:80",
        "::1:80",
        "127.0.0.\N{ARABIC-INDIC DIGIT ONE}:80",
    ],
)
def test_an_invalid_address_is_quoted_in_the_error(value: Any) -> None:
    with pytest.raises(AddressError, match=re.escape(f"{value!r} is not an IPv4 address with a port")):
        parse_address(value)


@pytest.mark.parametrize("max_mb", ["many", "0", "-1", "nan", "1e400"])
def test_a_capture_with_an_invalid_size_limit_is_rejected(tmp_path: Path, max_mb: str) -> None:
    environ = {"MEADOWPULLEY_CAPTURE": str(tmp_path / "captured"), "MEADOWPULLEY_CAPTURE_MB": max_mb}
    with pytest.raises(
        CaptureError, match=r"MEADOWPULLEY_CAPTURE_MB is .*: expected a size in megabytes above 0"
    ):
        open_capture(environ, read_settings(SETTINGS, "test"), "n0", lambda: 0.0, lambda work, done: work())


def test_a_capture_file_that_cannot_be_opened_is_rejected(tmp_path: Path) -> None:
    environ = {"MEADOWPULLEY_CAPTURE": str(tmp_path / "missing" / "captured")}
    with pytest.raises(CaptureError, match="No such file"):
        open_capture(environ, read_settings(SETTINGS, "test"), "n0", lambda: 0.0, lambda work, done: work())
