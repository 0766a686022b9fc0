"""Membership of the fleet: who is alive, who holds which seat, and what gossip says of nodes."""
