"""The real gateway: it translates between sockets and `meadowpulley.interface`, and decides nothing.

In reading order: `names`, `config`; `deadlines`, `ring`, `slots`, `http1`, `link` (what every connection
needs); `hook` and `host` (what parts may ask of the gateway); `requests`, `intake`, `client_link`, `clients`
(who asks); `instance_link`, `instances`, `attempts` (who answers); `entries`, `discovery`; `control`;
`peers`; `gateway`, which alone knows them all. `counters`, `log`, `capture`, `seconds` and `story` write down
what happens. Imports go one way.
"""
