"""The end of what was started at a gateway."""

from __future__ import annotations

from typing import Any

from meadowpulley.interface import LogLine
from meadowpulley.joint import Joint
from meadowpulley.ledger import Commit, Create, Step


class Recorder:
    """As the ledger's client and as a stage."""

    def __init__(self) -> None:
        self.done = list[Any]()

    def commit(self, action: Commit) -> None:
        self.done.append(action)

    def leave(self, now: float | None = None) -> list[Any]:
        self.done.append("left" if now is None else f"stage left at {now:g}")
        return [LogLine("said"), LAST]


LAST = Commit(1, (Step((Create("k", b""),)),))


def test_what_stages_write_last_goes_before_the_life_ends() -> None:
    both = Recorder()
    Joint(both, [both], lambda: 7.0).leave()  # type: ignore[arg-type]
    assert both.done == ["stage left at 7", LAST, "left"]
