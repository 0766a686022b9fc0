"""cherrygrade schedules a host's reads and writes before shared storage nodes."""
