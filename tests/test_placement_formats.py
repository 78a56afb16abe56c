"""Tests that records which version 0.4.0 stored are read, and are written as the same bytes."""

from __future__ import annotations

from datetime import UTC, datetime

from meadowpulley.placement.arm_counters import ArmCounters
from meadowpulley.placement.counter_records import (
    AdoptedCompletion,
    BlockCosts,
    CostMoments,
    CountersRecord,
    OpenRequest,
    OutcomeCounts,
    RequestEnding,
    decode_counters,
    encode_counters,
)
from meadowpulley.placement.definition import (
    Arm,
    EndCondition,
    Experiment,
    decode_definition,
    encode_definition,
)
from meadowpulley.placement.time_bins import BinSegment, TimeBin, decode_segment, encode_segment

STORED_COUNTERS = (
    b"\x8b\xa4life\xa3a.1\xa4form\x01\xa5write\x01\xa7highest\x05\xa7outside\x02\xa4held\x01"
    b"\xa4open\x92\x94\x04\x00\x00\x03\x94\x05\x01\x00\x03"
    b"\xa5cells\x92\x87\xa3arm\x00\xa3cls\x00\xa6served\x01\xa7refused\x00\xa6failed\x01\xa4gone\x00"
    b"\xa9histogram\xd98HISTFAAAACJ4nJNpmSzMwMDAzAABMJoRRCgfdmOw/wAR2OzBBABU4wSm"
    b"\x87\xa3arm\x01\xa3cls\x00\xa6served\x00\xa7refused\x01\xa6failed\x00\xa4gone\x01\xa9histogram\xa0"
    b"\xa7moments\x92\x96\x03\x00\x00\x02\xcb@\x8f\xa4\x00\x00\x00\x00\x00\xcbA.\x85\xb8\x80\x00\x00\x00"
    b"\x96\x03\x01\x00\x02\xcb@\x9f@\x00\x00\x00\x00\x00\xcbA>\x84\x80\x00\x00\x00\x00"
    b"\xa6blocks\x91\x95\x04\x01\x00\x01\xcb@)\x00\x00\x00\x00\x00\x00"
    b"\xa7adopted\x91\x97\xa3b.2\t\x01\x00\x03\xa7refused\xcb@I\x00\x00\x00\x00\x00\x00"
)
HISTOGRAM = "HISTFAAAACJ4nJNpmSzMwMDAzAABMJoRRCgfdmOw/wAR2OzBBABU4wSm"
COUNTERS = CountersRecord(
    incarnation="a.1",
    revision=1,
    highest_number=5,
    unassigned=2,
    withheld=1,
    open_requests=[OpenRequest(4, 0, 0, 3), OpenRequest(5, 1, 0, 3)],
    cells=[
        OutcomeCounts(arm=0, class_index=0, served=1, failed=1, histogram=HISTOGRAM),
        OutcomeCounts(arm=1, class_index=0, rejected=1, disconnected=1),
    ],
    moments=[CostMoments(3, 0, 0, 2, 1012.5, 1000156.25), CostMoments(3, 1, 0, 2, 2000.0, 2000000.0)],
    blocks=[BlockCosts(4, 1, 0, 1, 12.5)],
    adopted_completions=[AdoptedCompletion("b.2", 9, 1, 0, 3, RequestEnding.REJECTED, 50.0)],
)

STORED_SEGMENT = (
    b"\x92\xa3a.1\x91\x97\x03\x82\x92\x00\x01\x02\x92\x00\xff\x01\x92\x03\x03"
    b"\x92\xcb@>\x00\x00\x00\x00\x00\x00\xcb@>\x00\x00\x00\x00\x00\x00"
    b"\x92\xcb@)\x00\x00\x00\x00\x00\x00\xcb@)\x00\x00\x00\x00\x00\x00\x92\x01\x01\x91\x02"
)
SEGMENT = BinSegment(
    "a.1",
    [
        TimeBin(
            number=3,
            arm_counts={(0, 1): 2, (0, -1): 1},
            accepted=[3, 3],
            cost_ms=[30.0, 30.0],
            outstanding_ms=[12.5, 12.5],
            outstanding_at_start=[1, 1],
            ended_arms=[2],
        )
    ],
)

STORED_DEFINITION = (
    b'{"version":1,"name":"try","arms":[{"name":"now","policy":"own","part":0.5},'
    b'{"name":"least","policy":"least","part":0.25}],'
    b'"end":{"at":"2027-01-31T12:00:00Z","requests":1000},"unit":"key","classes":["look"],'
    b'"carry_ms":3000.0,"block_ms":60000.0,"settle_ms":10000.0,"guard":{"worse":0.1,"alpha":0.01}}'
)
EXPERIMENT = Experiment(
    1,
    "try",
    (Arm("now", "own", 0.5), Arm("least", "least", 0.25)),
    EndCondition(at=datetime(2027, 1, 31, 12, tzinfo=UTC), requests=1000),
    unit="key",
    classes=("look",),
)


def test_stored_counters_are_read_and_written_as_before() -> None:
    assert decode_counters(STORED_COUNTERS) == COUNTERS
    assert encode_counters(COUNTERS) == STORED_COUNTERS


def test_counting_gives_the_same_record_as_before() -> None:
    counters = ArmCounters("a.1")
    for number in range(6):
        counters.record_accepted(OpenRequest(number, number % 2, 0, 3))
    for number, ending in enumerate(RequestEnding):
        counters.record_ended(number, ending, 12.5 if ending is RequestEnding.SERVED else 1000.0)
    counters.record_in_block(4, 1, 0, 12.5)
    counters.record.unassigned, counters.record.withheld = 2, 1
    counters.record.adopted_completions.append(COUNTERS.adopted_completions[0])
    assert counters.encode_next_revision() == STORED_COUNTERS


def test_a_stored_segment_is_read_and_written_as_before() -> None:
    assert decode_segment(STORED_SEGMENT) == SEGMENT
    assert encode_segment(SEGMENT) == STORED_SEGMENT


def test_a_stored_definition_is_read_and_written_as_before_under_the_same_version() -> None:
    assert decode_definition(STORED_DEFINITION) == EXPERIMENT
    assert encode_definition(EXPERIMENT) == STORED_DEFINITION
    assert EXPERIMENT.digest == "51ad932c937381c4e573f5a3c2e6d665"
    assert EXPERIMENT.record_key("count/a.1") == f"placement/try/{EXPERIMENT.digest}/count/a.1"
    assert EXPERIMENT.definition_key == "placement/try/running"
