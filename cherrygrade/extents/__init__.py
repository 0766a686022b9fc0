"""Volumes as byte ranges: where their extents lie, how a range is split, when company is waited for.

Everything here but the carrying in `carrier.py` is free of I/O, clock and chance.
"""
