"""Scenario runs with real processes: scenarios, load, fault injection and report."""
