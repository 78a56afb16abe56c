"""Every decision of meadowpulley; its settings, events and actions are in meadowpulley/interface.py."""

from meadowpulley.balance.balancer import LIST_EACH_MS, TICK, Balancer
from meadowpulley.balance.evidence import TALLY, TELLERS, Failures, mixed_q
from meadowpulley.balance.servers import KEYS
from meadowpulley.digests import LOST

__all__ = ["KEYS", "LIST_EACH_MS", "LOST", "TALLY", "TELLERS", "TICK", "Balancer", "Failures", "mixed_q"]
