"""The bounded table of ids that may have been executed."""

from __future__ import annotations

from meadowpulley.net.executed_ids import ExecutedIds


def test_an_id_is_kept_for_the_retention_and_no_longer() -> None:
    ids = ExecutedIds(max_ids=2, retention_ms=100.0)
    ids.add("a", 0.0)
    assert ids.add("a", 50.0)
    assert ids.contains("a", 99.9)
    assert not ids.contains("a", 100.0)
    assert len(ids) == 0


def test_the_oldest_id_makes_room_when_the_table_is_full() -> None:
    ids = ExecutedIds(max_ids=2, retention_ms=100.0)
    assert [ids.add(request_id, 0.0) for request_id in "abc"] == [True, True, False]
    assert [ids.contains(request_id, 0.0) for request_id in "abc"] == [False, True, True]
    assert len(ids) == 2
