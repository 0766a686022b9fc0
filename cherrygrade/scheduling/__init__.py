"""Every decision on requests: placement, admission, limits, retries and giving up, free of I/O and clock."""
