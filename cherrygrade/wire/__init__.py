"""The native protocol: typed messages and their bytes. Uses no I/O. docs/protocol.md specifies it."""
