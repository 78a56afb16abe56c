"""Typed reading of one JSON object, with errors that name the place of a wrong value."""

from __future__ import annotations

import math
import sys
from collections.abc import Mapping
from typing import TypeVar

from meadowpulley.errors import MeadowpulleyError

T = TypeVar("T")
NO_MINIMUM = -sys.float_info.max  # for numbers that are corrected where they cannot be right


class SettingsError(MeadowpulleyError, ValueError):
    """The settings object is malformed.

    Attributes:
        location: What is wrong: the object, and the key in it.
        problem: What is wrong with it.
    """

    def __init__(self, location: str, problem: str) -> None:
        """Take a place and its problem; together they are the text, in one line."""
        super().__init__(f"{location} {problem}")
        self.location = location
        self.problem = problem


class ObjectReader:
    """Reads the values of one JSON object by their keys.

    `location` names the object in error messages. A key that is absent or null takes the default of its call.
    Every method raises SettingsError for a value of another type.
    """

    def __init__(self, raw: object, location: str) -> None:
        """Read from a decoded JSON value. Raises SettingsError if it is no object."""
        if not isinstance(raw, dict):
            raise SettingsError(location, "is no object")
        self._raw: dict[str, object] = raw
        self._location = location

    def error(self, key: str, problem: str) -> SettingsError:
        """Return an error about the value of a key."""
        return SettingsError(f"{self._location}: '{key}'", problem)

    def _wrong_type(self, key: str, value: object) -> SettingsError:
        return self.error(key, f"has the wrong type ({type(value).__name__})")

    def number(self, key: str, default: float = 0.0, minimum: float = 0.0) -> float:
        """Return a finite number of at least `minimum`.

        JSON's reader lets NaN and Infinity pass, and integers that no float can hold.
        """
        raw = self._raw.get(key)
        if raw is None:
            raw = default
        if isinstance(raw, bool) or not isinstance(raw, int | float):
            raise self._wrong_type(key, raw)
        try:
            value = float(raw)
        except OverflowError:
            value = math.inf
        if not minimum <= value < math.inf:
            raise self.error(key, f"is {value:g}, no figure of {minimum:g} or more")
        return value

    def integer(self, key: str, default: int = 0, minimum: float = 0.0) -> int:
        """Return a number without its fraction."""
        return int(self.number(key, default, minimum))

    def boolean(self, key: str) -> bool:
        """Return true or false; false by default."""
        value = self._raw.get(key)
        if value is None:
            return False
        if not isinstance(value, bool):
            raise self._wrong_type(key, value)
        return value

    def string(self, key: str, default: str = "") -> str:
        """Return a string."""
        value = self._raw.get(key)
        if value is None:
            return default
        if not isinstance(value, str):
            raise self._wrong_type(key, value)
        return value

    def array(self, key: str) -> list[object]:
        """Return an array's values; none by default."""
        value = self._raw.get(key)
        if value is None:
            return []
        if not isinstance(value, list):
            raise self._wrong_type(key, value)
        return list(value)

    def number_array(self, key: str) -> tuple[float, ...]:
        """Return an array of finite numbers of at least 0."""
        values = self.array(key)
        if not all(isinstance(value, int | float) for value in values):
            raise self.error(key, "holds something that is no number")
        return tuple(ObjectReader({key: value}, self._location).number(key) for value in values)

    def nested(self, key: str) -> ObjectReader:
        """Return a reader of a nested object; of an empty one by default."""
        value = self._raw.get(key)
        if value is None:
            value = {}
        if not isinstance(value, dict):
            raise self._wrong_type(key, value)
        return ObjectReader(value, f"{self._location}: '{key}'")

    def objects(self, key: str) -> list[ObjectReader]:
        """Return readers of the objects of an array."""
        return [ObjectReader(raw, f"{self._location}: '{key}' {n}") for n, raw in enumerate(self.array(key))]

    def choice(self, key: str, choices: Mapping[str, T], default: T) -> T:
        """Return what a word stands for; the default for an empty word."""
        word = self.string(key)
        if word and word not in choices:
            raise self.error(key, f"is '{word}', not one of {', '.join(choices)}")
        return choices[word] if word else default

    def number_items(self) -> tuple[tuple[str, float], ...]:
        """Return all keys whose values are numbers, in order, with these."""
        keys = [key for key, value in sorted(self._raw.items()) if type(value) in (int, float)]
        return tuple((key, self.number(key, minimum=NO_MINIMUM)) for key in keys)
