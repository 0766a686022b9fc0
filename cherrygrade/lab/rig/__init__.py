"""Days with real processes: scenarios, load, what goes wrong when, the report."""
