"""Copies and canonical forms of objects, so that a state of the real code can be stored and compared.

Both walk whatever an object holds: a field that is added to the code later is copied and compared without a
change here. What never changes (settings, events, functions without captured names) is shared. The copy and
write functions of a class are made once, since the search spends most of its time here.
"""

from __future__ import annotations

import marshal
import random
import re
import types
from collections import Counter, OrderedDict, defaultdict, deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import is_dataclass
from enum import Enum
from functools import partial
from typing import Any

import msgspec
import xxhash

ATOMS: frozenset[type] = frozenset({int, float, str, bytes, bool, type(None), complex, range, type})
_MARSHAL_VERSION = 2  # the last version that does not write down which strings are the same object
CopyFunction = Callable[[Any, dict[int, Any]], Any]


def _is_value(cls: type) -> bool:
    """Whether objects of a class never change."""
    if issubclass(cls, Enum | types.ModuleType | type) or cls in ATOMS:
        return True
    if is_dataclass(cls):
        return bool(cls.__dataclass_params__.frozen)  # type: ignore[attr-defined]
    if issubclass(cls, msgspec.Struct):
        return bool(cls.__struct_config__.frozen)
    return cls in (
        types.BuiltinFunctionType,
        types.CodeType,
        types.MethodDescriptorType,
        frozenset,
        re.Pattern,
        object,
        types.MappingProxyType,
    )


def slots_of(cls: type) -> tuple[str, ...]:
    """Return the names in the slots of a class and its bases."""
    names: list[str] = []
    for base in cls.__mro__:
        declared = base.__dict__.get("__slots__", ())
        names += [
            n for n in ((declared,) if isinstance(declared, str) else declared) if not n.startswith("__")
        ]
    return tuple(names)


def _has_dict(cls: type) -> bool:
    return bool(cls.__dictoffset__)


def _copy_random(value: random.Random) -> random.Random:
    duplicate = random.Random(0)
    duplicate.setstate(value.getstate())
    return duplicate


class _FunctionsByClass(dict[type, Any]):
    """How to copy or walk objects of each class, worked out when the first is met."""

    def __init__(self, make_function: Callable[[type], Any]) -> None:
        super().__init__()
        self.make_function = make_function

    def __missing__(self, cls: type) -> Any:
        function = self[cls] = self.make_function(cls)
        return function


class Copier:
    """Copies object graphs. What `shared` names by class is not copied but taken as it is."""

    def __init__(self, shared: tuple[type, ...] = ()) -> None:
        self._copy_functions = _FunctionsByClass(self._copy_function_for)
        for cls in (*ATOMS, *shared):
            self._copy_functions[cls] = None

    def copy(self, value: Any, memo: dict[int, Any] | None = None) -> Any:
        """A copy that shares nothing that may change. `memo` joins several copies into one graph."""
        function = self._copy_functions[type(value)]
        return value if function is None else function(value, {} if memo is None else memo)

    def _copy_function_for(self, cls: type) -> CopyFunction | None:
        """None: objects of this class are shared."""
        if _is_value(cls):
            return None
        copier_makers: dict[type, Callable[[], CopyFunction]] = {
            dict: self._dict_copier,
            defaultdict: self._defaultdict_copier,
            Counter: lambda: self._constructor_copier(Counter),
            OrderedDict: self._dict_copier,
            list: self._list_copier,
            deque: self._deque_copier,
            set: self._set_copier,
            tuple: self._tuple_copier,
            bytearray: lambda: self._constructor_copier(bytearray),
            types.MethodType: self._method_copier,
            types.FunctionType: self._function_copier,
            partial: self._partial_copier,
            random.Random: lambda: self._constructor_copier(_copy_random),
        }
        return copier_makers[cls]() if cls in copier_makers else self._object_copier(cls)

    def _object_copier(self, cls: type) -> CopyFunction:
        functions: _FunctionsByClass = self._copy_functions
        make_new: Any = cls.__new__
        slots, has_dict = slots_of(cls), _has_dict(cls)

        def copy(value: Any, memo: dict[int, Any]) -> Any:
            """Copy an object, or return the copy made before."""
            duplicate = memo.get(id(value))
            if duplicate is not None:
                return duplicate
            duplicate = memo[id(value)] = make_new(cls)
            if has_dict:
                fields: dict[str, Any] = duplicate.__dict__
                for name, part in value.__dict__.items():
                    function = functions[type(part)]
                    fields[name] = part if function is None else function(part, memo)
            for name in slots:
                if hasattr(value, name):
                    part = getattr(value, name)
                    function = functions[type(part)]
                    object.__setattr__(duplicate, name, part if function is None else function(part, memo))
            return duplicate

        return copy

    def _dict_copier(self) -> CopyFunction:
        functions = self._copy_functions

        def copy(original: Any, memo: dict[int, Any]) -> Any:
            """Copy a dict, or return the copy made before."""
            duplicate = memo.get(id(original))
            if duplicate is not None:
                return duplicate
            duplicate = memo[id(original)] = type(original)()
            for key, value in original.items():
                value_function, key_function = functions[type(value)], functions[type(key)]
                duplicate[key if key_function is None else key_function(key, memo)] = (
                    value if value_function is None else value_function(value, memo)
                )
            return duplicate

        return copy

    def _defaultdict_copier(self) -> CopyFunction:
        functions = self._copy_functions

        def copy(original: Any, memo: dict[int, Any]) -> Any:
            """Copy a defaultdict, or return the copy made before."""
            duplicate = memo.get(id(original))
            if duplicate is not None:
                return duplicate
            duplicate = memo[id(original)] = defaultdict(None)
            make_function = original.default_factory
            value_function = functions[type(make_function)]
            duplicate.default_factory = (
                make_function if value_function is None else value_function(make_function, memo)
            )
            for key, value in original.items():
                value_function = functions[type(value)]
                duplicate[key] = value if value_function is None else value_function(value, memo)
            return duplicate

        return copy

    @staticmethod
    def _constructor_copier(cls: Callable[[Any], Any]) -> CopyFunction:
        def copy(value: Any, memo: dict[int, Any]) -> Any:
            """Copy a value by its constructor, or return the copy made before."""
            duplicate = memo.get(id(value))
            if duplicate is None:
                duplicate = memo[id(value)] = cls(value)
            return duplicate

        return copy

    def _copy_parts(self, value: Iterable[Any], memo: dict[int, Any]) -> list[Any]:
        functions = self._copy_functions
        copies = []
        for part in value:
            function = functions[type(part)]
            copies.append(part if function is None else function(part, memo))
        return copies

    def _list_copier(self) -> CopyFunction:
        def copy(value: Any, memo: dict[int, Any]) -> Any:
            """Copy a list, or return the copy made before."""
            duplicate = memo.get(id(value))
            if duplicate is None:
                duplicate = memo[id(value)] = []
                duplicate.extend(self._copy_parts(value, memo))
            return duplicate

        return copy

    def _deque_copier(self) -> CopyFunction:
        def copy(value: Any, memo: dict[int, Any]) -> Any:
            """Copy a deque, or return the copy made before."""
            duplicate = memo.get(id(value))
            if duplicate is None:
                duplicate = memo[id(value)] = deque(maxlen=value.maxlen)
                duplicate.extend(self._copy_parts(value, memo))
            return duplicate

        return copy

    def _set_copier(self) -> CopyFunction:
        def copy(value: Any, memo: dict[int, Any]) -> Any:
            """Copy a set, or return the copy made before."""
            duplicate = memo.get(id(value))
            if duplicate is None:
                duplicate = memo[id(value)] = set(self._copy_parts(value, memo))
            return duplicate

        return copy

    def _tuple_copier(self) -> CopyFunction:
        return lambda value, memo: tuple(self._copy_parts(value, memo))

    def _method_copier(self) -> CopyFunction:
        return lambda value, memo: types.MethodType(value.__func__, self.copy(value.__self__, memo))

    def _function_copier(self) -> CopyFunction:
        def copy(value: Any, memo: dict[int, Any]) -> Any:
            """Copy a function, or return the copy made before."""
            if not value.__closure__:
                return value
            duplicate = memo.get(id(value))
            if duplicate is None:
                cells = tuple(types.CellType(self.copy(c.cell_contents, memo)) for c in value.__closure__)
                duplicate = types.FunctionType(
                    value.__code__, value.__globals__, value.__name__, value.__defaults__, cells
                )
                memo[id(value)] = duplicate
            return duplicate

        return copy

    def _partial_copier(self) -> CopyFunction:
        def copy(value: Any, memo: dict[int, Any]) -> Any:
            """Copy a partial call with its function and arguments."""
            keywords = {k: self.copy(v, memo) for k, v in value.keywords.items()}
            return partial(self.copy(value.func, memo), *self._copy_parts(value.args, memo), **keywords)

        return copy


WriteFunction = Callable[["FormWriter", Any], Any]


class FormRules:
    """How states are written down: `ignored_fields` names, by class name, fields that are no part of
    the state, `field_writers` those that need renaming or sorting, `class_writers` classes with a writer of
    their own."""

    def __init__(
        self,
        ignored_fields: Mapping[str, frozenset[str]],
        field_writers: Mapping[tuple[str, str], WriteFunction],
        class_writers: Mapping[str, WriteFunction] | None = None,
    ) -> None:
        self.ignored_fields, self.field_writers, self.class_writers = (
            ignored_fields,
            field_writers,
            class_writers or {},
        )
        self.write_functions: _FunctionsByClass = _FunctionsByClass(self._write_function_for)
        for cls in ATOMS - {type}:
            self.write_functions[cls] = None

    def _write_function_for(self, cls: type) -> Callable[[FormWriter, Any], Any]:
        """None: written as it is."""
        if cls.__name__ in self.class_writers:
            return self.class_writers[cls.__name__]
        if cls is random.Random:
            return lambda writer, value: hash(value.getstate())
        if cls is object or cls is re.Pattern:
            return lambda writer, value: cls.__name__
        if cls in (tuple, list, deque):
            return lambda writer, value: tuple(writer.write_parts(value))
        if issubclass(cls, Enum):
            return lambda writer, value: value.value
        if issubclass(cls, dict):
            return lambda writer, value: tuple([(writer.write(k), writer.write(v)) for k, v in value.items()])
        if cls in (set, frozenset):
            return lambda writer, value: tuple(sorted(writer.write_parts(value)))
        if cls is bytearray:
            return lambda writer, value: bytes(value)
        if cls is type or issubclass(cls, type):
            return lambda writer, value: value.__qualname__
        if cls is types.MethodType:
            return lambda writer, value: (value.__func__.__qualname__, writer.write(value.__self__))
        if cls is types.FunctionType:
            return lambda writer, value: (
                value.__qualname__,
                *writer.write_parts([c.cell_contents for c in value.__closure__ or ()]),
            )
        if cls is partial:
            return lambda writer, value: (
                writer.write(value.func),
                *writer.write_parts(value.args),
                writer.write(value.keywords),
            )
        return self._object_writer(cls)

    def _object_writer(self, cls: type) -> Callable[[FormWriter, Any], Any]:
        name, functions = cls.__name__, self.write_functions
        ignored = self.ignored_fields.get(name, frozenset())
        field_writers = {field: how for (owner, field), how in self.field_writers.items() if owner == name}
        is_struct = issubclass(cls, msgspec.Struct)
        slots: tuple[str, ...] = getattr(cls, "__struct_fields__", ()) if is_struct else slots_of(cls)
        slots = tuple(n for n in slots if n not in ignored)
        has_dict = _has_dict(cls)

        def walk(writer: FormWriter, value: Any) -> Any:
            """Return the canonical form of an object's fields."""
            number = writer.numbers.get(id(value))
            if number is not None:
                return ("@", number)
            writer.numbers[id(value)] = len(writer.numbers)
            writer.referenced.append(value)
            parts = [name]
            if has_dict:
                for field, part in value.__dict__.items():
                    if field in field_writers:
                        parts.append(field_writers[field](writer, part))
                    elif field not in ignored:
                        function = functions[type(part)]
                        parts.append(part if function is None else function(writer, part))
            for field in slots:
                if not is_struct and not hasattr(value, field):
                    continue
                part = getattr(value, field)
                if field in field_writers:
                    parts.append(field_writers[field](writer, part))
                else:
                    function = functions[type(part)]
                    parts.append(part if function is None else function(writer, part))
            return tuple(parts)

        return walk


class FormWriter:
    """Turns an object graph into nested tuples of plain values that are equal exactly for equal states.
    `servers` renames them. Objects met twice are written once and referred to by number after that."""

    def __init__(self, rules: FormRules, server_numbers: Mapping[int, int] | None = None) -> None:
        self.write_functions = rules.write_functions
        self.server_numbers: Mapping[int, int] = server_numbers or {}
        self.numbers: dict[int, int] = {}
        self.referenced: list[Any] = []  # so that no object's number is used twice

    def server_number(self, number: int) -> int:
        """Return the canonical number of a server."""
        return self.server_numbers.get(number, number)

    def write(self, value: Any) -> Any:
        """Return the canonical form of a value."""
        function = self.write_functions[type(value)]
        return value if function is None else function(self, value)

    def write_parts(self, values: Iterable[Any]) -> list[Any]:
        """Return the canonical forms of several values."""
        functions, parts = self.write_functions, []
        for part in values:
            function = functions[type(part)]
            parts.append(part if function is None else function(self, part))
        return parts


def fingerprint_of(form: Any) -> int:
    """64 bits of a canonical form: two states among n share one by chance with odds n squared / 2**65."""
    return xxhash.xxh3_64_intdigest(marshal.dumps(form, _MARSHAL_VERSION))
