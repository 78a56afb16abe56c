"""What holds for every run of the tests: those in KNOWN-RED.txt have to fail, are printed; stand-ins end."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from tests import known_red, standins

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


@pytest.fixture(autouse=True)
def _stand_ins_end() -> Iterator[None]:
    yield
    standins.end_all()
