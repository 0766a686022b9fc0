"""The fleet's configuration: a text over each dispatcher's own file, in one order of versions.

The council's log orders the versions; members learn of them by adverts, which are believed only with
witnesses (docs/config-design.md). Decisions only, free of I/O, clock and chance: sockets and disk are in
`fleet/runtime/config_exchange.py`.
"""
