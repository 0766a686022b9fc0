"""The dispatcher for a hosting platform, which speaks HTTP/1.1 to clients and storage nodes.

The platform starts and kills the process, writes its configuration file, runs the discovery service that
lists the storage nodes, and defines the HTTP fields.

- `config`: environment and configuration file.
- `process`: wiring, start, reload; `shutdown`: the phases from SIGTERM to the exit code.
- `client_listener`, `client_registry`, `client_connection`, `request_parsing`: connections of clients.
- `round_carrier`: carries out what the scheduler's rounds decide.
- `connection_pool`, `node_connection`, `node_messages`, `socket_budget`: connections to storage nodes.
- `message_end`: whether a response or request that is followed by further bytes is whole.
- `discovery`, `endpoint_watch`, `json_object_stream`, `watch_liveness`, `endpoint_list`: which nodes exist.
- `periodic_tasks`: closes silent connections and logs counts.
"""
