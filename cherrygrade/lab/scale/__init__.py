"""The scale run: hollow dispatchers by the hundred beside real ones, on sockets, with ways that fail."""
