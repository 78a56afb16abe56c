"""How a state of the decisions is copied, told from others and written in canonical form."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from meadowpulley.check.choices import Choices
from meadowpulley.check.graph import Copier, Forms, Walker

SKIP = {
    "Balancer": frozenset({"s", "rules", "roll", "rng", "handlers", "acts", "many", "z", "needed"}),
    "Held": frozenset({"cls"}),
    "Books": frozenset({"number", "settings"}),
    "Checker": frozenset({"figures", "counts", "seen", "_handlers"}),
    "Host": frozenset({"world", "number", "heard", "make", "settings"}),
}


def _by_server(walker: Walker, value: dict[int, Any]) -> Any:
    found = [(walker.server(n), n) for n in value]
    return tuple([(name, walker.walk(value[n])) for name, n in sorted(found)])


def _servers(walker: Walker, value: Sequence[int]) -> Any:
    return tuple([walker.server(n) for n in value])


def _sums(walker: Walker, value: dict[int, Any]) -> Any:
    return tuple(
        [(k, tuple(sorted((walker.server(s), x) for s, x in v.items()))) for k, v in sorted(value.items())]
    )


def _due(walker: Walker, value: Any) -> Any:
    return tuple([(at, cls, build, walker.server(s), failed, ok) for at, cls, build, s, failed, ok in value])


def _untold(walker: Walker, value: Any) -> Any:
    return tuple([(cls, build, walker.server(s), failed, ok) for cls, build, s, failed, ok in value])


def _arms(walker: Walker, value: Any) -> Any:  # which order servers stand in does not matter: all are drawn
    return tuple(sorted([walker.server(s.id) for s in value]))


def _by_key(walker: Walker, value: dict[Any, Any]) -> Any:
    return tuple(sorted([(walker.walk(k), walker.walk(v)) for k, v in value.items()]))


SPECIAL = {
    ("Balancer", "servers"): _by_server,
    ("Balancer", "trial"): _arms,
    ("Balancer", "earlier"): _arms,
    ("Balancer", "due"): _due,
    ("Peers", "untold"): _untold,
    ("Balancer", "key_build"): _by_key,
    ("Server", "id"): lambda walker, value: walker.server(value),
    ("Held", "tried"): _servers,
    ("Held", "asked"): _servers,
    ("Failures", "sums"): _sums,
    ("_Gateway", "servers"): _by_server,
    ("_Try", "server"): lambda walker, value: walker.server(value),
    ("Out", "server"): lambda walker, value: walker.server(value),
    ("Books", "cold"): lambda walker, value: tuple(
        sorted((walker.server(s), n, c) for (s, n), c in value.items())
    ),
}
CHOICES = Choices()
FORMS = Forms(SKIP, SPECIAL)
NAMELESS = Forms({**SKIP, "Server": frozenset({"id"})}, SPECIAL)
COPIER = Copier(shared=(Choices,))
