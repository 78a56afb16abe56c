"""Copies and canonical forms of objects, so that a state of the real code can be kept, and told from
others.

Both walk whatever an object holds: a field that is added to the code tomorrow is copied and compared
without a word here. What never changes (settings, events, functions without captured names) is shared. Each
class gets its own way once, since this is where the search spends its time.
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
_MARSHAL = 2  # the last version that does not write down which strings are the same object
Copy = Callable[[Any, dict[int, Any]], Any]


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
    found: list[str] = []
    for base in cls.__mro__:
        names = base.__dict__.get("__slots__", ())
        found += [n for n in ((names,) if isinstance(names, str) else names) if not n.startswith("__")]
    return tuple(found)


def _has_dict(cls: type) -> bool:
    return bool(cls.__dictoffset__)


def _same_random(value: random.Random) -> random.Random:
    new = random.Random(0)
    new.setstate(value.getstate())
    return new


class _Ways(dict[type, Any]):
    """How to copy or walk objects of each class, worked out when the first is met."""

    def __init__(self, make: Callable[[type], Any]) -> None:
        super().__init__()
        self.make = make

    def __missing__(self, cls: type) -> Any:
        way = self[cls] = self.make(cls)
        return way


class Copier:
    """Copies object graphs. What `shared` names by class is not copied but taken as it is."""

    def __init__(self, shared: tuple[type, ...] = ()) -> None:
        self._ways = _Ways(self._way)
        for cls in (*ATOMS, *shared):
            self._ways[cls] = None

    def copy(self, value: Any, memo: dict[int, Any] | None = None) -> Any:
        """A copy that shares nothing that may change. `memo` joins several copies into one graph."""
        way = self._ways[type(value)]
        return value if way is None else way(value, {} if memo is None else memo)

    def _way(self, cls: type) -> Copy | None:
        """None: objects of this class are shared."""
        if _is_value(cls):
            return None
        known: dict[type, Callable[[], Copy]] = {
            dict: self._dicts,
            defaultdict: self._defaultdicts,
            Counter: lambda: self._fresh(Counter),
            OrderedDict: self._dicts,
            list: self._lists,
            deque: self._deques,
            set: self._sets,
            tuple: self._tuples,
            bytearray: lambda: self._fresh(bytearray),
            types.MethodType: self._methods,
            types.FunctionType: self._functions,
            partial: self._partials,
            random.Random: lambda: self._fresh(_same_random),
        }
        return known[cls]() if cls in known else self._objects(cls)

    def _objects(self, cls: type) -> Copy:
        ways: _Ways = self._ways
        new_of: Any = cls.__new__
        slots, has_dict = slots_of(cls), _has_dict(cls)

        def copy(value: Any, memo: dict[int, Any]) -> Any:
            new = memo.get(id(value))
            if new is not None:
                return new
            new = memo[id(value)] = new_of(cls)
            if has_dict:
                into: dict[str, Any] = new.__dict__
                for name, part in value.__dict__.items():
                    way = ways[type(part)]
                    into[name] = part if way is None else way(part, memo)
            for name in slots:
                if hasattr(value, name):
                    part = getattr(value, name)
                    way = ways[type(part)]
                    object.__setattr__(new, name, part if way is None else way(part, memo))
            return new

        return copy

    def _dicts(self) -> Copy:
        ways = self._ways

        def copy(value: Any, memo: dict[int, Any]) -> Any:
            new = memo.get(id(value))
            if new is not None:
                return new
            new = memo[id(value)] = type(value)()
            for k, v in value.items():
                way, key_way = ways[type(v)], ways[type(k)]
                new[k if key_way is None else key_way(k, memo)] = v if way is None else way(v, memo)
            return new

        return copy

    def _defaultdicts(self) -> Copy:
        ways = self._ways

        def copy(value: Any, memo: dict[int, Any]) -> Any:
            new = memo.get(id(value))
            if new is not None:
                return new
            new = memo[id(value)] = defaultdict(None)
            make = value.default_factory
            way = ways[type(make)]
            new.default_factory = make if way is None else way(make, memo)
            for k, v in value.items():
                way = ways[type(v)]
                new[k] = v if way is None else way(v, memo)
            return new

        return copy

    @staticmethod
    def _fresh(cls: Callable[[Any], Any]) -> Copy:
        def copy(value: Any, memo: dict[int, Any]) -> Any:
            new = memo.get(id(value))
            if new is None:
                new = memo[id(value)] = cls(value)
            return new

        return copy

    def _parts(self, value: Iterable[Any], memo: dict[int, Any]) -> list[Any]:
        ways = self._ways
        found = []
        for part in value:
            way = ways[type(part)]
            found.append(part if way is None else way(part, memo))
        return found

    def _lists(self) -> Copy:
        def copy(value: Any, memo: dict[int, Any]) -> Any:
            new = memo.get(id(value))
            if new is None:
                new = memo[id(value)] = []
                new.extend(self._parts(value, memo))
            return new

        return copy

    def _deques(self) -> Copy:
        def copy(value: Any, memo: dict[int, Any]) -> Any:
            new = memo.get(id(value))
            if new is None:
                new = memo[id(value)] = deque(maxlen=value.maxlen)
                new.extend(self._parts(value, memo))
            return new

        return copy

    def _sets(self) -> Copy:
        def copy(value: Any, memo: dict[int, Any]) -> Any:
            new = memo.get(id(value))
            if new is None:
                new = memo[id(value)] = set(self._parts(value, memo))
            return new

        return copy

    def _tuples(self) -> Copy:
        return lambda value, memo: tuple(self._parts(value, memo))

    def _methods(self) -> Copy:
        return lambda value, memo: types.MethodType(value.__func__, self.copy(value.__self__, memo))

    def _functions(self) -> Copy:
        def copy(value: Any, memo: dict[int, Any]) -> Any:
            if not value.__closure__:
                return value
            new = memo.get(id(value))
            if new is None:
                cells = tuple(types.CellType(self.copy(c.cell_contents, memo)) for c in value.__closure__)
                new = types.FunctionType(
                    value.__code__, value.__globals__, value.__name__, value.__defaults__, cells
                )
                memo[id(value)] = new
            return new

        return copy

    def _partials(self) -> Copy:
        def copy(value: Any, memo: dict[int, Any]) -> Any:
            kept = {k: self.copy(v, memo) for k, v in value.keywords.items()}
            return partial(self.copy(value.func, memo), *self._parts(value.args, memo), **kept)

        return copy


Special = Callable[["Walker", Any], Any]


class Forms:
    """How states are written down: `skip` names fields by class name that hold nothing of the state,
    `special` those that need renaming or sorting, `whole` classes that are written in a way of their own."""

    def __init__(
        self,
        skip: Mapping[str, frozenset[str]],
        special: Mapping[tuple[str, str], Special],
        whole: Mapping[str, Special] | None = None,
    ) -> None:
        self.skip, self.special, self.whole = skip, special, whole or {}
        self.ways: _Ways = _Ways(self._way)
        for cls in ATOMS - {type}:
            self.ways[cls] = None

    def _way(self, cls: type) -> Callable[[Walker, Any], Any]:
        """None: written as it is."""
        if cls.__name__ in self.whole:
            return self.whole[cls.__name__]
        if cls is random.Random:
            return lambda walker, value: hash(value.getstate())
        if cls is object or cls is re.Pattern:
            return lambda walker, value: cls.__name__
        if cls in (tuple, list, deque):
            return lambda walker, value: tuple(walker.parts(value))
        if issubclass(cls, Enum):
            return lambda walker, value: value.value
        if issubclass(cls, dict):
            return lambda walker, value: tuple([(walker.walk(k), walker.walk(v)) for k, v in value.items()])
        if cls in (set, frozenset):
            return lambda walker, value: tuple(sorted(walker.parts(value)))
        if cls is bytearray:
            return lambda walker, value: bytes(value)
        if cls is type or issubclass(cls, type):
            return lambda walker, value: value.__qualname__
        if cls is types.MethodType:
            return lambda walker, value: (value.__func__.__qualname__, walker.walk(value.__self__))
        if cls is types.FunctionType:
            return lambda walker, value: (
                value.__qualname__,
                *walker.parts([c.cell_contents for c in value.__closure__ or ()]),
            )
        if cls is partial:
            return lambda walker, value: (
                walker.walk(value.func),
                *walker.parts(value.args),
                walker.walk(value.keywords),
            )
        return self._objects(cls)

    def _objects(self, cls: type) -> Callable[[Walker, Any], Any]:
        name, ways = cls.__name__, self.ways
        skip = self.skip.get(name, frozenset())
        special = {field: how for (owner, field), how in self.special.items() if owner == name}
        struct = issubclass(cls, msgspec.Struct)
        slots: tuple[str, ...] = getattr(cls, "__struct_fields__", ()) if struct else slots_of(cls)
        slots = tuple(n for n in slots if n not in skip)
        has_dict = _has_dict(cls)

        def walk(walker: Walker, value: Any) -> Any:
            number = walker.seen.get(id(value))
            if number is not None:
                return ("@", number)
            walker.seen[id(value)] = len(walker.seen)
            walker.keep.append(value)
            found = [name]
            if has_dict:
                for field, part in value.__dict__.items():
                    if field in special:
                        found.append(special[field](walker, part))
                    elif field not in skip:
                        way = ways[type(part)]
                        found.append(part if way is None else way(walker, part))
            for field in slots:
                if not struct and not hasattr(value, field):
                    continue
                part = getattr(value, field)
                if field in special:
                    found.append(special[field](walker, part))
                else:
                    way = ways[type(part)]
                    found.append(part if way is None else way(walker, part))
            return tuple(found)

        return walk


class Walker:
    """Turns an object graph into nested tuples of plain values that are equal exactly for equal states.
    `servers` renames them. Objects met twice are written once and referred to by number after that."""

    def __init__(self, forms: Forms, servers: Mapping[int, int] | None = None) -> None:
        self.ways = forms.ways
        self.servers: Mapping[int, int] = servers or {}
        self.seen: dict[int, int] = {}
        self.keep: list[Any] = []  # so that no object's number is used twice

    def server(self, number: int) -> int:
        return self.servers.get(number, number)

    def walk(self, value: Any) -> Any:
        way = self.ways[type(value)]
        return value if way is None else way(self, value)

    def parts(self, values: Iterable[Any]) -> list[Any]:
        ways, found = self.ways, []
        for part in values:
            way = ways[type(part)]
            found.append(part if way is None else way(self, part))
        return found


def digest(form: Any) -> int:
    """64 bits of a canonical form: two states among n share one by chance with odds n squared / 2**65."""
    return xxhash.xxh3_64_intdigest(marshal.dumps(form, _MARSHAL))
