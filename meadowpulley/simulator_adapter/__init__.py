"""Runs gateway policies under the simulator. Translates the wire format and makes no decisions.

Reading order: `codec` (frames with events), `reply` (frames with actions), `gateway_host` (the policies),
`__main__` (standard input and output).
"""
