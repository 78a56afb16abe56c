"""Loopback test bed: real gateways in front of the emulator's servers on sockets; and the live screen."""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import pytest
from click.testing import CliRunner
from msgspec.structs import replace

from meadowpulley.capacity import measure_demand
from meadowpulley.capacity.verify import Comparison, Verdict, compare, make_cases, scaled_fleet
from meadowpulley.cli import main
from meadowpulley.cli.demo import demo_fleet
from meadowpulley.cli.screen import EmulationMonitor, LoopbackMonitor
from meadowpulley.emulator import Build, Emulation, Fault, Release, Scenario
from meadowpulley.experiment import LoadSpec
from meadowpulley.load import PROFILES, read_load, synthesize
from meadowpulley.loopback import LoopbackError, LoopbackPlan, run_loopback
from meadowpulley.loopback.messages import Ports, ProcessOrders
from meadowpulley.loopback.runner import instances_address, unique_address
from tests import standins
from tests.test_capacity import make_fleet

ROOT = Path(__file__).parent.parent
LAB_LIBRARIES = {
    "numpy",
    "scipy",
    "msgspec",
    "click",
    "rich",
    "textual",
    "hdrh",
    "xxhash",
    "matplotlib",
    "jinja2",
}


@pytest.fixture(scope="module", autouse=True)
def built() -> None:
    subprocess.run([sys.executable, str(ROOT / "deploy" / "compile.py")], check=True)


def test_real_gateways_serve_a_load_through_a_crash_and_a_release() -> None:
    f, local = make_fleet(), make_fleet().network
    f = replace(f, network=replace(local, same_site_ms=0.05, cross_site_ms=0.05, client_ms=0.0))
    scenario = Scenario(
        releases=(Release(500.0, Build(number=2)),), faults=(Fault("crash", 5000.0, 2000.0, share=0.2),)
    )
    found = run_loopback(LoopbackPlan(f, LoadSpec(per_s=30.0, seconds=12.0), 3, 4, scenario, 1000.0))
    assert found.wrong_responses == 0 and found.overloaded == 0
    assert not found.violation_counts, found.violations[:3]
    assert found.figures["asked"] > 250 and found.figures["worth"] > 0.9
    assert found.figures["failed"] < 0.08 and 0 < found.figures["busy"] < 0.6
    assert sum(c["in.requests"] for c in found.counters) >= found.figures["asked"]
    violations = [what for _, what in found.events]
    assert (
        "build 2 is offered" in violations
        and "fault on: crash" in violations
        and "fault off: crash" in violations
    )
    assert any(build == 2 for _, build, _, _ in found.stages)


PRINT_SERVER_ADDRESSES = """
import sys, msgspec
from meadowpulley.loopback.messages import ProcessOrders
from meadowpulley.loopback.services import SimulatedServices
services = SimulatedServices(msgspec.json.decode(sys.stdin.buffer.read(), type=ProcessOrders))
print(*services.addresses.values())
"""


def test_instance_never_binds_a_gateway_port() -> None:
    # On one address the kernel could give a server a port that `free_ports` had found for a gateway,
    # before the gateway had bound it; one run in some hundred failed so.
    host = unique_address()
    ports = Ports(host, instances_address(host), (1,), (2,), (3,), (4,))
    orders = ProcessOrders(
        LoopbackPlan(make_fleet(), LoadSpec(per_s=1.0, seconds=1.0), 3, 1, Scenario(), 0.0),
        ports,
        0.0,
        "",
        0.0,
    )
    shown = subprocess.run(
        [sys.executable, "-c", PRINT_SERVER_ADDRESSES],
        input=msgspec.json.encode(orders),
        capture_output=True,
        check=True,
    )
    hosts = {address.rpartition(":")[0] for address in shown.stdout.decode().split()}
    assert hosts == {instances_address(host)} and hosts != {host}


def test_captured_load_is_readable_by_the_tools(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    path, gathered = tmp_path / "captured.jsonl", tmp_path / "all.jsonl.gz"
    monkeypatch.setenv("MEADOWPULLEY_CAPTURE", str(path))
    instance = standins.FakeInstance()
    gateway = standins.GatewayProcess(tmp_path, [standins.endpoint("s-1", instance.address)])
    try:
        gateway.wait_for("ready")
        client = gateway.client()
        for n in range(6):
            assert client.request("GET", "/look", X_Entity=f"{n % 2 + 1:x}")[0] == 200
        assert client.request("POST", "/pay", b"abc")[0] == 200
        assert client.request("GET", "/look", X_Resent="1")[0] == 200
        client.socket.close()
        gateway.process.terminate()
        counted = gateway.wait_for("load_capture_summary")
        gateway.process.wait(standins.TIMEOUT_S)
    finally:
        gateway.stop()
    reader = read_load(path)
    arrivals = list(reader)
    assert (counted["written"], counted["dropped"], reader.header.dropped) == (7, 0, 0)
    assert [a.class_name for a in arrivals] == ["look"] * 6 + ["pay"]
    assert len({a.key for a in arrivals if a.key}) == 2 and not {1, 2} & {a.key for a in arrivals}
    assert arrivals[-1].bytes == 3 and 3900 < arrivals[0].timeout_ms <= 4000 and arrivals[0].site == "a"
    done = CliRunner().invoke(main, ["load", "capture", str(path), str(path), "--out", str(gathered)])
    assert done.exit_code == 0 and len(list(read_load(gathered))) == 14


def test_a_capture_that_can_t_be_opened_ends_the_start_with_one_line(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("MEADOWPULLEY_CAPTURE", str(tmp_path / "no" / "folder"))
    gateway = standins.GatewayProcess(tmp_path, [])
    try:
        assert "meadowpulley: capture: " in gateway.wait_for("plain")["line"]
        assert gateway.process.wait(standins.TIMEOUT_S) == 2
    finally:
        gateway.stop()


def test_gateway_imports_no_lab_module() -> None:
    code = (
        "import runpy, sys\n"
        "try:\n    runpy.run_module('meadowpulley', run_name='__main__', alter_sys=True)\n"
        "except SystemExit:\n    print(*sorted(n for n, m in sys.modules.items() if m is not None))"
    )
    folder = ROOT / ".venv" / "gateway"
    command = [sys.executable, "-P", "-c", code]
    done = subprocess.run(
        command, env={"PYTHONPATH": str(folder)}, capture_output=True, text=True, check=True
    )
    loaded = done.stdout.split()
    assert not LAB_LIBRARIES & {name.partition(".")[0] for name in loaded}
    ours = {name.split(".")[1] for name in loaded if name.startswith("meadowpulley.")}
    assert ours == {
        "errors",
        "gossip",
        "interface",
        "net",
        "policy",
        "settings",
        "state",
    }
    assert "meadowpulley.net.capture" not in loaded


def test_large_fleet_is_scaled_to_one_machine() -> None:
    f = replace(make_fleet(), servers=tuple(replace(s, count=60) for s in make_fleet().servers))
    spec = LoadSpec(per_s=1000.0, seconds=10.0)
    demand = measure_demand(f, spec.arrivals(f, 1))
    sized, part = scaled_fleet(f, demand, most_per_s=400.0)
    assert part == pytest.approx(len(sized.machines()) / 120) and part < 0.2
    below, beyond = make_cases(sized, spec, demand, 10.0, ("below", "beyond"))
    top = 1000 * sized.capacity() / demand.work_ms
    assert below.load.per_s / top == pytest.approx(min(demand.busy_utilisation, 0.6), rel=0.01)
    assert beyond.load.per_s / top == pytest.approx(1.3, rel=0.01)


def test_errors_are_shares_of_the_prediction_and_tiny_shares_are_not_blown_up() -> None:
    table = [
        {"case": "c", "figure": figure, "value": value, "low": value, "high": value, "by": "emulator"}
        for figure, value in (("served_per_s", 200.0), ("refused", 0.001), ("look.p99_ms", 400.0))
    ]
    found = compare(table, "c", {"served_per_s": 180.0, "refused": 0.003, "look.p99_ms": 500.0})
    assert [c.error for c in found] == pytest.approx([0.1, 0.04, 0.25])
    verdict = Verdict(found)
    assert verdict.worst == 0.25 and not verdict.holds
    assert Verdict([Comparison("c", "busy", 0.5, 0.5, 0.5, "", 0.55)]).holds
    assert not Verdict([], ["the driver used 99% of a core"]).holds


@pytest.mark.parametrize("kind", ["site_cut", "vanish", "peers_lost", "gateway_crash"])
def test_a_fault_that_loopback_can_t_play_is_refused(kind: Any) -> None:
    scenario = Scenario(faults=(Fault(kind, 1.0, 1.0, site="east"),))
    with pytest.raises(LoopbackError, match=f"fault '{kind}' can't be played on loopback"):
        run_loopback(LoopbackPlan(make_fleet(), LoadSpec(per_s=1.0, seconds=1.0), scenario=scenario))


def test_no_load_can_t_be_verified() -> None:
    command = ["capacity", "verify", "--fleet", str(ROOT / "examples/one-site.toml"), "--rate", "0"]
    done = CliRunner().invoke(main, command)
    assert done.exit_code == 2 and "no load to verify" in done.stderr


async def until(pilot: Any, met: Callable[[], bool]) -> None:
    """Waits, within a bound, until the screen has come to it."""
    for _ in range(500):
        if met():
            return
        await pilot.pause(0.02)
    raise AssertionError("the screen did not come to it")


def test_the_live_screen_shows_the_run_and_obeys_its_keys() -> None:
    fleet = demo_fleet()
    emulation = Emulation(
        fleet,
        synthesize(fleet, PROFILES["steady"], 40.0, 6.0, 1),
        1,
        Scenario(releases=(Release(1000.0, Build(2)),)),
    )
    app = EmulationMonitor(emulation, 5.0)

    async def watch() -> None:
        async with app.run_test(size=(140, 40)) as pilot:
            assert app.query_one("#servers").row_count == len(fleet.machines())  # type: ignore[attr-defined]
            app.step()
            await pilot.press("space")
            await until(pilot, lambda: app.paused)
            at = emulation.clock.now
            app.step()
            assert emulation.clock.now == at
            for key, pace in (("plus", 10.0), ("minus", 5.0), ("minus", 2.0)):
                await pilot.press(key)
                await until(pilot, lambda pace=pace: app.pace == pace)  # type: ignore[misc]
            await pilot.press("space")
            await until(pilot, lambda: not app.paused)
            await pilot.press("q")

    asyncio.run(watch())
    assert app.return_value is not None and app.return_value.calls == emulation.result.calls


def test_a_run_on_loopback_is_shown_while_it_runs_and_can_be_ended() -> None:
    f, near = make_fleet(), make_fleet().network
    f = replace(f, network=replace(near, same_site_ms=0.05, cross_site_ms=0.05, client_ms=0.0))
    app = LoopbackMonitor(LoopbackPlan(f, LoadSpec(per_s=20.0, seconds=30.0), 1, 1))
    rows: list[int] = []

    async def watch() -> None:
        async with app.run_test(size=(140, 40)) as pilot:
            table = app.query_one("#servers")
            while not (table.row_count and "asked" in str(app.query_one("#answers").render())):  # type: ignore[attr-defined]
                await pilot.pause(0.05)
            rows.append(table.row_count)  # type: ignore[attr-defined]
            await pilot.press("q")
            while app.return_value is None:
                await pilot.pause(0.05)

    asyncio.run(watch())
    assert rows == [len(f.machines())]
    assert isinstance(app.return_value, LoopbackError) and "ended before its end" in str(app.return_value)


def test_a_run_on_the_live_screen_goes_to_its_end() -> None:
    fleet = demo_fleet()
    emulation = Emulation(fleet, synthesize(fleet, PROFILES["steady"], 20.0, 2.0, 1), 1)
    app = EmulationMonitor(emulation, 50.0)

    async def watch() -> None:
        async with app.run_test() as pilot:
            while app.return_value is None:
                await pilot.pause(0.02)

    asyncio.run(watch())
    result = app.return_value
    assert result is not None and result.calls == sum(c.calls for c in result.classes) > 20
    assert json.dumps(result.table())
