"""Dispatchers that know each other: who is there, who failed, who left, what each does while they disagree.

What is decided stands in modules free of I/O, clock and chance (docs/fleet-design.md); agent.py alone has
sockets.
"""
