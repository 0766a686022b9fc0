"""Membership of the fleet: living members, their seats, and the storage nodes that they reach."""
