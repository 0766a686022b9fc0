"""Hosts dispatchers on the line protocol of the users' bench, without any decisions of its own."""
