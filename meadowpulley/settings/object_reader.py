"""Typed access to the values of one JSON object, with errors that name the location of a wrong value."""

from __future__ import annotations

import math
import sys
from collections.abc import Mapping
from typing import TypeVar

from meadowpulley.errors import MeadowpulleyError

T = TypeVar("T")
# Minimum for values that may be any finite number, even a negative one. settings/reader.py corrects some of
# them after reading: it raises `balancers` to at least 1 and takes `me` modulo the number of gateways.
NO_MINIMUM = -sys.float_info.max


class SettingsError(MeadowpulleyError, ValueError):
    """The settings object is malformed.

    Attributes:
        location: The JSON object that holds the wrong value, and the key of the value.
        problem: What is wrong with the value.
    """

    def __init__(self, location: str, problem: str) -> None:
        """Store the location and the problem; the message is both of them, in one line."""
        super().__init__(f"{location} {problem}")
        self.location = location
        self.problem = problem


class ObjectReader:
    """Reads the values of one JSON object by their keys.

    `location` names the object in error messages. For a key that is absent or null, a method returns its
    default value. The methods that read a value raise SettingsError if the value has the wrong type.
    """

    def __init__(self, raw: object, location: str) -> None:
        """Wrap a decoded JSON value. Raises SettingsError if the value is not an object."""
        if not isinstance(raw, dict):
            raise SettingsError(location, "is not a JSON object")
        self._raw: dict[str, object] = raw
        self._location = location

    def error(self, key: str, problem: str) -> SettingsError:
        """Return an error that names this object, the key and the problem."""
        return SettingsError(f"{self._location}: '{key}'", problem)

    def _wrong_type(self, key: str, value: object) -> SettingsError:
        return self.error(key, f"has the wrong type ({type(value).__name__})")

    def number(self, key: str, default: float = 0.0, minimum: float = 0.0) -> float:
        """Return a finite number of at least `minimum`; raise SettingsError for any other number.

        Python's JSON parser accepts NaN, Infinity and integers too large for a float; this method
        rejects such values.
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
            raise self.error(key, f"is {value:g}, but must be a finite number of at least {minimum:g}")
        return value

    def integer(self, key: str, default: int = 0, minimum: float = 0.0) -> int:
        """Return a number of at least `minimum`, truncated to an integer."""
        return int(self.number(key, default, minimum))

    def boolean(self, key: str) -> bool:
        """Return a boolean; the default is false."""
        value = self._raw.get(key)
        if value is None:
            return False
        if not isinstance(value, bool):
            raise self._wrong_type(key, value)
        return value

    def string(self, key: str, default: str = "") -> str:
        """Return a string, or `default` if the key is absent or null."""
        value = self._raw.get(key)
        if value is None:
            return default
        if not isinstance(value, str):
            raise self._wrong_type(key, value)
        return value

    def array(self, key: str) -> list[object]:
        """Return the values of an array; the default is an empty list."""
        value = self._raw.get(key)
        if value is None:
            return []
        if not isinstance(value, list):
            raise self._wrong_type(key, value)
        return list(value)

    def number_array(self, key: str) -> tuple[float, ...]:
        """Return the values of an array, which must be finite numbers of at least 0."""
        values = self.array(key)
        if not all(isinstance(value, int | float) for value in values):
            raise self.error(key, "contains a value that is not a number")
        return tuple(ObjectReader({key: value}, self._location).number(key) for value in values)

    def nested(self, key: str) -> ObjectReader:
        """Return a reader of a nested object; the default is an empty object."""
        value = self._raw.get(key)
        if value is None:
            value = {}
        if not isinstance(value, dict):
            raise self._wrong_type(key, value)
        return ObjectReader(value, f"{self._location}: '{key}'")

    def objects(self, key: str) -> list[ObjectReader]:
        """Return a reader of each object in an array."""
        return [ObjectReader(raw, f"{self._location}: '{key}' {n}") for n, raw in enumerate(self.array(key))]

    def choice(self, key: str, choices: Mapping[str, T], default: T) -> T:
        """Return the choice that a string value names, or `default` if the string is empty."""
        word = self.string(key)
        if word and word not in choices:
            raise self.error(key, f"is '{word}', but must be one of {', '.join(choices)}")
        return choices[word] if word else default

    def number_items(self) -> tuple[tuple[str, float], ...]:
        """Return all keys with numeric values, in sorted order, together with their values."""
        keys = [key for key, value in sorted(self._raw.items()) if type(value) in (int, float)]
        return tuple((key, self.number(key, minimum=NO_MINIMUM)) for key in keys)
