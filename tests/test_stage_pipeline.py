"""The end of what was started at a gateway."""

from __future__ import annotations

from typing import Any

from meadowpulley.interface import (
    EndpointListRenewed,
)
from meadowpulley.ledger import Commit, Create, Transaction
from meadowpulley.stage_pipeline import StagePipeline


class Recorder:
    """As the ledger's client and as a stage."""

    def __init__(self) -> None:
        self.calls = list[Any]()

    def commit(self, action: Commit) -> None:
        self.calls.append(action)

    def release_lease(self) -> None:
        self.calls.append("lease released")

    def shut_down(self, now: float) -> list[Any]:
        self.calls.append(f"stage shut down at {now:g}")
        return [EndpointListRenewed(1.0), LAST_COMMIT]


LAST_COMMIT = Commit(1, (Transaction((Create("k", b""),)),))


def test_last_commits_of_stages_precede_the_end_of_the_incarnation() -> None:
    recorder = Recorder()
    StagePipeline(recorder, [recorder], lambda: 7.0).shut_down()  # type: ignore[arg-type]
    assert recorder.calls == ["stage shut down at 7", LAST_COMMIT, "lease released"]
