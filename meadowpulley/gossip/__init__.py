"""Encoding and decoding of the datagrams between gateways; this package makes no decisions.

`outcome_digest` encodes the outcomes that a gateway observed, by build and server. `list_confirmation_codec`
encodes queries about whether servers are still listed, and the replies to them.
"""
