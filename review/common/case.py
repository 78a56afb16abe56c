"""The frame of a case: it runs the case, writes its record, and ends what it started."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import sys
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from common.gateway import CannotRunError, Gateway
from common.parties import Clients, Door, Platform, Service
from common.record import Record

LIMIT_S = 110.0
MIN_SERVED = 200
SHOWN = 5  # findings that are printed; the record has all of them
# A fault of the interpreter itself ends with 1, so that no verdict is 1 here.
HELD, COULD_NOT_RUN, BROKEN = 0, 2, 10


class Case:
    """What a case uses: its record, a temporary folder, and whether the disruption is played."""

    def __init__(self, folder: Path) -> None:
        self.record = Record()
        self.folder = folder
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.seed = int(os.environ.get("SEED", "1"))
        self.gateways: list[Gateway] = []
        self.services: list[Service] = []

    async def start(self, *services: Service) -> None:
        for service in services:
            self.services.append(service)
            await service.start()

    async def start_gateways(
        self, settings: dict[str, Any], platform: Platform, doors: list[Door], known: dict[str, Any]
    ) -> list[Gateway]:
        """Start a gateway for each door, with the list that the configuration holds."""
        told = {"address": platform.address, "news": platform.news()}
        for number in range(len(doors)):
            self.gateways.append(Gateway(self.record, self.folder, number, settings, told))
        starts = [
            gateway.start(door.address, known, self.seed + number)
            for number, (gateway, door) in enumerate(zip(self.gateways, doors, strict=True))
        ]
        await asyncio.gather(*starts)
        return self.gateways

    def clients(self) -> list[Clients]:
        """Clients of each gateway."""
        return [
            Clients(self.record, gateway.name, gateway.port, random.Random(f"{self.seed} {gateway.name}"))
            for gateway in self.gateways
        ]

    def attempts(self) -> list[dict[str, Any]]:
        """The attempts, each with the gateway that its client asked."""
        asked = {event["txn"]: event["gateway"] for event in self.record.of("sent")}
        return [{**event, "gateway": asked[event["txn"]]} for event in self.record.of("attempt")]

    def require(self, condition: bool, what: str) -> None:
        """Without this the run says nothing of the rule."""
        if not condition:
            raise CannotRunError(what)

    def require_traffic(self) -> None:
        """The gateway has to have served most requests while nothing troubled it."""
        answers = self.record.of("answered")
        served = sum(answer["status"] == 200 for answer in answers)
        self.require(served >= MIN_SERVED, f"only {served} requests were served")

    def stop(self) -> None:
        for gateway in self.gateways:
            gateway.stop()
        for service in self.services:
            service.stop()


def run_case(
    play: Callable[[Case], Awaitable[None]], judge: Callable[[Case], list[str]], record: Path
) -> int:
    """Play a case and judge it; return HELD, BROKEN or COULD_NOT_RUN.

    `run.sh` turns these into its own codes.
    """
    with tempfile.TemporaryDirectory(prefix="case-") as folder:
        case = Case(Path(folder))
        try:
            asyncio.run(_play(case, play))
            findings = judge(case)
        except (Exception, asyncio.CancelledError) as error:  # noqa: BLE001  # no verdict
            case.record.write(record, [f"could not run: {error!r}"])
            print(f"could not run: {error!r}", file=sys.stderr)
            return COULD_NOT_RUN
    trouble = "with" if case.trouble else "without"
    verdict = [*findings, f"{trouble} the disruption, seed {case.seed}: {len(findings)} breaks of the rule"]
    case.record.write(record, verdict)
    print("\n".join([*findings[:SHOWN], verdict[-1]]))
    return BROKEN if findings else HELD


async def _play(case: Case, play: Callable[[Case], Awaitable[None]]) -> None:
    this_task = asyncio.current_task()
    if this_task is not None:  # ended from outside: end all that the case started
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, this_task.cancel)
    try:
        await asyncio.wait_for(play(case), LIMIT_S)
    finally:
        case.stop()
