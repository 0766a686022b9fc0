"""The council: a few dispatchers that replicate one log by Raft.

The modules here only decide: they do no I/O and use no clock or random source.
"""
