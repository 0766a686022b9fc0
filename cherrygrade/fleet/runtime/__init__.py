"""Sockets, disk and timers of the fleet. Nothing is decided here."""
