"""Flow control for peers: the memory budget for request bodies, and escalation against slow connections.

The decisions are in `connection_admission`, `memory_budget`, `slow_peer_escalation` and
`transfer_rate`, which use no I/O, clock or random source. `memory_admission` and `watch` apply these
decisions on the event loop.
"""
