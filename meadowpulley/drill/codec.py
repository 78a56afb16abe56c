"""Frames, records and settings of the simulator's wire, turned into interface types and back."""

from __future__ import annotations

import json
import math
import struct
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any, BinaryIO, TypeAlias, TypeVar

from meadowpulley import interface as i

EVENT_BYTES = 48
ACTION_BYTES = 32
ENTRY_BYTES = 26
LEDGERS = 16
EVERY_PEER = 0xFFFF

_BATCH_HEAD = struct.Struct(">dII")
_REPLY_HEAD = struct.Struct(">II")
_ENTRY = struct.Struct(">IHBBfdHf")
_UP = struct.Struct(">xIQII")
_LEDGER = struct.Struct(">xIII")
_TOPOLOGY = struct.Struct(">xIBII")
_INCOMING = struct.Struct(">xIQBIQddB")
_FLAGGED = struct.Struct(">xIIBd")
_METRICS = struct.Struct(">xIHBIIdd")
_PROMOTION = struct.Struct(">xIHfBBBdH")
_DONE = struct.Struct(">xIQBIHdBB4f")
_FROM_PEER = struct.Struct(">xIIII")
_UNDER_WAY = struct.Struct(">xIQBId")
_PONG = struct.Struct(">xIIHdB4f")
_ID = struct.Struct(">xIQ")
_GATEWAY = struct.Struct(">xI")

_HINT_VALID, _REPEAT, _WRITE = 1, 2, 4


class WireError(Exception):
    """A malformed frame, record or settings object; the text says what is wrong and where."""


@dataclass(frozen=True, slots=True)
class Batch:
    clock_ms: float
    records: bytes
    tail: bytes
    count: int


@dataclass(frozen=True, slots=True)
class Up:
    seed: int
    settings: i.Settings


@dataclass(frozen=True, slots=True)
class Kill:
    pass


@dataclass(frozen=True, slots=True)
class Ledger:
    number: int
    entries: tuple[i.ServerEntry, ...]


@dataclass(frozen=True, slots=True)
class Topology:
    kind: i.ListKind
    ledger: int
    version: int


Record: TypeAlias = Up | Kill | Ledger | Topology | i.Event


def _read_all(source: BinaryIO, size: int) -> bytes:
    parts: list[bytes] = []
    while size > 0:
        part = source.read(size)
        if not part:
            break
        parts.append(part)
        size -= len(part)
    return b"".join(parts)


def read_batch(source: BinaryIO) -> Batch | None:
    """The next batch, or None when the input ended between two frames."""
    head = _read_all(source, _BATCH_HEAD.size)
    if not head:
        return None
    if len(head) < _BATCH_HEAD.size:
        raise WireError(f"input ended inside a batch header: {len(head)} of {_BATCH_HEAD.size} bytes")
    clock_ms, length, count = _BATCH_HEAD.unpack(head)
    need = _BATCH_HEAD.size + count * EVENT_BYTES
    if length < need:
        raise WireError(f"batch length {length} is too short for {count} records, which need {need} bytes")
    if not math.isfinite(clock_ms):
        raise WireError(f"batch clock {clock_ms} is no time")
    body = _read_all(source, length - _BATCH_HEAD.size)
    if len(body) < length - _BATCH_HEAD.size:
        raise WireError(f"input ended inside a batch: {len(body) + _BATCH_HEAD.size} of {length} bytes")
    split = count * EVENT_BYTES
    return Batch(clock_ms, body[:split], body[split:], count)


def _slice(batch: Batch, at: int, size: int, where: str) -> bytes:
    if at + size > len(batch.tail):
        raise WireError(f"{where}: bytes {at} to {at + size} lie outside the tail of {len(batch.tail)} bytes")
    return batch.tail[at : at + size]


_E = TypeVar("_E", i.ListKind, i.Result, i.Phase, i.ServerState)


def _known(kind: type[_E], value: int, where: str) -> _E:
    try:
        return kind(value)
    except ValueError:
        raise WireError(f"{where}: {value} is no known {kind.__name__}") from None


def _load(count: int, values: tuple[float, ...], where: str) -> tuple[float, ...]:
    if count > len(values):
        raise WireError(f"{where}: a load report of {count} values, at most {len(values)} fit")
    return values[:count]


def _entries(raw: bytes, where: str) -> Iterator[i.ServerEntry]:
    for server, cell, zone, state, build, started, kind, weight in _ENTRY.iter_unpack(raw):
        known = _known(i.ServerState, state, where)
        yield i.ServerEntry(server, cell, zone, known, int(build), started, kind, weight)


def _up(batch: Batch, at: int, where: str) -> tuple[int, Record]:
    gateway, seed, start, size = _UP.unpack_from(batch.records, at)
    return gateway, Up(seed, parse_settings(_slice(batch, start, size, where), where))


def _ledger(batch: Batch, at: int, where: str) -> tuple[None, Record]:
    number, start, count = _LEDGER.unpack_from(batch.records, at)
    if number >= LEDGERS:
        raise WireError(f"{where}: ledger number {number} is not below {LEDGERS}")
    return None, Ledger(number, tuple(_entries(_slice(batch, start, count * ENTRY_BYTES, where), where)))


def _topology(batch: Batch, at: int, where: str) -> tuple[int, Record]:
    gateway, kind, ledger, version = _TOPOLOGY.unpack_from(batch.records, at)
    return gateway, Topology(_known(i.ListKind, kind, where), ledger, version)


def _incoming(batch: Batch, at: int, where: str) -> tuple[int, Record]:
    gateway, rid, cls, tenant, key, deadline, hint, bits = _INCOMING.unpack_from(batch.records, at)
    work = hint if bits & _HINT_VALID else None
    repeat, write = bool(bits & _REPEAT), bool(bits & _WRITE)
    return gateway, i.Request(rid, cls, tenant, key, deadline, work, repeat, write)


def _flagged(batch: Batch, at: int, where: str) -> tuple[int, Record]:
    gateway, server, cls, age = _FLAGGED.unpack_from(batch.records, at)
    return gateway, i.WrongAnswer(server, cls, age)


def _metrics(batch: Batch, at: int, where: str) -> tuple[int, Record]:
    gateway, build, cls, attempts, failed, mean, age = _METRICS.unpack_from(batch.records, at)
    return gateway, i.Tally(build, cls, attempts, failed, mean, age)


def _kill(batch: Batch, at: int, where: str) -> tuple[int, Record]:
    return _GATEWAY.unpack_from(batch.records, at)[0], Kill()


def _promotion(batch: Batch, at: int, where: str) -> tuple[int, Record]:
    gateway, build, cap, stage, reason, phase, age, how = _PROMOTION.unpack_from(batch.records, at)
    state, result = _known(i.Phase, phase, where), _known(i.Result, how, where)
    return gateway, i.BuildNews(build, stage, state, cap, age, result, reason == 1)


def _wake(batch: Batch, at: int, where: str) -> tuple[int, Record]:
    gateway, token = _ID.unpack_from(batch.records, at)
    return gateway, i.Timer(token)


def _done(batch: Batch, at: int, where: str) -> tuple[int, Record]:
    gateway, rid, attempt, server, how, elapsed, over, count, *load = _DONE.unpack_from(batch.records, at)
    report = _load(count, tuple(load), where)
    return gateway, i.Outcome(rid, attempt, server, _known(i.Result, how, where), elapsed, bool(over), report)


def _gone(batch: Batch, at: int, where: str) -> tuple[int, Record]:
    gateway, rid = _ID.unpack_from(batch.records, at)
    return gateway, i.RequestGone(rid)


def _from_peer(batch: Batch, at: int, where: str) -> tuple[int, Record]:
    gateway, sender, start, size = _FROM_PEER.unpack_from(batch.records, at)
    return gateway, i.PeerMessage(sender, _slice(batch, start, size, where))


def _under_way(batch: Batch, at: int, where: str) -> tuple[int, Record]:
    gateway, rid, attempt, server, elapsed = _UNDER_WAY.unpack_from(batch.records, at)
    return gateway, i.AnswerStarted(rid, attempt, server, elapsed)


def _pong(batch: Batch, at: int, where: str) -> tuple[int, Record]:
    gateway, server, how, elapsed, count, *load = _PONG.unpack_from(batch.records, at)
    report = _load(count, tuple(load), where)
    return gateway, i.ProbeResult(server, _known(i.Result, how, where), elapsed, report)


_READERS: dict[int, Callable[[Batch, int, str], tuple[int | None, Record]]] = {
    16: _pong,
    17: _kill,
    18: _ledger,
    19: _wake,
    20: _from_peer,
    21: _metrics,
    22: _up,
    23: _promotion,
    24: _under_way,
    25: _gone,
    26: _done,
    27: _incoming,
    28: _flagged,
    29: _topology,
}


def records(batch: Batch) -> Iterator[tuple[int | None, Record, str]]:
    """Each record with its instance (None for a ledger) and its place in the batch."""
    for index in range(batch.count):
        at = index * EVENT_BYTES
        code = batch.records[at]
        reader = _READERS.get(code)
        if reader is None:
            raise WireError(f"record {index}: unknown event code {code}")
        where = f"record {index} (code {code})"
        gateway, record = reader(batch, at, where)
        yield gateway, record, where


# Actions


class Reply:
    """Collects the actions of one reply."""

    def __init__(self) -> None:
        self._records: list[bytes] = []
        self._tail = bytearray()

    def _put(self, layout: str, *fields: Any) -> None:
        self._records.append(struct.pack(">B" + layout, *fields).ljust(ACTION_BYTES, b"\0"))

    def _text(self, data: bytes) -> tuple[int, int]:
        at = len(self._tail)
        self._tail += data
        return at, len(data)

    def fault(self, gateway: int, text: str) -> None:
        self._put("III", 28, gateway, *self._text(text.encode()))

    def add(self, gateway: int, action: i.Action) -> None:
        match action:
            case i.Send(request, server, limit_ms):
                self._put("IQId", 20, gateway, request, server, limit_ms)
            case i.Cancel(request, attempt):
                self._put("IQB", 24, gateway, request, attempt)
            case i.Refuse(request, retry_after_ms):
                self._put("IQd", 18, gateway, request, retry_after_ms)
            case i.Fail(request):
                self._put("IQ", 23, gateway, request)
            case i.Probe(server):
                self._put("II", 19, gateway, server)
            case i.Vote(build, stage, verdict):
                self._put("IHBB", 16, gateway, build, stage, verdict)
            case i.SetTimer(delay_ms, token):
                self._put("IdQ", 27, gateway, delay_ms, token)
            case i.Watch(on):
                self._put("IB", 22, gateway, on)
            case i.FetchList():
                self._put("I", 25, gateway)
            case i.TellPeer(peer, data):
                self._put("IHII", 17, gateway, EVERY_PEER if peer is None else peer, *self._text(data))
            case i.CloseIdle(server):
                self._put("II", 21, gateway, server)
            case i.LogLine(text):
                self._put("III", 26, gateway, *self._text(text.encode()))

    def encode(self) -> bytes:
        body = b"".join(self._records)
        size = _REPLY_HEAD.size + len(body) + len(self._tail)
        return _REPLY_HEAD.pack(size, len(self._records)) + body + bytes(self._tail)


# Settings

_EFFECTS = {"pure": i.Effect.SAFE, "token": i.Effect.KEYED, "side_effect": i.Effect.UNSAFE}
_COLUMNS = {
    "busy_reqs": "in_flight",
    "pending": "queued",
    "cpu_share": "cpu",
    "svc_ms": "service_ms",
    "served_ps": "served_per_s",
    "failed_ps": "failed_per_s",
}
_WEIGHTS = {"off": "none"}


class _Fields:
    """Reads one settings object: unknown keys are passed over, absent ones take the given value."""

    def __init__(self, raw: Any, where: str) -> None:
        if not isinstance(raw, dict):
            raise WireError(f"{where} is no object")
        self._raw: dict[str, Any] = raw
        self._where = where

    def _take(self, key: str, default: Any, kinds: tuple[type, ...]) -> Any:
        value = self._raw.get(key)
        if value is None:
            return default
        if not isinstance(value, kinds) or (isinstance(value, bool) and bool not in kinds):
            raise WireError(f"{self._where}: '{key}' has the wrong type ({type(value).__name__})")
        return value

    def number(self, key: str, default: float = 0.0) -> float:
        return float(self._take(key, default, (int, float)))

    def whole(self, key: str, default: int = 0) -> int:
        return int(self._take(key, default, (int, float)))

    def flag(self, key: str) -> bool:
        return bool(self._take(key, False, (bool,)))

    def text(self, key: str, default: str = "") -> str:
        return str(self._take(key, default, (str,)))

    def items(self, key: str) -> list[Any]:
        return list(self._take(key, [], (list,)))

    def numbers(self, key: str) -> tuple[float, ...]:
        values = self.items(key)
        if not all(isinstance(value, int | float) for value in values):
            raise WireError(f"{self._where}: '{key}' holds something that is no number")
        return tuple(float(value) for value in values)

    def inner(self, key: str) -> _Fields:
        return _Fields(self._take(key, {}, (dict,)), f"{self._where}: '{key}'")

    def each(self, key: str) -> list[_Fields]:
        return [_Fields(raw, f"{self._where}: '{key}' {n}") for n, raw in enumerate(self.items(key))]

    def choice(self, key: str, known: dict[str, Any], default: Any) -> Any:
        name = self.text(key)
        if name and name not in known:
            raise WireError(f"{self._where}: '{key}' is '{name}', not one of {', '.join(known)}")
        return known[name] if name else default

    def pairs(self) -> tuple[tuple[str, float], ...]:
        return tuple((k, float(v)) for k, v in sorted(self._raw.items()) if isinstance(v, int | float))


def _class(f: _Fields) -> i.RequestClass:
    groups = {group.value: group for group in i.Group}
    return i.RequestClass(
        name=f.text("name"),
        aim_ms=f.number("target-ms"),
        deadline_ms=f.number("hard-limit-ms"),
        effect=f.choice("repeat", _EFFECTS, i.Effect.UNSAFE),
        group=f.choice("group", groups, i.Group.ALL),
        window_ms=f.number("dedup-window-ms"),
        worth=f.number("worth", 1.0),
        late_worth=f.number("late-worth"),
        stream=f.flag("stream"),
        aim_stretch=f.number("aim-stretch"),
    )


def _rollout(f: _Fields) -> i.Rollout:
    gates = {gate.value: gate for gate in i.Gate}
    return i.Rollout(
        gate=f.choice("gate-mode", gates, i.Gate.ANY),
        in_place=f.choice("style", {"beside": False, "in_place": True}, False),
        stage_shares=f.numbers("steps"),
        caps=f.numbers("caps"),
        soak_ms=f.number("soak-ms"),
        stage_time_ms=f.number("stage-time-ms"),
        on_votes=f.whole("on-votes"),
        hold_votes=f.whole("votes-to-hold"),
        back_votes=f.whole("votes-to-revert"),
        vote_life_ms=f.number("ballot-ttl-ms"),
        votes_per_s=f.number("votes-per-s"),
        call_timeout_ms=f.number("api-timeout-ms"),
        news_period_ms=f.number("news-period-ms"),
        tally_period_ms=f.number("metrics-period-ms"),
        tally_sample=f.number("sampled-share"),
        flag_share=f.number("reported-share"),
        exposure_window_ms=f.number("exposure-window-ms"),
        exposure_free=f.number("free"),
        exposure_per_class=f.choice("per", {"all": False, "class": True}, False),
        guarded_stages=f.whole("safe-only-stages"),
        one_way=f.flag("one-way"),
        warm_keys=f.flag("warm-keys"),
        behind_price=f.number("behind-price"),
        harm_price=f.number("blast-price"),
    )


def parse_settings(raw: bytes, where: str) -> i.Settings:
    try:
        loaded = json.loads(raw)
    except (ValueError, RecursionError) as error:
        raise WireError(f"{where}: settings are no JSON: {error}") from None
    f = _Fields(loaded, f"{where}: settings")
    rules, bounds, report = f.inner("rules"), f.inner("bounds"), f.inner("report")
    columns = [str(name) for name in report.items("columns")]
    return i.Settings(
        me=f.whole("me"),
        balancers=f.whole("balancers", 1),
        zone=f.whole("az"),
        zones=tuple(str(name) for name in f.items("zones")),
        tick_ms=f.number("period-ms"),
        classes=tuple(_class(c) for c in f.each("classes")),
        tenants=tuple(
            i.Tenant(t.text("name"), t.number("share"), t.number("quota-rps")) for t in f.each("tenants")
        ),
        rules=i.Rules(
            answer_slack_ms=rules.number("answer-slack-ms"),
            ask_within_ms=rules.number("ask-within-ms"),
            cold_from=rules.number("cold-from", 1.0),
            cold_ms=rules.number("cold-ms"),
            fall_multiple=rules.number("fall-multiple", 1.0),
            fall_ms=rules.number("tip-after-ms"),
            drain_grace_ms=rules.number("stop-sending-within-ms"),
        ),
        limits=i.Limits(
            max_attempts=bounds.whole("most-tries", 1),
            second_copies=bounds.flag("may-duplicate"),
            cancel=bounds.flag("cancelling"),
            probes=bounds.flag("probing"),
            peers=bounds.flag("may-tell"),
            retry_after=bounds.flag("retry-after"),
            max_retry_after_ms=bounds.number("max-retry-after-ms"),
            connect_timeout_ms=bounds.number("connect-timeout-ms"),
            max_open=bounds.whole("max-open"),
        ),
        rollout=_rollout(f.inner("family-info")),
        must_ask=f.choice("discovery", {"automatic": False, "subscribe": True}, False),
        report_columns=tuple(_COLUMNS.get(name, name) for name in columns),
        reports_in_answers=report.text("source") == "inline",
        weights=_WEIGHTS.get(f.text("weight-source"), f.text("weight-source", "none")),
        worth_by_work=f.text("worth-by") == "work",
        over_share_worth=f.number("over-share-worth", 1.0),
        prices=f.inner("prices").pairs(),
        goal=f.inner("score-parts").pairs(),
    )
