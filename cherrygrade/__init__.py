"""A storage gateway: dispatchers that schedule reads and writes over shared storage nodes."""
