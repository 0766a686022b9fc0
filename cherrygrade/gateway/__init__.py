"""The dispatcher's process: gives events to the scheduler and carries out its decisions."""
