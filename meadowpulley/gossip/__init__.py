"""The datagrams between gateways, in bytes; nothing here decides.

`outcome_digest`: what a gateway saw of builds and servers. `list_confirmation_codec`: questions whether
servers are still listed, and the replies.
"""
