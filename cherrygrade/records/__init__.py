"""The records language, in which settings and scenarios are written (docs/records.md)."""
