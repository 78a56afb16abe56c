"""Decisions compared with recorded ones.

`days` describes the runs on the fleets of `fleets`, `random_events` further events, `wire` the way through
the simulator's adapter, and `recording` hashes what leaves a gateway.
"""
