"""The layout that `run` starts: compiled where it can be, and plainly said where not."""

from __future__ import annotations

import os
import runpy
import shutil
import subprocess
import sys
from pathlib import Path

from tests.standins import LIMIT_S, ROOT

COMPILE = ROOT / "deploy" / "compile.py"
HOT: tuple[str, ...] = runpy.run_path(str(COMPILE))["HOT"]


def test_a_build_holds_every_hot_module_compiled() -> None:
    subprocess.run([sys.executable, str(COMPILE)], check=True)
    names = [f"meadowpulley.{name.removesuffix('.py').replace('/', '.')}" for name in HOT]
    show = "import importlib, sys\nfor n in sys.argv[1:]: print(importlib.import_module(n).__file__)"
    shown = subprocess.run(
        [sys.executable, "-P", "-c", show, *names],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
        env={**os.environ, "PYTHONPATH": ".venv/gateway"},
    )
    plain = [
        file
        for file in shown.stdout.split()
        if not file.endswith(".so") or not Path(file).is_relative_to(ROOT / ".venv" / "gateway")
    ]
    assert names and len(shown.stdout.split()) == len(names) and plain == []


def test_a_plain_build_says_so_each_time_and_is_tried_again(tmp_path: Path) -> None:
    # It was stamped as whole: once compilers were there it stayed plain, and nothing said so any more.
    shutil.copytree(ROOT / "deploy", tmp_path / "deploy")
    shutil.copytree(ROOT / "meadowpulley", tmp_path / "meadowpulley")
    (tmp_path / ".venv").mkdir()
    mypyc = tmp_path / "bin" / "mypyc.py"  # a stand-in for the compiler
    mypyc.parent.mkdir()

    def build(compiler: str) -> str:
        mypyc.write_text(compiler)
        done = subprocess.run(
            [sys.executable, str(tmp_path / "deploy" / "compile.py")],
            capture_output=True,
            text=True,
            check=True,
            env={**os.environ, "PYTHONPATH": str(mypyc.parent)},
            timeout=LIMIT_S * 3,
        )
        return done.stderr

    make = "import sys\nfor name in sys.argv[{}:]: open(name.replace('.py', '.cpython.so'), 'w').close()"
    for broken in ("raise SystemExit(1)", "raise SystemExit(1)", make.format(2)):  # the last leaves one out
        assert "PLAIN" in build(broken) and "slower" in build(broken)
        assert not list((tmp_path / ".venv" / "gateway").rglob("*.so"))
    assert build(make.format(1)) == ""
    assert len(list((tmp_path / ".venv" / "gateway").rglob("*.so"))) == len(HOT)
    assert build("raise SystemExit(1)") == ""  # whole: not built again
