"""Scheduling decisions: placement, admission, limits, retries and early rejection, without I/O or a clock."""
