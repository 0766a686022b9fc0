"""Our native protocol as bytes and typed messages; free of I/O. Its specification is docs/protocol.md."""
