"""What a gateway is told of an experiment at its start: `MEADOWPULLEY_PLACEMENT` names its file.

`deploy/placement.env` documents it. Nothing of this package is imported or read unless it is set.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from pathlib import Path

from meadowpulley.fleet import FleetError
from meadowpulley.interface import Settings
from meadowpulley.placement.definition import Experiment, parse_placement

ENV = "MEADOWPULLEY_PLACEMENT"


def read_experiment(
    environ: Mapping[str, str], settings: Settings, read: Callable[[Path], bytes] = Path.read_bytes
) -> Experiment | None:
    """None where no experiment is wanted. Raises `FleetError`: one line that says what, where, what to do."""
    where = environ.get(ENV, "")
    if not where:
        return None
    try:
        raw = read(Path(where))
    except OSError as error:
        raise FleetError(f"{ENV}: {where}: {error.strerror or error}: name a file that can be read") from None
    return parse_placement(raw, where, [c.name for c in settings.classes])
