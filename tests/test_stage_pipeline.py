"""The end of a gateway's stages and of its incarnation."""

from __future__ import annotations

from meadowpulley.interface import EndpointListRenewed
from meadowpulley.ledger import Commit, Create, Transaction
from meadowpulley.stage_pipeline import StagePipeline

LAST_COMMIT = Commit(1, (Transaction((Create("k", b""),)),))


class Recorder:
    """As the ledger's client and as a stage."""

    def __init__(self) -> None:
        self.calls: list[Commit | str] = []

    def commit(self, action: Commit) -> None:
        self.calls.append(action)

    def release_lease(self) -> None:
        self.calls.append("lease released")

    def close(self) -> None:
        self.calls.append("closed")

    def shut_down(self, now: float) -> list[EndpointListRenewed | Commit]:
        self.calls.append(f"stage shut down at {now:g}")
        return [EndpointListRenewed(1.0), LAST_COMMIT]


def test_last_commits_of_stages_precede_the_end_of_the_incarnation() -> None:
    """A gateway is shut down. What its stages write last must be committed while its incarnation lives."""
    recorder = Recorder()
    StagePipeline(recorder, [recorder], lambda: 7.0).shut_down()
    assert recorder.calls == ["stage shut down at 7", LAST_COMMIT, "lease released"]
