"""What the scripts of the cases share: the record, the switch TROUBLE, the time limit and the exit codes."""

from __future__ import annotations

import asyncio
import os
import random
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from world import CannotRunError, Client, World

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
LIMIT_S = 110.0
SEED = int(os.environ.get("SEED", "1"))  # of the arrivals; the rest of a run is real time


class Record:
    """The lines of `record.txt`."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.lines: list[tuple[float, str]] = []

    def add(self, when: float, text: str) -> None:
        self.lines.append((when, text))

    def write(self, path: Path, *summary: str) -> None:
        for attempt in self.world.attempts:
            what = f"{attempt.name} (build {attempt.build}) {attempt.id} {attempt.method}"
            what += f" key {attempt.key or '-'}"
            first_at = self.world.at(attempt.first_at)
            self.add(attempt.last_at, f"instance: {what} came whole, first byte {first_at}")
            if attempt.answered_at:
                word = "turned away" if attempt.turned_away else str(attempt.status)
                self.add(attempt.answered_at, f"instance: {what} answered {word}")
        for call in self.world.calls:
            what = f"client: {call.id} {call.method} key {call.key or '-'}"
            self.add(call.sent_at, f"{what} sent, waits {call.wait_ms:.0f} ms")
            if call.status:
                self.add(call.answered_at, f"client: {call.id} got {call.status}")
            elif call.note:
                self.add(call.left_at or call.sent_at, f"client: {call.id} has no answer: {call.note}")
        lines = [f"{self.world.at(when)} ms  {text}" for when, text in sorted(self.lines)]
        path.write_text("\n".join([*summary, "", *lines, ""]))


async def load(
    clients: list[Client], rate: float, until: Callable[[], bool], kinds: dict[str, float], **call: Any
) -> None:
    """Calls at random times, `rate` a second in the mean, until told to stop.

    `kinds` names the classes with their give-up times in ms. A try is given up after 80 to 100% of that.
    """
    tasks = set()
    while not until():
        await asyncio.sleep(random.expovariate(rate))
        kind, give_up_ms = random.choice(list(kinds.items()))
        wait_ms = give_up_ms * random.uniform(0.8, 1.0)
        client = random.choice(clients)
        task = asyncio.ensure_future(client.call(kind, body=b"body", wait_ms=wait_ms, **call))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    await asyncio.gather(*tasks)


def run(folder: Path, play: Callable[[World, Record], Awaitable[list[str]]]) -> None:
    """Play a case: `play` returns the breaks of the rule, one line each. Ends the process."""

    async def main() -> int:
        random.seed(SEED)
        world = World()
        record = Record(world)
        try:
            breaks = await asyncio.wait_for(play(world, record), LIMIT_S)
            verdict = f"{len(breaks)} breaks" if breaks else "the rule held"
            record.write(folder / "record.txt", f"TROUBLE={int(TROUBLE)}: {verdict}", *breaks)
            print(verdict, *breaks[:5], sep="\n")
            return BROKEN if breaks else HELD
        finally:
            await world.end()

    try:
        sys.exit(asyncio.run(main()))
    except (CannotRunError, OSError, TimeoutError) as error:
        traceback.print_exc()
        (folder / "record.txt").write_text(f"could not run: {error!r}\n")
        sys.exit(CANNOT_RUN)
