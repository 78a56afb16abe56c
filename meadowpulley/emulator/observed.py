"""What the records of work in hand say, as lines of the trace: read off the ledger, not told by a gateway."""

from __future__ import annotations

from dataclasses import dataclass

from meadowpulley.ledger import Create, Life, Replace, Seal, Step
from meadowpulley.rules import Claimed, Closed, Given, Record, Sealed, Written
from meadowpulley.takeover.model import WORK, RecordError, State, decode_work

_ENDS = {State.SERVED: "served", State.FAILED: "failed", State.REFUSED: "refused"}


@dataclass(slots=True)
class _Known:
    by: Life
    state: State


def number_of(life: Life) -> int:
    """The gateway whose life it is."""
    return int(life.name[1:])


class Observer:
    def __init__(self) -> None:
        self._known: dict[str, _Known] = {}

    def won(self, now: float, by: Life, step: Step) -> list[Record]:
        """What a step that was carried out means."""
        found: list[Record] = []
        for write in step.writes:
            if isinstance(write, Seal):
                found.append(Sealed(now, number_of(write.life)))
            elif isinstance(write, Create | Replace) and write.key.startswith(WORK):
                found += self._work(now, by, write.key.removeprefix(WORK), write.value)
        return found

    def _work(self, now: float, by: Life, name: str, value: bytes) -> list[Record]:
        try:
            work = decode_work(value)
        except RecordError:
            return []
        before, gateway = self._known.get(name), number_of(by)
        self._known[name] = _Known(by, work.state)
        found: list[Record] = []
        if before is None or before.state is State.REFUSED:
            found.append(Written(now, gateway, name, now + work.left_ms))
        elif before.by != by:
            found.append(Claimed(now, gateway, name, work.lives))
        if work.state is State.FREE:
            found.append(Given(now, gateway, name))
        elif work.state is not State.OPEN:
            found.append(Closed(now, gateway, name, _ENDS[work.state]))  # type: ignore[arg-type]
        return found
