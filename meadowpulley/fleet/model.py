"""Description of a fleet: sites, machines, request classes, gateways and the services around them.

Durations are milliseconds, work is milliseconds of one standard core (speed 1), shares run from 0 to 1. The
keys of the file are a stored format; a field that is named differently in the code states its key in `name`.
"""

from __future__ import annotations

import math
import tomllib
from typing import Annotated, Any, Literal, TypeVar

import msgspec
from msgspec import Meta, Struct, field

FORMAT_VERSION = 1

Positive = Annotated[float, Meta(gt=0)]
NotNegative = Annotated[float, Meta(ge=0)]
Share = Annotated[float, Meta(ge=0, le=1)]
PositiveShare = Annotated[float, Meta(gt=0, le=1)]
PositiveInt = Annotated[int, Meta(ge=1)]
Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9_.-]{0,63}$")]
Range = Annotated[tuple[NotNegative, NotNegative], Meta(description="minimum and maximum")]


class FleetError(ValueError):
    """An invalid input file; the text is one line that says what is wrong, where, and how to fix it."""


class Site(Struct, frozen=True, forbid_unknown_fields=True):
    """A site and the weight of its load."""

    name: Name
    load: Positive = 1.0  # weight of this site's load, relative to the weights of the other sites


class MachineKind(Struct, frozen=True, forbid_unknown_fields=True):
    """A kind of machine. `slots` requests run at once and share its cores evenly; `queue` more may wait."""

    name: Name
    cores: PositiveInt
    slots: PositiveInt
    queue: Annotated[int, Meta(ge=0)] = 0
    speed: Positive = 1.0
    # Each running request per core above `thrash_at` increases the work of every request by this share.
    thrash: NotNegative = 0.0
    thrash_at: Positive = 4.0
    # share of the full capacity at the beginning of slow start
    slow_start_from: PositiveShare = field(default=1.0, name="cold_from")
    slow_start_ms: NotNegative = field(default=0.0, name="cold_ms")  # duration of slow start
    connections: PositiveInt = 10_000
    connect_work_ms: NotNegative = 0.0
    cancels_running: bool = False
    cancels_waiting: bool = False
    drops_expired: bool = True


class ServerGroup(Struct, frozen=True, forbid_unknown_fields=True):
    """A number of servers of one kind at one site."""

    site: Name
    kind: Name
    count: PositiveInt


class RequestClass(Struct, frozen=True, forbid_unknown_fields=True):
    """A class of requests. `spread` is the coefficient of variation of lognormal work; 0 fixes the work."""

    name: Name
    share: Positive
    work_ms: Positive
    latency_objective_ms: Positive = field(name="aim_ms")
    deadline_ms: Positive
    effect: Literal["safe", "keyed", "unsafe"] = "safe"
    work: Literal["fixed", "exponential", "lognormal"] = "exponential"
    spread: NotNegative = 1.0
    priority_weight: Positive = field(default=1.0, name="worth")
    late_weight_share: Share = field(default=0.0, name="late_worth")
    window_ms: NotNegative = 0.0


class GatewayGroup(Struct, frozen=True, forbid_unknown_fields=True):
    """A number of identical gateways at one site."""

    site: Name
    count: PositiveInt
    cores: Positive = 1.0
    request_cpu_ms: NotNegative = field(default=0.0, name="request_ms")  # CPU time of one request
    descriptors: PositiveInt = 1024
    # file descriptors that are not available for requests
    reserved_descriptors: Annotated[int, Meta(ge=0)] = field(default=32, name="kept_back")
    # share of the unreserved file descriptors for client connections; server connections get the rest
    client_descriptor_share: PositiveShare = field(default=0.58, name="client_part")
    memory_mb: Positive = 192.0
    base_mb: NotNegative = 28.0  # memory in use before the first request
    connection_kb: NotNegative = 12.0  # memory per connection


class KeyModel(Struct, frozen=True, forbid_unknown_fields=True):
    """Distribution of request keys, and the work that servers save by remembering keys."""

    count: Annotated[int, Meta(ge=0)] = 0  # number of different keys; with 0, requests have no key
    skew: NotNegative = 0.6  # exponent of Zipf's law
    memory_ms: NotNegative = 0.0  # how long a server remembers a key
    # share of a request's work that a server saves if it remembers the key
    work_saved: Annotated[float, Meta(ge=0, lt=1)] = field(default=0.0, name="gain")
    max_remembered: PositiveInt = field(default=10_000, name="most")  # maximum of keys on one server


class ClientModel(Struct, frozen=True, forbid_unknown_fields=True):
    """How clients retry requests."""

    retries: Annotated[int, Meta(ge=0, le=10)] = 0
    backoff_ms: NotNegative = 100.0
    honours_retry_after: Share = field(default=0.7, name="honours_advice")
    # whether clients also retry a request that may have executed, if the effect of its class is not `unsafe`
    retries_failed: bool = False


class NetworkModel(Struct, frozen=True, forbid_unknown_fields=True):
    """One-way delays of messages.

    Each delay except that of gossip is multiplied by 1 + x, where x is exponentially distributed with mean
    `jitter`.
    """

    same_site_ms: NotNegative = 0.2
    cross_site_ms: NotNegative = 1.0
    client_ms: NotNegative = 0.5
    jitter: NotNegative = 0.1
    handshakes: Annotated[int, Meta(ge=1, le=8)] = 1  # round trips needed to open a connection
    gossip_delay_ms: Range = field(default=(1.0, 30.0), name="peer_ms")
    gossip_loss: Share = field(default=0.0, name="peer_loss")


class DiscoveryModel(Struct, frozen=True, forbid_unknown_fields=True):
    """Delays of the discovery service."""

    add_delay_ms: Range = field(default=(500.0, 1200.0), name="add_ms")  # delay until a new server is listed
    # delay until the discovery service publishes a change to a known server, such as a drain or a removal
    change_delay_ms: Range = field(default=(2200.0, 4900.0), name="notice_ms")
    # interval between updates to one watch
    update_interval_ms: Range = field(default=(190.0, 680.0), name="period_ms")
    timeout_ms: Positive = 2000.0
    long_poll_ms: Positive = field(default=10_000.0, name="wait_ms")  # longest wait of a long poll
    # delay from the end of a long poll's wait until a gateway gives up the unanswered poll
    silence_timeout_ms: Positive = field(default=1500.0, name="silent_ms")
    # Two delays in ms, not the bounds of an interval. The first starts when the long poll's wait ends, the
    # second when the watch becomes silent. After both have passed, the gateway is presumed to know the drains
    # and removals that the silent watch did not report.
    presumed_known_ms: Range = field(default=(2000.0, 6000.0), name="told_ms")
    must_subscribe: bool = field(default=True, name="must_ask")


class RolloutModel(Struct, frozen=True, forbid_unknown_fields=True):
    """Stages, votes and delays of the rollout platform."""

    stages: tuple[PositiveShare, ...] = (0.1, 0.4, 1.0)
    caps: tuple[Share, ...] = (0.17, 0.68, 1.0)
    gate: Literal["any", "share", "timer"] = "any"
    style: Literal["beside", "in_place"] = "beside"
    soak_ms: NotNegative = 3000.0
    stage_time_ms: NotNegative = 0.0
    advance_votes: PositiveInt = field(default=1, name="on_votes")
    hold_votes: Annotated[int, Meta(ge=0)] = 0
    rollback_votes: PositiveInt = field(default=1, name="back_votes")
    vote_ttl_ms: Positive = field(default=6000.0, name="vote_life_ms")
    votes_per_s: Positive = 50.0
    call_ms: Range = (40.0, 170.0)
    call_timeout_ms: Positive = 1200.0
    update_delay_ms: Range = field(default=(120.0, 690.0), name="told_late_ms")
    update_period_ms: Positive = field(default=6000.0, name="news_period_ms")
    boot_ms: Range = (2500.0, 4500.0)
    drain_ms: NotNegative = 3000.0
    exposure_window_ms: Positive = 6000.0
    exposure_free: NotNegative = 3.0
    per_class: bool = False
    guarded_stages: Annotated[int, Meta(ge=0)] = 0
    one_way: bool = True


class RuleModel(Struct, frozen=True, forbid_unknown_fields=True):
    """Parameters of the rules, and optional features that gateways may use."""

    drain_grace_ms: Positive = 2000.0
    overload_multiple: Annotated[float, Meta(ge=1)] = field(default=2.0, name="fall_multiple")
    overload_window_ms: Positive = field(default=1500.0, name="fall_ms")
    answer_slack_ms: NotNegative = 20.0
    max_attempts: Annotated[int, Meta(ge=1, le=32)] = 6
    hedging: bool = field(default=True, name="second_copies")
    cancel: bool = True
    gossip: bool = field(default=True, name="peers")
    max_retry_after_ms: NotNegative = 500.0
    connect_timeout_ms: Positive = 250.0
    idle_ms: Positive = 30_000.0


class Fleet(Struct, frozen=True, forbid_unknown_fields=True):
    """A complete description of a fleet."""

    version: int
    name: Name
    sites: Annotated[tuple[Site, ...], Meta(min_length=1)]
    kinds: Annotated[tuple[MachineKind, ...], Meta(min_length=1)]
    servers: Annotated[tuple[ServerGroup, ...], Meta(min_length=1)]
    classes: Annotated[tuple[RequestClass, ...], Meta(min_length=1, max_length=64)]
    gateways: Annotated[tuple[GatewayGroup, ...], Meta(min_length=1)]
    keys: KeyModel = KeyModel()
    clients: ClientModel = ClientModel()
    network: NetworkModel = NetworkModel()
    discovery: DiscoveryModel = DiscoveryModel()
    rollout: RolloutModel = RolloutModel()
    rules: RuleModel = RuleModel()

    def kind(self, name: str) -> MachineKind:
        """Return the kind of machine with this name. Raises KeyError if there is none."""
        return {k.name: k for k in self.kinds}[name]

    def site_indexes(self) -> dict[str, int]:
        """Return the index of each site by its name."""
        return {site.name: n for n, site in enumerate(self.sites)}

    def machines(self) -> list[tuple[int, int]]:
        """Return the site index and kind index of each server, in the order of the file."""
        sites = self.site_indexes()
        kinds = {k.name: n for n, k in enumerate(self.kinds)}
        return [(sites[s.site], kinds[s.kind]) for s in self.servers for _ in range(s.count)]

    def gateway_sites(self) -> list[int]:
        """Return the site index of each gateway."""
        sites = self.site_indexes()
        return [sites[g.site] for g in self.gateways for _ in range(g.count)]

    def gateway_groups(self) -> list[GatewayGroup]:
        """Return the group of each gateway."""
        return [g for g in self.gateways for _ in range(g.count)]

    def capacity(self) -> float:
        """Return the capacity of all servers after slow start, in standard cores."""
        return sum(s.count * self.kind(s.kind).cores * self.kind(s.kind).speed for s in self.servers)

    def mean_work_ms(self) -> float:
        """Return the mean work of a request (ms), weighted by class shares, without savings by keys."""
        total = sum(c.share for c in self.classes)
        return sum(c.share * c.work_ms for c in self.classes) / total


T = TypeVar("T")


def _check_finite(value: Any, path: str, file_name: str) -> None:
    if isinstance(value, float) and not math.isfinite(value):
        raise FleetError(f"{file_name}: {path}: {value} is not a finite number; set a finite value")
    if isinstance(value, dict):
        for key, inner in value.items():
            _check_finite(inner, f"{path}.{key}" if path else str(key), file_name)
    elif isinstance(value, list):
        for index, inner in enumerate(value):
            _check_finite(inner, f"{path}[{index}]", file_name)


def read_toml(raw: bytes, file_name: str, form: type[T]) -> T:
    """Decode TOML into a checked value of type `form`.

    Errors are raised as `FleetError`, whose text starts with `file_name`.
    """
    try:
        loaded = tomllib.loads(raw.decode())
    except UnicodeDecodeError as error:
        raise FleetError(
            f"{file_name}: byte {error.start} is not valid UTF-8; save the file as UTF-8"
        ) from None
    except tomllib.TOMLDecodeError as error:
        raise FleetError(f"{file_name}: not valid TOML: {error}") from None
    _check_finite(loaded, "", file_name)
    version = loaded.get("version")
    if version is None:
        raise FleetError(f"{file_name}: version: missing; put 'version = {FORMAT_VERSION}' at the top")
    if version != FORMAT_VERSION or isinstance(version, bool):
        raise FleetError(
            f"{file_name}: version: {version!r} is not known here; this program reads {FORMAT_VERSION}"
        )
    try:
        return msgspec.convert(loaded, form)
    except msgspec.ValidationError as error:
        text, _, path = str(error).rpartition(" - at `$")
        place = path.rstrip("`").lstrip(".") if text else ""
        raise FleetError(f"{file_name}: {place + ': ' if place else ''}{text or error}") from None


def _check_unique(names: list[str], section: str, file_name: str) -> None:
    for name in names:
        if names.count(name) > 1:
            raise FleetError(f"{file_name}: {section}: '{name}' is there twice; names must differ")


def _check_known(name: str, known: list[str], path: str, file_name: str) -> None:
    if name not in known:
        raise FleetError(
            f"{file_name}: {path}: '{name}' is not described; known names are {', '.join(known)}"
        )


def parse_fleet(raw: bytes, file_name: str) -> Fleet:
    """Parse and check a fleet file.

    Errors are raised as `FleetError`, whose text starts with `file_name`.
    """
    fleet = read_toml(raw, file_name, Fleet)
    sites = [s.name for s in fleet.sites]
    kinds = [k.name for k in fleet.kinds]
    _check_unique(sites, "sites", file_name)
    _check_unique(kinds, "kinds", file_name)
    _check_unique([c.name for c in fleet.classes], "classes", file_name)
    for index, servers in enumerate(fleet.servers):
        _check_known(servers.site, sites, f"servers[{index}].site", file_name)
        _check_known(servers.kind, kinds, f"servers[{index}].kind", file_name)
    for index, gateways in enumerate(fleet.gateways):
        _check_known(gateways.site, sites, f"gateways[{index}].site", file_name)
    for index, request_class in enumerate(fleet.classes):
        if request_class.deadline_ms < request_class.latency_objective_ms:
            raise FleetError(
                f"{file_name}: classes[{index}].deadline_ms: {request_class.deadline_ms:g} "
                "is below its aim_ms; raise it"
            )
        if request_class.effect == "keyed" and not request_class.window_ms:
            raise FleetError(
                f"{file_name}: classes[{index}].window_ms: a keyed class needs a window above 0 ms"
            )
        if request_class.effect == "keyed" and not fleet.keys.count:
            raise FleetError(
                f"{file_name}: keys.count: class '{request_class.name}' is keyed, "
                "so the number of keys must be above 0"
            )
    rollout = fleet.rollout
    if not rollout.stages or len(rollout.stages) != len(rollout.caps):
        raise FleetError(
            f"{file_name}: rollout.caps: "
            f"{len(rollout.caps)} caps for {len(rollout.stages)} stages; set one cap per stage"
        )
    if list(rollout.stages) != sorted(rollout.stages) or list(rollout.caps) != sorted(rollout.caps):
        raise FleetError(
            f"{file_name}: rollout.stages: stages and caps must not decrease; list them in ascending order"
        )
    ranges = {"discovery": fleet.discovery, "rollout": fleet.rollout, "network": fleet.network}
    for section, model in ranges.items():
        for key, value in msgspec.to_builtins(model).items():
            if key.endswith("_ms") and isinstance(value, list | tuple) and value[0] > value[1]:
                raise FleetError(
                    f"{file_name}: {section}.{key}: "
                    f"minimum {value[0]:g} is above maximum {value[1]:g}; swap them"
                )
    return fleet
