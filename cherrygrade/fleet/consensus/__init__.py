"""The council: a few dispatchers that keep one log by agreement. Decisions only; no I/O, clock or chance."""
