"""The council: a few dispatchers that replicate one log by Raft. Decisions only; no I/O, clock or chance."""
