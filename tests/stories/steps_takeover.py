"""Steps about work in hand that others take over, and clients that ask again."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

from msgspec.structs import replace as changed
from pytest_bdd import given, parsers, then, when

from meadowpulley.emulator import World
from meadowpulley.emulator.ledger import LedgerFigures
from meadowpulley.emulator.together import Together
from meadowpulley.rules import Adopted, Answered, Closed, KeyAnswered, Outcome, Sent, Taken, Written
from meadowpulley.takeover import Terms
from meadowpulley.takeover.model import Written as Which
from tests.stories.fleets import small_fleet
from tests.stories.tale import Tale

EFFECTS = {"look-ups": "look-up", "bookings": "booking", "transfers": "transfer"}


# Given


@given(parsers.parse("a fleet of {count:d} gateways that take over, with leases of {term:g} s"))
def a_fleet_that_takes_over(tale: Tale, count: int, term: float) -> None:
    tale.fleet = small_fleet(count, retries=4)
    tale.together = Together(LedgerFigures(term_ms=term * 1000.0), Terms(written=Which.ALL))


@given(parsers.parse("only what may not simply be repeated is written down"))
def only_unrepeatable(tale: Tale) -> None:
    assert tale.together is not None
    tale.together = replace(tale.together, takeover=Terms(written=Which.UNREPEATABLE))


@given(parsers.parse("clients that ask another gateway after {silence:g} s of silence"))
def clients_ask_again(tale: Tale, silence: float) -> None:
    assert tale.together is not None
    tale.together = replace(tale.together, again_ms=silence * 1000.0)


@given(parsers.parse("at most {count:d} requests taken over in hand at each gateway"))
def few_in_hand(tale: Tale, count: int) -> None:
    assert tale.together is not None and tale.together.takeover is not None
    tale.together = replace(tale.together, takeover=replace(tale.together.takeover, most_open=count))


@given(parsers.parse("requests of {work:g} ms of work and a deadline of {deadline:g} s"))
def long_work(tale: Tale, work: float, deadline: float) -> None:
    classes = tuple(
        changed(c, work_ms=work, deadline_ms=deadline * 1000.0, aim_ms=deadline * 800.0)
        for c in tale.fleet.classes
    )
    tale.fleet = changed(tale.fleet, classes=classes)


# When


@when(parsers.parse("{count:d} gateways are killed one after the other, {gap:g} s apart, from {at:g} s"))
def killed_in_turn(tale: Tale, count: int, gap: float, at: float) -> None:
    for n in range(count):
        tale.at(at + n * gap, lambda world, n=n: world.gateways[n].kill())  # type: ignore[misc]


@when(parsers.parse("whoever takes work over from gateway {number:d} is killed as it begins"))
def adopter_killed(tale: Tale, number: int) -> None:
    def look(world: World) -> None:
        begun = [r for r in tale.records if isinstance(r, Adopted)]
        if begun:
            world.gateways[begun[0].gateway].kill()
        elif world.clock.now < 12_000.0:
            world.clock.after(1.0, lambda: look(world))

    tale.at(4.0, look)


# Then


def _ids(tale: Tale, cls: str = "") -> dict[str, list[Answered]]:
    """All answers by the client's id, of one class or of all."""
    number = next((n for n, c in enumerate(tale.fleet.classes) if c.name == cls), -1)
    ids = {(r.gateway, r.request): r.id for r in tale.seen(Taken) if number in (-1, r.cls)}
    found: dict[str, list[Answered]] = {name: [] for name in ids.values()}
    for r in tale.seen(Answered):
        if (r.gateway, r.request) in ids:
            found[ids[r.gateway, r.request]].append(r)
    return found


@then(parsers.parse("work of gateway {number:d} is taken over"))
def is_taken_over(tale: Tale, number: int) -> None:
    taken = {r.id for r in tale.seen(Taken) if r.gateway == number - 1}
    assert taken & {r.id for r in tale.seen(Adopted)}


@then("nothing is taken over")
def nothing_taken_over(tale: Tale) -> None:
    assert tale.seen(Written) and not tale.seen(Adopted)


@then(parsers.parse("work is taken over within {within:g} s of {at:g} s"))
def taken_over_within(tale: Tale, within: float, at: float) -> None:
    times = [r.at / 1000.0 for r in tale.seen(Adopted)]
    assert times and at < min(times) <= at + within, times[:3]


@then("every written request has its end")
def written_has_its_end(tale: Tale) -> None:
    written = {r.id for r in tale.seen(Written)}
    assert written and written <= {r.id for r in tale.seen(Closed)}


@then(parsers.parse("no {kind} runs twice"))
def none_runs_twice(tale: Tale, kind: str) -> None:
    """By the attempts that went out and are not known never to have run, of all gateways together."""
    cls = next(n for n, c in enumerate(tale.fleet.classes) if c.name == kind)
    ids = {(r.gateway, r.request): r.id for r in [*tale.seen(Taken), *tale.seen(Adopted)] if r.cls == cls}
    out = {(r.gateway, r.request, r.attempt) for r in tale.seen(Sent) if (r.gateway, r.request) in ids}
    out -= {(r.gateway, r.request, r.attempt) for r in tale.seen(Outcome) if not r.ran}
    runs = Counter(ids[gateway, request] for gateway, request, _ in out)
    assert runs and max(runs.values()) == 1, [name for name, n in runs.items() if n > 1]


@then("whoever asks twice gets the same answer")
def same_answer(tale: Tale) -> None:
    asked = Counter(r.id for r in tale.seen(Taken))
    assert max(asked.values()) > 1
    for name, answers in _ids(tale).items():
        assert len({r.content for r in answers if r.answer == "served"}) <= 1, name


@then(parsers.parse("at least {count:d} clients ask again and are served"))
def served_on_a_later_ask(tale: Tale, count: int) -> None:
    asked = Counter(r.id for r in tale.seen(Taken))
    again = [n for n, a in _ids(tale).items() if asked[n] > 1 and any(r.answer == "served" for r in a)]
    assert len(again) >= count, len(again)


@then(parsers.parse("all {kind} are written down, and no {other}"))
def which_are_written(tale: Tale, kind: str, other: str) -> None:
    written = {r.id for r in tale.seen(Written)}
    assert set(_ids(tale, EFFECTS[kind])) <= written
    assert not written & set(_ids(tale, EFFECTS[other]))


@then(parsers.parse("no gateway ever has more than {count:d} requests taken over in hand"))
def few_adopted(tale: Tale, count: int) -> None:
    """Counted from the slot that it gets to the end of its record."""
    _ = tale.result
    open_: dict[str, int] = {}
    most: Counter[int] = Counter()
    for r in tale.records:
        if isinstance(r, Adopted):
            open_[r.id] = r.gateway
            most[r.gateway] = max(most[r.gateway], sum(g == r.gateway for g in open_.values()))
        elif isinstance(r, Closed):
            open_.pop(r.id, None)
    assert most and max(most.values()) <= count, most


@then(parsers.parse("work taken over earns no allowance on build {number:d}"))
def no_allowance(tale: Tale, number: int) -> None:
    """Attempts at the trial build stay within what was taken by clients: adopted ones add nothing."""
    assert tale.seen(Adopted) and "exposure" not in tale.result.broken
    assert any(r.build == number for r in tale.seen(Sent))


@then("no key goes back to an earlier build")
def one_way(tale: Tale) -> None:
    assert tale.seen(KeyAnswered) and "one-way" not in tale.result.broken
