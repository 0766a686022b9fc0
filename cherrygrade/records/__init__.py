"""Typed records: the form of our settings and scenarios (docs/records.md)."""
