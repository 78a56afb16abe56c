"""What holds for every run of the tests: those in KNOWN-RED.txt have to fail, are printed; stand-ins end."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from tests import known_red, standins

KNOWN_RED_TESTS = pytest.StashKey[list[known_red.KnownRed]]()


def pytest_configure(config: pytest.Config) -> None:
    config.stash[KNOWN_RED_TESTS] = known_red.read(config.rootpath / known_red.FILE_NAME)


@pytest.hookimpl(trylast=True)
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    all_collected = config.args_source is not pytest.Config.ArgsSource.ARGS
    listed = config.stash[KNOWN_RED_TESTS]
    known_red.apply_marks(listed, items, all_collected)


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    for known in config.stash[KNOWN_RED_TESTS]:
        terminalreporter.write_line(f"known red: {known.test}: {known.cause} ({known.issue})")


@pytest.fixture(autouse=True)
def _stop_stand_ins() -> Iterator[None]:
    yield
    standins.stop_all()
