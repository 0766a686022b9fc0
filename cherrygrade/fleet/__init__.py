"""The fleet of dispatchers: membership, replicated configuration, consensus of the council, and leases.

The packages `membership`, `config`, `consensus` and `leases` contain the decisions and do no I/O, read no
clock and have no random source (docs/fleet-design.md). `runtime` has the sockets and files.
"""
