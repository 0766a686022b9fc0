"""Audits of scenario runs from recorded events, and planted faults that the audits must find."""
