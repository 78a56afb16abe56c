"""The description of a fleet: sites, machines, classes, gateways and the parties around them.

Durations are milliseconds, work is milliseconds of one standard core (speed 1), shares run from 0 to 1.
"""

from __future__ import annotations

import math
import tomllib
from typing import Annotated, Any, Literal, TypeVar

import msgspec
from msgspec import Meta, Struct

VERSION = 1

Positive = Annotated[float, Meta(gt=0)]
NotNegative = Annotated[float, Meta(ge=0)]
Share = Annotated[float, Meta(ge=0, le=1)]
PositiveShare = Annotated[float, Meta(gt=0, le=1)]
Whole = Annotated[int, Meta(ge=1)]
Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9_.-]{0,63}$")]
Range = Annotated[tuple[NotNegative, NotNegative], Meta(description="least and most")]


class FleetError(ValueError):
    """A file of intent that can't be used; the text is one line: what, where, and what to do."""


class Site(Struct, frozen=True, forbid_unknown_fields=True):
    name: Name
    load: Positive = 1.0  # this site's part of the load, against the other sites'


class Kind(Struct, frozen=True, forbid_unknown_fields=True):
    """A kind of machine. `slots` requests run at once and share the cores evenly; `queue` more may wait."""

    name: Name
    cores: Whole
    slots: Whole
    queue: Annotated[int, Meta(ge=0)] = 0
    speed: Positive = 1.0
    thrash: NotNegative = 0.0  # work lost for each request a core that runs beyond `thrash_at` a core
    thrash_at: Positive = 4.0
    cold_from: PositiveShare = 1.0  # part of its capacity at its start
    cold_ms: NotNegative = 0.0  # until it has all of it
    connections: Whole = 10_000
    connect_work_ms: NotNegative = 0.0
    cancels_running: bool = False
    cancels_waiting: bool = False
    drops_expired: bool = True


class Servers(Struct, frozen=True, forbid_unknown_fields=True):
    site: Name
    kind: Name
    count: Whole


class RequestKind(Struct, frozen=True, forbid_unknown_fields=True):
    """A class of requests. `spread` is the coefficient of variation of its work."""

    name: Name
    share: Positive
    work_ms: Positive
    aim_ms: Positive
    deadline_ms: Positive
    effect: Literal["safe", "keyed", "unsafe"] = "safe"
    work: Literal["fixed", "exponential", "lognormal"] = "exponential"
    spread: NotNegative = 1.0
    worth: Positive = 1.0
    late_worth: Share = 0.0
    window_ms: NotNegative = 0.0


class Gateways(Struct, frozen=True, forbid_unknown_fields=True):
    site: Name
    count: Whole
    cores: Positive = 1.0
    request_ms: NotNegative = 0.0  # CPU of one request, from intake to answer
    descriptors: Whole = 1024
    kept_back: Annotated[int, Meta(ge=0)] = 32  # descriptors for other things than requests
    client_part: PositiveShare = 0.58  # of the others: for clients' connections, the rest for servers'
    memory_mb: Positive = 192.0
    base_mb: NotNegative = 28.0  # what it needs before its first request
    connection_kb: NotNegative = 12.0  # and for each connection


class Keys(Struct, frozen=True, forbid_unknown_fields=True):
    count: Annotated[int, Meta(ge=0)] = 0  # 0: requests carry none
    skew: NotNegative = 0.6  # Zipf's exponent
    memory_ms: NotNegative = 0.0  # for which a server remembers a key it met
    gain: Annotated[float, Meta(ge=0, lt=1)] = 0.0  # part of the work that it then saves
    most: Whole = 10_000  # keys a server remembers


class Clients(Struct, frozen=True, forbid_unknown_fields=True):
    retries: Annotated[int, Meta(ge=0, le=10)] = 0
    backoff_ms: NotNegative = 100.0
    honours_advice: Share = 0.7
    retries_failed: bool = False  # also what may have run, where its class may run again


class Network(Struct, frozen=True, forbid_unknown_fields=True):
    """One-way times; each message takes up to `jitter` times more, exponentially spread."""

    same_site_ms: NotNegative = 0.2
    cross_site_ms: NotNegative = 1.0
    client_ms: NotNegative = 0.5
    jitter: NotNegative = 0.1
    handshakes: Annotated[int, Meta(ge=1, le=8)] = 1  # round trips of a new connection
    peer_ms: Range = (1.0, 30.0)
    peer_loss: Share = 0.0


class DiscoveryModel(Struct, frozen=True, forbid_unknown_fields=True):
    add_ms: Range = (500.0, 1200.0)  # until it lists a server that started
    notice_ms: Range = (2200.0, 4900.0)  # until it lists any other change
    period_ms: Range = (190.0, 680.0)  # between its answers to one watch
    timeout_ms: Positive = 2000.0
    wait_ms: Positive = 10_000.0  # how long one call of a watch may wait for news
    silent_ms: Positive = 1500.0  # beyond its wait, until a gateway gives up a call that is silent
    told_ms: Range = (2000.0, 6000.0)  # after its wait and its silence: what it misses counts as told
    must_ask: bool = True


class RolloutModel(Struct, frozen=True, forbid_unknown_fields=True):
    stages: tuple[PositiveShare, ...] = (0.1, 0.4, 1.0)
    caps: tuple[Share, ...] = (0.17, 0.68, 1.0)
    gate: Literal["any", "share", "timer"] = "any"
    style: Literal["beside", "in_place"] = "beside"
    soak_ms: NotNegative = 3000.0
    stage_time_ms: NotNegative = 0.0
    on_votes: Whole = 1
    hold_votes: Annotated[int, Meta(ge=0)] = 0
    back_votes: Whole = 1
    vote_life_ms: Positive = 6000.0
    votes_per_s: Positive = 50.0
    call_ms: Range = (40.0, 170.0)
    call_timeout_ms: Positive = 1200.0
    told_late_ms: Range = (120.0, 690.0)
    news_period_ms: Positive = 6000.0
    boot_ms: Range = (2500.0, 4500.0)
    drain_ms: NotNegative = 3000.0
    exposure_window_ms: Positive = 6000.0
    exposure_free: NotNegative = 3.0
    per_class: bool = False
    guarded_stages: Annotated[int, Meta(ge=0)] = 0
    one_way: bool = True


class RuleFigures(Struct, frozen=True, forbid_unknown_fields=True):
    drain_grace_ms: Positive = 2000.0
    fall_multiple: Annotated[float, Meta(ge=1)] = 2.0
    fall_ms: Positive = 1500.0
    answer_slack_ms: NotNegative = 20.0
    max_attempts: Annotated[int, Meta(ge=1, le=32)] = 6
    second_copies: bool = True
    cancel: bool = True
    peers: bool = True
    max_retry_after_ms: NotNegative = 500.0
    connect_timeout_ms: Positive = 250.0
    idle_ms: Positive = 30_000.0


class Fleet(Struct, frozen=True, forbid_unknown_fields=True):
    version: int
    name: Name
    sites: Annotated[tuple[Site, ...], Meta(min_length=1)]
    kinds: Annotated[tuple[Kind, ...], Meta(min_length=1)]
    servers: Annotated[tuple[Servers, ...], Meta(min_length=1)]
    classes: Annotated[tuple[RequestKind, ...], Meta(min_length=1, max_length=64)]
    gateways: Annotated[tuple[Gateways, ...], Meta(min_length=1)]
    keys: Keys = Keys()
    clients: Clients = Clients()
    network: Network = Network()
    discovery: DiscoveryModel = DiscoveryModel()
    rollout: RolloutModel = RolloutModel()
    rules: RuleFigures = RuleFigures()

    def kind(self, name: str) -> Kind:
        """The kind of machine of that name; KeyError for any other."""
        return {k.name: k for k in self.kinds}[name]

    def site_numbers(self) -> dict[str, int]:
        return {site.name: n for n, site in enumerate(self.sites)}

    def machines(self) -> list[tuple[int, int]]:
        """Site and kind of each server, by their numbers, in the order of the file."""
        sites, kinds = self.site_numbers(), {k.name: n for n, k in enumerate(self.kinds)}
        return [(sites[s.site], kinds[s.kind]) for s in self.servers for _ in range(s.count)]

    def gateway_sites(self) -> list[int]:
        sites = self.site_numbers()
        return [sites[g.site] for g in self.gateways for _ in range(g.count)]

    def gateway_figures(self) -> list[Gateways]:
        return [g for g in self.gateways for _ in range(g.count)]

    def capacity(self) -> float:
        """Standard-core milliseconds of work that all servers, warm, can do in a millisecond."""
        return sum(s.count * self.kind(s.kind).cores * self.kind(s.kind).speed for s in self.servers)

    def mean_work_ms(self) -> float:
        """Mean work of a request over the classes' shares, without what remembered keys save."""
        total = sum(c.share for c in self.classes)
        return sum(c.share * c.work_ms for c in self.classes) / total


T = TypeVar("T")


def _finite(value: Any, path: str, where: str) -> None:
    if isinstance(value, float) and not math.isfinite(value):
        raise FleetError(f"{where}: {path}: {value} is no finite number; give a figure")
    if isinstance(value, dict):
        for key, inner in value.items():
            _finite(inner, f"{path}.{key}" if path else str(key), where)
    elif isinstance(value, list):
        for n, inner in enumerate(value):
            _finite(inner, f"{path}[{n}]", where)


def read_intent(raw: bytes, where: str, form: type[T]) -> T:
    """Reads TOML into a checked value of `form`; `where` names the file. Raises FleetError, one line."""
    try:
        loaded = tomllib.loads(raw.decode())
    except UnicodeDecodeError as error:
        raise FleetError(f"{where}: byte {error.start} is no UTF-8; save it as UTF-8") from None
    except tomllib.TOMLDecodeError as error:
        raise FleetError(f"{where}: no TOML: {error}") from None
    _finite(loaded, "", where)
    version = loaded.get("version")
    if version is None:
        raise FleetError(f"{where}: version: missing; put 'version = {VERSION}' at the top")
    if version != VERSION or isinstance(version, bool):
        raise FleetError(f"{where}: version: {version!r} is not known here; this program reads {VERSION}")
    try:
        return msgspec.convert(loaded, form)
    except msgspec.ValidationError as error:
        text, _, path = str(error).rpartition(" - at `$")
        place = path.rstrip("`").lstrip(".") if text else ""
        raise FleetError(f"{where}: {place + ': ' if place else ''}{text or error}") from None


def _unique(names: list[str], what: str, where: str) -> None:
    for name in names:
        if names.count(name) > 1:
            raise FleetError(f"{where}: {what}: '{name}' is there twice; names must differ")


def _known(name: str, known: list[str], path: str, where: str) -> None:
    if name not in known:
        raise FleetError(f"{where}: {path}: '{name}' is not described; known are {', '.join(known)}")


def parse_fleet(raw: bytes, where: str) -> Fleet:
    """A fleet file, checked in full. `where` names it in errors. Raises FleetError, one line."""
    fleet = read_intent(raw, where, Fleet)
    sites, kinds = [s.name for s in fleet.sites], [k.name for k in fleet.kinds]
    _unique(sites, "sites", where)
    _unique(kinds, "kinds", where)
    _unique([c.name for c in fleet.classes], "classes", where)
    for n, servers in enumerate(fleet.servers):
        _known(servers.site, sites, f"servers[{n}].site", where)
        _known(servers.kind, kinds, f"servers[{n}].kind", where)
    for n, gateways in enumerate(fleet.gateways):
        _known(gateways.site, sites, f"gateways[{n}].site", where)
    for n, c in enumerate(fleet.classes):
        if c.deadline_ms < c.aim_ms:
            raise FleetError(
                f"{where}: classes[{n}].deadline_ms: {c.deadline_ms:g} is under its aim_ms; raise it"
            )
        if c.effect == "keyed" and not c.window_ms:
            raise FleetError(f"{where}: classes[{n}].window_ms: a keyed class needs one above 0")
        if c.effect == "keyed" and not fleet.keys.count:
            raise FleetError(f"{where}: keys.count: class '{c.name}' is keyed, so it must be above 0")
    roll = fleet.rollout
    if not roll.stages or len(roll.stages) != len(roll.caps):
        raise FleetError(
            f"{where}: rollout.caps: {len(roll.caps)} for {len(roll.stages)} stages; give one each"
        )
    if list(roll.stages) != sorted(roll.stages) or list(roll.caps) != sorted(roll.caps):
        raise FleetError(f"{where}: rollout.stages: stages and caps may not fall; put them in rising order")
    ranges = {"discovery": fleet.discovery, "rollout": fleet.rollout, "network": fleet.network}
    for part, held in ranges.items():
        for key, value in msgspec.structs.asdict(held).items():
            if key.endswith("_ms") and isinstance(value, tuple) and value[0] > value[1]:
                raise FleetError(
                    f"{where}: {part}.{key}: least {value[0]:g} is above most {value[1]:g}; swap them"
                )
    return fleet
