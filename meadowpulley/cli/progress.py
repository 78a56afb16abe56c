"""A progress bar on standard error for long computations."""

from __future__ import annotations

from collections.abc import Callable

from rich.console import Console
from rich.progress import Progress


class ProgressBar:
    """Shows how many steps of a computation are completed, if standard error is a terminal.

    Entered as a context, it returns a function to call with the completed and the total number of steps.
    """

    def __init__(self, text: str) -> None:
        self._progress = Progress(console=Console(stderr=True), transient=True)
        self._text = text

    def __enter__(self) -> Callable[[int, int], None]:
        self._progress.start()
        task = self._progress.add_task(self._text, total=None)

        def update(completed: int, total: int) -> None:
            """Show the completed and the total number of steps."""
            self._progress.update(task, completed=completed, total=total)

        return update

    def __exit__(self, *_: object) -> None:
        self._progress.stop()
