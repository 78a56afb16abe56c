"""`meadowpulley check`: every interleaving of small configurations, on the real code."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from typing import Any

import click
import xxhash
from msgspec import to_builtins
from rich.console import Console
from rich.live import Live
from rich.text import Text

from meadowpulley.cli.common import (
    FILE,
    GOAL_MISSED,
    SUCCESS,
    InputError,
    console,
    exits_with_code,
    json_option,
    make_table,
    require_writable,
    seed_option,
    show_json,
)
from meadowpulley.cli.counterexamples import keep, replay, report, shrink
from meadowpulley.model_checking import (
    CheckpointError,
    Coverage,
    ModelSettings,
    Search,
    counterexample as stories,
)
from meadowpulley.model_checking.mutation import MutantError
from meadowpulley.model_checking.mutation_testing import MutationResult, run_mutants, settings_of

WORLDS = ("decisions", "connection", "shared")


def configuration_names(world: str) -> list[str]:
    """Return the names of a model's configurations."""
    if world == "decisions":
        from meadowpulley.model_checking.policy_model.configurations import CONFIGURATIONS

        return list(CONFIGURATIONS)
    if world == "shared":
        from meadowpulley.model_checking.shared_state_model import CONFIGURATIONS as SHARED

        return list(SHARED)
    from meadowpulley.model_checking.connection_model import CONFIGURATIONS as CONNECTIONS

    return list(CONNECTIONS)


@click.group()
def check() -> None:
    """Explore small configurations exhaustively, on the real code; find planted bugs; show
    counterexamples."""


class _SearchProgress:
    """One line on standard error that shows the progress of a search."""

    def __init__(self, quiet: bool) -> None:
        self._live = None if quiet else Live(console=Console(stderr=True), transient=True)

    def __enter__(self) -> _SearchProgress:
        if self._live is not None:
            self._live.start()
        return self

    def __exit__(self, *_: object) -> None:
        if self._live is not None:
            self._live.stop()

    def show(self, name: str, coverage: Coverage) -> None:
        """Show the depth, states and speed that a search has reached."""
        if self._live is not None and coverage.levels:
            level = coverage.levels[-1]
            speed = coverage.states / max(coverage.elapsed_s, 0.001)
            text = f"{name}: depth {level.depth}, {coverage.states} states, frontier {level.frontier}, "
            walks = f", {coverage.walks} walks" if coverage.walks else ""
            self._live.update(Text(f"{text}{speed:.0f} states a second{walks}"))


def _covered_text(coverage: Coverage) -> str:
    setting = coverage.settings
    bounds = f"at most {setting.faults} troubles and {setting.time_advances} waits a path"
    if coverage.complete:
        return f"all within {bounds}"
    return f"all to {coverage.depth} steps within {bounds}; stopped by {coverage.stop_reason}"


def coverage_fields(coverage: Coverage) -> dict[str, Any]:
    """Return a search's coverage as JSON fields; durations are in seconds."""
    counterexample = coverage.counterexample
    return {
        "setting": to_builtins(coverage.settings),
        "states": coverage.states,
        "taken": coverage.transitions,
        "depth": coverage.depth,
        "complete": coverage.complete,
        "covered": _covered_text(coverage),
        "seconds": round(coverage.elapsed_s, 2),
        "walks": coverage.walks,
        "walked": coverage.walk_steps,
        "levels": [
            [v.depth, v.new_states, v.transitions, v.frontier, round(v.elapsed_s, 2)] for v in coverage.levels
        ],
        "broken": str(counterexample.violation) if counterexample is not None else None,
        "steps": [[s.action, *s.arguments] for s in counterexample.steps]
        if counterexample is not None
        else [],
    }


def bounds_options(command: Any) -> Any:
    """Add the options that bound a configuration and its search."""
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
@exits_with_code
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
    known_names = configuration_names(world)
    for name in scenes:
        if name not in known_names:
            raise InputError(f"--scene: '{name}' is not known; known are {', '.join(known_names)}")
    selected = list(scenes) or known_names
    if checkpoint is not None:
        require_writable(checkpoint)
        if len(selected) != 1:
            raise InputError("--checkpoint: goes with one --scene; name it")
    coverages: list[Coverage] = []
    with _SearchProgress(as_json) as progress:
        for name in selected:
            setting = ModelSettings(
                model=world,
                configuration=name,
                gateways=gateways,
                servers=servers,
                requests=requests,
                faults=troubles,
                time_advances=waits,
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
            coverages.append(coverage)
    return _show_coverage(coverages, out, as_json)


def _show_coverage(coverages: Sequence[Coverage], out: Path | None, as_json: bool) -> int:
    broken = [c for c in coverages if c.counterexample is not None]
    counterexamples = []
    for coverage in broken:
        assert coverage.counterexample is not None
        counterexample = stories.shrink(stories.counterexample_of(coverage.settings, coverage.counterexample))
        counterexamples.append(counterexample)
        if out is not None:
            out.mkdir(parents=True, exist_ok=True)
            stories.write_counterexample(
                counterexample, out / f"{coverage.settings.configuration}-{counterexample.property_name}.json"
            )
    if as_json:
        show_json([coverage_fields(c) for c in coverages])
        return GOAL_MISSED if broken else SUCCESS
    output = console()
    rows = [
        [
            c.settings.configuration,
            str(c.states),
            str(c.transitions),
            str(c.depth),
            f"{c.elapsed_s:.1f}",
            f"{c.states / max(c.elapsed_s, 0.001):.0f}",
            f"{c.walks} x {c.walk_steps // max(c.walks, 1)}",
            "BROKEN" if c.counterexample else _covered_text(c),
        ]
        for c in coverages
    ]
    columns = ["scene", "states", "steps", "depth", "seconds", "states/s", "walks", "covered"]
    output.print(make_table(f"{coverages[0].settings.model}: {coverages[0].settings.size}", columns, rows))
    for counterexample in counterexamples:
        output.print("\n".join(stories.describe_lines(counterexample)), soft_wrap=True)
    return GOAL_MISSED if broken else SUCCESS


@check.command()
@click.option("--mutant", "names", multiple=True, help="Which; all else.")
@click.option("--list", "only_list", is_flag=True, help="Name them, and play none.")
@click.option("--seeds", type=click.IntRange(1, 100), default=1, show_default=True)
@click.option(
    "--budget",
    type=click.FloatRange(1, 1e6),
    default=60.0,
    show_default=True,
    help="Seconds for each search, and as much for random walks after it.",
)
@click.option("--workers", type=click.IntRange(1, 1024))
@click.option("--out", type=click.Path(file_okay=False, path_type=Path), help="Where counterexamples go.")
@json_option
@exits_with_code
def mutants(
    names: tuple[str, ...],
    only_list: bool,
    seeds: int,
    budget: float,
    workers: int | None,
    out: Path | None,
    as_json: bool,
) -> int:
    """Plant bugs and search for them. Exit code 1 if one survives."""
    from meadowpulley.model_checking.mutants import MUTANTS

    if only_list:
        if as_json:
            show_json(
                [
                    {"name": m.name, "why": m.description, "module": m.module, "by": m.caught_by}
                    for m in MUTANTS.values()
                ]
            )
        else:
            rows = [
                [m.name, m.module.removeprefix("meadowpulley."), ", ".join(m.caught_by), m.description]
                for m in MUTANTS.values()
            ]
            console().print(make_table(f"{len(rows)} mutants", ["mutant", "module", "by", "what"], rows))
        return SUCCESS
    stderr = Console(stderr=True, highlight=False)

    def show_result(result: MutationResult) -> None:
        """Show the result of one mutant on standard error."""
        if not as_json:
            stderr.print(
                f"{result.mutant}, seed {result.seed}: {result.violated_property or 'survived'} "
                f"in {result.elapsed_s:.1f} s",
                soft_wrap=True,
            )

    try:
        results = run_mutants(names or list(MUTANTS), range(1, seeds + 1), budget, workers, show_result)
    except MutantError as error:
        raise InputError(str(error)) from None
    if out is not None:
        out.mkdir(parents=True, exist_ok=True)
        for c in results:
            if c.violated_property:
                counterexample = stories.Counterexample(
                    1, settings_of(MUTANTS[c.mutant]), c.violated_property, c.text, c.steps, c.mutant
                )
                stories.write_counterexample(counterexample, out / f"{c.mutant}-{c.seed}.json")
    survived = sorted({c.mutant for c in results if not c.violated_property})
    if as_json:
        show_json(to_builtins(results))
    else:
        rows = []
        for name in dict.fromkeys(c.mutant for c in results):
            of_mutant = [c for c in results if c.mutant == name]
            rows.append(
                [
                    name,
                    ", ".join(sorted({c.violated_property or "survived" for c in of_mutant})),
                    "/".join(str(len(c.steps)) for c in of_mutant),
                    str(max(c.states for c in of_mutant)),
                    f"{max(c.elapsed_s for c in of_mutant):.1f}",
                    ", ".join(sorted({c.search_method for c in of_mutant})),
                ]
            )
        columns = ["mutant", "caught by", "steps, by seed", "states, most", "seconds, most", "how"]
        console().print(make_table(f"{len(rows)} mutants, {seeds} seeds", columns, rows))
        console().print(f"{len(rows) - len(survived)} of {len(rows)} caught under every seed")
    return GOAL_MISSED if survived else SUCCESS


@check.command()
@click.option("--target", "names", multiple=True, help="Which readers; all else.")
@click.option("--examples", type=click.IntRange(1, 10**8), default=1000, show_default=True, help="Of each.")
@click.option(
    "--corpus",
    type=click.Path(file_okay=False, path_type=Path),
    default=Path("tests/corpus"),
    show_default=True,
    help="Inputs that are played first; failing inputs are stored there.",
)
@seed_option
@json_option
@exits_with_code
def fuzz(names: tuple[str, ...], examples: int, corpus: Path, seed: int, as_json: bool) -> int:
    """Feed generated and corrupted input to each parser. Exit code 1 if one fails its check."""
    from meadowpulley.model_checking.fuzz import TARGETS, corpus_of, run_target as play

    for name in names:
        if name not in TARGETS:
            raise InputError(f"--target: '{name}' is not known; known are {', '.join(TARGETS)}")
    results = []
    for name in names or TARGETS:
        result = play(TARGETS[name], examples, seed, list(corpus_of(corpus, name)))
        results.append(result)
        if result.failing_input is not None:
            folder = corpus / name
            folder.mkdir(parents=True, exist_ok=True)
            (folder / f"found-{xxhash.xxh3_64_hexdigest(result.failing_input)}").write_bytes(
                result.failing_input
            )
    if as_json:
        show_json(
            [
                {"target": f.target, "corpus": f.corpus_count, "examples": f.example_count, "why": f.reason}
                for f in results
            ]
        )
    else:
        rows = [
            [TARGETS[f.target].description, str(f.corpus_count), str(f.example_count), f.reason or "holds"]
            for f in results
        ]
        console().print(make_table(f"Fuzzing, seed {seed}", ["reader", "corpus", "examples", "result"], rows))
    return GOAL_MISSED if any(f.failing_input is not None for f in results) else SUCCESS


for command in (replay, shrink, keep, report):
    check.add_command(command)
