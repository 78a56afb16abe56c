"""The layout that `run` starts: compiled where it can be, and plainly said where not."""

from __future__ import annotations

import os
import runpy
import shutil
import subprocess
import sys
from pathlib import Path

from tests.standins import ROOT, TIMEOUT_S

COMPILE = ROOT / "deploy" / "compile.py"
HOT_MODULES: tuple[str, ...] = runpy.run_path(str(COMPILE))["HOT"]


def test_a_build_contains_every_hot_module_compiled() -> None:
    subprocess.run([sys.executable, str(COMPILE)], check=True)
    module_names = [f"meadowpulley.{name.removesuffix('.py').replace('/', '.')}" for name in HOT_MODULES]
    script = "import importlib, sys\nfor n in sys.argv[1:]: print(importlib.import_module(n).__file__)"
    result = subprocess.run(
        [sys.executable, "-P", "-c", script, *module_names],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
        env={**os.environ, "PYTHONPATH": ".venv/gateway"},
    )
    uncompiled = [
        file
        for file in result.stdout.split()
        if not file.endswith(".so") or not Path(file).is_relative_to(ROOT / ".venv" / "gateway")
    ]
    assert module_names and len(result.stdout.split()) == len(module_names) and uncompiled == []


def test_an_uncompiled_build_warns_each_time_and_is_retried(tmp_path: Path) -> None:
    # It was stamped as whole: once compilers were there it stayed plain, and nothing said so any more.
    shutil.copytree(ROOT / "deploy", tmp_path / "deploy")
    shutil.copytree(ROOT / "meadowpulley", tmp_path / "meadowpulley")
    (tmp_path / ".venv").mkdir()
    mypyc = tmp_path / "bin" / "mypyc.py"  # a stand-in for the compiler
    mypyc.parent.mkdir()

    def build(compiler: str) -> str:
        mypyc.write_text(compiler)
        result = subprocess.run(
            [sys.executable, str(tmp_path / "deploy" / "compile.py")],
            capture_output=True,
            text=True,
            check=True,
            env={**os.environ, "PYTHONPATH": str(mypyc.parent)},
            timeout=TIMEOUT_S * 3,
        )
        return result.stderr

    compiler_template = (
        "import sys\nfor name in sys.argv[{}:]: open(name.replace('.py', '.cpython.so'), 'w').close()"
    )
    for broken in (
        "raise SystemExit(1)",
        "raise SystemExit(1)",
        compiler_template.format(2),
    ):  # the last leaves one out
        assert "PLAIN" in build(broken) and "slower" in build(broken)
        assert not list((tmp_path / ".venv" / "gateway").rglob("*.so"))
    assert build(compiler_template.format(1)) == ""
    assert len(list((tmp_path / ".venv" / "gateway").rglob("*.so"))) == len(HOT_MODULES)
    assert build("raise SystemExit(1)") == ""  # whole: not built again
