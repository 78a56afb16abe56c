"""Steps about what gateways share: lives and their leases, claims, and a ledger in trouble."""

from __future__ import annotations

from dataclasses import replace
from functools import partial
from typing import Any

from pytest_bdd import given, parsers, then, when

from meadowpulley.emulator import World
from meadowpulley.emulator.ledger import LedgerFigures, Trouble
from meadowpulley.emulator.together import Place, Together
from meadowpulley.ledger import How
from tests.stories.fleets import small_fleet
from tests.stories.notebook import Claim, Notebook
from tests.stories.tale import Tale

TROUBLES: dict[str, Trouble] = {
    "full": "full",
    "read-only": "read-only",
    "gone": "gone",
    "slow": "slow",
    "cut off": "cut",
    "silent": "unheard",
}


def notebooks(tale: Tale) -> list[Notebook]:
    """One for each life that a gateway began, in their order; of all gateways."""
    _ = tale.result
    found: list[Notebook] = tale.notebooks
    return found


def of(tale: Tale, number: int) -> Notebook:
    """Of the last life of a gateway."""
    return [n for n in notebooks(tale) if n.place.life.name == f"g{number - 1}"][-1]


def first_of(tale: Tale, number: int) -> Notebook:
    return next(n for n in notebooks(tale) if n.place.life.name == f"g{number - 1}")


# Given


@given(parsers.parse("a fleet of {count:d} gateways that share a ledger, with leases of {term:g} s"))
def a_fleet_with_a_ledger(tale: Tale, count: int, term: float) -> None:
    tale.fleet = small_fleet(count)

    def make(place: Place) -> Notebook:
        notebook = Notebook(place)
        tale.notebooks.append(notebook)
        return notebook

    figures = LedgerFigures(term_ms=term * 1000.0, one_machine=False)
    tale.together = Together(figures, outside=(make,), prefixes=("story/",))


@given("gateways that run on one machine")
def one_machine(tale: Tale) -> None:
    assert tale.together is not None
    tale.together = replace(tale.together, ledger=replace(tale.together.ledger, one_machine=True))


@given("gateways that may stand on many machines")
def many_machines(tale: Tale) -> None:
    """Then nobody knows of an end before the lease tells."""
    assert tale.together is not None
    tale.together = replace(tale.together, ledger=replace(tale.together.ledger, one_machine=False))


# When


@when(parsers.parse("gateway {number:d} claims '{name}' at {at:g} s"))
def claims(tale: Tale, number: int, name: str, at: float) -> None:
    tale.at(at, lambda world: world.gateways[number - 1].tell(Claim(name)))


@when(parsers.parse("all gateways claim '{name}' at {at:g} s"))
def all_claim(tale: Tale, name: str, at: float) -> None:
    def claim(world: World) -> None:
        for gateway in world.gateways:
            gateway.tell(Claim(name))

    tale.at(at, claim)


@when(parsers.re(r"the ledger is (?P<what>[a-z- ]+) from (?P<begin>[\d.]+) s to (?P<end>[\d.]+) s"))
def ledger_trouble(tale: Tale, what: str, begin: str, end: str) -> None:
    tale.at(float(begin), partial(_trouble, TROUBLES[what], None))
    tale.at(float(end), partial(_trouble, None, None))


@when(
    parsers.re(
        r"the ledger is (?P<what>[a-z- ]+) for gateway (?P<number>\d+) from (?P<begin>[\d.]+) s to "
        r"(?P<end>[\d.]+) s"
    )
)
def ledger_trouble_for(tale: Tale, what: str, number: str, begin: str, end: str) -> None:
    tale.at(float(begin), partial(_trouble, TROUBLES[what], int(number) - 1))
    tale.at(float(end), partial(_trouble, None, int(number) - 1))


def _trouble(what: Trouble | None, number: int | None, world: World) -> None:
    assert world.ledger is not None
    world.ledger.trouble(what, number)


@when(parsers.parse("{count:d} gateways are killed at {at:g} s"))
def many_killed(tale: Tale, count: int, at: float) -> None:
    def kill(world: World) -> None:
        for gateway in world.gateways[:count]:
            gateway.kill()

    tale.at(at, kill)


# Then


@then(parsers.parse("exactly one gateway has '{name}'"))
def exactly_one(tale: Tale, name: str) -> None:
    assert sum(n.has(name) for n in notebooks(tale)) == 1


@then(parsers.parse("gateway {number:d} has '{name}'"))
def has(tale: Tale, number: int, name: str) -> None:
    assert of(tale, number).has(name)


@then(parsers.parse("gateway {number:d} does not have '{name}'"))
def has_not(tale: Tale, number: int, name: str) -> None:
    assert name in of(tale, number).claimed and not of(tale, number).has(name)


@then(parsers.parse("gateway {number:d} does not know whether it has '{name}'"))
def knows_not(tale: Tale, number: int, name: str) -> None:
    assert of(tale, number).done[name].how is How.UNKNOWN


@then(parsers.parse("the ledger says that gateway {number:d} has '{name}'"))
def ledger_says(tale: Tale, number: int, name: str) -> None:
    record = _store(tale).read(f"story/{name}")
    assert record is not None and record.by.name == f"g{number - 1}"


@then(parsers.parse("nobody has '{name}'"))
def nobody_has(tale: Tale, name: str) -> None:
    assert any(name in n.claimed for n in notebooks(tale))
    assert _store(tale).read(f"story/{name}") is None


def _store(tale: Tale) -> Any:
    _ = tale.result
    assert tale.world.ledger is not None
    return tale.world.ledger.store


@then("no gateway's life is ended")
def none_ended(tale: Tale) -> None:
    _ = notebooks(tale)
    assert not [m for m in _store(tale).members() if m.sealed]


@then(parsers.parse("gateway {number:d}'s first life is ended by another within {within:g} s of {at:g} s"))
def is_ended(tale: Tale, number: int, within: float, at: float) -> None:
    life = first_of(tale, number).place.life
    last = next(m for m in _store(tale).members() if m.life.name == life.name)
    assert last.life != life or last.sealed
    heard = [
        when
        for n in notebooks(tale)
        for when, member in n.suspected
        if member.life == life and member.sealed and n.place.life.name != life.name
    ]
    assert heard and at * 1000.0 < min(heard) <= (at + within) * 1000.0, heard


@then(parsers.parse("all lost lives are ended within {within:g} s of {at:g} s"))
def all_ended(tale: Tale, within: float, at: float) -> None:
    dead = [n.place.life for n in notebooks(tale) if not tale.gateway(int(n.place.life.name[1:]) + 1).alive]
    heard = {m.life: when for n in notebooks(tale) for when, m in reversed(n.suspected) if m.sealed}
    assert dead and all(heard.get(life, 1e9) <= (at + within) * 1000.0 for life in dead), heard


@then(parsers.parse("gateway {number:d} is told that its life was ended, before it claims anything more"))
def told_of_its_end(tale: Tale, number: int) -> None:
    notebook = first_of(tale, number)
    assert notebook.first_told("Ended") >= 0
    assert not any(notebook.has(name) for name in notebook.claimed)


@then(parsers.parse("gateway {number:d} is told that the ledger is lost, and later that it is back"))
def told_lost_and_back(tale: Tale, number: int) -> None:
    lost, back = of(tale, number).first_told("LedgerLost"), of(tale, number).first_told("LedgerBack")
    assert 0 <= lost < back


@then(parsers.parse("gateway {number:d} is never told that the ledger is lost"))
def never_lost(tale: Tale, number: int) -> None:
    assert of(tale, number).first_told("LedgerLost") < 0


@then(parsers.parse("gateway {number:d} has begun {count:d} lives"))
def lives(tale: Tale, number: int, count: int) -> None:
    _ = notebooks(tale)
    assert tale.gateway(number).lives == count
    life = tale.gateway(number).life
    assert life is not None and life.epoch == count


@then(parsers.parse("gateway {number:d} may not act on its lease at {at:g} s"))
def may_not_act(tale: Tale, number: int, at: float) -> None:
    assert _may_act(tale, number, at) is False


@then(parsers.parse("gateway {number:d} may act on its lease at {at:g} s"))
def may_act(tale: Tale, number: int, at: float) -> None:
    assert _may_act(tale, number, at) is True


def _may_act(tale: Tale, number: int, at: float) -> bool:
    """Asked at that moment: the day is played up to it."""
    tale.world.run_until(at * 1000.0)
    return bool(tale.gateway(number).balancer.may_act(at * 1000.0))


@then(parsers.parse("each gateway asks the ledger at most {count:g} times a second"))
def operations(tale: Tale, count: float) -> None:
    _ = notebooks(tale)
    assert tale.world.ledger is not None
    operations = tale.world.ledger.operations
    seconds, gateways = tale.result.lasted_ms / 1000.0, len(tale.world.gateways)
    asked = operations["groups"] + operations["polls"]
    assert 0 < asked / seconds / gateways <= count, (asked, seconds)
    assert operations["read"] / seconds / gateways <= 4 * count, operations
