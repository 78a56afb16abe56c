"""Loads: the file, the profiles, and what is made of broken files."""

from __future__ import annotations

import gzip
import tracemalloc
from collections.abc import Iterator
from pathlib import Path

import pytest

from meadowpulley.cli.demo import demo_fleet
from meadowpulley.load import (
    PROFILES,
    Arrival,
    Header,
    LoadError,
    read_load,
    scaled,
    spliced,
    stretched,
    summarize,
    synthesize,
    write_load,
)

HEADER = b'{"format":"meadowpulley-load","version":1}\n'


def synthesized(
    seconds: float = 20.0, profile: str = "steady", per_s: float = 200.0, seed: int = 4
) -> list[Arrival]:
    return list(synthesize(demo_fleet(), PROFILES[profile], per_s, seconds, seed))


@pytest.mark.parametrize("name", ["load.jsonl", "load.jsonl.gz"])
def test_a_load_reads_back_as_it_was_written(tmp_path: Path, name: str) -> None:
    path, arrivals = tmp_path / name, synthesized()
    assert write_load(path, arrivals, Header(source="made", dropped=3)) == len(arrivals)
    reader = read_load(path)
    assert list(reader) == arrivals and reader.header.dropped == 3
    assert not (reader.truncated or reader.jumps or reader.disordered)
    assert [p.name for p in tmp_path.iterdir()] == [name]


def test_a_load_that_fails_to_be_written_leaves_the_old_one(tmp_path: Path) -> None:
    path = tmp_path / "load.jsonl"
    write_load(path, synthesized(1.0))
    before = path.read_bytes()

    def broken() -> Iterator[Arrival]:
        yield Arrival(1.0, "look")
        raise RuntimeError("the maker died")

    with pytest.raises(RuntimeError):
        write_load(path, broken())
    assert path.read_bytes() == before and len(list(tmp_path.iterdir())) == 1


@pytest.mark.parametrize(
    ("raw", "expected"),
    [
        (b"", "line 1: no header of a load"),
        (b'{"format":"other","version":1}\n', "'other 1' is not known here"),
        (b'{"format":"meadowpulley-load","version":9}\n', "this program reads version 1"),
        (b'{"format":"meadowpulley-load","version":1,"colour":2}\n', "line 1: no header"),
        (HEADER, "no arrivals"),
        (HEADER + b'{"at_ms":-1,"cls":"look"}\n', "line 2: "),
        (HEADER + b'{"at_ms":1e999,"cls":"look"}\n', "line 2: "),
        (HEADER + b'{"at_ms":1,"cls":"look","colour":1}\n', "line 2: "),
        (HEADER + b'{"at_ms":1,"cls":"look"}\nnoise\n', "line 3: "),
        (HEADER + b'{"at_ms":1,"cls":"swim"}\n', "line 2: class 'swim' is not of the fleet; known are look"),
    ],
)
def test_a_bad_load_is_one_line_that_names_the_place(tmp_path: Path, raw: bytes, expected: str) -> None:
    path = tmp_path / "bad.jsonl"
    path.write_bytes(raw)
    with pytest.raises(LoadError) as error:
        list(read_load(path, frozenset({"look"})))
    assert (
        expected in str(error.value)
        and str(error.value).startswith(str(path))
        and "\n" not in str(error.value)
    )


@pytest.mark.parametrize("zipped", [False, True])
def test_a_load_that_was_cut_off_gives_what_is_whole(tmp_path: Path, zipped: bool) -> None:
    path = tmp_path / ("cut.jsonl.gz" if zipped else "cut.jsonl")
    arrivals = synthesized(5.0)
    write_load(path, arrivals)
    raw = path.read_bytes()
    path.write_bytes(raw[: len(raw) * 2 // 3])
    reader = read_load(path)
    got = list(reader)
    assert reader.truncated and 0 < len(got) < len(arrivals) and got == arrivals[: len(got)]


def test_disorder_is_put_right_and_a_clock_that_jumped_is_noted(tmp_path: Path) -> None:
    path = tmp_path / "odd.jsonl"
    times = [0.0, 500.0, 300.0, 900.0, 5000.0, 200.0, 700.0, 600.0]
    path.write_bytes(HEADER + b"".join(b'{"at_ms":%f,"cls":"look"}\n' % t for t in times))
    reader = read_load(path)
    got = [a.at_ms for a in reader]
    assert got == sorted(got) == [0.0, 300.0, 500.0, 900.0, 5000.0, 5000.0, 5400.0, 5500.0]
    assert (reader.jumps, reader.disordered) == (1, 2)


def test_a_long_load_streams_in_bounded_memory(tmp_path: Path) -> None:
    path = tmp_path / "long.jsonl.gz"
    with gzip.open(path, "wb", compresslevel=1) as file:
        file.write(HEADER)
        for n in range(40_000):
            file.write(b'{"at_ms":%d,"cls":"look","key":%d,"work_ms":5}\n' % (n, n % 1000 + 1))
    tracemalloc.start()
    summary = summarize(scaled(read_load(path), 1.0, 1))
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert summary.count == 40_000 and summary.keys == 1000
    assert peak < 4_000_000


@pytest.mark.parametrize("name", sorted(PROFILES))
def test_a_profile_keeps_its_mean_rate_and_stays_under_its_peak(name: str) -> None:
    profile = PROFILES[name]
    rates = [profile.rate(n / 2000) for n in range(2001)]
    assert sum(rates) / len(rates) == pytest.approx(1.0, abs=0.02)
    assert min(rates) >= 0 and max(rates) <= profile.peak
    arrivals = synthesized(100.0, name, 100.0)
    assert len(arrivals) == pytest.approx(10_000, rel=0.05)
    assert [a.at_ms for a in arrivals] == sorted(a.at_ms for a in arrivals)
    assert arrivals == synthesized(100.0, name, 100.0) != synthesized(100.0, name, 100.0, seed=5)


def test_made_work_has_the_mean_and_the_spread_of_its_class() -> None:
    summary = summarize(synthesized(200.0))
    for request_class in summary.classes:
        assert request_class.work_ms == pytest.approx(
            140.0, rel=0.05
        ) and request_class.spread == pytest.approx(1.0, rel=0.1)
    final = synthesized(100.0, "footy-final")
    middle = [a.work_ms for a in final if 40_000 <= a.at_ms < 60_000]
    rest = [a.work_ms for a in final if not 40_000 <= a.at_ms < 60_000]
    assert sum(middle) / len(middle) / (sum(rest) / len(rest)) == pytest.approx(1.625, rel=0.15)
    shifted = [a.site for a in synthesized(100.0, "site-shift") if a.at_ms > 60_000]
    assert shifted.count("hobart") / len(shifted) == pytest.approx(0.5 + 0.5 / 3, abs=0.03)


def test_loads_are_scaled_stretched_and_spliced() -> None:
    arrivals = synthesized(20.0)
    more = list(scaled(arrivals, 2.5, 1))
    assert len(more) == pytest.approx(2.5 * len(arrivals), rel=0.03)
    assert [a.at_ms for a in more] == sorted(a.at_ms for a in more)
    assert len(list(scaled(arrivals, 0.25, 1))) == pytest.approx(0.25 * len(arrivals), rel=0.1)
    assert [a.at_ms for a in stretched(arrivals, 3.0)] == pytest.approx(
        [3 * a.at_ms for a in arrivals], abs=0.01
    )
    both = list(spliced(arrivals, arrivals, pause_ms=1000.0))
    assert len(both) == 2 * len(arrivals)
    assert both[len(arrivals)].at_ms == pytest.approx(
        arrivals[-1].at_ms + 1000.0 + arrivals[0].at_ms, abs=0.01
    )
