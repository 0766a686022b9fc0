"""Leases: the exclusive right of one dispatcher to do a named task for the fleet.

The council grants a lease to one incarnation of a dispatcher, with a fencing number that only grows and
a duration (docs/leases-design.md).
"""
