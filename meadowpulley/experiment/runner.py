"""Runs cells in parallel processes and stores each result at once, so that a run can be continued."""

from __future__ import annotations

import os
from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor, as_completed
from multiprocessing import get_context
from pathlib import Path

import msgspec

from meadowpulley.experiment.cells import Cell, RunResult, run_cell

_decode = msgspec.json.Decoder(RunResult).decode
_encode = msgspec.json.Encoder().encode


class ResultStore:
    """Results by the key of their cell, in a file of JSON lines that only grows.

    An incomplete last line, as after a crash, is dropped. Without a path results are kept in memory only.
    """

    def __init__(self, path: Path | None = None) -> None:
        self.path = path
        self.rows = dict[str, RunResult]()
        if path is None or not path.exists():
            return
        good = 0
        for line in path.read_bytes().splitlines(keepends=True):
            try:
                row = _decode(line)
            except msgspec.MsgspecError:
                break
            if not line.endswith(b"\n"):
                break
            good += len(line)
            self.rows[row.key] = row
        if good < path.stat().st_size:
            os.truncate(path, good)

    def get(self, cell: Cell) -> RunResult | None:
        """Return the stored result of a cell."""
        return self.rows.get(cell.key)

    def add(self, row: RunResult) -> None:
        """Store a result and flush it to disk."""
        self.rows[row.key] = row
        if self.path is not None:
            with open(self.path, "ab") as file:
                file.write(_encode(row) + b"\n")
                file.flush()
                os.fsync(file.fileno())


def run_cells(
    cells: Iterable[Cell],
    store: ResultStore | None = None,
    workers: int | None = None,
    timeline: bool = False,
    progress: Callable[[int, int], None] = lambda done, of: None,
) -> list[RunResult]:
    """Return the results of the cells in order, running only those not stored; `workers` 1 uses this
    process.
    """
    cells = list(cells)
    store = store if store is not None else ResultStore()
    todo = {cell.key: cell for cell in cells if store.get(cell) is None}
    done = len({cell.key for cell in cells}) - len(todo)
    total = done + len(todo)
    progress(done, total)
    workers = min(workers or os.cpu_count() or 1, max(len(todo), 1))
    if workers == 1:
        for cell in todo.values():
            store.add(run_cell(cell, timeline))
            done += 1
            progress(done, total)
    else:
        with ProcessPoolExecutor(workers, mp_context=get_context("forkserver")) as pool:
            for future in as_completed([pool.submit(run_cell, cell, timeline) for cell in todo.values()]):
                store.add(future.result())
                done += 1
                progress(done, total)
    found = []
    for cell in cells:
        row = store.get(cell)
        assert row is not None
        found.append(msgspec.structs.replace(row, name=cell.name))
    return found
