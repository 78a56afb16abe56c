"""How the catalogue's entries are built: the bounds that the mutants of one model have in common."""

from __future__ import annotations

from typing import Any

from meadowpulley.model_checking.mutation import Mutant

POLICY = ("meadowpulley.policy", "meadowpulley.state")


def policy_mutant(
    name: str,
    description: str,
    property_names: str,
    configuration: str,
    *replacements: tuple[str, str],
    modules: tuple[str, ...] = POLICY,
    **bounds: Any,
) -> Mutant:
    """Return a mutant of the policy, to be found in the policy model."""
    return Mutant(
        name, description, modules, replacements, tuple(property_names.split()), configuration, **bounds
    )


def connection_mutant(
    name: str,
    description: str,
    property_names: str,
    configuration: str,
    module: str,
    *replacements: tuple[str, str],
    requests: int = 1,
    faults: int = 1,
    time_advances: int = 1,
    servers: int = 2,
) -> Mutant:
    """Return a mutant of the gateway's connections, to be found in the connection model."""
    caught_by = tuple(property_names.split())
    return Mutant(
        name,
        description,
        (module,),
        replacements,
        caught_by,
        configuration,
        "connection",
        faults,
        requests,
        1,
        servers,
        time_advances,
    )


def shared_state_mutant(
    name: str,
    description: str,
    property_names: str,
    configuration: str,
    module: str,
    *replacements: tuple[str, str],
    requests: int = 1,
    faults: int = 1,
    time_advances: int = 3,
) -> Mutant:
    """Return a mutant of what gateways share, to be found in the shared-state model."""
    caught_by = tuple(property_names.split())
    return Mutant(
        name,
        description,
        (module,),
        replacements,
        caught_by,
        configuration,
        "shared",
        faults,
        requests,
        2,
        2,
        time_advances,
    )
