"""Counterexamples on the command line: replayed, shortened, stored, drawn."""

from __future__ import annotations

import shutil
from pathlib import Path

import click
from msgspec import to_builtins

from meadowpulley.cli.common import (
    FILE,
    GOAL_MISSED,
    SUCCESS,
    InputError,
    console,
    exits_with_code,
    json_option,
    require_writable,
    show_json,
)
from meadowpulley.model_checking import PROPERTIES, counterexample as stories
from meadowpulley.model_checking.mutation import MutantError
from meadowpulley.report import Page, PageTable, Section, write_page

REGRESSION_FOLDER = Path("tests/counterexamples")


def _read_counterexample(path: Path) -> stories.Counterexample:
    try:
        return stories.read_counterexample(path)
    except stories.CounterexampleError as error:
        raise InputError(str(error)) from None


counterexample_argument = click.argument("tale_file", type=FILE)


@click.command()
@counterexample_argument
@click.option("--mutated", is_flag=True, help="Plant the bug that it names first.")
@json_option
@exits_with_code
def replay(tale_file: Path, mutated: bool, as_json: bool) -> int:
    """Play a counterexample on today's code, step by step. Exit code 1 if it still fails."""
    counterexample = _plant_mutant(_read_counterexample(tale_file), mutated)
    try:
        steps = list(stories.replay(counterexample))
    except stories.CounterexampleError as error:
        raise InputError(f"{tale_file}: {error}") from None
    broken = [text for step in steps for text in step.violations]
    if as_json:
        show_json(to_builtins(steps))
        return GOAL_MISSED if broken else SUCCESS
    output = console()
    broken_property = PROPERTIES[counterexample.property_name]
    output.print(
        f"[b]{broken_property.name}[/b]: {broken_property.text} ({broken_property.source})", soft_wrap=True
    )
    for step in steps:
        output.print(f"[b]{step.number:3}.[/b] {step.text}", soft_wrap=True)
        for sender, receiver, message in step.messages:
            output.print(f"       [dim]{sender} -> {receiver}: {message}[/dim]", soft_wrap=True)
        for text in step.violations:
            output.print(f"     [red]* {text}[/red]", soft_wrap=True)
    output.print("still broken" if broken else "nothing breaks on today's code")
    return GOAL_MISSED if broken else SUCCESS


def _plant_mutant(counterexample: stories.Counterexample, mutated: bool) -> stories.Counterexample:
    if mutated and counterexample.mutant:
        from meadowpulley.model_checking import mutation

        try:
            mutation.plant(counterexample.mutant)
        except MutantError as error:
            raise InputError(str(error)) from None
    return counterexample


@click.command()
@counterexample_argument
@click.option("--mutated", is_flag=True, help="Plant the bug that it names first.")
@click.option("--out", type=FILE, required=True)
@json_option
@exits_with_code
def shrink(tale_file: Path, mutated: bool, out: Path, as_json: bool) -> int:
    """Leave out what a counterexample does not need."""
    require_writable(out)
    counterexample = _plant_mutant(_read_counterexample(tale_file), mutated)
    try:
        shorter = stories.shrink(counterexample)
    except stories.CounterexampleError as error:
        raise InputError(f"{tale_file}: {error}") from None
    stories.write_counterexample(shorter, out)
    fields = {"file": str(out), "steps_before": len(counterexample.steps), "steps": len(shorter.steps)}
    if as_json:
        show_json(fields)
    else:
        console().print(f"{out}: {len(shorter.steps)} steps, of {len(counterexample.steps)}")
    return SUCCESS


@click.command()
@counterexample_argument
@click.option(
    "--into", type=click.Path(file_okay=False, path_type=Path), default=REGRESSION_FOLDER, show_default=True
)
@json_option
@exits_with_code
def keep(tale_file: Path, into: Path, as_json: bool) -> int:
    """Make a counterexample a regression test: the tests play every file stored there."""
    counterexample = _read_counterexample(tale_file)
    into.mkdir(parents=True, exist_ok=True)
    destination = into / tale_file.name
    if destination.exists() and destination.resolve() != tale_file.resolve():
        raise InputError(f"{destination}: is there already; rename the file first")
    if destination.resolve() != tale_file.resolve():
        shutil.copyfile(tale_file, destination)
    if as_json:
        show_json({"file": str(destination), "property": counterexample.property_name})
    else:
        console().print(
            f"{destination}: played by the tests from now on, and must not break "
            f"{counterexample.property_name}"
        )
    return SUCCESS


@click.command()
@counterexample_argument
@click.option("--mutated", is_flag=True, help="Plant the bug that it names first.")
@click.option("--out", type=FILE, required=True, help="A page (.html or .md), or the diagram alone (.svg).")
@exits_with_code
def report(tale_file: Path, mutated: bool, out: Path) -> int:
    """A counterexample as a page with its sequence diagram, or as the diagram alone."""
    if out.suffix not in (".html", ".md", ".svg"):
        raise InputError(f"{out}: reports end in .html, .md or .svg; name one so")
    require_writable(out)
    counterexample = _plant_mutant(_read_counterexample(tale_file), mutated)
    try:
        diagram = stories.sequence_diagram(counterexample)
        steps = list(stories.replay(counterexample))
    except stories.CounterexampleError as error:
        raise InputError(f"{tale_file}: {error}") from None
    picture = out if out.suffix == ".svg" else out.with_suffix(".svg")
    picture.write_text(diagram)
    if out.suffix != ".svg":
        rows = [[str(step.number), step.text, "; ".join(step.violations)] for step in steps]
        broken_property = PROPERTIES[counterexample.property_name]
        section = Section(
            "Steps", (f"Diagram: {picture.name}",), [PageTable(["step", "what", "broken"], rows)]
        )
        summary = [broken_property.text, broken_property.source, counterexample.text]
        write_page(Page(f"Counterexample: {broken_property.name}", summary, [section]), out)
    console().print(f"{out}: {len(steps)} steps")
    return SUCCESS
