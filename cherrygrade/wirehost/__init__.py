"""Hosts dispatchers on the line protocol of the users' bench; holds no decision."""
