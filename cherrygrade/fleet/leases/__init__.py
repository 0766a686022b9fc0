"""The right to do one named task for the fleet: granted by the council, held by one member and life, with a
number that only grows and an end (docs/leases-design.md)."""
