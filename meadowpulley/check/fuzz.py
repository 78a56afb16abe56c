"""Fuzzing at the edges: every reader of bytes that come from elsewhere, by grammar and by spoiling.

A target takes bytes and raises `FuzzError` where the reader breaks its word: an exception that is not its
own, another result when the same bytes come in other pieces, a message that does not survive being written
and read again, more work than its bound. Hypothesis makes the bytes and shrinks what fails; the corpus is
played first.
"""

from __future__ import annotations

import json
import os
import tempfile
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from hypothesis import HealthCheck, given, seed, settings, strategies as st

from meadowpulley import interface as i
from meadowpulley.load import LoadError, read_load
from meadowpulley.net import names
from meadowpulley.net.config import ConfigError, read_config
from meadowpulley.net.control import Platform, PlatformLink
from meadowpulley.net.counters import Counters
from meadowpulley.net.entries import CallFailedError, Entries
from meadowpulley.net.http1 import (
    BODY_MAX,
    HEAD_MAX,
    RING_BOUND,
    BadMessageError,
    Message,
    Parser,
    answer_bytes,
    passed_on,
    request_bytes,
)
from meadowpulley.net.ring import Ring

PIECES = (1, 2, 3, 7, 64)  # sizes of the pieces that bytes come in, beside all at once
WORK_A_PIECE = 4 * (HEAD_MAX + BODY_MAX)  # bytes that may be looked at for each piece that comes


class FuzzError(AssertionError):
    """A reader broke its word; the text says how."""


@dataclass(frozen=True, slots=True)
class Target:
    """`check` takes bytes; `make` is where they come from."""

    name: str
    about: str
    check: Callable[[bytes], None]
    make: st.SearchStrategy[bytes]


# HTTP


class CountingRing(Ring):
    """A ring that counts how many bytes are looked at."""

    looked = 0

    def peek(self, size: int, skip: int = 0) -> bytes:
        found = super().peek(size, skip)
        self.looked += len(found)
        return found


Parsed = tuple[list[tuple[Any, ...]], str]


def _plain(m: Message) -> tuple[Any, ...]:
    return m.method, m.target, m.status, m.minor, tuple(m.headers.items()), m.body, m.keep_alive


def parse_pieces(data: bytes, requests: bool, piece: int) -> Parsed:
    """What a parser makes of bytes that come in pieces, to the end of the connection."""
    ring = CountingRing(RING_BOUND)
    parser = Parser(ring, requests)
    found: list[tuple[Any, ...]] = []
    came = 0
    try:
        for at in range(0, len(data), piece):
            part = data[at : at + piece]
            if len(part) > ring.room:
                raise FuzzError("the ring is full, and the parser takes nothing more from it")
            ring.write(part)
            came += 1
            before = len(found)
            while (message := parser.next()) is not None:
                found.append(_plain(message))
            if ring.looked > WORK_A_PIECE * (came + len(found) - before + 1):
                raise FuzzError(f"{ring.looked} bytes looked at for {came} pieces of {piece}")
        last = parser.end()
        if last is not None:
            found.append(_plain(last))
    except BadMessageError as error:
        if not 400 <= error.status < 600:
            raise FuzzError(f"a bad message has status {error.status}") from None
        return found, "bad"
    except (FuzzError, KeyboardInterrupt):
        raise
    except Exception as error:
        raise FuzzError(f"{type(error).__name__}: {error}") from error
    return found, "begun" if parser.begun else ""


def _check_http(requests: bool) -> Callable[[bytes], None]:
    def check(data: bytes) -> None:
        data = data[: HEAD_MAX + BODY_MAX]
        whole = parse_pieces(data, requests, max(len(data), 1))
        for piece in PIECES:
            if len(data) // piece > 4096:
                continue
            found = parse_pieces(data, requests, piece)
            if found != whole:
                raise FuzzError(f"in pieces of {piece}: {found!r:.300}, at once: {whole!r:.300}")
        for message in whole[0]:
            _check_again(message, requests)

    return check


def _check_again(message: tuple[Any, ...], requests: bool) -> None:
    """What was read is written as it is passed on, and read again: nothing of it may have changed."""
    method, target, status, _, headers, body, _ = message
    kept = {name: v.strip(" \t") for name, v in passed_on(dict(headers), names.SERVICE * requests).items()}
    text = request_bytes(method, target, kept, body) if requests else answer_bytes(status, kept, body)
    if not requests and status < 200:
        return
    again, rest = parse_pieces(text, requests, max(len(text), 1))
    if rest or len(again) != 1:
        raise FuzzError(f"passed on as {text[:200]!r}, which reads as {again!r:.200} {rest}")
    one = again[0]
    as_passed = (one[0], one[1], one[2], passed_on(dict(one[4])), one[5])
    if as_passed != (method, target, status, kept, body):
        raise FuzzError(f"passed on, {message!r:.200} reads as {one!r:.200}")


_token = st.text("abcdefXYZ019-_!~", min_size=1, max_size=12)
_value = st.text([chr(c) for c in (*range(32, 127), 9, 200)], max_size=20)
_known = st.sampled_from(
    ["host", "content-length", "transfer-encoding", "connection", "expect", "te", names.ID, names.REMAINING]
)
_values = st.one_of(
    _value, st.sampled_from(["0", "5", "chunked", "close", "100-continue", "gzip, chunked", "5, 5"])
)
_field = st.tuples(st.one_of(_known, _token), _values).map(lambda f: f"{f[0]}: {f[1]}\r\n".encode("latin-1"))
_chunks = st.lists(st.binary(max_size=20), max_size=6).map(
    lambda parts: b"".join(b"%x\r\n%s\r\n" % (len(p), p) for p in parts if p) + b"0\r\n\r\n"
)
_body = st.one_of(st.just(b""), st.binary(max_size=40), _chunks)
_start_line = st.one_of(
    st.builds(lambda m, t, v: f"{m} /{t} HTTP/1.{v}\r\n".encode(), _token, _token, st.sampled_from("0123")),
    st.sampled_from([b"GET /look HTTP/1.1\r\n", b"POST /pay?w=1 HTTP/1.1\r\n", b"\r\nGET / HTTP/1.1\r\n"]),
)
_status_line = st.one_of(
    st.builds(lambda s, t: f"HTTP/1.1 {s} {t}\r\n".encode(), st.integers(90, 610), _token),
    st.sampled_from([b"HTTP/1.1 200 OK\r\n", b"HTTP/1.0 200\r\n", b"HTTP/1.1 100 Continue\r\n"]),
)


def _message(line: st.SearchStrategy[bytes]) -> st.SearchStrategy[bytes]:
    """Sound messages, sized or chunked, and ones whose head and body have nothing to do with each other."""
    fields = st.lists(_field, max_size=6).map(b"".join)
    loose = st.builds(lambda a, f, b: a + f + b"\r\n" + b, line, fields, _body)
    extra = st.lists(st.tuples(_token, _value), max_size=3).map(
        lambda found: b"".join(f"x-{n}: {v}\r\n".encode("latin-1") for n, v in found)
    )
    sized = st.builds(
        lambda a, f, b: a + b"host: a\r\n" + f + b"content-length: %d\r\n\r\n" % len(b) + b,
        line, extra, st.binary(max_size=40),
    )  # fmt: skip
    chunked = st.builds(
        lambda a, f, b: a + b"host: a\r\n" + f + b"transfer-encoding: chunked\r\n\r\n" + b,
        line, extra, _chunks,
    )  # fmt: skip
    return st.one_of(loose, sized, chunked)


def spoilt(whole: st.SearchStrategy[bytes]) -> st.SearchStrategy[bytes]:
    """Bytes by a grammar, some of them with pieces cut out, put in, doubled or changed."""

    def spoil(data: bytes, at: int, cut: int, put: bytes) -> bytes:
        at %= len(data) + 1
        return data[:at] + put + data[at + cut :]

    edits = st.builds(spoil, whole, st.integers(0, 4000), st.integers(0, 8), st.binary(max_size=6))
    several = st.lists(whole, min_size=2, max_size=3).map(b"".join)
    return st.one_of(whole, edits, several, st.binary(max_size=200))


# Lists, the platform's lines, configurations, captures

_SETTINGS = i.Settings(
    0, 1, 0, ("a", "b"), 5.0, (i.RequestClass("look", 100.0, 1000.0, i.Effect.SAFE),), (), i.Rules(),
    i.Limits(), i.Rollout(),
)  # fmt: skip
_plain_json = st.recursive(
    st.one_of(st.none(), st.booleans(), st.integers(-(2**70), 2**70), st.floats(), st.text(max_size=8)),
    lambda inner: st.one_of(
        st.lists(inner, max_size=3), st.dictionaries(st.text(max_size=6), inner, max_size=3)
    ),
    max_leaves=8,
)


def _object(**fields: st.SearchStrategy[Any]) -> st.SearchStrategy[dict[str, Any]]:
    """An object with these fields, of which some are missing, of another kind, or beside unknown ones."""
    loose = {name: st.one_of(good, good, good, _plain_json) for name, good in fields.items()}
    return st.fixed_dictionaries({}, optional={**loose, "unknown": _plain_json})


def _bytes(value: Any) -> bytes:
    return json.dumps(value).encode()


_address = st.one_of(st.just("127.0.0.1:9001"), st.text(".:0123456789abc", max_size=16))
_entry = _object(**{
    names.NAME: st.text(max_size=6), names.ADDRESS: _address, names.ZONE: st.sampled_from(["a", "b", "c"]),
    names.STATE: st.sampled_from([*names.STATES, "odd"]), names.BUILD: st.integers(-5, 2**70),
    names.STARTED: st.floats(), names.WEIGHT: st.floats(), names.CELL: st.integers(),
    names.KIND: st.text(max_size=3),
})  # fmt: skip
_list = _object(**{
    names.VERSION: st.integers(-3, 2**70), names.WHOLE: st.booleans(),
    names.ENTRIES: st.lists(_entry, max_size=3),
}).map(_bytes)  # fmt: skip


def check_list(data: bytes) -> None:
    """Discovery's list: read, or `CallFailedError`; numbers of names stay what they were."""
    entries = Entries(_SETTINGS, 0.0)
    first = entries.number("s-1")
    try:
        raw = json.loads(data)
    except (ValueError, RecursionError):
        return
    try:
        entries.read(raw)
    except CallFailedError:
        pass
    except Exception as error:
        raise FuzzError(f"{type(error).__name__}: {error}") from error
    if entries.number("s-1") != first:
        raise FuzzError("a name has another number than before")


class _Gateway:
    """As much of a gateway as the platform's lines need."""

    def __init__(self) -> None:
        from meadowpulley.net.config import Config

        self.config = Config("g", ("127.0.0.1", 1), ("127.0.0.1", 2), ("127.0.0.1", 3), 1, 128, _SETTINGS)
        self.counters = Counters()
        self.told: list[i.Event] = []
        self.log: Any = self
        self.deadlines: Any = self
        self.entries = Entries(_SETTINGS, 0.0)
        self.stopping = True

    def tell(self, event: i.Event) -> None:
        self.told.append(event)

    def warning(self, *_: Any, **__: Any) -> None:
        pass

    def call_off(self, _: Any) -> None:
        pass

    def at(self, when: float, call: Any) -> None:
        pass

    def after(self, delay: float, call: Any) -> None:
        pass

    def now(self) -> float:
        return 0.0


_news = _object(**{
    names.NEWS_BUILD: st.integers(-5, 2**70), names.NEWS_STAGE: st.integers(-2, 5),
    names.NEWS_PHASE: st.sampled_from([*names.PHASES, "odd"]), names.NEWS_CAP: st.floats(),
    names.NEWS_AGE: st.floats(),
})  # fmt: skip
_tally = _object(**{
    names.NEWS_BUILD: st.integers(), names.CLASS: st.sampled_from(["look", "odd"]),
    names.TALLY_MANY: st.integers(), names.TALLY_FAILED: st.integers(), names.TALLY_MEAN: st.floats(),
    names.NEWS_AGE: st.floats(), names.WRONG_SERVER: st.text(max_size=4),
})  # fmt: skip
_line = _object(
    jsonrpc=st.just("2.0"), id=st.integers(0, 3), result=st.one_of(st.just(True), _news),
    method=st.sampled_from([names.NEWS, names.TALLY, names.WRONG, names.ALIVE, "odd"]),
    params=st.one_of(_news, _tally),
    error=_object(code=st.integers(), message=st.sampled_from([*names.CALL_ERRORS, "odd"])),
).map(_bytes)  # fmt: skip


def _platform_link() -> tuple[_Gateway, PlatformLink]:
    gateway = _Gateway()
    platform = Platform(gateway, gateway.entries.numbers.get)  # type: ignore[arg-type]
    link = PlatformLink(platform)
    link.up = True
    link.wire = _NoWire()
    platform.link = link
    link.calls.append(platform._call(None))
    link.calls.append(platform._call(i.Vote(1, 0, i.Verdict.ON)))
    return gateway, link


class _NoWire:
    def abortConnection(self) -> None:  # noqa: N802 (Twisted's name)
        pass

    def writeSomeData(self, data: bytes) -> int:  # noqa: N802
        return len(data)


def check_lines(data: bytes) -> None:
    """The platform's lines: the same events however they are cut, and never an exception."""
    data = data[:60_000]
    told = []
    for piece in (max(len(data), 1), *PIECES):
        if len(data) // piece > 2048:
            continue
        gateway, link = _platform_link()
        try:
            for at in range(0, len(data), piece):
                if link.up:
                    link.inward.write(data[at : at + piece])
                    link.received()
        except Exception as error:
            raise FuzzError(f"{type(error).__name__}: {error}") from error
        told.append([repr(e) for e in gateway.told])
    if any(events != told[0] for events in told):
        raise FuzzError(f"other events when cut: {told!r:.400}")


_config = _object(
    name=st.text(max_size=4), listen=_address, discovery=_address,
    seed=st.one_of(st.integers(), st.text(max_size=4)),
    limits=_object(sockets=st.integers(0, 2000)), peers=st.lists(_address, max_size=2),
    platform=_object(address=_address, news=_news), known=_plain_json,
    settings=_object(
        me=st.integers(-1, 3), balancers=st.integers(-1, 3), az=st.integers(),
        zones=st.lists(st.text(max_size=3)),
        classes=st.lists(
            _object(name=st.text(max_size=4), repeat=st.sampled_from(["pure", "odd"])), max_size=2
        ),
        rules=_plain_json, bounds=_plain_json,
    ),
).map(_bytes)  # fmt: skip


_arrival = _object(
    at_ms=st.floats(0, 1e6), cls=st.sampled_from(["look", "odd"]), key=st.integers(0, 2**64),
    site=st.text(max_size=4), work_ms=st.floats(), bytes=st.integers(), patience_ms=st.floats(),
).map(_bytes)  # fmt: skip
_header = _object(
    version=st.just(1), kind=st.just("load"), source=st.text(max_size=4), started=st.floats()
).map(_bytes)  # fmt: skip
_capture = st.builds(lambda h, rows: b"\n".join([h, *rows]) + b"\n", _header, st.lists(_arrival, max_size=4))


def _of_file(suffix: str, read: Callable[[Path], None], own: type[Exception]) -> Callable[[bytes], None]:
    """A reader of a file: it may raise its own error alone, whose text is one line."""

    def check(data: bytes) -> None:
        handle, path = tempfile.mkstemp(suffix=suffix)
        try:
            with os.fdopen(handle, "wb") as file:
                file.write(data)
            read(Path(path))
        except own as error:
            if "\n" in str(error):
                raise FuzzError(f"the reason has more than one line: {str(error)!r}") from None
        except Exception as error:
            raise FuzzError(f"{type(error).__name__}: {error}") from error
        finally:
            os.unlink(path)

    return check


def _read_config(path: Path) -> None:
    read_config({names.ENV_CONFIG: str(path)})


def _read_capture(path: Path) -> None:
    for _ in read_load(path, frozenset({"look"})):
        pass


check_config = _of_file(".json", _read_config, ConfigError)
check_capture = _of_file(".jsonl", _read_capture, LoadError)

TARGETS = {
    t.name: t
    for t in (
        Target("requests", "HTTP/1.1 requests of clients", _check_http(True), spoilt(_message(_start_line))),
        Target(
            "answers", "HTTP/1.1 answers of instances", _check_http(False), spoilt(_message(_status_line))
        ),
        Target("lists", "discovery's lists", check_list, spoilt(_list)),
        Target(
            "lines", "the platform's lines", check_lines,
            st.lists(spoilt(_line), max_size=4).map(lambda lines: b"".join(line + b"\n" for line in lines)),
        ),
        Target("configurations", "the gateway's configuration", check_config, spoilt(_config)),
        Target("captures", "captured loads", check_capture, spoilt(_capture)),
    )
}  # fmt: skip


@dataclass(slots=True)
class Fuzzed:
    """What came of one target: examples played, and the smallest input that fails, if any, with the
    reason."""

    target: str
    corpus: int = 0
    examples: int = 0
    failing: bytes | None = None
    why: str = ""


def corpus_of(folder: Path, target: str) -> Iterator[tuple[str, bytes]]:
    """Kept inputs of a target, by name."""
    for path in sorted((folder / target).glob("*")):
        yield path.name, path.read_bytes()


def fuzz(target: Target, examples: int, number: int, corpus: Sequence[tuple[str, bytes]] = ()) -> Fuzzed:
    """Plays the corpus, then so many made inputs by the seed `number`; stops at the first failure, shrunk."""
    found = Fuzzed(target.name)
    for name, data in corpus:
        found.corpus += 1
        try:
            target.check(data)
        except FuzzError as error:
            found.failing, found.why = data, f"corpus {name}: {error}"
            return found
    last: list[bytes] = [b""]

    @seed(number)
    @settings(
        max_examples=examples, database=None, deadline=None, suppress_health_check=list(HealthCheck),
        print_blob=False,
    )  # fmt: skip
    @given(target.make)
    def play(data: bytes) -> None:
        found.examples += 1
        last[0] = data
        target.check(data)

    try:
        play()
    except FuzzError as error:
        found.failing, found.why = last[0], str(error)
    return found
