"""Slow peers: whose rate is too low, what is done about it step by step, and when it is over.

`rate.py` and `ladder.py` decide, free of I/O, clock and chance; `watch.py` looks and carries out.
"""
