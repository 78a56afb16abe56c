"""`meadowpulley check`: every interleaving of small configurations, on the real code."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from typing import Any

import click
import xxhash
from msgspec import to_builtins
from msgspec.structs import asdict
from rich.console import Console
from rich.live import Live
from rich.text import Text

from meadowpulley.check import CheckpointError, Coverage, Search, Setting, story as stories
from meadowpulley.check.mutate import MutantError
from meadowpulley.check.plant import Caught, hunt_all, setting_of
from meadowpulley.cli.common import (
    FILE,
    GOOD,
    MISSED,
    InputError,
    console,
    guarded,
    json_option,
    make_table,
    seed_option,
    show_json,
    writable,
)
from meadowpulley.cli.tales import keep, replay, report, shrink

WORLDS = ("decisions", "connection", "shared")


def scenes_of(world: str) -> list[str]:
    if world == "decisions":
        from meadowpulley.check.scenes import SCENES

        return list(SCENES)
    if world == "shared":
        from meadowpulley.check.shared import SCENES as SHARED

        return list(SHARED)
    from meadowpulley.check.connection import SCENES as CONNECTIONS

    return list(CONNECTIONS)


@click.group()
def check() -> None:
    """Explore small configurations exhaustively, on the real code; find planted bugs; tell
    counterexamples."""


class _Progress:
    """One line that tells how far a search is, on standard error."""

    def __init__(self, quiet: bool) -> None:
        self._live = None if quiet else Live(console=Console(stderr=True), transient=True)

    def __enter__(self) -> _Progress:
        if self._live is not None:
            self._live.start()
        return self

    def __exit__(self, *_: object) -> None:
        if self._live is not None:
            self._live.stop()

    def show(self, name: str, coverage: Coverage) -> None:
        if self._live is not None and coverage.levels:
            level = coverage.levels[-1]
            speed = coverage.states / max(coverage.seconds, 0.001)
            text = f"{name}: depth {level.depth}, {coverage.states} states, frontier {level.frontier}, "
            walks = f", {coverage.walks} walks" if coverage.walks else ""
            self._live.update(Text(f"{text}{speed:.0f} states a second{walks}"))


def _left_out(coverage: Coverage) -> str:
    s = coverage.setting
    bounds = f"at most {s.troubles} troubles and {s.waits} waits a path"
    if coverage.complete:
        return f"all within {bounds}"
    return f"all to {coverage.depth} steps within {bounds}; stopped by {coverage.stopped}"


def coverage_table(coverage: Coverage) -> dict[str, Any]:
    found = coverage.counterexample
    return {
        "setting": asdict(coverage.setting),
        "states": coverage.states,
        "taken": coverage.taken,
        "depth": coverage.depth,
        "complete": coverage.complete,
        "covered": _left_out(coverage),
        "seconds": round(coverage.seconds, 2),
        "walks": coverage.walks,
        "walked": coverage.walked,
        "levels": [[v.depth, v.states, v.taken, v.frontier, round(v.seconds, 2)] for v in coverage.levels],
        "broken": str(found.broken) if found is not None else None,
        "steps": [[s.do, *s.who] for s in found.steps] if found is not None else [],
    }


def bounds_options(command: Any) -> Any:
    for option in (
        click.option("--gateways", type=click.IntRange(1, 8), default=2, show_default=True),
        click.option("--servers", type=click.IntRange(1, 8), default=3, show_default=True),
        click.option("--requests", type=click.IntRange(0, 12), default=4, show_default=True),
        click.option(
            "--troubles",
            type=click.IntRange(0, 20),
            default=1,
            show_default=True,
            help="Steps of a path that are somebody's failure.",
        ),
        click.option(
            "--waits",
            type=click.IntRange(0, 20),
            default=1,
            show_default=True,
            help="How often time moves on in a path.",
        ),
    ):
        command = option(command)
    return command


@check.command()
@click.option("--world", type=click.Choice(WORLDS), default="decisions", show_default=True)
@click.option("--scene", "scenes", multiple=True, help="Which scenes; all of the world else.")
@bounds_options
@click.option("--depth", type=click.IntRange(1, 10_000), default=10_000, help="Steps of a path, at most.")
@click.option(
    "--budget", type=click.FloatRange(1, 1e7), default=60.0, show_default=True, help="Seconds for each scene."
)
@click.option(
    "--walks",
    type=click.IntRange(0, 10**9),
    default=0,
    show_default=True,
    help="Random walks after the search.",
)
@click.option("--walk-steps", type=click.IntRange(1, 100_000), default=80, show_default=True)
@seed_option
@click.option("--workers", type=click.IntRange(1, 1024))
@click.option("--checkpoint", type=FILE, help="Go on from there, and write it after each level (one scene).")
@click.option("--out", type=click.Path(file_okay=False, path_type=Path), help="Where counterexamples go.")
@json_option
@guarded
def run(
    world: str,
    scenes: tuple[str, ...],
    gateways: int,
    servers: int,
    requests: int,
    troubles: int,
    waits: int,
    depth: int,
    budget: float,
    walks: int,
    walk_steps: int,
    seed: int,
    workers: int | None,
    checkpoint: Path | None,
    out: Path | None,
    as_json: bool,
) -> int:
    """Explore: exit code 0 if nothing was found, 1 if a property is broken."""
    known = scenes_of(world)
    for name in scenes:
        if name not in known:
            raise InputError(f"--scene: '{name}' is not known; known are {', '.join(known)}")
    wanted = list(scenes) or known
    if checkpoint is not None:
        writable(checkpoint)
        if len(wanted) != 1:
            raise InputError("--checkpoint: goes with one --scene; name it")
    found: list[Coverage] = []
    with _Progress(as_json) as progress:
        for name in wanted:
            setting = Setting(
                world=world,
                scene=name,
                gateways=gateways,
                servers=servers,
                requests=requests,
                troubles=troubles,
                waits=waits,
            )
            try:
                search = Search(
                    setting,
                    seed,
                    workers,
                    checkpoint=checkpoint,
                    progress=lambda c, name=name: progress.show(name, c),  # type: ignore[misc]
                )
            except (CheckpointError, ValueError) as error:
                raise InputError(str(error)) from None
            try:
                coverage = search.run(depth, budget)
                if walks and coverage.counterexample is None:
                    coverage = search.walk(walks, walk_steps, budget)
            finally:
                search.close()
            found.append(coverage)
    return _show(found, out, as_json)


def _show(found: Sequence[Coverage], out: Path | None, as_json: bool) -> int:
    broken = [c for c in found if c.counterexample is not None]
    tales = []
    for coverage in broken:
        assert coverage.counterexample is not None
        tale = stories.shrink(stories.tale_of(coverage.setting, coverage.counterexample))
        tales.append(tale)
        if out is not None:
            out.mkdir(parents=True, exist_ok=True)
            stories.write_tale(tale, out / f"{coverage.setting.scene}-{tale.property}.json")
    if as_json:
        show_json([coverage_table(c) for c in found])
        return MISSED if broken else GOOD
    shown = console()
    rows = [
        [
            c.setting.scene,
            str(c.states),
            str(c.taken),
            str(c.depth),
            f"{c.seconds:.1f}",
            f"{c.states / max(c.seconds, 0.001):.0f}",
            f"{c.walks} x {c.walked // max(c.walks, 1)}",
            "BROKEN" if c.counterexample else _left_out(c),
        ]
        for c in found
    ]
    columns = ["scene", "states", "steps", "depth", "seconds", "states/s", "walks", "covered"]
    shown.print(make_table(f"{found[0].setting.world}: {found[0].setting.size}", columns, rows))
    for tale in tales:
        shown.print("\n".join(stories.lines_of(tale)), soft_wrap=True)
    return MISSED if broken else GOOD


@check.command()
@click.option("--mutant", "names", multiple=True, help="Which; all else.")
@click.option("--list", "only_list", is_flag=True, help="Name them, and play none.")
@click.option("--seeds", type=click.IntRange(1, 100), default=1, show_default=True)
@click.option(
    "--budget",
    type=click.FloatRange(1, 1e6),
    default=60.0,
    show_default=True,
    help="Seconds for each search, and as much for walks behind it.",
)
@click.option("--workers", type=click.IntRange(1, 1024))
@click.option("--out", type=click.Path(file_okay=False, path_type=Path), help="Where counterexamples go.")
@json_option
@guarded
def mutants(
    names: tuple[str, ...],
    only_list: bool,
    seeds: int,
    budget: float,
    workers: int | None,
    out: Path | None,
    as_json: bool,
) -> int:
    """Plant bugs and look for them. Exit code 1 if one survives."""
    from meadowpulley.check.mutants import MUTANTS

    if only_list:
        if as_json:
            show_json(
                [{"name": m.name, "why": m.why, "module": m.module, "by": m.by} for m in MUTANTS.values()]
            )
        else:
            rows = [
                [m.name, m.module.removeprefix("meadowpulley."), ", ".join(m.by), m.why]
                for m in MUTANTS.values()
            ]
            console().print(make_table(f"{len(rows)} mutants", ["mutant", "module", "by", "what"], rows))
        return GOOD
    err = Console(stderr=True, highlight=False)

    def done(c: Caught) -> None:
        if not as_json:
            err.print(f"{c.mutant}, seed {c.seed}: {c.by or 'survived'} in {c.seconds:.1f} s", soft_wrap=True)

    try:
        found = hunt_all(names or list(MUTANTS), range(1, seeds + 1), budget, workers, done)
    except MutantError as error:
        raise InputError(str(error)) from None
    if out is not None:
        out.mkdir(parents=True, exist_ok=True)
        for c in found:
            if c.by:
                tale = stories.Tale(1, setting_of(MUTANTS[c.mutant]), c.by, c.text, c.steps, c.mutant)
                stories.write_tale(tale, out / f"{c.mutant}-{c.seed}.json")
    survived = sorted({c.mutant for c in found if not c.by})
    if as_json:
        show_json(to_builtins(found))
    else:
        rows = []
        for name in dict.fromkeys(c.mutant for c in found):
            mine = [c for c in found if c.mutant == name]
            rows.append(
                [
                    name,
                    ", ".join(sorted({c.by or "survived" for c in mine})),
                    "/".join(str(len(c.steps)) for c in mine),
                    str(max(c.states for c in mine)),
                    f"{max(c.seconds for c in mine):.1f}",
                    ", ".join(sorted({c.how for c in mine})),
                ]
            )
        columns = ["mutant", "caught by", "steps, by seed", "states, most", "seconds, most", "how"]
        console().print(make_table(f"{len(rows)} mutants, {seeds} seeds", columns, rows))
        console().print(f"{len(rows) - len(survived)} of {len(rows)} caught under every seed")
    return MISSED if survived else GOOD


@check.command()
@click.option("--target", "names", multiple=True, help="Which readers; all else.")
@click.option("--examples", type=click.IntRange(1, 10**8), default=1000, show_default=True, help="Of each.")
@click.option(
    "--corpus",
    type=click.Path(file_okay=False, path_type=Path),
    default=Path("tests/corpus"),
    show_default=True,
    help="Inputs that are played first; what fails is kept there.",
)
@seed_option
@json_option
@guarded
def fuzz(names: tuple[str, ...], examples: int, corpus: Path, seed: int, as_json: bool) -> int:
    """Feed the readers of foreign bytes made and spoilt input. Exit code 1 if one breaks its word."""
    from meadowpulley.check.fuzz import TARGETS, corpus_of, fuzz as play

    for name in names:
        if name not in TARGETS:
            raise InputError(f"--target: '{name}' is not known; known are {', '.join(TARGETS)}")
    found = []
    for name in names or TARGETS:
        one = play(TARGETS[name], examples, seed, list(corpus_of(corpus, name)))
        found.append(one)
        if one.failing is not None:
            folder = corpus / name
            folder.mkdir(parents=True, exist_ok=True)
            (folder / f"found-{xxhash.xxh3_64_hexdigest(one.failing)}").write_bytes(one.failing)
    if as_json:
        show_json(
            [{"target": f.target, "corpus": f.corpus, "examples": f.examples, "why": f.why} for f in found]
        )
    else:
        rows = [[TARGETS[f.target].about, str(f.corpus), str(f.examples), f.why or "holds"] for f in found]
        console().print(make_table(f"Fuzzing, seed {seed}", ["reader", "corpus", "examples", "result"], rows))
    return MISSED if any(f.failing is not None for f in found) else GOOD


for command in (replay, shrink, keep, report):
    check.add_command(command)
