"""The settings that a gateway gets from its platform: `types` holds them, `reader` reads them from JSON."""

from meadowpulley.settings.reader import LOAD_REPORT_COLUMNS, SettingsError, parse_settings, read_settings

__all__ = ["LOAD_REPORT_COLUMNS", "SettingsError", "parse_settings", "read_settings"]
