"""Read the file of the experiment that `MEADOWPULLEY_PLACEMENT` names at a gateway's start.

`deploy/placement.env` documents the variable. Unless it is set, this package is not imported, and no file
read.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from pathlib import Path

from meadowpulley.interface import Settings
from meadowpulley.placement.definition import Experiment, parse_experiment
from meadowpulley.placement.errors import ExperimentError

ENV_VARIABLE = "MEADOWPULLEY_PLACEMENT"


def read_experiment(
    environ: Mapping[str, str], settings: Settings, read_file: Callable[[Path], bytes] = Path.read_bytes
) -> Experiment | None:
    """Return the experiment; None if the environment names no file.

    Raises `FleetError` (or its subclass `ExperimentError`) for a file that can't be read or is invalid.
    """
    path = environ.get(ENV_VARIABLE, "")
    if not path:
        return None
    try:
        raw = read_file(Path(path))
    except OSError as error:
        reason = error.strerror or error
        raise ExperimentError(f"{ENV_VARIABLE}: {path}: {reason}: name a file that can be read") from None
    class_names = [request_class.name for request_class in settings.classes]
    return parse_experiment(raw, path, class_names)
