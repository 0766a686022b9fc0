"""Virtual time: an event loop whose clock moves when all is idle, and a network that it carries."""
