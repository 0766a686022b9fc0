"""The laboratory: scenarios, load, records of what passed, the audit and the report."""
