"""The rules over the traces of a run, with its process faults and what counts as notified."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from meadowpulley.loopback.messages import BrokenRequest, LoopbackPlan, ServicesReport
from meadowpulley.loopback.notifications import Outage, cached_lists, presumed_notifications
from meadowpulley.loopback.process_faults import JudgedRequests, ProcessFaultInjector
from meadowpulley.loopback.trace import ProcessEvents, check_traces
from meadowpulley.rules import Violation


def check_run(
    plan: LoopbackPlan,
    folder: Path,
    servers: ServicesReport,
    broken: list[BrokenRequest],
    judged: JudgedRequests,
    injector: ProcessFaultInjector[Any],
    end_ms: float,
) -> tuple[dict[str, int], list[Violation]]:
    """Check the traces with what counts as notified; requests cut off without an excuse are lost."""
    outages = [
        Outage(fault.at_ms, fault.at_ms + fault.duration_ms)
        for fault in plan.discovery_faults
        if fault.kind == "down"
    ]
    gateway_count = len(plan.fleet.gateway_sites())
    presumed = presumed_notifications(
        gateway_count, servers.list_changes, servers.lists_written, outages, injector.starts
    )
    cached = cached_lists(servers.initial_list, injector.starts)
    excused = judged.crossed | judged.killed
    events = ProcessEvents((*injector.records, *cached, *presumed), tuple(injector.kills), excused)
    traces = folder / "services.out.trace", folder / "driver.out.trace"
    violation_counts, violations = check_traces(plan.fleet, *traces, end_ms, events)
    lost_count = sum(request.request not in excused for request in broken)
    if lost_count:
        violation_counts["lost"] = lost_count
    if injector.errors:  # a gateway that ended by itself, did not end when told to, or was not ready again
        violation_counts["processes"] = len(injector.errors)
    return violation_counts, violations
