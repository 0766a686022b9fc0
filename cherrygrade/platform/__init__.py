"""The platform's dispatcher: HTTP/1.1 from clients and to storage nodes, decisions by the scheduler.

- `config`: environment and configuration file.
- `process`: wiring, start, reload; `shutdown`: the phases from SIGTERM to the exit code.
- `client_listener`, `client_registry`, `client_connection`, `request_parsing`: the clients' side.
- `round_carrier`: carries out what the scheduler's rounds decide.
- `connection_pool`, `node_connection`, `node_messages`, `socket_budget`: the nodes' side.
- `discovery`, `endpoint_watch`, `json_object_stream`, `watch_liveness`, `endpoint_list`: which nodes exist.
- `periodic_tasks`: closing silent connections, logging counts.
"""
