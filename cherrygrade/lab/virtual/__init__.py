"""Days in virtual time, in one process."""
