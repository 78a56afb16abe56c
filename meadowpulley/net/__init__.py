"""The gateway on real sockets: it translates protocols to `meadowpulley.interface`, and decides nothing.

Modules in reading order, lowest first; imports go one way:

- `errors`, `protocol`, `json_fields`, `config`: the platform's names, and the configuration.
- `reactor_interface`, `reactor`: what of a reactor is used, and the gateway's own.
- `deadlines`, `ring`, `slots`, `http1`, `connection`: what every connection uses.
- `extension`, `gateway_context`: what components may use of the gateway.
- `request_table`, `request_parsing`, `request_admission`: requests.
- `client_connection`, `client_listener`: clients.
- `instance_connection`, `instance_pools`, `instance_response`, `attempts`: attempts at instances.
- `endpoint_list`, `discovery_connection`, `discovery_call`, `current_endpoint_list`, `endpoint_fetch`,
  `endpoint_watch`, `discovery_client`: discovery.
- `platform_messages`, `platform_connection`, `platform_connector`, `rollout_client`: the platform.
- `gossip`: the other gateways.
- `gateway`: connects all of them.

`counters`, `log`, `capture`, `interval_metrics` and `request_tracing` record what happens.
"""
