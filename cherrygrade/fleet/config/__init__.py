"""One configuration for the fleet: a text that goes over each dispatcher's own file, one order of versions in
the council's log, spread by hints that are believed only with witnesses (docs/config-design.md).

What is decided stands here, free of I/O, clock and chance; carriers/config.py has sockets and disk.
"""
