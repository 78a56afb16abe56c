"""How the search grows with its configuration, and what each reduction saves on the same one.

`.venv/bin/python benchmarks/check_growth.py [SECONDS]`: a Markdown table; states, steps taken and states a
second are of this machine's cores, ratios are to the row with all reductions in the same run.
"""

from __future__ import annotations

import sys

from msgspec.structs import replace

from meadowpulley.model_checking import Coverage, ModelSettings, Search

SIZES = ((1, 2, 1), (1, 2, 2), (1, 3, 2), (2, 3, 2), (2, 3, 3), (2, 3, 4))
REDUCED = ModelSettings(
    configuration="attempts", gateways=2, servers=3, requests=2, faults=0, time_advances=1
)


def play(setting: ModelSettings, budget_s: float) -> Coverage:
    search = Search(setting)
    try:
        return search.run(budget_s=budget_s)
    finally:
        search.close()


def row(name: str, coverage: Coverage, ratio: str = "") -> str:
    speed = coverage.states / max(coverage.elapsed_s, 0.001)
    covered = "complete" if coverage.complete else f"to {coverage.depth} steps"
    counts = f"{coverage.states} | {coverage.transitions} | {coverage.depth} | {coverage.elapsed_s:.1f}"
    return f"| {name} | {counts} | {speed:.0f} | {covered} | {ratio} |"


def main() -> None:
    budget_s = float(sys.argv[1]) if len(sys.argv) > 1 else 60.0
    print("| configuration | states | steps taken | depth | seconds | states/s | covered | ratio |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for gateways, servers, requests in SIZES:
        setting = ModelSettings(
            configuration="attempts",
            gateways=gateways,
            servers=servers,
            requests=requests,
            faults=0,
            time_advances=1,
        )
        print(row(f"{setting.size}, 0 troubles, 1 wait", play(setting, budget_s)), flush=True)
    whole = play(REDUCED, budget_s)
    print(row("all reductions", whole, "1.00"))
    for name, off in (
        ("no symmetry", {"symmetry": False}),
        ("no order of gateways", {"ordered_gateways": False}),
        ("neither", {"symmetry": False, "ordered_gateways": False}),
    ):
        found = play(replace(REDUCED, **off), budget_s)
        print(row(name, found, f"{found.states / whole.states:.2f}"), flush=True)


if __name__ == "__main__":
    main()
