"""The dispatcher's process: it tells the module what happens and carries out what the module decides."""
