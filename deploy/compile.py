"""Lays out the gateway as it runs: the package, with its hot modules compiled by mypyc.

The compiled copy goes to a folder of its own, so that no compiled module can stand in for a source that was
edited since. Where nothing can be compiled the plain copy serves, only slower. It holds what a gateway needs
and nothing else: no tool of the laboratory can be imported by it. One build at a time; a second one waits.
"""

from __future__ import annotations

import fcntl
import hashlib
import shutil
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PACKAGE = "meadowpulley"
PARTS = (
    "__init__.py",
    "__main__.py",
    "errors.py",
    "gossip",
    "interface",
    "net",
    "policy",
    "settings",
    "state",
)
HOT = (
    "gossip/outcome_digest.py",
    "interface/actions.py",
    "interface/candidates.py",
    "interface/events.py",
    "interface/vocabulary.py",
    "policy/admission.py",
    "policy/change_notification.py",
    "policy/concurrency_limit.py",
    "policy/endpoint_lease.py",
    "policy/endpoint_lease_renewal.py",
    "policy/endpoint_list_confirmation.py",
    "policy/endpoint_poll_backoff.py",
    "policy/endpoints.py",
    "policy/exposure.py",
    "policy/failure_evidence.py",
    "policy/final_response.py",
    "policy/health_probes.py",
    "policy/latency_comparison.py",
    "policy/outcome_gossip.py",
    "policy/outcomes.py",
    "policy/outlier_detection.py",
    "policy/policy.py",
    "policy/retry_budget.py",
    "policy/retry_eligibility.py",
    "policy/rollout_stage.py",
    "policy/routing.py",
    "policy/send_permission.py",
    "policy/sending.py",
    "policy/server_selection.py",
    "policy/server_subset.py",
    "policy/shared_slowdown.py",
    "policy/slow_start_budget.py",
    "policy/trial_assignment.py",
    "policy/verdict.py",
    "policy/voting.py",
    "settings/types.py",
    "state/averages.py",
    "state/endpoint_list.py",
    "state/estimation.py",
    "state/failure_test.py",
    "state/gossip.py",
    "state/requests.py",
    "state/rollout.py",
    "state/sample_summary.py",
    "state/servers.py",
    "state/state.py",
    "state/traffic_pause.py",
    "state/votes.py",
    "net/counters.py",
    "net/deadlines.py",
    "net/http1.py",
    "net/ring.py",
    "net/slots.py",
)
# Experiments on placements, of which the laboratory's tools stay out (requirements-placement.txt).
PLACEMENT = (
    "fleet",
    *(
        f"placement/{name}.py"
        for name in (
            "__init__",
            "arm_counters",
            "assignment",
            "confidence",
            "config",
            "counter_records",
            "definition",
            "differences_in_q",
            "errors",
            "estimate",
            "fleet_view",
            "gateway",
            "guard",
            "merged_counters",
            "metrics",
            "origins",
            "policies",
            "record_names",
            "record_writer",
            "request_tracker",
            "stage",
            "summary",
            "time_bins",
        )
    ),
)
# Parts for installations with a lasting disk, laid out in a folder of their own by `--joint`: `run` has none.
JOINT = ("stage_pipeline.py", "ledger", "lending", "takeover")
TARGET = ROOT / ".venv" / "gateway"
LIMIT_S = 900


def sources(joint: bool) -> list[Path]:
    parts = [ROOT / PACKAGE / name for name in (*PARTS, *((*JOINT, *PLACEMENT) if joint else ()))]
    return sorted(path for part in parts for path in (part.rglob("*.py") if part.is_dir() else [part]))


def digest(joint: bool) -> str:
    found = hashlib.sha256(sys.version.encode())
    for path in [*sources(joint), Path(__file__)]:
        found.update(str(path.relative_to(ROOT)).encode() + b"\0" + path.read_bytes())
    return found.hexdigest()


def compile_in(folder: Path) -> bool:
    command = [sys.executable, "-m", "mypyc", *(f"{PACKAGE}/{name}" for name in HOT)]
    try:
        done = subprocess.run(
            command, cwd=folder, capture_output=True, text=True, timeout=LIMIT_S, check=False
        )
    except (OSError, subprocess.TimeoutExpired) as error:
        why = str(error)
    else:
        plain = [
            name for name in HOT if not list((folder / PACKAGE).glob(f"{name.removesuffix('.py')}.*.so"))
        ]
        if done.returncode == 0 and not plain:
            return True
        why = (done.stdout + done.stderr)[-2000:] if done.returncode else f"no {', '.join(plain)}"
    print(f"compile: {why}\ncompile: PLAIN modules serve, slower: mend it and build again", file=sys.stderr)
    return False


def main(joint: bool) -> int:
    TARGET.parent.mkdir(exist_ok=True)
    with open(TARGET.with_name("gateway.lock"), "w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        return build(joint)


def build(joint: bool) -> int:
    target = TARGET.with_name("gateway-joint") if joint else TARGET
    stamp, wanted = target / "stamp", digest(joint)
    if stamp.is_file() and stamp.read_text() == wanted:
        return 0
    fresh = TARGET.with_name("gateway.new")
    shutil.rmtree(fresh, ignore_errors=True)
    for path in sources(joint):
        copy = fresh / path.relative_to(ROOT)
        copy.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(path, copy)
    whole = compile_in(fresh)
    if not whole:
        for broken in fresh.rglob("*.so"):
            broken.unlink()
    shutil.rmtree(fresh / "build", ignore_errors=True)
    subprocess.run([sys.executable, "-m", "compileall", "-q", str(fresh / PACKAGE)], check=False)
    if whole:  # else the next build tries again
        (fresh / "stamp").write_text(wanted)
    # The one in use stays until this moment: a gateway may be started at any time.
    old = TARGET.with_name("gateway.old")
    shutil.rmtree(old, ignore_errors=True)
    if target.exists():
        target.rename(old)
    fresh.rename(target)
    shutil.rmtree(old, ignore_errors=True)
    return 0


if __name__ == "__main__":
    sys.exit(main("--joint" in sys.argv[1:]))
