"""Counterexamples on the command line: played again, shortened, kept, drawn."""

from __future__ import annotations

import shutil
from pathlib import Path

import click
from msgspec import to_builtins

from meadowpulley.check import PROPERTIES, story as stories
from meadowpulley.check.mutate import MutantError
from meadowpulley.cli.common import (
    FILE,
    GOOD,
    MISSED,
    InputError,
    console,
    guarded,
    json_option,
    show_json,
    writable,
)
from meadowpulley.report import Page, Section, TableOf, write_page

KEPT = Path("tests/counterexamples")


def _read(path: Path) -> stories.Tale:
    try:
        return stories.read_tale(path)
    except stories.StoryError as error:
        raise InputError(str(error)) from None


tale_argument = click.argument("tale_file", type=FILE)


@click.command()
@tale_argument
@click.option("--mutated", is_flag=True, help="Plant the bug that it names first.")
@json_option
@guarded
def replay(tale_file: Path, mutated: bool, as_json: bool) -> int:
    """Play a counterexample on today's code, step by step. Exit code 1 if it still breaks."""
    tale = _plant(_read(tale_file), mutated)
    try:
        told = list(stories.play(tale))
    except stories.StoryError as error:
        raise InputError(f"{tale_file}: {error}") from None
    broken = [text for step in told for text in step.broken]
    if as_json:
        show_json(to_builtins(told))
        return MISSED if broken else GOOD
    shown = console()
    found = PROPERTIES[tale.property]
    shown.print(f"[b]{found.name}[/b]: {found.text} ({found.source})", soft_wrap=True)
    for step in told:
        shown.print(f"[b]{step.number:3}.[/b] {step.text}", soft_wrap=True)
        for who, whom, what in step.heard:
            shown.print(f"       [dim]{who} -> {whom}: {what}[/dim]", soft_wrap=True)
        for text in step.broken:
            shown.print(f"     [red]* {text}[/red]", soft_wrap=True)
    shown.print("still broken" if broken else "nothing breaks on today's code")
    return MISSED if broken else GOOD


def _plant(tale: stories.Tale, mutated: bool) -> stories.Tale:
    if mutated and tale.mutant:
        from meadowpulley.check import mutate

        try:
            mutate.apply(tale.mutant)
        except MutantError as error:
            raise InputError(str(error)) from None
    return tale


@click.command()
@tale_argument
@click.option("--mutated", is_flag=True, help="Plant the bug that it names first.")
@click.option("--out", type=FILE, required=True)
@json_option
@guarded
def shrink(tale_file: Path, mutated: bool, out: Path, as_json: bool) -> int:
    """Leave out what a counterexample does not need."""
    writable(out)
    tale = _plant(_read(tale_file), mutated)
    try:
        shorter = stories.shrink(tale)
    except stories.StoryError as error:
        raise InputError(f"{tale_file}: {error}") from None
    stories.write_tale(shorter, out)
    told = {"file": str(out), "steps_before": len(tale.steps), "steps": len(shorter.steps)}
    if as_json:
        show_json(told)
    else:
        console().print(f"{out}: {len(shorter.steps)} steps, of {len(tale.steps)}")
    return GOOD


@click.command()
@tale_argument
@click.option("--into", type=click.Path(file_okay=False, path_type=Path), default=KEPT, show_default=True)
@json_option
@guarded
def keep(tale_file: Path, into: Path, as_json: bool) -> int:
    """Make a counterexample a regression test: the tests play every file kept there."""
    tale = _read(tale_file)
    into.mkdir(parents=True, exist_ok=True)
    kept = into / tale_file.name
    if kept.exists() and kept.resolve() != tale_file.resolve():
        raise InputError(f"{kept}: is there already; rename the file first")
    if kept.resolve() != tale_file.resolve():
        shutil.copyfile(tale_file, kept)
    if as_json:
        show_json({"file": str(kept), "property": tale.property})
    else:
        console().print(f"{kept}: played by the tests from now on, and must not break {tale.property}")
    return GOOD


@click.command()
@tale_argument
@click.option("--mutated", is_flag=True, help="Plant the bug that it names first.")
@click.option("--out", type=FILE, required=True, help="A page (.html or .md), or the diagram alone (.svg).")
@guarded
def report(tale_file: Path, mutated: bool, out: Path) -> int:
    """A counterexample as a page with its sequence diagram, or as the diagram alone."""
    if out.suffix not in (".html", ".md", ".svg"):
        raise InputError(f"{out}: reports end in .html, .md or .svg; name one so")
    writable(out)
    tale = _plant(_read(tale_file), mutated)
    try:
        diagram, told = stories.sequence(tale), list(stories.play(tale))
    except stories.StoryError as error:
        raise InputError(f"{tale_file}: {error}") from None
    picture = out if out.suffix == ".svg" else out.with_suffix(".svg")
    picture.write_text(diagram)
    if out.suffix != ".svg":
        rows = [[str(t.number), t.text, "; ".join(t.broken)] for t in told]
        found = PROPERTIES[tale.property]
        section = Section("Steps", (f"Diagram: {picture.name}",), [TableOf(["step", "what", "broken"], rows)])
        about = [found.text, found.source, tale.text]
        write_page(Page(f"Counterexample: {found.name}", about, [section]), out)
    console().print(f"{out}: {len(told)} steps")
    return GOOD
