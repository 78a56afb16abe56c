"""The gateway's network layer: it translates wire protocols to `meadowpulley.interface`.

All decisions are made by the policy.

The modules in reading order, lowest layer first; a module imports only modules of lower layers:

- `errors`, `protocol`, `json_fields`, `config`: the names of the wire protocol, and the configuration.
- `reactor_interface`, `reactor`: the reactor methods in use, and the gateway's own reactor.
- `deadlines`, `ring`, `slots`, `http1`, `connection`: building blocks of all connections.
- `extension`, `gateway_context`: the interfaces that extensions and components use.
- `request_table`, `request_parsing`, `request_admission`: requests from their arrival to their response.
- `client_connection`, `client_listener`: connections from clients.
- `instance_connection`, `instance_pools`, `instance_response`, `attempts`: attempts at instances.
- `endpoint_list`, `discovery_connection`, `discovery_call`, `current_endpoint_list`, `endpoint_fetch`,
  `endpoint_watch`, `discovery_client`: the client of the discovery service.
- `platform_messages`, `platform_connection`, `platform_connector`, `rollout_client`: the client of the
  rollout platform.
- `gossip`: datagrams exchanged with other gateways.
- `gateway`: creates these components and connects them.

`counters`, `log`, `capture`, `interval_metrics` and `request_tracing` record what the gateway does.
"""
