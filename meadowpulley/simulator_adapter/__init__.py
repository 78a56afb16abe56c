"""Runs gateway policies under the simulator. It translates its wire format and decides nothing.

Reading order: `codec` (frames with events), `reply` (frames with actions), `gateway_host` (the policies),
`__main__` (standard input and output).
"""
