"""The settings that a gateway gets from its platform.

`types` defines their types, and `reader` reads them from JSON with the typed accessors of `object_reader`.
"""

from meadowpulley.settings.object_reader import SettingsError
from meadowpulley.settings.reader import LOAD_REPORT_COLUMNS, parse_settings, read_settings

__all__ = ["LOAD_REPORT_COLUMNS", "SettingsError", "parse_settings", "read_settings"]
