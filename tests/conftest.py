"""What holds for every run of the tests: those in KNOWN-RED.txt have to fail, and are printed."""

from __future__ import annotations

import pytest

from tests import known_red

LISTED = pytest.StashKey[list[known_red.KnownRed]]()


def pytest_configure(config: pytest.Config) -> None:
    config.stash[LISTED] = known_red.read(config.rootpath / known_red.NAME)


@pytest.hookimpl(trylast=True)
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    everything = config.args_source is not pytest.Config.ArgsSource.ARGS
    listed = config.stash[LISTED]
    known_red.mark(listed, items, everything)


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    for known in config.stash[LISTED]:
        terminalreporter.write_line(f"known red: {known.test}: {known.cause} ({known.issue})")
