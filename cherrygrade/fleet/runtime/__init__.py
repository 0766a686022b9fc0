"""Sockets, disk, timers and the operator's commands of the fleet.

The decisions are made in `membership`, `consensus`, `leases` and `config`, which do no I/O: they take events
and return effects. The modules of this package receive the events and carry out the effects.
"""
